#ifndef ROUTER_ROUTER_STATE_H_
#define ROUTER_ROUTER_STATE_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "admission/owner_queue.h"
#include "admission/retry_budget.h"
#include "admission/workspace_limits.h"
#include "common/runtime_clock.h"
#include "config/config_store.h"
#include "engines/engine_commands.h"
#include "engines/load_reports.h"
#include "fleet/gossip.h"
#include "fleet/membership.h"
#include "fleet/peer_codec.h"
#include "outcomes/quarantine.h"
#include "outcomes/tickets.h"
#include "ownership/ownership.h"
#include "placement/placement.h"
#include "transport/transport_types.h"

// All state of one router and the systems that run over it. No sockets: the
// router feeds messages, reports and requests in, and carries out TickOutput.
namespace geraniumspread::router {

// Who this process is.
struct RouterIdentity {
  std::string id;
  std::string failure_domain;
  std::uint64_t incarnation = 0;
  std::string shared_key;
  fleet::Endpoint endpoint;
};

struct RouterStateOptions {
  Duration load_report_period = std::chrono::milliseconds(250);
  // Length of a request's stay in the router that its limits allow.
  std::uint32_t max_concurrent_requests = 20'000;
  std::uint64_t seed = 1;
};

// A request whose connection to the upstream was lost. If the upstream turns out
// to have died, the request is one of those that may have caused it.
struct LostRequest {
  outcomes::Fingerprint fingerprint;
  TimePoint lost_at;
};

// One upstream of this router's own failure domain.
struct DomainUpstreamRow {
  std::string id;
  ownership::UpstreamKey key{};
  placement::UpstreamIndex index = placement::kNoUpstream;
  UpstreamKind kind = UpstreamKind::kModelEngine;
  transport::Endpoint endpoint;
  admission::OwnerQueue queue;
  engines::LoadRecord load;
  // Sequence of the reports that this router makes up for plain services,
  // which report no load.
  std::uint64_t service_sequence = 0;
  std::vector<outcomes::Fingerprint> in_flight;
  std::vector<LostRequest> lost;
  // The state that this router last ordered, for the current incarnation.
  std::optional<engines::EngineState> ordered_state;
  // When a connection with a request in flight was last lost. Until a load report
  // that was asked for later, the upstream may have restarted.
  TimePoint connection_lost_at = TimePoint::min();
  bool on_reserve = false;           // dispatches without a lease
  std::uint32_t failed_reports = 0;  // since the last one that arrived
  bool report_pending = false;
  TimePoint next_report = TimePoint::min();
};

// A queued request that may be dispatched now, or was refused.
struct QueueResult {
  admission::RequestHandle request = 0;
  std::string upstream;
  bool granted = false;
  ownership::DispatchToken token;
  std::uint32_t cold_epoch = 0;  // of the upstream at the grant
  admission::Refusal refusal;
};

// A load report to fetch.
struct ReportRequest {
  std::string upstream;
  transport::Endpoint endpoint;
};

// What the router has to carry out after a step.
struct TickOutput {
  std::vector<fleet::OutgoingMessage> messages;
  std::vector<fleet::ServiceCall> service_calls;
  std::vector<QueueResult> queue_results;
  std::vector<ReportRequest> reports;
  std::vector<engines::EngineCommand> orders;
  // Numbers of own share requests that a peer has answered.
  std::vector<std::uint64_t> loan_answers;
  bool config_changed = false;
};

// A share request that was sent and not yet answered.
struct OpenShareRequest {
  std::string lender;
  admission::WorkspaceKey workspace = 0;
  TimePoint asked_at;
  bool abandoned = false;
};

struct ShareLoans {
  std::uint64_t last_number = 0;
  std::unordered_map<std::uint64_t, OpenShareRequest> open;  // by number
  // Workspaces whose limit was used up at all peers, so that a surge doesn't ask for each request.
  std::unordered_map<admission::WorkspaceKey, TimePoint> paused_until;
};

// Orders to the engines that this router owns.
struct EngineOrders {
  engines::CommandState table;
  std::uint64_t lease_sequence = 0;  // highest one used by this process
  TimePoint next_tick = TimePoint::min();
};

struct RouterState {
  RouterIdentity identity;
  RouterStateOptions options;
  TimePoint started_at;
  config::ConfigStore store;
  std::shared_ptr<const config::Configuration> configuration;  // nullptr before the first one
  fleet::Membership membership;
  fleet::Gossip gossip;
  fleet::ConfigExchange exchange;
  ownership::OwnershipState ownership;
  placement::PlacementState placement;
  placement::DomainIndex own_domain = placement::kNoDomain;
  admission::WorkspaceLimitTable limits;
  ShareLoans loans;
  admission::RetryBudget retries;
  outcomes::TicketTable tickets;
  outcomes::SuccessorTable successors;
  outcomes::QuarantineTable quarantine;
  std::unordered_map<std::string, DomainUpstreamRow> upstreams;
  EngineOrders engine_orders;
  std::unordered_map<std::uint64_t, std::string> router_ids;  // by ownership::RouterKey
  std::uint64_t last_handle = 0;
  std::uint64_t upstream_deaths = 0;
  bool membership_changed = true;
  bool draining = false;
  TimePoint next_sync = TimePoint::min();
};

// Held by pointer: the config exchange refers to the store inside.
std::unique_ptr<RouterState> MakeRouterState(const RouterIdentity& identity,
                                             const RouterStateOptions& options,
                                             TimePoint now);

// Runs all systems once. Call every 20 to 50 ms. `wall_time` is the system time,
// which the fencing tokens of orders come from.
TickOutput TickRouter(RouterState& state,
                      TimePoint now,
                      std::chrono::system_clock::time_point wall_time);

// --- Events ---

TickOutput HandleMessage(RouterState& state, const fleet::ReceivedMessage& message, TimePoint now);
TickOutput HandleServiceAnswer(RouterState& state,
                               const fleet::ServiceResponse& answer,
                               TimePoint now);
// Returns false when the list was refused; nothing has changed then.
bool HandleInstanceList(RouterState& state, std::string_view body, TimePoint now);
// `body` is the answer to a ReportRequest; empty when there was none.
TickOutput HandleLoadReport(RouterState& state,
                            const std::string& upstream,
                            TimePoint asked_at,
                            std::string_view body,
                            TimePoint now);

// --- Requests at the owner ---

struct DispatchRequest {
  std::string upstream;
  admission::QueuedRequest queued;
  // Otherwise a request that finds others waiting is refused, and the entry router
  // tries another upstream. One may always wait: its chat's cache is here.
  bool may_wait = true;
};

// Queues a request at an upstream of this domain. The result comes with the
// output of this or a later step.
TickOutput EnqueueDispatch(RouterState& state, const DispatchRequest& request, TimePoint now);
void CancelDispatch(RouterState& state,
                    const std::string& upstream,
                    admission::RequestHandle request);
// Call when a granted request is about to be sent: if the upstream dies now, the
// request is one of those that may have caused it.
void NoteDispatched(RouterState& state,
                    const std::string& upstream,
                    const outcomes::Fingerprint& fingerprint);
struct DispatchEnd {
  ownership::DispatchToken token;
  outcomes::Fingerprint fingerprint;
  PriorityClass priority = PriorityClass::kDraft;
  Duration run_time{0};
  bool succeeded = false;
  bool connection_lost = false;
  std::uint32_t cold_epoch = 0;
};
// Ends a granted request and hands its slot on.
TickOutput FinishDispatch(RouterState& state,
                          const std::string& upstream,
                          const DispatchEnd& end,
                          TimePoint now);

// --- Requests at the entry ---

// The router that owns the upstream, or nullptr. This router included.
const fleet::RouterMember* FindOwner(const RouterState& state,
                                     std::string_view upstream,
                                     TimePoint now);
bool IsServing(const RouterState& state, TimePoint now);
// Stops new ownership and announces the stop to peers.
void BeginDrain(RouterState& state, TimePoint now);

}  // namespace geraniumspread::router

#endif  // ROUTER_ROUTER_STATE_H_
