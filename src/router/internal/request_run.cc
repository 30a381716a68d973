#include "router/internal/request_run.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "common/hash.h"
#include "observability/log.h"
#include "router/internal/error_answers.h"
#include "router/internal/placement_hints.h"
#include "router/internal/stream_relay.h"

namespace geraniumspread::router::detail {
namespace {

constexpr auto kAwaitTuple = boost::asio::as_tuple(boost::asio::use_awaitable);
// Owners that refuse are passed over this often before the caller hears of it.
constexpr std::uint32_t kMaxPlacements = 8;
// After this many refusals a request waits in the queue of the next upstream.
constexpr std::uint32_t kPlacementsBeforeWait = 2;
// Leases move within this time after a router has gone; requests wait for it.
constexpr Duration kPlacementPause = std::chrono::milliseconds(100);
constexpr Duration kDefaultRetryAfter = std::chrono::milliseconds(500);

placement::PlacementRequest ToPlacement(const RouterContext& context,
                                        const CallerRequest& request) {
  const placement::PlacementState& state = context.state->placement;
  return {.pool = placement::FindPool(state, request.pool),
          .chat = placement::MakeChatKey(request.workspace, request.chat),
          .has_history = request.has_history,
          .entry_domain = context.state->own_domain,
          .priority = request.priority};
}

// When every upstream is at its limit, the request waits in the queue of the
// one that ranks first, so that it finds its cache there.
std::optional<placement::PlacementChoice> ChooseQueue(const RouterContext& context,
                                                      const placement::PlacementRequest& request,
                                                      TimePoint now) {
  using placement::Verdict;
  for (const auto& candidate : placement::ExplainChoice(context.state->placement, request, now)) {
    const bool is_usable = candidate.verdict != Verdict::kDomainOutOfService &&
                           candidate.verdict != Verdict::kDomainReturning &&
                           candidate.verdict != Verdict::kLeaving;
    if (is_usable) {
      return placement::PlacementChoice{.upstream = candidate.upstream,
                                        .first_choice = candidate.upstream,
                                        .home = context.state->own_domain};
    }
  }
  return std::nullopt;
}

// Sets `must_wait` when the request has to queue.
std::optional<placement::PlacementChoice> Place(const RouterContext& context,
                                                const placement::PlacementRequest& request,
                                                TimePoint now,
                                                bool& must_wait) {
  const auto choice = placement::ChooseUpstream(context.state->placement, request, now);
  if (choice) {
    return choice.value();
  }
  if (choice.error().code != placement::PlacementErrorCode::kAllAtLimit) {
    return std::nullopt;
  }
  must_wait = true;
  return ChooseQueue(context, request, now);
}

boost::asio::awaitable<void> Pause(RouterContext& context, RequestRun& run, Duration time) {
  Timer timer(context.executor);
  timer.expires_after(time);
  run.cancellation.action = [&timer] { timer.cancel(); };
  if (!run.cancellation.cancelled) {
    co_await timer.async_wait(kAwaitTuple);
  }
  run.cancellation.action = nullptr;
}

// Counts a request at an upstream for its lifetime.
class PlacedRequest {
 public:
  PlacedRequest(RouterContext& router_context,
                const placement::PlacementRequest& request,
                const placement::PlacementChoice& choice)
      : context(router_context), upstream(choice.upstream) {
    placement::RecordPlacement(this->context.state->placement, request, choice,
                               RuntimeClock::now());
  }
  PlacedRequest(const PlacedRequest&) = delete;
  PlacedRequest& operator=(const PlacedRequest&) = delete;
  ~PlacedRequest() { placement::RecordCompletion(this->context.state->placement, this->upstream); }

 private:
  RouterContext& context;
  placement::UpstreamIndex upstream;
};

void Refuse(RequestRun& run, admission::RefusalCode code) {
  run.last_refusal =
      admission::MakeRefusal(code, kDefaultRetryAfter, StableHash(run.request.request_id));
}

// Marks the ticket just before bytes may leave. False: nothing may be sent.
bool MarkDispatched(RouterContext& context, RequestRun& run) {
  // The exchange of the attempt itself follows the phases that the transport reports.
  outcomes::Exchange exchange;
  outcomes::Apply(exchange, outcomes::ExchangeEvent::kConnectStarted);
  outcomes::Apply(exchange, outcomes::ExchangeEvent::kConnected);
  return outcomes::BeginDispatch(run.attempts, exchange, context.state->tickets,
                                 RuntimeClock::now());
}

boost::asio::awaitable<void> Open(RouterContext& context,
                                  RequestRun& run,
                                  const AttemptPlan& plan,
                                  Attempt& attempt) {
  const fleet::RouterMember* owner = FindOwner(*context.state, plan.upstream, RuntimeClock::now());
  if (owner == nullptr) {
    attempt.refusal =
        admission::MakeRefusal(admission::RefusalCode::kNotOwner, kDefaultRetryAfter, 0);
    co_return;
  }
  if (!MarkDispatched(context, run)) {
    outcomes::Apply(attempt.exchange, outcomes::ExchangeEvent::kClosed);
    co_return;
  }
  if (owner->id == context.state->identity.id) {
    co_await OpenAtUpstream(context, run.request, plan, run.cancellation, attempt);
  } else {
    const fleet::RouterMember receiver = *owner;
    co_await OpenAtOwner(context, run.request, plan, receiver, run.cancellation, attempt);
  }
}

// Reads the answer of an opened attempt. Returns the tokens that the caller has.
boost::asio::awaitable<void> Read(RouterContext& context, RequestRun& run, Attempt& attempt) {
  const bool is_stream = run.stream != nullptr && attempt.head.status == 200;
  if (is_stream) {
    co_await RelayStream(context, run, attempt);
  } else {
    co_await ReadAnswer(context, attempt);
  }
}

AttemptPlan MakePlan(const RequestRun& run, std::string upstream, bool must_wait) {
  AttemptPlan plan;
  plan.upstream = std::move(upstream);
  plan.resume_offset = run.progress.next_offset;
  plan.is_final = must_wait || run.hint_followed;
  const bool is_fresh =
      run.fresh_connection || run.request.request_class == outcomes::RequestClass::kNonRepeatable;
  plan.policy =
      is_fresh ? transport::ConnectionPolicy::kFresh : transport::ConnectionPolicy::kReuse;
  return plan;
}

void Deliver(RequestRun& run, Attempt& attempt) {
  run.answered_by_upstream = attempt.exchange.ran == RunState::kRan;
  if (run.stream != nullptr && run.progress.final_marker) {
    return;
  }
  run.answer = std::move(attempt.head);
}

// True when the request shall be tried again.
boost::asio::awaitable<bool> PrepareRetry(RouterContext& context,
                                          RequestRun& run,
                                          const Attempt& attempt) {
  const admission::RetryInput question{
      .request = StableHash(run.request.request_id),
      .attempts = run.attempts.attempts,
      .idempotent = run.request.request_class != outcomes::RequestClass::kNonRepeatable,
      .ran = attempt.exchange.ran,
      .deadline = run.request.deadline,
      .seed = context.state->identity.incarnation};
  const auto decision =
      admission::DecideRetry(context.state->retries, question, RuntimeClock::now());
  context.metrics.Count(
      "geranium_retries_total",
      {{"granted", decision.verdict == admission::RetryVerdict::kRetry ? "true" : "false"}});
  if (decision.verdict != admission::RetryVerdict::kRetry) {
    co_return false;
  }
  run.fresh_connection = true;
  co_await Pause(context, run, decision.delay);
  outcomes::BeginStreamAttempt(run.progress);
  co_return true;
}

void Fail(RouterContext& context, RequestRun& run, const Attempt& attempt) {
  const outcomes::OutcomeError error = outcomes::FailRequest(
      run.attempts, attempt.exchange, context.state->tickets, kDefaultRetryAfter);
  run.answer = ToResponse(error, run.request.request_id);
}

// True when another attempt follows.
boost::asio::awaitable<bool> EndAttempt(RouterContext& context, RequestRun& run, Attempt& attempt) {
  using outcomes::NextStep;
  const NextStep next =
      outcomes::EndAttempt(run.attempts, attempt.exchange, run.progress.next_offset);
  if (next == NextStep::kDeliver) {
    Deliver(run, attempt);
    co_return false;
  }
  const bool may_retry = next != NextStep::kFail && !run.cancellation.cancelled;
  if (may_retry && co_await PrepareRetry(context, run, attempt)) {
    co_return true;
  }
  Fail(context, run, attempt);
  co_return false;
}

// Takes over where the chat's cache is, once per request.
bool FollowHint(RouterContext& context,
                RequestRun& run,
                const placement::PlacementRequest& where,
                const Attempt& attempt) {
  if (!attempt.refusal || attempt.placed_elsewhere.empty() || run.hint_followed) {
    return false;
  }
  run.hint_followed = true;
  placement::PlacementState& state = context.state->placement;
  if (const auto upstream = placement::FindUpstream(state, attempt.placed_elsewhere);
      upstream != placement::kNoUpstream) {
    placement::RecordException(state, where.chat, upstream, RuntimeClock::now());
  }
  context.metrics.Count("geranium_placement_hints_followed_total");
  return true;
}

// One placement and one attempt. True when another one follows.
boost::asio::awaitable<bool> TryOnce(RouterContext& context, RequestRun& run) {
  const TimePoint now = RuntimeClock::now();
  const placement::PlacementRequest where = ToPlacement(context, run.request);
  bool must_wait = run.placements >= kPlacementsBeforeWait;
  const auto choice = Place(context, where, now, must_wait);
  if (!choice) {
    Refuse(run, admission::RefusalCode::kNoUpstream);
    co_return true;
  }
  Attempt attempt;
  attempt.upstream = placement::UpstreamName(context.state->placement, choice->upstream);
  const PlacedRequest placed(context, where, *choice);
  AnnouncePlacement(context, run.request, *choice);
  co_await Open(context, run, MakePlan(run, attempt.upstream, must_wait), attempt);
  if (FollowHint(context, run, where, attempt)) {
    co_return true;
  }
  if (attempt.refusal) {
    run.last_refusal = attempt.refusal;
    placement::RecordRefusal(context.state->placement, choice->upstream, RuntimeClock::now());
    co_return true;
  }
  run.last_refusal.reset();
  if (!outcomes::Ended(attempt.exchange)) {
    co_await Read(context, run, attempt);
  }
  run.cancellation.action = nullptr;
  if (attempt.exchange.phase == outcomes::ExchangePhase::kFailed) {
    placement::RecordRefusal(context.state->placement, choice->upstream, RuntimeClock::now());
  }
  co_return co_await EndAttempt(context, run, attempt);
}

bool MayPlaceAgain(const RequestRun& run) {
  return run.placements < kMaxPlacements && !run.cancellation.cancelled &&
         RuntimeClock::now() + kPlacementPause < run.request.deadline;
}

}  // namespace

boost::asio::awaitable<void> RunAttempts(RouterContext& context, RequestRun& run) {
  admission::RecordFirstAttempt(context.state->retries);
  while (co_await TryOnce(context, run)) {
    if (!run.last_refusal) {
      continue;
    }
    ++run.placements;
    if (!MayPlaceAgain(run)) {
      break;
    }
    // Another upstream may have a free slot at once; everything else takes time.
    if (run.last_refusal->code != admission::RefusalCode::kUpstreamAtLimit) {
      co_await Pause(context, run, kPlacementPause);
    }
  }
  if (run.answer || !run.last_refusal) {
    co_return;
  }
  // Refused everywhere before dispatch. Earlier attempts may have run.
  const outcomes::Exchange never_sent;
  const outcomes::OutcomeError error =
      outcomes::FailRequest(run.attempts, never_sent, context.state->tickets, kDefaultRetryAfter);
  run.answer = run.attempts.ran == RunState::kNotRun
                   ? ToResponse(*run.last_refusal, run.request.request_id)
                   : ToResponse(error, run.request.request_id);
}

}  // namespace geraniumspread::router::detail
