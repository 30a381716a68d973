#include "placement/cold_start.h"

#include <algorithm>

namespace geraniumspread::placement {
namespace {

// Weight of a new time to first token in the moving average, which covers about ten reports.
constexpr double kAverageWeight = 0.1;

ColdReason ReasonToReset(const ColdStartState& state,
                         const ColdStartSettings& settings,
                         const ColdStartReport& report) {
  if (!state.has_report) {
    return ColdReason::kNoReport;
  }
  if (report.incarnation != state.incarnation) {
    return ColdReason::kNewIncarnation;
  }
  // Polls may skip sequence numbers, but a smaller one means that the upstream restarted its
  // sequence.
  if (report.sequence < state.sequence) {
    return ColdReason::kSequenceBreak;
  }
  if (report.cold && !state.cold) {
    return ColdReason::kReportedCold;
  }
  const bool slow =
      report.first_token_ms > settings.first_token_floor_ms && state.first_token_average_ms > 0.0 &&
      report.first_token_ms > settings.first_token_multiple * state.first_token_average_ms;
  return slow && !state.cold ? ColdReason::kSlowFirstToken : ColdReason::kNone;
}

void AverageFirstToken(ColdStartState& state, const ColdStartReport& report) {
  if (report.first_token_ms == 0) {
    return;
  }
  const double sample = report.first_token_ms;
  const double average = state.first_token_average_ms;
  state.first_token_average_ms =
      average == 0.0 ? sample : average + kAverageWeight * (sample - average);
}

}  // namespace

std::string_view ToString(ColdReason reason) {
  switch (reason) {
    case ColdReason::kNoReport:
      return "no_report";
    case ColdReason::kStaleReport:
      return "stale_report";
    case ColdReason::kNewIncarnation:
      return "new_incarnation";
    case ColdReason::kSequenceBreak:
      return "sequence_break";
    case ColdReason::kSlowFirstToken:
      return "slow_first_token";
    case ColdReason::kReportedCold:
      return "reported_cold";
    case ColdReason::kNone:
      return "none";
  }
  return "none";
}

void ResetColdStart(ColdStartState& state, ColdReason reason) {
  state.cold = true;
  state.reason = reason;
  state.limit = state.base_limit;
  state.successes = 0;
  ++state.epoch;
}

void ApplyReport(ColdStartState& state,
                 const ColdStartSettings& settings,
                 const ColdStartReport& report,
                 TimePoint requested_at) {
  const bool out_of_order = state.has_report && requested_at < state.report_at;
  if (out_of_order) {
    return;
  }
  const ColdReason reason = ReasonToReset(state, settings, report);
  const std::int32_t reported =
      report.cold_limit > 0 ? report.cold_limit : settings.default_cold_limit;
  state.capacity = report.capacity;
  state.base_limit = std::max(0, std::min(reported, report.capacity));
  if (reason != ColdReason::kNone) {
    ResetColdStart(state, reason);
  }
  if (reason == ColdReason::kNewIncarnation) {
    state.first_token_average_ms = 0.0;
  }
  // A slow time to first token must not raise the average that later ones are compared with.
  if (reason != ColdReason::kSlowFirstToken) {
    AverageFirstToken(state, report);
  }
  state.limit = std::min(state.limit, report.capacity);
  state.incarnation = report.incarnation;
  state.sequence = report.sequence;
  state.report_at = requested_at;
  state.has_report = true;
}

void ExpireReport(ColdStartState& state,
                  const ColdStartSettings& settings,
                  const ColdStartPolicy& policy,
                  TimePoint now) {
  const bool fresh = state.has_report && now - state.report_at <= settings.max_report_age;
  if (fresh || !policy.unknown_is_cold) {
    return;
  }
  const bool already_reset = state.cold && state.reason == ColdReason::kStaleReport;
  if (state.has_report && !already_reset) {
    ResetColdStart(state, ColdReason::kStaleReport);
  }
}

void RecordSuccess(ColdStartState& state, const ColdStartPolicy& policy, std::uint32_t epoch) {
  const bool earlier_epoch = epoch != state.epoch && policy.growth_by_epoch;
  if (!state.cold || earlier_epoch || state.limit <= 0) {
    return;
  }
  ++state.successes;
  if (state.successes < state.limit) {
    return;
  }
  state.successes = 0;
  state.limit = std::min(state.limit * 2, state.capacity);
  if (state.limit >= state.capacity) {
    state.cold = false;
    state.reason = ColdReason::kNone;
  }
}

std::int32_t InFlightLimit(const ColdStartState& state) {
  return state.cold ? state.limit : state.capacity;
}

}  // namespace geraniumspread::placement
