#ifndef OWNERSHIP_OWNERSHIP_H_
#define OWNERSHIP_OWNERSHIP_H_

#include <array>
#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

#include "common/runtime_clock.h"
#include "ownership/ownership_types.h"

// Quorum leases: at most one router of a failure domain owns an upstream at a time.
//
// Each router is both a voter, which promises upstreams to owners, and an owner, which
// holds a lease while a majority of the voters promises it. A router that has lost its
// majority may still use a reserve, a fixed part of each upstream's limit. OwnershipState
// holds the state of both roles. All functions are deterministic; the caller sends the
// messages in the outbox and passes received ones to the Handle functions.
namespace geraniumspread::ownership {

// A member list of the domain and the voters chosen from it.
struct MemberView {
  std::uint64_t digest = 0;
  std::vector<RouterKey> members;  // sorted
  std::vector<RouterKey> voters;   // sorted
  // For replaced lists: the time from which a lease no longer needs their majority.
  TimePoint needed_until = TimePoint::max();
  // Reported by a voter. This router needs a majority of this list too, but does not pass
  // the list on, or lists would circulate without end.
  bool reported_by_voter = false;
};

struct SentReply {
  std::uint64_t number = 0;
  TimePoint sent;
};

// A voter's record of one router that sent it lease requests.
struct VoterRecord {
  RouterKey router{};
  std::uint64_t incarnation = 0;
  std::uint64_t last_number = 0;
  // The two latest replies to the router; give the send time of an acknowledged reply.
  std::array<SentReply, 2> replies;
  // When the voter sent the latest reply that the router is known to have received.
  TimePoint acknowledged_at = TimePoint::min();
  TimePoint last_message_at;
  std::uint32_t reserve_divisor = 0;
  std::uint32_t member_count = 0;
  bool reserve_in_use = false;
  bool shut_down = false;  // the router has shut down and uses no reserve
};

struct Promise {
  RouterKey holder{};
  std::uint64_t incarnation = 0;
  std::uint64_t number = 0;
  TimePoint until;
};

struct VoterState {
  std::unordered_map<UpstreamKey, Promise> promises;
  std::vector<VoterRecord> records;
};

// An owner's state for one voter.
struct VoterLink {
  RouterKey voter{};
  // Number of the latest request that the voter answered, and when the reply arrived.
  std::uint64_t answered_number = 0;
  TimePoint answered_at = TimePoint::min();
  // When the request of the latest reply was sent.
  TimePoint requested_at = TimePoint::min();
  // From the latest reply.
  std::uint64_t view = 0;
  Duration no_reserve_for{};
  std::vector<ReserveInfo> reserve_users;
  bool records_complete = false;
};

struct PromiseReceived {
  RouterKey voter{};
  TimePoint until;
};

struct OwnedUpstream {
  UpstreamKey upstream{};
  bool reports_load = true;
  bool candidate = false;
  std::vector<PromiseReceived> promises;
  TimePoint lease_until = TimePoint::min();
  TimePoint acquired_at = TimePoint::min();
  // Set while the lease is handed over: when the release may be sent.
  std::optional<TimePoint> release_at;
  TimePoint last_dispatch = TimePoint::min();
  bool has_report = false;
  std::int32_t foreign = 0;
  // When the latest report was requested.
  TimePoint report_requested_at = TimePoint::min();
  // Upper bound of the requests in that report that other routers dispatched.
  std::int32_t max_foreign = 0;
  // Own requests in flight: dispatched since the latest load report was requested, since
  // the one before it, and earlier.
  std::int32_t since_last_request = 0;
  std::int32_t since_previous_request = 0;
  std::int32_t before_previous_request = 0;
  std::int32_t in_flight_at_request = 0;
  std::int32_t dispatched_since_request = 0;
  std::int32_t on_reserve = 0;
  std::uint32_t report_generation = 0;
};

// A router that may use a reserve unless it is known to have a majority.
struct ReserveClaim {
  RouterKey router{};
  std::uint32_t divisor = 0;
  // The router is known to use no reserve before this time.
  TimePoint no_reserve_until = TimePoint::min();
};

// One round of lease requests to all voters.
struct Round {
  TimePoint sent;
  std::uint32_t member_count = 0;
};
inline constexpr std::size_t kRememberedRounds = 8;

struct OwnerState {
  std::vector<OwnedUpstream> upstreams;  // sorted by key
  std::vector<VoterLink> links;
  std::uint64_t round = 0;
  TimePoint next_round = TimePoint::min();
  // The latest rounds, indexed by number modulo the size.
  std::array<Round, kRememberedRounds> rounds;
  // Replies to this and earlier rounds are ignored.
  std::uint64_t last_ignored_round = 0;
  // Divisor of this router's reserve; 0 while no round was answered by a majority.
  std::uint32_t reserve_divisor = 0;
  // Send time of the latest round that a majority answered.
  TimePoint majority_requested_at = TimePoint::min();
  std::vector<ReserveClaim> claims;
  bool leaving = false;
};

struct OwnershipState {
  OwnershipSettings settings;
  OwnershipPolicy policy;
  RouterKey self{};
  std::uint64_t incarnation = 0;
  TimePoint started_at;
  // The current member list first, then the replaced and reported lists still in force.
  std::vector<MemberView> views;
  std::vector<RouterKey> candidates;  // sorted
  VoterState voter;
  OwnerState owner;
};

OwnershipState MakeOwnershipState(const OwnershipSettings& settings,
                                  RouterKey self,
                                  std::uint64_t incarnation,
                                  TimePoint now);

// Sets the members of the domain: routers that the platform lists or that sent a message
// within `member_timeout`. `candidates` are the members that may own upstreams: those that
// sent a message within one lease term and are not draining. This router is always a
// member. Majorities are computed from the member list; the candidate list only selects
// the router that requests the lease of an upstream.
void SetMembers(OwnershipState& state,
                std::span<const RouterKey> members,
                std::span<const RouterKey> candidates,
                TimePoint now);

// Sets all upstreams of this router's failure domain.
void SetUpstreams(OwnershipState& state, std::span<const DomainUpstream> upstreams, TimePoint now);

// Returns the router that should own the upstream, by rendezvous hashing.
// `routers` must not be empty.
RouterKey CandidateOwner(std::span<const RouterKey> routers, UpstreamKey upstream);
// Returns the same for this router's own candidate list, or nullopt if the list is empty.
// An entry router forwards requests for the upstream there.
std::optional<RouterKey> CandidateOwner(const OwnershipState& state, UpstreamKey upstream);

// Starts renewal rounds, hands over leases and drops expired state. Call at least
// every tenth of the lease term. If this router is one of its own voters, its request
// is handled here without a message.
void TickOwnership(OwnershipState& state, TimePoint now, OwnershipOutbox& outbox);
// Starts the hand-over of every lease before a planned stop; this router never
// dispatches again.
void ReleaseAllLeases(OwnershipState& state, TimePoint now);

// Returns nullopt if the request is outdated: a request or release with the same or a
// later number, or of a later incarnation, was already handled.
std::optional<LeaseReply> HandleLeaseRequest(OwnershipState& state,
                                             RouterKey from,
                                             const LeaseRequest& request,
                                             TimePoint now);
void HandleLeaseReply(OwnershipState& state,
                      RouterKey from,
                      const LeaseReply& reply,
                      TimePoint now);
void HandleLeaseRelease(OwnershipState& state,
                        RouterKey from,
                        const LeaseRelease& release,
                        TimePoint now);

// Call before requesting a load report from the upstream.
void RecordReportRequest(OwnershipState& state, UpstreamKey upstream);
// `requested_at` is when the report was requested, `running` the requests that the
// upstream reported as running or waiting.
void RecordLoadReport(OwnershipState& state,
                      UpstreamKey upstream,
                      TimePoint requested_at,
                      std::int32_t running,
                      TimePoint now);

// Returns how many requests this router may have in flight at the upstream now if
// all routers together may have `limit` (the cold limit, or the lower of capacity
// and load bound). Takes time linear in the number of the domain's members.
Allowance AllowedInFlight(const OwnershipState& state,
                          UpstreamKey upstream,
                          std::int32_t limit,
                          TimePoint now);
// This router's own requests in flight at the upstream.
std::int32_t InFlight(const OwnershipState& state, UpstreamKey upstream);
// True if this router holds the lease and may send commands to the upstream. Only
// successes during this time count towards the growth of a cold limit.
bool HoldsLease(const OwnershipState& state, UpstreamKey upstream, TimePoint now);
// Returns when this router's lease ends by its own clock, or earlier if a hand-over has
// started. Returns nullopt if HoldsLease is false.
std::optional<TimePoint> LeaseExpiry(const OwnershipState& state,
                                     UpstreamKey upstream,
                                     TimePoint now);

// Records the dispatch of a request that AllowedInFlight permitted. Pass the returned
// token to RecordCompletion.
DispatchToken RecordDispatch(OwnershipState& state, UpstreamKey upstream, TimePoint now);
void RecordCompletion(OwnershipState& state, const DispatchToken& token);

}  // namespace geraniumspread::ownership

#endif  // OWNERSHIP_OWNERSHIP_H_
