#ifndef ENGINES_LOAD_REPORTS_H_
#define ENGINES_LOAD_REPORTS_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "common/runtime_clock.h"
#include "engines/engines_types.h"

namespace geraniumspread::engines {

inline constexpr std::size_t kMaxLoadReportBytes = std::size_t{16} * 1024;

// Parses the body of GET /load. Missing optional fields (adapter, version, role,
// cold, cold_limit, waiting, cache and first-token values) get the defaults of
// LoadReport. Errors: kTooLarge, kMalformed, kInvalidField.
Result<LoadReport> ParseLoadReport(std::string_view body);

// The owner's load data of one upstream. The caller keeps one record per owned
// upstream.
struct LoadRecord {
  std::string upstream;
  // In-flight requests of this router at the upstream.
  std::uint32_t own_in_flight = 0;
  // Own in-flight requests when the latest poll was sent.
  std::uint32_t own_at_poll = 0;
  TimePoint poll_sent_at;
  // Last accepted report. `report_requested_at` is when its poll was sent, so the
  // report was made after that.
  std::optional<LoadReport> report;
  TimePoint report_requested_at;
  std::uint32_t own_at_report = 0;
  std::uint64_t reports_accepted = 0;
  std::uint64_t reports_rejected = 0;
};

// Changes that an accepted report reveals.
struct ReportEffect {
  bool new_incarnation = false;  // treat as cold
  bool sequence_gap = false;     // reports are missing in between: treat as cold
};

// Call when an own request is dispatched and when it ends.
void RecordRequestStart(LoadRecord& record);
void RecordRequestEnd(LoadRecord& record);

// Call when GET /load is sent.
void RecordPollSent(LoadRecord& record, TimePoint now);

// Applies the response to the last poll. Errors: kUnknownUpstream (the report names
// another instance), kStaleIncarnation, kStaleSequence. On an error the last accepted
// report is kept.
Result<ReportEffect> ApplyLoadReport(LoadRecord& record, const LoadReport& report);

// Estimate of the current requests at the upstream.
struct CorrectedLoad {
  std::uint32_t own = 0;      // exact
  std::uint32_t foreign = 0;  // reported in excess of this router's own count
  std::uint32_t total = 0;
};

// Returns the reported running requests, corrected by the own requests that started
// or ended since the poll of the report was sent; never below the own count.
CorrectedLoad CorrectLoad(const LoadRecord& record);

// True if the last report was requested at most `max_age` ago.
bool HasFreshReport(const LoadRecord& record, Duration max_age, TimePoint now);

}  // namespace geraniumspread::engines

#endif  // ENGINES_LOAD_REPORTS_H_
