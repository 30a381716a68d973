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

// Load of one upstream as its owner knows it. The caller keeps one per owned
// upstream.
struct LoadRecord {
  std::string upstream;
  // Requests that this router has on the upstream.
  std::uint32_t own_in_flight = 0;
  // Own requests when the running or last poll was sent.
  std::uint32_t own_at_poll = 0;
  TimePoint poll_sent_at;
  // Last accepted report; `report_requested_at` is when its poll was sent, so the
  // report was made after it.
  std::optional<LoadReport> report;
  TimePoint report_requested_at;
  std::uint32_t own_at_report = 0;
  std::uint64_t reports_accepted = 0;
  std::uint64_t reports_rejected = 0;
};

// What an accepted report means for the upstream's state.
struct ReportEffect {
  bool new_incarnation = false;  // treat as cold
  bool sequence_gap = false;     // a break in the report sequence: treat as cold
};

// Own requests: call at dispatch and at the end of each request.
void RecordRequestStart(LoadRecord& record);
void RecordRequestEnd(LoadRecord& record);

// Call when GET /load is sent.
void RecordPollSent(LoadRecord& record, TimePoint now);

// Takes over the answer to the last poll. Errors: kUnknownUpstream (the report
// names another instance), kStaleIncarnation, kStaleSequence; none of them
// changes the report in force.
Result<ReportEffect> ApplyLoadReport(LoadRecord& record, const LoadReport& report);

// Requests on the upstream now.
struct CorrectedLoad {
  std::uint32_t own = 0;      // exact
  std::uint32_t foreign = 0;  // reported beyond this router's own count
  std::uint32_t total = 0;
};

// Reported running requests, corrected by the own starts and ends since the
// poll of the report was sent; never below the own count.
CorrectedLoad CorrectLoad(const LoadRecord& record);

// True while the last report was asked for within `max_age`.
bool HasFreshReport(const LoadRecord& record, Duration max_age, TimePoint now);

}  // namespace geraniumspread::engines

#endif  // ENGINES_LOAD_REPORTS_H_
