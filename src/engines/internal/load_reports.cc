#include "engines/load_reports.h"

#include <algorithm>

#include "engines/internal/json_fields.h"

namespace geraniumspread::engines {

Result<LoadReport> ParseLoadReport(std::string_view body) {
  const auto object = detail::ParseObject(body, kMaxLoadReportBytes);
  if (!object) {
    return object.error();
  }
  detail::FieldReader reader(object.value());
  LoadReport report;
  report.instance = reader.RequiredText("instance");
  report.incarnation = reader.RequiredUnsigned("incarnation");
  report.sequence = reader.RequiredUnsigned("sequence");
  report.state = {reader.Text("model"), reader.Text("adapter"), reader.Text("version"),
                  reader.Text("role")};
  reader.RequiredUnsigned("running");
  report.running = reader.Unsigned("running", report.running);
  report.waiting = reader.Unsigned("waiting", report.waiting);
  reader.RequiredUnsigned("capacity");
  report.capacity = reader.Unsigned("capacity", report.capacity);
  report.cold_limit = reader.Unsigned("cold_limit", report.cold_limit);
  report.cold = reader.Flag("cold", report.cold);
  report.cache_blocks = reader.Unsigned("cache_blocks", report.cache_blocks);
  report.cache_capacity = reader.Unsigned("cache_capacity", report.cache_capacity);
  report.first_token =
      std::chrono::duration<double, std::milli>(reader.Number("first_token_ms", 0));
  if (reader.error) {
    return std::move(*reader.error);
  }
  return report;
}

void RecordRequestStart(LoadRecord& record) {
  ++record.own_in_flight;
}

void RecordRequestEnd(LoadRecord& record) {
  if (record.own_in_flight > 0) {
    --record.own_in_flight;
  }
}

void RecordPollSent(LoadRecord& record, TimePoint now) {
  record.own_at_poll = record.own_in_flight;
  record.poll_sent_at = now;
}

Result<ReportEffect> ApplyLoadReport(LoadRecord& record, const LoadReport& report) {
  if (report.instance != record.upstream) {
    ++record.reports_rejected;
    return EnginesError{EnginesErrorCode::kUnknownUpstream,
                        "report of " + report.instance + " instead of " + record.upstream};
  }
  ReportEffect effect;
  if (record.report) {
    const LoadReport& last = *record.report;
    if (report.incarnation < last.incarnation) {
      ++record.reports_rejected;
      return EnginesError{EnginesErrorCode::kStaleIncarnation,
                          "report from an older incarnation of " + report.instance};
    }
    effect.new_incarnation = report.incarnation > last.incarnation;
    if (!effect.new_incarnation && report.sequence <= last.sequence) {
      ++record.reports_rejected;
      return EnginesError{EnginesErrorCode::kStaleSequence,
                          "report of " + report.instance + " was already applied"};
    }
    effect.sequence_gap = !effect.new_incarnation && report.sequence != last.sequence + 1;
  }
  record.report = report;
  record.report_requested_at = record.poll_sent_at;
  record.own_at_report = record.own_at_poll;
  ++record.reports_accepted;
  return effect;
}

CorrectedLoad CorrectLoad(const LoadRecord& record) {
  CorrectedLoad load;
  load.own = record.own_in_flight;
  if (record.report && record.report->running > record.own_at_report) {
    load.foreign = record.report->running - record.own_at_report;
  }
  load.total = load.own + load.foreign;
  return load;
}

bool HasFreshReport(const LoadRecord& record, Duration max_age, TimePoint now) {
  return record.report && now - record.report_requested_at <= max_age;
}

}  // namespace geraniumspread::engines
