#ifndef OUTCOMES_REQUEST_ATTEMPTS_H_
#define OUTCOMES_REQUEST_ATTEMPTS_H_

#include <cstdint>
#include <optional>

#include "outcomes/exchange.h"
#include "outcomes/tickets.h"

namespace geraniumspread::outcomes {

// All attempts of one request. Connects the exchanges with the ticket, so that the state of the
// ticket always agrees with the run state that is reported to the caller.
struct RequestAttempts {
  RequestClass request_class = RequestClass::kIdempotent;
  std::uint32_t max_attempts = 3;
  std::uint32_t attempts = 0;
  // Combined run state of the attempts that have ended.
  RunState ran = RunState::kNotRun;
  // Set for a call for which BeginTicket returned kRun.
  std::optional<Ticket> ticket;
  // Why MarkTicketDispatched refused.
  std::optional<OutcomeError> dispatch_refusal;
};

// Call right before the first byte is written; applies kWriteStarted. Returns false if the ticket
// may no longer be dispatched: the exchange has failed as not run, and nothing may be sent.
bool BeginDispatch(RequestAttempts& request,
                   Exchange& exchange,
                   TicketTable& tickets,
                   TimePoint now,
                   const ExchangePolicy& policy = {});
// Counts an attempt that has ended. kRetry and kResume are answered only while attempts are left;
// the retry budget decides then, and when it refuses, call FailRequest.
NextStep EndAttempt(RequestAttempts& request,
                    const Exchange& exchange,
                    std::uint64_t tokens_delivered);
// After kDeliver: stores the answer for repeats with the same ticket.
void StoreAnswer(const RequestAttempts& request, TicketTable& tickets, StoredResponse response);
// After kFail, a refused retry, or a caller that left: ends the ticket and returns the error for
// the caller. `last` is the latest exchange. A non-repeatable call whose caller left is better run
// to its end, so that a repeat gets its answer.
OutcomeError FailRequest(const RequestAttempts& request,
                         const Exchange& last,
                         TicketTable& tickets,
                         Duration retry_after);

}  // namespace geraniumspread::outcomes

#endif  // OUTCOMES_REQUEST_ATTEMPTS_H_
