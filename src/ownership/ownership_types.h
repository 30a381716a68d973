#ifndef OWNERSHIP_OWNERSHIP_TYPES_H_
#define OWNERSHIP_OWNERSHIP_TYPES_H_

#include <chrono>
#include <cstdint>
#include <string_view>
#include <vector>

#include "common/runtime_clock.h"

// Settings, messages and results of the upstream leases.
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
  // long between its last dispatch and a release. Must exceed the time until a
  // dispatched request appears in the upstream's load report.
  Duration dispatch_guard = std::chrono::milliseconds(300);
  // How long a lease still needs a majority of a replaced member list. Must exceed
  // the time for which routers disagree about the member list.
  Duration view_hold = std::chrono::seconds(10);
  // How long a router without a majority may use its reserve, and how long
  // others leave that reserve unused after the router's last message.
  Duration reserve_hold = std::chrono::minutes(2);
  // A load report older than this does not allow use of the reserve. Must exceed
  // the period of load reports.
  Duration reserve_report_age = std::chrono::seconds(1);
  // Maximum number of voters of a member list.
  std::uint32_t panel_size = 5;
};

// Safety rules of the protocol. Tests switch off single rules to show that a test
// fails without them; production code leaves all of them on.
struct OwnershipPolicy {
  bool exclusive_promises = true;    // a voter promises an upstream to one router at a time
  bool restart_delay = true;         // a restarted voter promises nothing for one term
  bool expiry_by_own_clock = true;   // a lease ends one term after the owner's request
  bool joint_views = true;           // a lease still needs a majority of replaced member lists
  bool leave_reserve = true;         // the holder keeps free the reserves that others may be using
  bool reserve_needs_answer = true;  // no reserve before a majority has answered
  bool fresh_report = true;  // first dispatch needs a report requested after the lease was acquired
  bool count_foreign_load = true;  // reported requests of other routers count against the limit
  bool release_by_holder_only = true;
  bool release_after_guard = true;  // a release waits for dispatch_guard after the last dispatch
};

// An upstream of the failure domain.
struct DomainUpstream {
  UpstreamKey upstream{};
  // True for model engines. Without load reports a new owner can't see requests of an
  // earlier owner that still run, and dispatches as soon as it holds the lease.
  bool reports_load = true;
};

// A voter's information about a router that may be using its reserve.
struct ReserveInfo {
  RouterKey router{};
  // The reserve is the upstream's limit divided by this; 0 if the voter knows of none.
  std::uint32_t divisor = 0;
};

// From owner to voter, every third of the lease term, for all upstreams of the owner.
struct LeaseRequest {
  std::uint64_t incarnation = 0;
  // Round number; grows by one with each round and is the same for all voters of a round.
  std::uint64_t number = 0;
  // Number of the receiver's last reply that arrived at the sender; 0 if none did.
  std::uint64_t acknowledged = 0;
  // Number of members of the domain by the sender's count.
  std::uint32_t member_count = 0;
  // Divisor of the sender's reserve until a majority answers this round; 0 if it has none.
  std::uint32_t reserve_divisor = 0;
  // True while requests that the sender dispatched on its reserve are running.
  bool reserve_in_use = false;
  // Digests of the member lists of which the sender needs a majority, the current one first.
  std::vector<std::uint64_t> views;
  std::vector<UpstreamKey> upstreams;
};

// From voter to owner.
struct LeaseReply {
  std::uint64_t incarnation = 0;  // of the owner
  std::uint64_t number = 0;       // of the request
  // Digest of the voter's own member list; `reserve_users` refers to it.
  std::uint64_t view = 0;
  std::vector<UpstreamKey> granted;
  std::vector<UpstreamKey> refused;
  // All members of `view` except `reserve_users` use no reserve for this long, counted from
  // when the request was sent.
  Duration no_reserve_for{};
  std::vector<ReserveInfo> reserve_users;
  // The voter has run for at least `reserve_hold`, so a router without a record has no
  // reserve.
  bool records_complete = false;
  // Member lists that the owner must add to the `views` of its requests before the
  // voter promises anything. Usually empty.
  std::vector<std::vector<RouterKey>> missing_views;
};

// From holder to voter. The voter drops the promises, so that the next owner need not wait
// for them to expire.
struct LeaseRelease {
  std::uint64_t incarnation = 0;
  // Number of the sender's last request; a newer promise is not released.
  std::uint64_t number = 0;
  // The sender shuts down and will use no reserve.
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

// Reason why a router may or may not dispatch to an upstream.
enum class AllowanceBasis : std::uint8_t {
  kLease,            // holds the lease
  kReserve,          // has no majority and uses its reserve
  kNoLease,          // another router owns the upstream, or the lease is not acquired yet
  kAwaitingReport,   // lease held, but no load report requested since it was acquired
  kReleasing,        // the lease is being handed over
  kUnknownUpstream,  // not an upstream of this domain
};

std::string_view ToString(AllowanceBasis basis);

struct Allowance {
  // Maximum number of this router's requests in flight at the upstream now.
  std::int32_t limit = 0;
  AllowanceBasis basis = AllowanceBasis::kNoLease;
  // Parts of the upstream's limit kept free for the reserves of other routers, and used by
  // requests that other routers dispatched.
  std::int32_t left_for_reserves = 0;
  std::int32_t foreign = 0;
};

// Returned by RecordDispatch and passed to RecordCompletion.
struct DispatchToken {
  UpstreamKey upstream{};
  std::uint32_t report_generation = 0;
  bool on_reserve = false;
};

}  // namespace geraniumspread::ownership

#endif  // OWNERSHIP_OWNERSHIP_TYPES_H_
