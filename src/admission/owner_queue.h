#ifndef ADMISSION_OWNER_QUEUE_H_
#define ADMISSION_OWNER_QUEUE_H_

#include <array>
#include <cstdint>
#include <optional>
#include <vector>

#include "admission/admission_types.h"

namespace geraniumspread::admission {

struct QueuePolicy {
  std::uint32_t max_queued = 256;
  // Per workspace and priority class, so that a workspace's batch work leaves room for its
  // suggestions.
  std::uint32_t max_per_workspace = 64;
  // Maximum expected wait with which a request is still queued, by PriorityClass.
  std::array<Duration, kPriorityClassCount> max_expected_wait = {
      std::chrono::seconds(2), std::chrono::seconds(5), std::chrono::seconds(30),
      std::chrono::minutes(10)};
  // Minimum fraction of the dispatches that a class gets while it has work, by PriorityClass. The
  // most urgent class needs none. The sum must be below 1.
  std::array<double, kPriorityClassCount> guaranteed_share = {0.0, 0.2, 0.2, 0.1};
  // Places in the queue that are reserved for batch work, as a fraction of max_queued. Without
  // them, a surge of urgent work would shed batch work again and again.
  double batch_reserved_fraction = 0.1;
  // Weight of the latest run in the moving average of run times.
  double run_time_gain = 0.1;
  bool fair_between_workspaces = true;
  bool guarantee_shares = true;
  bool shed_by_deadline = true;
  bool shed_least_urgent = true;
};

struct QueuedRequest {
  RequestHandle request = 0;
  WorkspaceKey workspace = 0;
  PriorityClass priority = PriorityClass::kDraft;
  TimePoint deadline = TimePoint::max();
  // Cost of the request, in a unit that is the same for all requests of the queue.
  float cost = 1;
  // Weight of the workspace in fair queueing.
  float weight = 1;
};

// Backlog of one workspace in one class, for start-time fair queueing.
struct WorkspaceFlow {
  WorkspaceKey workspace = 0;
  PriorityClass priority = PriorityClass::kDraft;
  std::uint32_t queued = 0;
  // Virtual time at which the next request of this flow starts.
  double start_tag = 0;
};

// Observed run times at the upstream, per priority class.
struct RunTimeEstimate {
  Duration mean{0};
  // Tracks the shortest times until the answer: falls at once, rises slowly.
  Duration fastest{0};
  bool known = false;
};

struct OwnerQueue {
  QueuePolicy policy;
  // In order of arrival.
  std::vector<QueuedRequest> waiting;
  std::vector<WorkspaceFlow> flows;
  std::array<std::uint32_t, kPriorityClassCount> queued{};
  std::array<double, kPriorityClassCount> virtual_time{};
  // Dispatches that each class may still claim from its guaranteed share.
  std::array<double, kPriorityClassCount> credit{};
  std::array<RunTimeEstimate, kPriorityClassCount> run_time{};
  // In-flight limit of the upstream, used to estimate waits. Below 1 for an instance that has only
  // a part of a place.
  double slots = 1;
  // Set while draining: the time at which the remaining queued requests are refused.
  std::optional<TimePoint> stop_at;
};

// A queued request that left the queue without being dispatched.
struct ShedRequest {
  QueuedRequest request;
  Refusal refusal;
};

struct EnqueueDecision {
  // Set when the new request was not queued.
  std::optional<Refusal> refusal;
  // A queued request that was evicted to make room for the new one.
  std::optional<ShedRequest> shed;
};

struct DispatchDecision {
  std::optional<QueuedRequest> request;
  // Requests that can no longer meet their deadline, or all queued ones once a drain has reached
  // its deadline.
  std::vector<ShedRequest> shed;
};

OwnerQueue MakeOwnerQueue(const QueuePolicy& policy);

// Sets the in-flight limit of the upstream. Call when it changes.
void SetSlots(OwnerQueue& queue, double slots);
// Records how long a dispatched request ran.
void RecordRunTime(OwnerQueue& queue, PriorityClass priority, Duration run_time);
// The same for a request whose deadline applies to the begin of its answer, as with streams.
void RecordRunTime(OwnerQueue& queue,
                   PriorityClass priority,
                   Duration run_time,
                   Duration answer_time);

// Queues the request or refuses it at once.
EnqueueDecision Enqueue(OwnerQueue& queue, const QueuedRequest& request, TimePoint now);
// Removes and returns the request to dispatch to a free slot. Call once per free slot.
DispatchDecision NextToDispatch(OwnerQueue& queue, TimePoint now);
// Removes and returns the requests whose deadline can no longer be met, or all requests once a
// drain has reached its deadline.
std::vector<ShedRequest> ExpireQueued(OwnerQueue& queue, TimePoint now);
// Removes a request whose caller disconnected. Returns false if it isn't queued.
bool CancelQueued(OwnerQueue& queue, RequestHandle request);
// Starts a graceful stop: new requests are refused; queued ones are still dispatched until
// `stop_at`, when ExpireQueued refuses the remaining ones as not run.
void BeginDrain(OwnerQueue& queue, TimePoint stop_at);
// True if the queue is draining and empty.
bool DrainFinished(const OwnerQueue& queue);
// Refuses all queued requests at once: lease lost, failure domain out of service or upstream
// leaving.
std::vector<ShedRequest> RefuseAll(OwnerQueue& queue, RefusalCode code);

// Estimates the time between two dispatches; zero until a run time is known.
Duration TimePerDispatch(const OwnerQueue& queue);
// Estimates how long a request of this workspace and class would wait if it were queued now.
Duration ExpectedWait(const OwnerQueue& queue, WorkspaceKey workspace, PriorityClass priority);

}  // namespace geraniumspread::admission

#endif  // ADMISSION_OWNER_QUEUE_H_
