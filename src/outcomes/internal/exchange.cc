#include "outcomes/exchange.h"

namespace geraniumspread::outcomes {
namespace {

// The phase that a step of a healthy exchange leads to; unset when `event` is none or is out of
// order.
std::optional<ExchangePhase> NextPhase(ExchangePhase phase, ExchangeEvent event) {
  using enum ExchangePhase;
  switch (event) {
    case ExchangeEvent::kConnectStarted:
      return phase == kNew ? std::optional(kConnecting) : std::nullopt;
    case ExchangeEvent::kConnected:
      return phase == kNew || phase == kConnecting ? std::optional(kConnected) : std::nullopt;
    case ExchangeEvent::kWriteStarted:
      return phase == kConnected ? std::optional(kWriting) : std::nullopt;
    case ExchangeEvent::kRequestSent:
      // An upstream may answer before it has read the whole request.
      if (phase == kResponding) {
        return kResponding;
      }
      return phase == kWriting ? std::optional(kSent) : std::nullopt;
    case ExchangeEvent::kResponseStarted:
      return phase == kWriting || phase == kSent ? std::optional(kResponding) : std::nullopt;
    case ExchangeEvent::kBodyComplete:
    case ExchangeEvent::kRefusedNotRun:
    case ExchangeEvent::kOutcomeNotKnown:
      return phase == kResponding ? std::optional(kComplete) : std::nullopt;
    default:
      return std::nullopt;
  }
}

RunState RunStateOfAnswer(ExchangeEvent event) {
  switch (event) {
    case ExchangeEvent::kBodyComplete:
      return RunState::kRan;
    case ExchangeEvent::kRefusedNotRun:
      return RunState::kNotRun;
    default:
      return RunState::kUnknown;
  }
}

ExchangeFailure FailureOf(ExchangeEvent event) {
  switch (event) {
    case ExchangeEvent::kClosed:
      return ExchangeFailure::kClosed;
    case ExchangeEvent::kTimedOut:
      return ExchangeFailure::kTimedOut;
    default:
      // Also an event out of order, such as bytes of an answer before the request was sent.
      return ExchangeFailure::kDamaged;
  }
}

bool IsFailure(ExchangeEvent event) {
  return event == ExchangeEvent::kClosed || event == ExchangeEvent::kTimedOut ||
         event == ExchangeEvent::kDamaged;
}

void Fail(Exchange& exchange, ExchangeEvent event, const ExchangePolicy& policy) {
  const ExchangePhase proof =
      policy.track_writes ? ExchangePhase::kWriting : ExchangePhase::kResponding;
  exchange.reached = exchange.phase;
  exchange.phase = ExchangePhase::kFailed;
  exchange.failure = FailureOf(event);
  exchange.ran = exchange.reached < proof ? RunState::kNotRun : RunState::kUnknown;
}

OutcomeCode CodeOf(const Exchange& exchange) {
  if (exchange.failure == ExchangeFailure::kTimedOut) {
    return OutcomeCode::kUpstreamTimeout;
  }
  if (exchange.failure == ExchangeFailure::kDamaged) {
    return OutcomeCode::kAnswerDamaged;
  }
  return exchange.ran == RunState::kNotRun ? OutcomeCode::kUpstreamUnreachable
                                           : OutcomeCode::kUpstreamFailed;
}

}  // namespace

bool Apply(Exchange& exchange, ExchangeEvent event, const ExchangePolicy& policy) {
  if (Ended(exchange)) {
    return false;
  }
  const std::optional<ExchangePhase> next = NextPhase(exchange.phase, event);
  if (!next) {
    Fail(exchange, event, policy);
    return IsFailure(event);
  }
  exchange.reached = exchange.phase;
  exchange.phase = *next;
  if (*next == ExchangePhase::kComplete) {
    exchange.ran = RunStateOfAnswer(event);
    exchange.failure =
        event == ExchangeEvent::kRefusedNotRun ? ExchangeFailure::kRefused : ExchangeFailure::kNone;
  } else if (*next >= ExchangePhase::kWriting) {
    exchange.ran = RunState::kUnknown;
  }
  return true;
}

bool Ended(const Exchange& exchange) {
  return exchange.phase == ExchangePhase::kComplete || exchange.phase == ExchangePhase::kFailed;
}

NextStep DecideNextStep(const Exchange& exchange,
                        RequestClass request_class,
                        std::uint64_t tokens_delivered) {
  const bool complete = exchange.phase == ExchangePhase::kComplete;
  if (complete && exchange.ran == RunState::kRan) {
    return NextStep::kDeliver;
  }
  if (request_class == RequestClass::kNonRepeatable && exchange.ran != RunState::kNotRun) {
    return complete ? NextStep::kDeliver : NextStep::kFail;
  }
  const bool resume = request_class == RequestClass::kStream && tokens_delivered > 0;
  return resume ? NextStep::kResume : NextStep::kRetry;
}

RunState CombineRunStates(RunState earlier, RunState latest) {
  if (earlier == RunState::kRan || latest == RunState::kRan) {
    return RunState::kRan;
  }
  const bool not_run = earlier == RunState::kNotRun && latest == RunState::kNotRun;
  return not_run ? RunState::kNotRun : RunState::kUnknown;
}

OutcomeError ErrorOf(const Exchange& exchange,
                     RequestClass request_class,
                     RunState earlier,
                     Duration retry_after) {
  const RunState ran = CombineRunStates(earlier, exchange.ran);
  if (request_class == RequestClass::kNonRepeatable && ran != RunState::kNotRun) {
    return MakeOutcomeError(OutcomeCode::kOutcomeUnknown);
  }
  return MakeOutcomeError(CodeOf(exchange), ran, true, retry_after);
}

}  // namespace geraniumspread::outcomes
