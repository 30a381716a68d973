#include <boost/json/parse.hpp>
#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <fstream>

#include "observability/log.h"
#include "observability/metrics.h"
#include "observability/trace.h"

namespace geraniumspread::observability {
namespace {

std::filesystem::path TemporaryFile(std::string_view name) {
  const auto path = std::filesystem::temp_directory_path() / name;
  std::filesystem::remove(path);
  return path;
}

std::string FirstLine(const std::filesystem::path& path) {
  std::ifstream stream(path);
  std::string line;
  std::getline(stream, line);
  return line;
}

// Guards against a hop that starts a new trace although the caller sent a valid header.
BOOST_AUTO_TEST_CASE(TraceparentRoundTrip) {
  const std::string header = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";
  const TraceContext context = ParseTraceparent(header).value_or(TraceContext{});
  BOOST_TEST(FormatTraceparent(context) == header);
  const TraceContext child = MakeSpanContext(context);
  BOOST_TEST(child.trace_id == context.trace_id);
  BOOST_TEST(child.span_id != context.span_id);
  for (const std::string_view bad :
       {"", "00-short", "01-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01",
        "00-00000000000000000000000000000000-00f067aa0ba902b7-01",
        "00-4BF92F3577B34DA6A3CE929D0E0E4736-00f067aa0ba902b7-01"}) {
    BOOST_TEST(!ParseTraceparent(bad).has_value(), "accepted: " << bad);
  }
}

// Guards against exported spans that can't be read back or lose their parent.
BOOST_AUTO_TEST_CASE(ExportsSpanAsOtlpJson) {
  const auto path = TemporaryFile("geranium_trace_test.jsonl");
  SpanExporter exporter;
  BOOST_REQUIRE(exporter.Open(path.string(), "router-1"));
  const TraceContext parent = MakeSpanContext(std::nullopt);
  {
    ScopedSpan span(exporter, "entry", parent);
  }
  const auto line = boost::json::parse(FirstLine(path));
  const auto& span = line.at_pointer("/resourceSpans/0/scopeSpans/0/spans/0");
  BOOST_TEST(span.at("parentSpanId").as_string() == parent.span_id);
  BOOST_TEST(span.at("traceId").as_string() == parent.trace_id);
}

// Guards against log lines that a field with quotes or line ends breaks apart.
BOOST_AUTO_TEST_CASE(LogLineIsOneJsonObject) {
  const auto path = TemporaryFile("geranium_log_test.jsonl");
  InitializeLog({.level = "info", .file = path.string(), .instance = "router-1"});
  LogEvent(LogLevel::kDebug, "not_written");
  LogEvent(LogLevel::kWarn, "test_event", {{"text", "a \"quoted\"\nvalue"}, {"count", 3}});
  const auto line = boost::json::parse(FirstLine(path));
  BOOST_TEST(line.at("event").as_string() == "test_event");
  BOOST_TEST(line.at("text").as_string() == "a \"quoted\"\nvalue");
  BOOST_TEST(line.at("instance").as_string() == "router-1");
}

// Guards against a metric that is registered twice or loses its labels.
BOOST_AUTO_TEST_CASE(MetricsRenderInTextFormat) {
  Metrics metrics;
  metrics.Count("geranium_requests_total", {{"code", "200"}});
  metrics.Count("geranium_requests_total", {{"code", "200"}}, 2);
  metrics.SetGauge("geranium_config_version", 7);
  metrics.ObserveSeconds("geranium_first_token_seconds", 0.02);
  const std::string text = metrics.Render();
  BOOST_TEST(text.find("geranium_requests_total{code=\"200\"} 3") != std::string::npos);
  BOOST_TEST(text.find("geranium_config_version 7") != std::string::npos);
  BOOST_TEST(text.find("geranium_first_token_seconds_count 1") != std::string::npos);
}

}  // namespace
}  // namespace geraniumspread::observability
