#ifndef OWNERSHIP_OWNERSHIP_TYPES_H_
#define OWNERSHIP_OWNERSHIP_TYPES_H_

#include <chrono>
#include <cstdint>
#include <string_view>
#include <vector>

#include "common/runtime_clock.h"

// Value types and messages of the leases by which one router owns one upstream.
namespace geraniumspread::ownership {

// Stable 64-bit hash of a router's instance id.
enum class RouterKey : std::uint64_t {};
// Stable 64-bit hash of an upstream's instance id.
enum class UpstreamKey : std::uint64_t {};

RouterKey MakeRouterKey(std::string_view instance_id);
UpstreamKey MakeUpstreamKey(std::string_view instance_id);

struct OwnershipSettings {
  // How long a promise lasts. 3 s in the deployments, 10 s at design size.
  Duration lease_term = std::chrono::seconds(3);
  // An owner stops dispatching this long before its lease expires and waits this
  // long between its last dispatch and a release. Must exceed the time that a
  // dispatched request needs to show in the upstream's load report.
  Duration dispatch_guard = std::chrono::milliseconds(300);
  // How long a replaced member list still needs its own majority. Must exceed
  // the time for which routers disagree about the member list.
  Duration view_hold = std::chrono::seconds(10);
  // How long a router without a majority may use its reserve, and how long
  // others leave that reserve unused after the router went silent.
  Duration reserve_hold = std::chrono::minutes(2);
  // A load report older than this does not allow use of the reserve. Must exceed
  // the period of load reports.
  Duration reserve_report_age = std::chrono::seconds(1);
  // Most voters of a domain.
  std::uint32_t panel_size = 5;
};

// Guards of the protocol. Tests switch single guards off to show that a test
// depends on them; production code leaves all of them on.
struct OwnershipPolicy {
  bool exclusive_promises = true;    // a voter promises an upstream to one router at a time
  bool restart_delay = true;         // a restarted voter promises nothing for one term
  bool expiry_by_own_clock = true;   // an owner's lease ends one term after it asked
  bool joint_views = true;           // replaced member lists still need their majority
  bool leave_reserve = true;         // the holder leaves the reserves of silent members unused
  bool reserve_needs_answer = true;  // no reserve for a router that was never answered
  bool fresh_report = true;  // first dispatch needs a report asked for after the lease was won
  bool count_foreign_load = true;  // reported requests beyond the own count use up the limit
  bool release_by_holder_only = true;
  bool release_after_guard = true;  // a release waits until dispatched requests have arrived
};

// An upstream of the failure domain.
struct DomainUpstream {
  UpstreamKey upstream{};
  // Model engines report their load. Without reports a new owner can't see what
  // an earlier one left running, and dispatches as soon as it holds the lease.
  bool reports_load = true;
};

// What one voter knows about a router that may be using its reserve.
struct ReserveInfo {
  RouterKey router{};
  // Divisor of that router's reserve; 0 when the voter never answered that router.
  std::uint32_t divisor = 0;
};

// Owner to voter, every third of the term. All upstreams of one owner are in one message.
struct LeaseRequest {
  std::uint64_t incarnation = 0;
  // Grows by one with each round of requests; the same for all voters of a round.
  std::uint64_t number = 0;
  // The receiver's last reply that the sender has received; 0 when there is none.
  std::uint64_t acknowledged = 0;
  // Members of the domain as the sender counts them.
  std::uint32_t member_count = 0;
  // Divisor of the sender's reserve until this round is answered; 0 when it has none.
  std::uint32_t reserve_divisor = 0;
  // Requests that were dispatched on the reserve are still running.
  bool reserve_in_use = false;
  // Digests of the member lists whose majorities the sender seeks, the current one first.
  std::vector<std::uint64_t> views;
  std::vector<UpstreamKey> upstreams;
};

// Voter to owner.
struct LeaseReply {
  std::uint64_t incarnation = 0;  // of the owner that asked
  std::uint64_t number = 0;       // of the request
  // Digest of the voter's own member list; `silent` is relative to it.
  std::uint64_t view = 0;
  std::vector<UpstreamKey> granted;
  std::vector<UpstreamKey> refused;
  // All members of `view` except those in `silent` use no reserve for this long.
  Duration no_reserve_for{};
  std::vector<ReserveInfo> reserve_users;
  // The voter has run for longer than `reserve_hold`, so a router that it does
  // not know has no reserve.
  bool records_complete = false;
  // Member lists that the request must add to its `views` before the voter
  // promises anything. Empty in the normal case.
  std::vector<std::vector<RouterKey>> missing_views;
};

// Holder to voter. The receiver drops the promises so that the next owner need not wait.
struct LeaseRelease {
  std::uint64_t incarnation = 0;
  // Number of the sender's last request; a newer promise is not released.
  std::uint64_t number = 0;
  // The sender stops for good and will use no reserve.
  bool leaving = false;
  std::vector<UpstreamKey> upstreams;
};

// Messages to send, in order. The transport adds the sender's identity.
struct OutgoingRequest {
  RouterKey to{};
  LeaseRequest message;
};
struct OutgoingRelease {
  RouterKey to{};
  LeaseRelease message;
};
struct OwnershipOutbox {
  std::vector<OutgoingRequest> requests;
  std::vector<OutgoingRelease> releases;
};

// Why a router may or may not dispatch to an upstream.
enum class AllowanceBasis : std::uint8_t {
  kLease,            // holds the lease
  kReserve,          // has no majority and uses its reserve
  kNoLease,          // another router owns the upstream, or the lease is not won yet
  kAwaitingReport,   // lease held, but no load report asked for after it was won
  kReleasing,        // the lease is being handed over
  kUnknownUpstream,  // not an upstream of this domain
};

std::string_view ToString(AllowanceBasis basis);

struct Allowance {
  // Requests that this router may have in flight at the upstream now, including those that run.
  std::int32_t limit = 0;
  AllowanceBasis basis = AllowanceBasis::kNoLease;
  // Part of the upstream's limit that is left to silent members, and to foreign load.
  std::int32_t left_for_reserves = 0;
  std::int32_t foreign = 0;
};

// Returned by NoteDispatch and handed back to NoteFinish.
struct DispatchToken {
  UpstreamKey upstream{};
  std::uint32_t report_generation = 0;
  bool on_reserve = false;
};

}  // namespace geraniumspread::ownership

#endif  // OWNERSHIP_OWNERSHIP_TYPES_H_
