#include "admission/owner_queue.h"

#include <boost/test/unit_test.hpp>
#include <map>

namespace geraniumspread::admission {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(1'000)};

QueuedRequest Request(RequestHandle handle,
                      WorkspaceKey workspace,
                      PriorityClass priority = PriorityClass::kDraft) {
  return {.request = handle, .workspace = workspace, .priority = priority};
}

std::optional<RefusalCode> CodeOf(const std::optional<Refusal>& refusal) {
  return refusal ? std::optional(refusal->code) : std::nullopt;
}

std::optional<RequestHandle> HandleOf(const DispatchDecision& decision) {
  return decision.request ? std::optional(decision.request->request) : std::nullopt;
}

// Queues one request per handle in [from, to), spread over `workspaces` from 1 on.
void Fill(OwnerQueue& queue,
          RequestHandle from,
          RequestHandle to,
          WorkspaceKey workspaces,
          PriorityClass priority = PriorityClass::kDraft) {
  for (RequestHandle handle = from; handle < to; ++handle) {
    Enqueue(queue, Request(handle, 1 + handle % workspaces, priority), kStart);
  }
}

// Counts the dispatches per workspace until `rounds` slots were free.
std::map<WorkspaceKey, int> DispatchPerWorkspace(OwnerQueue& queue, int rounds) {
  std::map<WorkspaceKey, int> counts;
  for (int round = 0; round < rounds; ++round) {
    if (const auto next = NextToDispatch(queue, kStart); next.request) {
      counts[next.request->workspace] += 1;
    }
  }
  return counts;
}

// Dispatches of workspace 2 in 20 slots, with 40 requests of workspace 1 queued before 10 of
// workspace 2.
int DispatchesBesideSurge(bool fair) {
  OwnerQueue queue = MakeOwnerQueue({.fair_between_workspaces = fair});
  for (RequestHandle handle = 0; handle < 50; ++handle) {
    Enqueue(queue, Request(handle, handle < 40 ? 1 : 2), kStart);
  }
  return DispatchPerWorkspace(queue, 20)[2];
}

// Guards against a workspace that waits for the whole backlog of another one.
BOOST_AUTO_TEST_CASE(SurgeOfOneWorkspaceDoesNotDelayAnother) {
  BOOST_TEST(DispatchesBesideSurge(true) == 10);
  BOOST_TEST(DispatchesBesideSurge(false) == 0);
}

// Guards against a workspace that accumulates a share while idle, or is charged for cancelled work.
BOOST_AUTO_TEST_CASE(IdleTimeAndCancelledWorkDoNotAffectShares) {
  OwnerQueue queue = MakeOwnerQueue({});
  Fill(queue, 0, 20, 1);
  DispatchPerWorkspace(queue, 10);
  for (RequestHandle handle = 100; handle < 130; ++handle) {
    Enqueue(queue, Request(handle, 2), kStart);
  }
  for (RequestHandle handle = 100; handle < 120; ++handle) {
    BOOST_TEST(CancelQueued(queue, handle));
  }
  BOOST_TEST(!CancelQueued(queue, 100));
  auto counts = DispatchPerWorkspace(queue, 10);
  BOOST_TEST(counts[1] == 5);
  BOOST_TEST(counts[2] == 5);
}

// Batch dispatches out of 200 while suggestions are always queued.
int BatchUnderSurge(bool guarantee) {
  OwnerQueue queue = MakeOwnerQueue({.guarantee_shares = guarantee});
  RequestHandle handle = 0;
  int batch = 0;
  for (int slot = 0; slot < 200; ++slot) {
    Enqueue(queue, Request(++handle, 1, PriorityClass::kSuggestion), kStart);
    Enqueue(queue, Request(++handle, 2, PriorityClass::kBatch), kStart);
    const auto next = NextToDispatch(queue, kStart);
    batch += next.request && next.request->priority == PriorityClass::kBatch ? 1 : 0;
  }
  return batch;
}

// Guards against starvation of batch work under constant urgent work.
BOOST_AUTO_TEST_CASE(BatchKeepsItsShare) {
  BOOST_TEST(BatchUnderSurge(true) >= 19);
  BOOST_TEST(BatchUnderSurge(true) <= 21);
  BOOST_TEST(BatchUnderSurge(false) == 0);
}

// Guards against a suggestion that waits behind less urgent work.
BOOST_AUTO_TEST_CASE(UrgentClassesAreDispatchedFirst) {
  OwnerQueue queue = MakeOwnerQueue({});
  Enqueue(queue, Request(1, 1, PriorityClass::kBatch), kStart);
  Enqueue(queue, Request(2, 1, PriorityClass::kDraft), kStart);
  Enqueue(queue, Request(3, 1, PriorityClass::kLookup), kStart);
  Enqueue(queue, Request(4, 1, PriorityClass::kSuggestion), kStart);
  for (const RequestHandle expected : {4U, 3U, 2U, 1U}) {
    BOOST_TEST((HandleOf(NextToDispatch(queue, kStart)) == expected));
  }
}

// Guards against urgent work that is refused while less urgent work fills the queue.
BOOST_AUTO_TEST_CASE(FullQueueShedsLeastUrgentNewest) {
  for (const bool shed_least_urgent : {true, false}) {
    OwnerQueue queue = MakeOwnerQueue({.max_queued = 10, .shed_least_urgent = shed_least_urgent});
    Fill(queue, 0, 9, 3);
    const auto decision = Enqueue(queue, Request(99, 5, PriorityClass::kSuggestion), kStart);
    BOOST_TEST(decision.refusal.has_value() == !shed_least_urgent);
    BOOST_TEST(decision.shed.has_value() == shed_least_urgent);
    if (decision.shed) {
      BOOST_TEST(decision.shed->request.request == 8);
      BOOST_TEST((decision.shed->refusal.ran == RunState::kNotRun));
    }
  }
}

// Guards against a few workspaces that fill the queue and keep others out of the same class.
BOOST_AUTO_TEST_CASE(FullQueueShedsFromTheLongestBacklog) {
  for (const bool fair : {true, false}) {
    OwnerQueue queue = MakeOwnerQueue({.max_queued = 10, .fair_between_workspaces = fair});
    Fill(queue, 0, 9, 1);
    const EnqueueDecision decision = Enqueue(queue, Request(99, 2), kStart);
    BOOST_TEST(decision.refusal.has_value() == !fair);
    BOOST_TEST(decision.shed.has_value() == fair);
  }
}

// Guards against a surge of urgent work that sheds all batch work.
BOOST_AUTO_TEST_CASE(BatchReserveIsNotShed) {
  for (const double reserved : {0.1, 0.0}) {
    OwnerQueue queue = MakeOwnerQueue({.max_queued = 20, .batch_reserved_fraction = reserved});
    Fill(queue, 0, 20, 1, PriorityClass::kBatch);
    Fill(queue, 100, 150, 1'000, PriorityClass::kSuggestion);
    BOOST_TEST(queue.waiting.size() == 20U);
    BOOST_TEST(queue.queued[3] == (reserved > 0 ? 2U : 0U));
  }
}

// Guards against batch work that finds no place in a queue full of urgent work.
BOOST_AUTO_TEST_CASE(BatchIsQueuedWhileUrgentWorkFillsTheRest) {
  OwnerQueue queue = MakeOwnerQueue({.max_queued = 20});
  Fill(queue, 0, 50, 1'000, PriorityClass::kSuggestion);
  BOOST_TEST(!Enqueue(queue, Request(99, 1, PriorityClass::kBatch), kStart).refusal);
}

// Guards against queueing work that can't finish before its deadline.
BOOST_AUTO_TEST_CASE(UnreachableDeadlineIsRefusedAtOnce) {
  for (const bool shed : {true, false}) {
    OwnerQueue queue = MakeOwnerQueue({.shed_by_deadline = shed});
    RecordRunTime(queue, PriorityClass::kDraft, milliseconds(100));
    Fill(queue, 0, 20, 1'000);
    QueuedRequest late = Request(99, 99);
    late.deadline = kStart + milliseconds(500);
    const EnqueueDecision decision = Enqueue(queue, late, kStart);
    BOOST_TEST(decision.refusal.has_value() == shed);
    if (decision.refusal) {
      BOOST_TEST((decision.refusal->code == RefusalCode::kDeadlineUnreachable));
      BOOST_TEST((decision.refusal->ran == RunState::kNotRun));
      BOOST_TEST((decision.refusal->retry_after >= seconds(2)));
    }
    SetSlots(queue, 10);
    BOOST_TEST(!Enqueue(queue, late, kStart).refusal);
  }
}

// Guards against a dispatch after the deadline because of a late tick or a paused process.
BOOST_AUTO_TEST_CASE(ExpiredWorkIsNeverDispatched) {
  OwnerQueue queue = MakeOwnerQueue({});
  QueuedRequest first = Request(1, 1);
  first.deadline = kStart + milliseconds(100);
  Enqueue(queue, first, kStart);
  Enqueue(queue, Request(2, 1), kStart);
  const DispatchDecision next = NextToDispatch(queue, kStart + seconds(1));
  BOOST_TEST((HandleOf(next) == 2U));
  BOOST_REQUIRE(next.shed.size() == 1U);
  BOOST_TEST((next.shed[0].refusal.code == RefusalCode::kDeadlineUnreachable));
  Enqueue(queue, first, kStart);
  BOOST_TEST(ExpireQueued(queue, kStart + seconds(1)).size() == 1U);
}

// Guards against a backlog that is so long that its requests are stale when they run.
BOOST_AUTO_TEST_CASE(QueueIsBoundedByExpectedWaitAndPerWorkspace) {
  OwnerQueue queue = MakeOwnerQueue({.max_per_workspace = 5});
  RecordRunTime(queue, PriorityClass::kSuggestion, milliseconds(500));
  for (RequestHandle handle = 0; handle < 5; ++handle) {
    const auto decision =
        Enqueue(queue, Request(handle, handle, PriorityClass::kSuggestion), kStart);
    BOOST_TEST(!decision.refusal);
  }
  const auto wait = Enqueue(queue, Request(9, 9, PriorityClass::kSuggestion), kStart);
  BOOST_TEST((CodeOf(wait.refusal) == RefusalCode::kQueueFull));
  for (RequestHandle handle = 10; handle < 16; ++handle) {
    const auto decision = Enqueue(queue, Request(handle, 1, PriorityClass::kBatch), kStart);
    BOOST_TEST(decision.refusal.has_value() == (handle == 15));
  }
}

// Guards against a stop that drops queued work, takes new work, or never ends.
BOOST_AUTO_TEST_CASE(DrainServesTheQueueAndRefusesTheRestAtItsDeadline) {
  OwnerQueue queue = MakeOwnerQueue({});
  Fill(queue, 0, 3, 1);
  BeginDrain(queue, kStart + seconds(10));
  const auto late = Enqueue(queue, Request(9, 1), kStart);
  BOOST_TEST((CodeOf(late.refusal) == RefusalCode::kDraining));
  BOOST_TEST((HandleOf(NextToDispatch(queue, kStart)) == 0U));
  BOOST_TEST(!DrainFinished(queue));
  const DispatchDecision stopped = NextToDispatch(queue, kStart + seconds(10));
  BOOST_TEST(!stopped.request);
  BOOST_TEST(stopped.shed.size() == 2U);
  BOOST_TEST((stopped.shed[0].refusal.ran == RunState::kNotRun));
  BOOST_TEST(DrainFinished(queue));
}

// Guards against requests without a response after the lease is lost.
BOOST_AUTO_TEST_CASE(RefuseAllAnswersEveryRequest) {
  OwnerQueue queue = MakeOwnerQueue({});
  for (RequestHandle handle = 0; handle < 10; ++handle) {
    Enqueue(queue, Request(handle, handle % 3, static_cast<PriorityClass>(handle % 4)), kStart);
  }
  BOOST_TEST(RefuseAll(queue, RefusalCode::kNotOwner).size() == 10U);
  BOOST_TEST(queue.flows.empty());
  BOOST_TEST(!NextToDispatch(queue, kStart).request);
}

// Guards against callers that are refused together and retry together.
BOOST_AUTO_TEST_CASE(RetryAfterIsSpread) {
  std::map<Duration, int> delays;
  for (RequestHandle handle = 0; handle < 100; ++handle) {
    const Refusal refusal = MakeRefusal(RefusalCode::kQueueFull, seconds(1), handle);
    BOOST_TEST((refusal.retry_after >= seconds(1)));
    BOOST_TEST((refusal.retry_after <= milliseconds(1'250)));
    delays[refusal.retry_after] += 1;
  }
  BOOST_TEST(delays.size() > 80U);
}

// Guards against a caller that gets a new ticket because another router refused its retry.
BOOST_AUTO_TEST_CASE(RefusalOfTicketedCallHasUnknownRunState) {
  const Refusal refusal = ForTicketedCall(MakeRefusal(RefusalCode::kRateLimited, seconds(1), 1));
  BOOST_TEST((refusal.ran == RunState::kUnknown));
  BOOST_TEST(refusal.retry);
  BOOST_TEST(refusal.status == 429);
}

}  // namespace
}  // namespace geraniumspread::admission
