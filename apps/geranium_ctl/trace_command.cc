#include "geranium_ctl/trace_command.h"

#include <algorithm>
#include <array>
#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <fstream>
#include <map>
#include <set>

namespace geraniumspread::ctl {
namespace {

namespace json = boost::json;

// Beliefs that concern each request of an instance, whatever its upstream.
constexpr std::array<std::string_view, 7> kGeneralBeliefs = {
    "config_in_force", "failure_domain", "failure_domain_silent", "store_lost",
    "store_reached",   "signal",         "woke_after_standstill"};
// Lines of this many beliefs before the request are shown for each instance.
constexpr std::size_t kMostBeliefs = 12;

std::string TextOf(const json::object& fields, std::string_view name) {
  const json::value* value = fields.if_contains(name);
  return value != nullptr && value->is_string() ? std::string(value->as_string()) : std::string();
}

bool IsBeliefAbout(const LogLine& line, const std::set<std::string>& upstreams) {
  if (std::ranges::find(kGeneralBeliefs, line.event) != kGeneralBeliefs.end()) {
    return true;
  }
  return line.event.starts_with("upstream_") && upstreams.contains(TextOf(line.fields, "upstream"));
}

void PrintText(const RequestTrace& trace, std::ostream& out) {
  static const std::set<std::string_view> kShownAlready{"time", "level", "instance", "event",
                                                        "request_id"};
  for (const LogLine& line : trace.lines) {
    out << line.time << "  " << line.instance << "  " << line.event;
    for (const auto& [name, value] : line.fields) {
      if (!kShownAlready.contains(std::string_view(name.data(), name.size()))) {
        out << "  " << std::string_view(name.data(), name.size()) << "=" << json::serialize(value);
      }
    }
    out << "\n";
  }
  if (trace.unreadable > 0) {
    out << trace.unreadable << " lines of the logs can't be read\n";
  }
}

void PrintJson(const RequestTrace& trace, std::ostream& out) {
  json::array lines;
  for (const LogLine& line : trace.lines) {
    lines.emplace_back(line.fields);
  }
  out << json::serialize(
             json::object{{"lines", std::move(lines)}, {"unreadable", trace.unreadable}})
      << "\n";
}

}  // namespace

std::vector<LogLine> ReadLog(std::istream& log, std::size_t& unreadable) {
  std::vector<LogLine> lines;
  for (std::string text; std::getline(log, text);) {
    const auto start = text.find('{');
    boost::system::error_code error;
    const json::value value =
        start == std::string::npos ? json::value() : json::parse(text.substr(start), error);
    if (error || !value.is_object()) {
      ++unreadable;
      continue;
    }
    const json::object& fields = value.as_object();
    lines.push_back(
        {TextOf(fields, "time"), TextOf(fields, "instance"), TextOf(fields, "event"), fields});
  }
  return lines;
}

RequestTrace TraceRequest(const std::vector<LogLine>& log, std::string_view request_id) {
  RequestTrace trace;
  std::set<std::string> upstreams;
  // The last line about the request, by instance.
  std::map<std::string, std::string> handled_until;
  for (const LogLine& line : log) {
    if (TextOf(line.fields, "request_id") == request_id) {
      trace.lines.push_back(line);
      upstreams.insert(TextOf(line.fields, "upstream"));
      std::string& until = handled_until[line.instance];
      until = std::max(until, line.time);
    }
  }
  trace.own_lines = trace.lines.size();
  for (const auto& [instance, until] : handled_until) {
    std::vector<LogLine> beliefs;
    std::ranges::copy_if(log, std::back_inserter(beliefs), [&](const LogLine& line) {
      return line.instance == instance && line.time <= until && IsBeliefAbout(line, upstreams);
    });
    std::ranges::stable_sort(beliefs, {}, &LogLine::time);
    const std::size_t shown = std::min(beliefs.size(), kMostBeliefs);
    trace.lines.insert(trace.lines.end(), beliefs.end() - static_cast<std::ptrdiff_t>(shown),
                       beliefs.end());
  }
  std::ranges::stable_sort(trace.lines, {}, &LogLine::time);
  return trace;
}

ExitCode ShowTrace(const CommandLine& line, std::ostream& out) {
  if (line.arguments.size() < 2) {
    throw CommandError{ExitCode::kUsage, "trace needs a request id and a log; see --help"};
  }
  std::vector<LogLine> log;
  std::size_t unreadable = 0;
  for (std::size_t index = 1; index < line.arguments.size(); ++index) {
    std::ifstream file(line.arguments[index]);
    if (!file) {
      throw CommandError{ExitCode::kUnavailable, "can't read " + line.arguments[index]};
    }
    std::vector<LogLine> lines = ReadLog(file, unreadable);
    std::ranges::move(lines, std::back_inserter(log));
  }
  RequestTrace trace = TraceRequest(log, line.arguments.front());
  trace.unreadable = unreadable;
  if (trace.own_lines == 0) {
    throw CommandError{ExitCode::kInvalid, "no line names the request " + line.arguments.front()};
  }
  if (line.as_json) {
    PrintJson(trace, out);
  } else {
    PrintText(trace, out);
  }
  return ExitCode::kSuccess;
}

}  // namespace geraniumspread::ctl
