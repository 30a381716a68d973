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

// Leases by which one router of a failure domain owns one upstream (design page, 3.1).
//
// Each router has one OwnershipState, which holds its voter and its owner part.
// All functions are deterministic; the caller carries out the messages in the
// outbox and feeds arriving ones to the Handle functions.
namespace geraniumspread::ownership {

// A member list of the domain with its panel of voters.
struct MemberView {
  std::uint64_t digest = 0;
  std::vector<RouterKey> members;  // sorted
  std::vector<RouterKey> voters;   // sorted
  // For replaced lists: when their majority stops being needed.
  TimePoint needed_until = TimePoint::max();
  // Reported by a voter. This router seeks its majority too, but does not ask
  // others to, or lists would circulate without end.
  bool learned = false;
};

struct SentReply {
  std::uint64_t number = 0;
  TimePoint sent;
};

// What a voter remembers about one router that sent it requests.
struct VoterRecord {
  RouterKey router{};
  std::uint64_t incarnation = 0;
  std::uint64_t last_number = 0;
  // The two latest replies to the router, to translate its acknowledgements into times.
  std::array<SentReply, 2> replies;
  // When the voter sent the latest reply that the router is known to have received.
  TimePoint acknowledged_at = TimePoint::min();
  TimePoint heard_at;
  std::uint32_t reserve_divisor = 0;
  std::uint32_t member_count = 0;
  bool reserve_in_use = false;
  bool left = false;  // stopped for good and uses no reserve
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

// The owner's side of one voter.
struct VoterLink {
  RouterKey voter{};
  // The latest request that the voter answered, and when the reply came.
  std::uint64_t answered_number = 0;
  TimePoint answered_at = TimePoint::min();
  // When the request of the latest reply was sent.
  TimePoint asked_at = TimePoint::min();
  // From the latest reply.
  std::uint64_t view = 0;
  Duration accounted_for{};
  std::vector<ReserveNote> silent;
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
  TimePoint won_at = TimePoint::min();
  // Set while the lease is handed over: when the release may be sent.
  std::optional<TimePoint> release_at;
  TimePoint last_dispatch = TimePoint::min();
  bool has_report = false;
  std::int32_t foreign = 0;
  // When the latest report was asked for.
  TimePoint report_asked_at = TimePoint::min();
  // Requests in that report that are not certain to be this router's own.
  std::int32_t of_others = 0;
  // Own requests in flight, by the number of load reports asked for since their dispatch.
  std::int32_t since_last_ask = 0;
  std::int32_t since_previous_ask = 0;
  std::int32_t older = 0;
  std::int32_t in_flight_at_ask = 0;
  std::int32_t dispatched_since_ask = 0;
  std::int32_t on_reserve = 0;
  std::uint32_t report_generation = 0;
};

// A member that may use a reserve unless it is known to have a majority.
struct ReserveClaim {
  RouterKey router{};
  std::uint32_t divisor = 0;
  // Until then the member is known to use no reserve.
  TimePoint accounted_until = TimePoint::min();
};

// One round of requests to all voters.
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
  // Replies to this and earlier rounds no longer count.
  std::uint64_t void_rounds = 0;
  // Divisor of this router's reserve; 0 while no round was answered by a majority.
  std::uint32_t reserve_divisor = 0;
  // When the latest round that a majority answered was sent.
  TimePoint majority_asked_at = TimePoint::min();
  std::vector<ReserveClaim> claims;
  bool leaving = false;
};

struct OwnershipState {
  OwnershipSettings settings;
  OwnershipPolicy policy;
  RouterKey self{};
  std::uint64_t incarnation = 0;
  TimePoint started_at;
  // The current member list first, then replaced ones that are still needed.
  std::vector<MemberView> views;
  std::vector<RouterKey> candidates;  // sorted
  VoterState voter;
  OwnerState owner;
};

OwnershipState MakeOwnershipState(const OwnershipSettings& settings,
                                  RouterKey self,
                                  std::uint64_t incarnation,
                                  TimePoint now);

// Members of the domain: routers that the platform lists or that were heard
// within `member_timeout`. `candidates` are those of them that may own upstreams:
// heard within one lease term and not draining. This router itself is always a member.
// The member list decides majorities; the candidate list only decides who asks.
void SetMembers(OwnershipState& state,
                std::span<const RouterKey> members,
                std::span<const RouterKey> candidates,
                TimePoint now);

// All upstreams of this router's failure domain.
void SetUpstreams(OwnershipState& state, std::span<const DomainUpstream> upstreams, TimePoint now);

// The router that should own the upstream: the highest in a rendezvous hash.
// `routers` must not be empty.
RouterKey CandidateOwner(std::span<const RouterKey> routers, UpstreamKey upstream);
// The upstream's candidate by this router's own candidate list, as entry
// routers need it to forward a request.
std::optional<RouterKey> CandidateOwner(const OwnershipState& state, UpstreamKey upstream);

// Starts renewal rounds, hands over leases and drops what has expired. Call at
// least every tenth of the term. A promise that this router gives to itself is
// handled here and needs no message.
void TickOwnership(OwnershipState& state, TimePoint now, OwnershipOutbox& outbox);
// Releases every lease before a planned stop; this router then never dispatches again.
void LeaveOwnership(OwnershipState& state, TimePoint now);

// Returns no reply when the request is older than one already handled.
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

// Call before a load report is requested from the upstream.
void NoteReportAsked(OwnershipState& state, UpstreamKey upstream);
// `asked_at` is when the report was requested, `running` the requests that the
// upstream reported as running or waiting.
void NoteLoadReport(OwnershipState& state,
                    UpstreamKey upstream,
                    TimePoint asked_at,
                    std::int32_t running,
                    TimePoint now);

// How many requests may this router have in flight at the upstream now, when
// all routers together may have `limit` (the cold limit, or the lower of
// capacity and load bound). Takes time in proportion to the domain's members.
Allowance AllowedInFlight(const OwnershipState& state,
                          UpstreamKey upstream,
                          std::int32_t limit,
                          TimePoint now);
// This router's own requests in flight at the upstream.
std::int32_t InFlight(const OwnershipState& state, UpstreamKey upstream);
// Whether this router holds the lease and may send orders. The growth of a cold
// limit counts successes only while this holds.
bool HoldsLease(const OwnershipState& state, UpstreamKey upstream, TimePoint now);
// When this router's lease ends by its own clock, or is given up earlier by a
// hand-over that has begun. Empty when HoldsLease is false.
std::optional<TimePoint> LeaseExpiry(const OwnershipState& state,
                                     UpstreamKey upstream,
                                     TimePoint now);

// Accounts a request that AllowedInFlight permitted. The token goes to NoteFinish.
DispatchToken NoteDispatch(OwnershipState& state, UpstreamKey upstream, TimePoint now);
void NoteFinish(OwnershipState& state, const DispatchToken& token);

}  // namespace geraniumspread::ownership

#endif  // OWNERSHIP_OWNERSHIP_H_
