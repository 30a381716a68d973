#include "outcomes/request_attempts.h"

#include <utility>

namespace geraniumspread::outcomes {

bool BeginDispatch(RequestAttempts& request,
                   Exchange& exchange,
                   TicketTable& tickets,
                   TimePoint now,
                   const ExchangePolicy& policy) {
  if (request.ticket) {
    if (const auto marked = MarkTicketDispatched(tickets, *request.ticket, now); !marked) {
      request.dispatch_refusal = marked.error();
      Apply(exchange, ExchangeEvent::kClosed, policy);
      return false;
    }
  }
  return Apply(exchange, ExchangeEvent::kWriteStarted, policy);
}

NextStep EndAttempt(RequestAttempts& request,
                    const Exchange& exchange,
                    std::uint64_t tokens_delivered) {
  request.attempts += 1;
  request.ran = CombineRunStates(request.ran, exchange.ran);
  const NextStep next = DecideNextStep(exchange, request.request_class, tokens_delivered);
  if (next == NextStep::kDeliver) {
    return next;
  }
  // The upstream's own error answer tells the caller more than one generated here.
  if (request.attempts >= request.max_attempts && exchange.phase == ExchangePhase::kComplete &&
      exchange.ran == RunState::kUnknown) {
    return NextStep::kDeliver;
  }
  const bool used_up = request.attempts >= request.max_attempts;
  return used_up || request.dispatch_refusal ? NextStep::kFail : next;
}

void StoreAnswer(const RequestAttempts& request, TicketTable& tickets, StoredResponse response) {
  if (request.ticket) {
    FinishTicket(tickets, *request.ticket, std::move(response));
  }
}

OutcomeError FailRequest(const RequestAttempts& request,
                         const Exchange& last,
                         TicketTable& tickets,
                         Duration retry_after) {
  // The last exchange may not have ended.
  const RunState ran = CombineRunStates(request.ran, last.ran);
  if (request.ticket) {
    ReleaseTicket(tickets, *request.ticket, ran == RunState::kNotRun);
  }
  if (request.dispatch_refusal) {
    OutcomeError error = *request.dispatch_refusal;
    error.ran = CombineRunStates(ran, error.ran);
    return error;
  }
  return ErrorOf(last, request.request_class, ran, retry_after);
}

}  // namespace geraniumspread::outcomes
