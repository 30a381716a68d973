#include "load/load_report.h"

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace geraniumspread::load {
namespace {

constexpr std::string_view kNotStated = "not stated";

std::uint64_t SumOf(const LoadTotals& totals, std::uint64_t KindCounts::* member) {
  std::uint64_t sum = 0;
  for (const KindCounts& counts : totals.by_kind) {
    sum += counts.*member;
  }
  return sum;
}

int RunsOf(const std::map<std::string, int>& runs, const std::string& key) {
  const auto found = runs.find(key);
  return found == runs.end() ? 0 : found->second;
}

void WriteMap(std::ostream& out,
              std::string_view name,
              const std::map<std::string, std::uint64_t>& counts) {
  for (const auto& [key, count] : counts) {
    out << name << "[" << key << "]: " << count << '\n';
  }
}

void WriteTimes(std::ostream& out, std::string_view name, const MeasuredTimes& times) {
  out << name << "_ms: p50=" << times.QuantileMs(0.50) << " p95=" << times.QuantileMs(0.95)
      << " p99=" << times.QuantileMs(0.99) << " count=" << times.Count() << '\n';
}

void WriteKinds(std::ostream& out, const LoadTotals& totals) {
  for (std::size_t index = 0; index < kWorkKindCount; ++index) {
    const KindCounts& counts = totals.by_kind.at(index);
    out << "requests[" << ToString(static_cast<WorkKind>(index)) << "]: sent=" << counts.sent
        << " good=" << counts.good << " refused=" << counts.refused << " failed=" << counts.failed
        << " damaged=" << counts.damaged << '\n';
  }
  out << "requests[all]: sent=" << SumOf(totals, &KindCounts::sent)
      << " good=" << SumOf(totals, &KindCounts::good)
      << " refused=" << SumOf(totals, &KindCounts::refused)
      << " failed=" << SumOf(totals, &KindCounts::failed)
      << " damaged=" << SumOf(totals, &KindCounts::damaged) << '\n';
}

void WriteEngines(std::ostream& out, const LoadReport& report) {
  if (!report.before || !report.after) {
    out << "standin_statistics: not readable\n";
    return;
  }
  int peak_running = 0;
  int peak_cold = 0;
  int overshoot = 0;
  std::uint64_t crashes = 0;
  std::uint64_t cold_crashes = 0;
  for (const EngineCounts& engine : report.after->engines) {
    peak_running = std::max(peak_running, engine.peak_running);
    peak_cold = std::max(peak_cold, engine.peak_running_cold);
    overshoot = std::max(overshoot, engine.peak_cold_overshoot);
    crashes += engine.crashes;
    cold_crashes += engine.cold_crashes;
  }
  out << "engine_request_skew: " << RequestSkew(*report.before, *report.after) << '\n'
      << "engine_peak_running: " << peak_running << '\n'
      << "engine_peak_running_cold: " << peak_cold << '\n'
      << "engine_peak_cold_overshoot: " << overshoot << '\n'
      << "engine_crashes: " << crashes << '\n'
      << "engine_cold_crashes: " << cold_crashes << '\n';
}

void WriteTraffic(std::ostream& out, const LoadReport& report) {
  if (report.traffic.empty()) {
    return;
  }
  double sum = 0;
  double largest = 0;
  for (const RouterTraffic& traffic : report.traffic) {
    sum += traffic.control_bytes_per_second;
    largest = std::max(largest, traffic.control_bytes_per_second);
  }
  out << "control_bytes_per_second: mean=" << sum / static_cast<double>(report.traffic.size())
      << " largest=" << largest << " routers=" << report.traffic.size() << '\n';
}

struct PlotLine {
  std::string_view name;
  std::string_view colour;
  std::uint64_t SecondCounts::* member;
};

constexpr std::array<PlotLine, 4> kPlotLines{{{"good", "#2a7f3f", &SecondCounts::good},
                                              {"refused", "#c98a00", &SecondCounts::refused},
                                              {"failed", "#b03030", &SecondCounts::failed},
                                              {"damaged", "#7030a0", &SecondCounts::damaged}}};
constexpr double kPlotWidth = 800;
constexpr double kPlotHeight = 300;
constexpr double kPlotMargin = 40;

void WritePlotLine(std::ostream& out,
                   const PlotLine& line,
                   const std::vector<SecondCounts>& seconds,
                   double highest) {
  const double step = (kPlotWidth - 2 * kPlotMargin) / static_cast<double>(seconds.size());
  out << "<polyline fill=\"none\" stroke=\"" << line.colour << "\" points=\"";
  for (std::size_t index = 0; index < seconds.size(); ++index) {
    const auto value = static_cast<double>(seconds[index].*line.member);
    out << kPlotMargin + step * static_cast<double>(index) << ','
        << kPlotHeight - kPlotMargin - (kPlotHeight - 2 * kPlotMargin) * value / highest << ' ';
  }
  out << "\"/>\n";
}

}  // namespace

RunViolations FindViolations(const LoadReport& report) {
  RunViolations violations;
  if (!report.after) {
    return violations;
  }
  const LoadTotals& totals = report.totals;
  for (const std::string& ticket : totals.tickets) {
    const int runs = RunsOf(report.after->runs_by_key, ticket);
    violations.ran_twice += runs > 1 ? 1 : 0;
    violations.answered_not_run += runs == 0 && totals.answered_tickets.contains(ticket) ? 1 : 0;
    violations.false_not_run += runs > 0 && totals.not_run_tickets.contains(ticket) ? 1 : 0;
  }
  for (const std::string& request_id : totals.not_run_requests) {
    violations.false_not_run += RunsOf(report.after->runs_by_request_id, request_id) > 0 ? 1 : 0;
  }
  return violations;
}

ExitCode Judge(const LoadReport& report) {
  const RunViolations violations = FindViolations(report);
  if (SumOf(report.totals, &KindCounts::damaged) > 0 || violations.answered_not_run > 0) {
    return ExitCode::kDamagedAnswer;
  }
  if (violations.ran_twice > 0) {
    return ExitCode::kRanTwice;
  }
  if (violations.false_not_run > 0) {
    return ExitCode::kFalseNotRun;
  }
  if (report.totals.refused_ran.contains(std::string(kNotStated))) {
    return ExitCode::kRunNotStated;
  }
  if (SumOf(report.totals, &KindCounts::good) == 0 || !report.after) {
    return ExitCode::kNothingChecked;
  }
  return ExitCode::kGood;
}

std::string FormatReport(const LoadReport& report) {
  const LoadTotals& totals = report.totals;
  const RunViolations violations = FindViolations(report);
  std::ostringstream out;
  out << std::fixed << std::setprecision(3);
  out << "elapsed_s: " << std::chrono::duration<double>(report.elapsed).count() << '\n';
  WriteKinds(out, totals);
  out << "within_limits: sent=" << totals.sent_within_limits
      << " refused=" << totals.refused_within_limits << '\n';
  out << "not_sent: " << totals.not_sent << '\n';
  WriteMap(out, "refusals", totals.refusals);
  WriteMap(out, "refused_ran", totals.refused_ran);
  WriteMap(out, "failures", totals.failures);
  WriteMap(out, "damage", totals.damage);
  WriteMap(out, "events", totals.events);
  out << "unreachable_routers: " << totals.unreachable_routers << '\n';
  out << "resumed_streams: " << totals.resumed_streams << '\n'
      << "orders: tickets=" << totals.tickets.size()
      << " answered=" << totals.answered_tickets.size() << " repeated=" << totals.repeated_orders
      << " replayed=" << totals.replayed_orders << '\n'
      << "orders_run_twice: " << violations.ran_twice << '\n'
      << "orders_answered_but_not_run: " << violations.answered_not_run << '\n'
      << "false_not_run: " << violations.false_not_run << '\n';
  const double reuse =
      totals.reusable_tokens == 0
          ? 0
          : static_cast<double>(totals.cached_tokens) / static_cast<double>(totals.reusable_tokens);
  out << "cache_reuse: " << reuse << " (" << totals.cached_tokens << " of "
      << totals.reusable_tokens << " tokens)\n";
  WriteEngines(out, report);
  WriteTraffic(out, report);
  WriteTimes(out, "first_token", totals.first_token);
  WriteTimes(out, "between_tokens", totals.between_tokens);
  WriteTimes(out, "lookup", totals.lookup);
  WriteTimes(out, "draft", totals.draft);
  out << "exit_code: " << static_cast<int>(Judge(report)) << '\n';
  return out.str();
}

std::string FormatCsv(const LoadTotals& totals) {
  std::ostringstream out;
  out << "second,sent,good,refused,failed,damaged,first_token_ms_mean\n";
  for (std::size_t index = 0; index < totals.seconds.size(); ++index) {
    const SecondCounts& counts = totals.seconds[index];
    const double mean = counts.first_tokens == 0
                            ? 0
                            : counts.first_token_ms_sum / static_cast<double>(counts.first_tokens);
    out << index << ',' << counts.sent << ',' << counts.good << ',' << counts.refused << ','
        << counts.failed << ',' << counts.damaged << ',' << mean << '\n';
  }
  return out.str();
}

std::string FormatSvg(const LoadTotals& totals) {
  std::ostringstream out;
  out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << kPlotWidth << "\" height=\""
      << kPlotHeight << "\" font-family=\"sans-serif\" font-size=\"12\">\n"
      << "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n";
  double highest = 1;
  for (const SecondCounts& counts : totals.seconds) {
    for (const PlotLine& line : kPlotLines) {
      highest = std::max(highest, static_cast<double>(counts.*line.member));
    }
  }
  double label_x = kPlotMargin;
  for (const PlotLine& line : kPlotLines) {
    if (!totals.seconds.empty()) {
      WritePlotLine(out, line, totals.seconds, highest);
    }
    out << "<text x=\"" << label_x << "\" y=\"20\" fill=\"" << line.colour << "\">" << line.name
        << "</text>\n";
    label_x += 80;
  }
  out << "<text x=\"4\" y=\"" << kPlotMargin << "\">" << highest << "</text>\n"
      << "<text x=\"" << kPlotMargin << "\" y=\"" << kPlotHeight - 10
      << "\">requests per second over " << totals.seconds.size() << " s</text>\n</svg>\n";
  return out.str();
}

}  // namespace geraniumspread::load
