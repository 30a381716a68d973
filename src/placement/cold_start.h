#ifndef PLACEMENT_COLD_START_H_
#define PLACEMENT_COLD_START_H_

#include <cstdint>
#include <string_view>

#include "common/runtime_clock.h"

// Cold start of one upstream. An upstream whose state is unknown is cold; its cold
// limit grows only with successful requests.
namespace geraniumspread::placement {

struct ColdStartSettings {
  // The upstream turns cold when its last load report is older than this.
  Duration max_report_age = std::chrono::seconds(3);
  // Turns the upstream cold when the time to first token exceeds this multiple of its average.
  double first_token_multiple = 4.0;
  // Times to first token below this value never turn an upstream cold: scheduling
  // noise of a few milliseconds is a large multiple of a short time.
  std::uint32_t first_token_floor_ms = 200;
  // Used when the upstream reports no cold limit.
  std::int32_t default_cold_limit = 2;
};

// Safety rules that tests switch off one by one; production code leaves all of them on.
struct ColdStartPolicy {
  bool unknown_is_cold = true;
  bool growth_by_epoch =
      true;  // successes of requests dispatched before the last reset do not count
};

enum class ColdReason : std::uint8_t {
  kNoReport,
  kStaleReport,
  kNewIncarnation,
  kSequenceBreak,
  kSlowFirstToken,
  kReportedCold,
  kNone,
};
std::string_view ToString(ColdReason reason);

// The fields of a load report that decide on cold start.
struct ColdStartReport {
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;
  std::int32_t capacity = 0;
  std::int32_t cold_limit = 0;  // 0 if the upstream reports none
  bool cold = false;
  std::uint32_t first_token_ms = 0;  // 0 if there was none since the last report
};

struct ColdStartState {
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;
  TimePoint report_at = TimePoint::min();
  bool has_report = false;
  bool cold = true;
  ColdReason reason = ColdReason::kNoReport;
  std::int32_t capacity = 0;
  std::int32_t base_limit = 0;  // cold limit after a reset
  std::int32_t limit = 0;       // current cold limit
  std::int32_t successes = 0;   // since the limit last grew
  std::uint32_t epoch = 0;      // grows with each reset
  double first_token_average_ms = 0.0;
};

// Applies a report that was requested at `requested_at`. Ignores a report that was requested
// before the last one.
void ApplyReport(ColdStartState& state,
                 const ColdStartSettings& settings,
                 const ColdStartReport& report,
                 TimePoint requested_at);
// Turns the upstream cold if its last report is too old. Call on each tick.
void ExpireReport(ColdStartState& state,
                  const ColdStartSettings& settings,
                  const ColdStartPolicy& policy,
                  TimePoint now);
// Counts a successful request that was dispatched in `epoch`. The limit doubles
// after as many successes as the current limit; at capacity the upstream is warm.
void RecordSuccess(ColdStartState& state, const ColdStartPolicy& policy, std::uint32_t epoch);
// Resets the limit to the cold limit, for example when the lease on the upstream is lost.
void ResetColdStart(ColdStartState& state, ColdReason reason);
// Returns how many requests all routers together may have in flight: the cold limit while
// cold, otherwise the capacity.
std::int32_t InFlightLimit(const ColdStartState& state);

}  // namespace geraniumspread::placement

#endif  // PLACEMENT_COLD_START_H_
