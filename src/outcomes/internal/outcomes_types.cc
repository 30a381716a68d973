#include "outcomes/outcomes_types.h"

#include <algorithm>
#include <array>

namespace geraniumspread::outcomes {
namespace {

struct CodeRow {
  std::string_view name;
  std::string_view message;
  std::uint16_t status;
  RunState ran;
  bool retry;
};

// In the order of OutcomeCode.
constexpr std::array<CodeRow, kOutcomeCodeCount> kCodes = {{
    {"ticket_required", "a non-repeatable call needs a ticket", 428, RunState::kNotRun, true},
    {"ticket_malformed", "the ticket is not one of this fleet", 400, RunState::kNotRun, false},
    {"ticket_body_mismatch", "the ticket was used for another call", 422, RunState::kNotRun, false},
    {"ticket_expired", "the ticket has expired", 410, RunState::kUnknown, false},
    {"ticket_table_full", "too many tickets are in use", 503, RunState::kNotRun, true},
    {"tickets_handed_over", "another router answers for the ticket", 503, RunState::kUnknown, true},
    {"ticket_router_unreachable", "the router of the ticket can't be reached", 503,
     RunState::kUnknown, true},
    {"in_progress", "the call is running", 409, RunState::kUnknown, true},
    {"outcome_unknown", "it is not known whether the call ran", 409, RunState::kUnknown, false},
    {"result_not_kept", "the call ran, and its response was too large to keep", 409, RunState::kRan,
     false},
    {"quarantined", "the request is quarantined because upstreams died while they ran it", 422,
     RunState::kNotRun, false},
    {"upstream_unreachable", "no connection to the upstream", 503, RunState::kNotRun, true},
    {"upstream_failed", "the upstream closed the connection before a complete answer", 502,
     RunState::kUnknown, true},
    {"upstream_timeout", "the upstream made no progress", 504, RunState::kUnknown, true},
    {"answer_damaged", "the answer of the upstream was damaged", 502, RunState::kUnknown, true},
}};

const CodeRow& RowOf(OutcomeCode code) {
  return kCodes.at(static_cast<std::size_t>(code));
}

constexpr Duration kMinRetryAfter = std::chrono::milliseconds(50);

}  // namespace

std::string_view ToString(OutcomeCode code) {
  return RowOf(code).name;
}

std::string_view MessageOf(OutcomeCode code) {
  return RowOf(code).message;
}

OutcomeError MakeOutcomeError(OutcomeCode code, Duration retry_after) {
  return MakeOutcomeError(code, RowOf(code).ran, RowOf(code).retry, retry_after);
}

OutcomeError MakeOutcomeError(OutcomeCode code, RunState ran, bool retry, Duration retry_after) {
  return {.code = code,
          .status = RowOf(code).status,
          .ran = ran,
          .retry = retry,
          .retry_after = retry ? std::max(retry_after, kMinRetryAfter) : Duration{0}};
}

}  // namespace geraniumspread::outcomes
