#ifndef OUTCOMES_EXCHANGE_H_
#define OUTCOMES_EXCHANGE_H_

#include <cstdint>
#include <optional>

#include "outcomes/outcomes_types.h"

namespace geraniumspread::outcomes {

// How far one attempt of a request at an upstream (or at the owner) has come.
enum class ExchangePhase : std::uint8_t {
  kNew,
  kConnecting,
  // Also an idle connection that was picked for reuse.
  kConnected,
  // Bytes of the request may have left.
  kWriting,
  kSent,
  kResponding,
  kComplete,
  kFailed,
};

enum class ExchangeEvent : std::uint8_t {
  kConnectStarted,
  kConnected,
  // Feed before the first write is issued: a failed write may still have sent bytes.
  kWriteStarted,
  kRequestSent,
  kResponseStarted,
  // The answer was read to its end and passed the checks of answer_integrity.h.
  kBodyComplete,
  // As kBodyComplete, and the answer says `X-Ran: no` (a refusal before dispatch).
  kRefusedNotRun,
  // As kBodyComplete, and the answer says `X-Ran: unknown`, or is a 5xx without X-Ran.
  kOutcomeNotKnown,
  kClosed,
  kTimedOut,
  // An integrity check failed: wrong request id, damaged or truncated answer.
  kDamaged,
};

enum class ExchangeFailure : std::uint8_t { kNone, kClosed, kTimedOut, kDamaged, kRefused };

struct Exchange {
  ExchangePhase phase = ExchangePhase::kNew;
  // Last phase before kFailed or kComplete.
  ExchangePhase reached = ExchangePhase::kNew;
  ExchangeFailure failure = ExchangeFailure::kNone;
  RunState ran = RunState::kNotRun;
};

enum class RequestClass : std::uint8_t {
  kIdempotent,
  // Idempotent; tokens may already be with the caller.
  kStream,
  kNonRepeatable,
};

enum class NextStep : std::uint8_t {
  kDeliver,
  // Send again from the start, within the retry budget.
  kRetry,
  // Send again with X-Resume-Offset, within the retry budget.
  kResume,
  // Answer with an error that carries the run state.
  kFail,
};

struct ExchangePolicy {
  // Off only in tests: every failure before an answer then counts as not run.
  bool track_writes = true;
};

// Events after the end of the exchange (a late answer) are ignored; returns false for those and for
// events that are invalid in the current phase, after which the connection must be closed.
bool Apply(Exchange& exchange, ExchangeEvent event, const ExchangePolicy& policy = {});
// True in kComplete and kFailed.
bool Ended(const Exchange& exchange);
// Returns the next step after the exchange has ended. `tokens_delivered` counts tokens that the
// caller has. When a retry is not granted, a complete answer is delivered and a failed exchange
// answered by ErrorOf.
NextStep DecideNextStep(const Exchange& exchange,
                        RequestClass request_class,
                        std::uint64_t tokens_delivered);
// The run state of a request after two attempts: "not run" needs both not to have run.
RunState CombineRunStates(RunState earlier, RunState latest);
// The error for the caller when nothing more is tried. `earlier` is the combined run state of the
// attempts before this exchange, kNotRun when there are none.
OutcomeError ErrorOf(const Exchange& exchange,
                     RequestClass request_class,
                     RunState earlier,
                     Duration retry_after);

}  // namespace geraniumspread::outcomes

#endif  // OUTCOMES_EXCHANGE_H_
