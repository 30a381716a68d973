#ifndef OUTCOMES_OUTCOMES_TYPES_H_
#define OUTCOMES_OUTCOMES_TYPES_H_

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "common/common_types.h"
#include "common/runtime_clock.h"

// Responsibility for the outcome of a request: at most once, run state, complete answers.
namespace geraniumspread::outcomes {

enum class OutcomeCode : std::uint8_t {
  kTicketRequired,
  kTicketMalformed,
  kTicketBodyMismatch,
  kTicketExpired,
  kTicketTableFull,
  kTicketsHandedOver,
  kTicketRouterUnreachable,
  kInProgress,
  kOutcomeUnknown,
  kResultNotKept,
  kQuarantined,
  kUpstreamUnreachable,
  kUpstreamFailed,
  kUpstreamTimeout,
  kAnswerDamaged,
};
inline constexpr int kOutcomeCodeCount = 15;

// An error answer to a caller, with what is known about the run.
struct OutcomeError {
  OutcomeCode code = OutcomeCode::kOutcomeUnknown;
  // HTTP status.
  std::uint16_t status = 409;
  RunState ran = RunState::kUnknown;
  bool retry = false;
  // Zero when `retry` is false.
  Duration retry_after{0};
};

template <class T>
using OutcomeResult = BOOST_OUTCOME_V2_NAMESPACE::
    basic_result<T, OutcomeError, BOOST_OUTCOME_V2_NAMESPACE::policy::terminate>;

// Stable wire forms, e.g. "outcome_unknown".
std::string_view ToString(OutcomeCode code);
// The text of the `message` field.
std::string_view MessageOf(OutcomeCode code);
// The error of `code` with its status and its usual run state and retry flag.
OutcomeError MakeOutcomeError(OutcomeCode code, Duration retry_after = Duration{0});
// The same with the run state that an exchange ended in.
OutcomeError MakeOutcomeError(OutcomeCode code, RunState ran, bool retry, Duration retry_after);

// One run of a router process.
struct RouterIncarnation {
  // Instance id; 1 to 128 visible ASCII characters.
  std::string router;
  std::uint64_t incarnation = 0;
  auto operator<=>(const RouterIncarnation&) const = default;
};

}  // namespace geraniumspread::outcomes

#endif  // OUTCOMES_OUTCOMES_TYPES_H_
