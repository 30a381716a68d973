#include "admission/owner_queue.h"

#include <algorithm>
#include <cmath>

namespace geraniumspread::admission {
namespace {

constexpr double kOneDispatch = 1.0;
// Maximum credit of a class, in dispatches.
constexpr double kMaxCredit = 2.0;
// Retry-After of refusals until a run time is known.
constexpr Duration kDefaultRunTime = std::chrono::milliseconds(200);

constexpr std::size_t kBatchIndex = static_cast<std::size_t>(PriorityClass::kBatch);

std::size_t IndexOf(PriorityClass priority) {
  return static_cast<std::size_t>(priority);
}

Duration Scale(Duration time, double factor) {
  return Duration(static_cast<Duration::rep>(static_cast<double>(time.count()) * factor));
}

// Mean run time over the classes with a known one, weighted by queue length + 1.
Duration MeanRunTime(const OwnerQueue& queue) {
  Duration sum{0};
  Duration::rep weight = 0;
  for (std::size_t index = 0; index < queue.queued.size(); ++index) {
    if (queue.run_time.at(index).known) {
      const Duration::rep count = queue.queued.at(index) + 1;
      sum += queue.run_time.at(index).mean * count;
      weight += count;
    }
  }
  return weight > 0 ? sum / weight : Duration{0};
}

// Estimates the time in which the upstream takes `requests` from the queue.
Duration TimeToServe(const OwnerQueue& queue, double requests) {
  return Scale(MeanRunTime(queue), requests / (queue.slots > 0 ? queue.slots : 1));
}

// Retry-After of a request that finds the queue full: the time until half of the queue is served.
Duration UntilHalfServed(const OwnerQueue& queue) {
  const Duration time = TimeToServe(queue, static_cast<double>(queue.waiting.size()) / 2);
  return time > Duration{0} ? time : kDefaultRunTime;
}

WorkspaceFlow* FindFlow(OwnerQueue& queue, WorkspaceKey workspace, PriorityClass priority) {
  const auto found = std::ranges::find_if(queue.flows, [&](const WorkspaceFlow& flow) {
    return flow.workspace == workspace && flow.priority == priority;
  });
  return found != queue.flows.end() ? &*found : nullptr;
}

std::uint32_t QueuedOf(const OwnerQueue& queue, WorkspaceKey workspace, PriorityClass priority) {
  for (const WorkspaceFlow& flow : queue.flows) {
    if (flow.workspace == workspace && flow.priority == priority) {
      return flow.queued;
    }
  }
  return 0;
}

bool DeadlineReachable(const OwnerQueue& queue,
                       const QueuedRequest& request,
                       Duration wait,
                       TimePoint now) {
  if (!queue.policy.shed_by_deadline || request.deadline == TimePoint::max()) {
    return true;
  }
  return now + wait + queue.run_time.at(IndexOf(request.priority)).fastest < request.deadline;
}

// Resets the fair-queueing state of a class that has become empty.
void ForgetEmptyClass(OwnerQueue& queue, PriorityClass priority) {
  const std::size_t index = IndexOf(priority);
  if (queue.queued.at(index) > 0) {
    return;
  }
  queue.credit.at(index) = 0;
  queue.virtual_time.at(index) = 0;
  std::erase_if(queue.flows, [&](const WorkspaceFlow& flow) { return flow.priority == priority; });
}

QueuedRequest RemoveAt(OwnerQueue& queue, std::size_t position) {
  const QueuedRequest request = queue.waiting[position];
  queue.waiting.erase(queue.waiting.begin() + static_cast<std::ptrdiff_t>(position));
  queue.queued.at(IndexOf(request.priority)) -= 1;
  if (WorkspaceFlow* flow = FindFlow(queue, request.workspace, request.priority)) {
    flow->queued -= 1;
  }
  ForgetEmptyClass(queue, request.priority);
  return request;
}

void Append(OwnerQueue& queue, const QueuedRequest& request) {
  const std::size_t index = IndexOf(request.priority);
  const double virtual_time = queue.virtual_time.at(index);
  WorkspaceFlow* flow = FindFlow(queue, request.workspace, request.priority);
  if (flow == nullptr) {
    queue.flows.push_back(
        {.workspace = request.workspace, .priority = request.priority, .start_tag = virtual_time});
    flow = &queue.flows.back();
  }
  if (flow->queued == 0) {
    flow->start_tag = std::max(flow->start_tag, virtual_time);
  }
  flow->queued += 1;
  queue.queued.at(index) += 1;
  queue.waiting.push_back(request);
}

std::uint32_t BatchReserve(const OwnerQueue& queue) {
  return static_cast<std::uint32_t>(
      std::ceil(queue.policy.batch_reserved_fraction * queue.policy.max_queued));
}

// True if the other classes fill all places that are not reserved for batch work. They never take
// the reserved places, so batch work finds room there.
bool OthersFull(const OwnerQueue& queue) {
  const std::size_t others = queue.waiting.size() - queue.queued.at(kBatchIndex);
  return others + BatchReserve(queue) >= queue.policy.max_queued;
}

bool HasRoom(const OwnerQueue& queue, PriorityClass priority) {
  if (queue.waiting.size() >= queue.policy.max_queued) {
    return false;
  }
  return priority == PriorityClass::kBatch || !OthersFull(queue);
}

std::optional<std::size_t> NewestOf(const OwnerQueue& queue, PriorityClass priority) {
  for (std::size_t position = queue.waiting.size(); position > 0; --position) {
    if (queue.waiting[position - 1].priority == priority) {
      return position - 1;
    }
  }
  return std::nullopt;
}

// Returns the newest request of the workspace with the most queued requests in the class, if it has
// at least two more than the workspace of `request`.
std::optional<std::size_t> NewestOfLongestFlow(const OwnerQueue& queue,
                                               const QueuedRequest& request) {
  const WorkspaceFlow* longest = nullptr;
  for (const WorkspaceFlow& flow : queue.flows) {
    if (flow.priority == request.priority &&
        (longest == nullptr || flow.queued > longest->queued)) {
      longest = &flow;
    }
  }
  const std::uint32_t own = QueuedOf(queue, request.workspace, request.priority);
  if (!queue.policy.fair_between_workspaces || longest == nullptr || longest->queued < own + 2) {
    return std::nullopt;
  }
  for (std::size_t position = queue.waiting.size(); position > 0; --position) {
    if (const QueuedRequest& candidate = queue.waiting[position - 1];
        candidate.priority == request.priority && candidate.workspace == longest->workspace) {
      return position - 1;
    }
  }
  return std::nullopt;
}

// Returns the queued request to evict from a full queue in favour of `request`.
std::optional<std::size_t> FindVictim(const OwnerQueue& queue, const QueuedRequest& request) {
  if (!queue.policy.shed_least_urgent) {
    return std::nullopt;
  }
  for (std::size_t index = kBatchIndex; index > IndexOf(request.priority); --index) {
    if (index == kBatchIndex && OthersFull(queue)) {
      continue;
    }
    if (const auto position = NewestOf(queue, static_cast<PriorityClass>(index))) {
      return position;
    }
  }
  return NewestOfLongestFlow(queue, request);
}

ShedRequest Shed(OwnerQueue& queue, std::size_t position, RefusalCode code, Duration retry_after) {
  const QueuedRequest request = RemoveAt(queue, position);
  return {.request = request, .refusal = MakeRefusal(code, retry_after, request.request)};
}

std::optional<Refusal> RefuseBeforeQueueing(const OwnerQueue& queue,
                                            const QueuedRequest& request,
                                            TimePoint now) {
  if (queue.stop_at) {
    return MakeRefusal(RefusalCode::kDraining, kMinRetryAfter, request.request);
  }
  const Duration wait = ExpectedWait(queue, request.workspace, request.priority);
  if (!DeadlineReachable(queue, request, wait, now)) {
    return MakeRefusal(RefusalCode::kDeadlineUnreachable, wait, request.request);
  }
  if (const std::uint32_t own = QueuedOf(queue, request.workspace, request.priority);
      own >= queue.policy.max_per_workspace) {
    const Duration retry_after = std::max(kDefaultRunTime, TimeToServe(queue, own / 2.0));
    return MakeRefusal(RefusalCode::kWorkspaceQueueFull, retry_after, request.request);
  }
  if (const Duration longest = queue.policy.max_expected_wait.at(IndexOf(request.priority));
      wait > longest) {
    return MakeRefusal(RefusalCode::kQueueFull, wait - longest, request.request);
  }
  return std::nullopt;
}

// Picks the class with the most credit if it can claim a dispatch from its guaranteed share,
// otherwise the most urgent class with queued requests.
std::optional<PriorityClass> PickClass(const OwnerQueue& queue) {
  std::optional<PriorityClass> picked;
  double most_credit = kOneDispatch;
  for (std::size_t index = 0; index < queue.queued.size(); ++index) {
    if (queue.queued.at(index) == 0) {
      continue;
    }
    const bool owed = queue.policy.guarantee_shares && queue.credit.at(index) >= most_credit;
    if (!picked || owed) {
      picked = static_cast<PriorityClass>(index);
      most_credit = std::max(most_credit, queue.credit.at(index));
    }
  }
  return picked;
}

std::size_t OldestOf(const OwnerQueue& queue, PriorityClass priority) {
  const auto found = std::ranges::find(queue.waiting, priority, &QueuedRequest::priority);
  return static_cast<std::size_t>(found - queue.waiting.begin());
}

// Picks the oldest request of the workspace with the smallest start tag. Ties go by arrival.
std::size_t PickRequest(OwnerQueue& queue, PriorityClass priority) {
  std::size_t picked = OldestOf(queue, priority);
  if (!queue.policy.fair_between_workspaces) {
    return picked;
  }
  const WorkspaceFlow* first = FindFlow(queue, queue.waiting[picked].workspace, priority);
  const WorkspaceFlow* least = first;
  for (const WorkspaceFlow& flow : queue.flows) {
    if (flow.priority == priority && flow.queued > 0 && flow.start_tag < least->start_tag) {
      least = &flow;
    }
  }
  while (queue.waiting[picked].priority != priority ||
         queue.waiting[picked].workspace != least->workspace) {
    ++picked;
  }
  return picked;
}

// Charges the workspace for the dispatch and advances the virtual time of the class.
void ChargeFlow(OwnerQueue& queue, const QueuedRequest& request) {
  WorkspaceFlow* flow = FindFlow(queue, request.workspace, request.priority);
  if (flow == nullptr) {
    return;
  }
  double& virtual_time = queue.virtual_time.at(IndexOf(request.priority));
  virtual_time = std::max(virtual_time, flow->start_tag);
  flow->start_tag += static_cast<double>(request.cost) / std::max(1e-3F, request.weight);
  std::erase_if(queue.flows, [&](const WorkspaceFlow& idle) {
    return idle.priority == request.priority && idle.queued == 0 && idle.start_tag <= virtual_time;
  });
}

void ChargeClass(OwnerQueue& queue, PriorityClass priority) {
  for (std::size_t index = 0; index < queue.credit.size(); ++index) {
    if (queue.queued.at(index) > 0) {
      queue.credit.at(index) =
          std::min(kMaxCredit, queue.credit.at(index) + queue.policy.guaranteed_share.at(index));
    }
  }
  double& credit = queue.credit.at(IndexOf(priority));
  credit = std::max(0.0, credit - kOneDispatch);
}

// Estimates the number of requests that are served earlier: those of more urgent classes, and those
// that fair queueing serves first in the same class.
double RequestsAhead(const OwnerQueue& queue, WorkspaceKey workspace, PriorityClass priority) {
  const std::uint32_t own = QueuedOf(queue, workspace, priority);
  double same_class = 0;
  for (const WorkspaceFlow& flow : queue.flows) {
    if (flow.priority == priority) {
      const bool fair = queue.policy.fair_between_workspaces;
      same_class += fair ? std::min(flow.queued, own + 1) : flow.queued;
    }
  }
  double more_urgent = 0;
  double other_shares = 0;
  for (std::size_t index = 0; index < queue.queued.size(); ++index) {
    more_urgent += index < IndexOf(priority) ? queue.queued.at(index) : 0;
    if (index > IndexOf(priority) && queue.queued.at(index) > 0) {
      other_shares += queue.policy.guaranteed_share.at(index);
    }
  }
  const double ahead = (same_class + more_urgent) / (1.0 - other_shares);
  const double share = queue.policy.guaranteed_share.at(IndexOf(priority));
  if (!queue.policy.guarantee_shares || share <= 0) {
    return ahead;
  }
  return std::min(ahead, (same_class + 1) / share);
}

}  // namespace

OwnerQueue MakeOwnerQueue(const QueuePolicy& policy) {
  OwnerQueue queue;
  queue.policy = policy;
  queue.waiting.reserve(policy.max_queued);
  return queue;
}

void SetSlots(OwnerQueue& queue, double slots) {
  queue.slots = slots;
}

void RecordRunTime(OwnerQueue& queue, PriorityClass priority, Duration run_time) {
  RecordRunTime(queue, priority, run_time, run_time);
}

void RecordRunTime(OwnerQueue& queue,
                   PriorityClass priority,
                   Duration run_time,
                   Duration answer_time) {
  // The estimate of the fastest run rises by 1/16 of the difference.
  static constexpr int kFastestRise = 16;
  RunTimeEstimate& estimate = queue.run_time.at(IndexOf(priority));
  if (!estimate.known) {
    estimate = {.mean = run_time, .fastest = answer_time, .known = true};
    return;
  }
  estimate.mean += Scale(run_time - estimate.mean, queue.policy.run_time_gain);
  estimate.fastest =
      std::min(answer_time, estimate.fastest + (answer_time - estimate.fastest) / kFastestRise);
}

EnqueueDecision Enqueue(OwnerQueue& queue, const QueuedRequest& request, TimePoint now) {
  EnqueueDecision decision;
  decision.refusal = RefuseBeforeQueueing(queue, request, now);
  if (decision.refusal) {
    return decision;
  }
  if (!HasRoom(queue, request.priority)) {
    const Duration retry_after = UntilHalfServed(queue);
    const auto victim = FindVictim(queue, request);
    if (!victim) {
      decision.refusal = MakeRefusal(RefusalCode::kQueueFull, retry_after, request.request);
      return decision;
    }
    decision.shed = Shed(queue, *victim, RefusalCode::kShed, retry_after);
  }
  Append(queue, request);
  return decision;
}

DispatchDecision NextToDispatch(OwnerQueue& queue, TimePoint now) {
  DispatchDecision decision;
  if (queue.stop_at && now >= *queue.stop_at) {
    decision.shed = ExpireQueued(queue, now);
    return decision;
  }
  while (const std::optional<PriorityClass> priority = PickClass(queue)) {
    const std::size_t position = PickRequest(queue, *priority);
    if (!DeadlineReachable(queue, queue.waiting[position], Duration{0}, now)) {
      decision.shed.push_back(
          Shed(queue, position, RefusalCode::kDeadlineUnreachable, UntilHalfServed(queue)));
      continue;
    }
    ChargeFlow(queue, queue.waiting[position]);
    ChargeClass(queue, *priority);
    decision.request = RemoveAt(queue, position);
    break;
  }
  return decision;
}

std::vector<ShedRequest> ExpireQueued(OwnerQueue& queue, TimePoint now) {
  if (queue.stop_at && now >= *queue.stop_at) {
    return RefuseAll(queue, RefusalCode::kDraining);
  }
  std::vector<ShedRequest> shed;
  for (std::size_t position = queue.waiting.size(); position > 0; --position) {
    if (!DeadlineReachable(queue, queue.waiting[position - 1], Duration{0}, now)) {
      shed.push_back(
          Shed(queue, position - 1, RefusalCode::kDeadlineUnreachable, UntilHalfServed(queue)));
    }
  }
  return shed;
}

bool CancelQueued(OwnerQueue& queue, RequestHandle request) {
  const auto found = std::ranges::find(queue.waiting, request, &QueuedRequest::request);
  if (found == queue.waiting.end()) {
    return false;
  }
  RemoveAt(queue, static_cast<std::size_t>(found - queue.waiting.begin()));
  return true;
}

void BeginDrain(OwnerQueue& queue, TimePoint stop_at) {
  queue.stop_at = queue.stop_at ? std::min(*queue.stop_at, stop_at) : stop_at;
}

bool DrainFinished(const OwnerQueue& queue) {
  return queue.stop_at && queue.waiting.empty();
}

std::vector<ShedRequest> RefuseAll(OwnerQueue& queue, RefusalCode code) {
  std::vector<ShedRequest> shed;
  shed.reserve(queue.waiting.size());
  while (!queue.waiting.empty()) {
    shed.push_back(Shed(queue, queue.waiting.size() - 1, code, kMinRetryAfter));
  }
  return shed;
}

Duration TimePerDispatch(const OwnerQueue& queue) {
  return TimeToServe(queue, 1);
}

Duration ExpectedWait(const OwnerQueue& queue, WorkspaceKey workspace, PriorityClass priority) {
  return TimeToServe(queue, RequestsAhead(queue, workspace, priority));
}

}  // namespace geraniumspread::admission
