#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <boost/json/parse.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>

#include "common/runtime_clock.h"
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

// Standard output is another file while this object lives.
class RedirectedOutput {
 public:
  explicit RedirectedOutput(int target) : saved(dup(STDOUT_FILENO)) { dup2(target, STDOUT_FILENO); }
  RedirectedOutput(const RedirectedOutput&) = delete;
  RedirectedOutput& operator=(const RedirectedOutput&) = delete;
  ~RedirectedOutput() {
    dup2(this->saved, STDOUT_FILENO);
    close(this->saved);
  }

 private:
  int saved;
};

constexpr std::size_t kBytesPerSecond = 10'000;
constexpr int kFloodLines = 20'000;

void LogFlood(LogLevel level, std::string_view event) {
  for (int line = 0; line < kFloodLines; ++line) {
    LogEvent(level, event, {{"request_id", "82a8c1e03036b05c"}});
  }
}

std::size_t CountLines(const std::filesystem::path& path, std::string_view event) {
  std::ifstream stream(path);
  std::size_t count = 0;
  for (std::string line; std::getline(stream, line);) {
    count += boost::json::parse(line).at("event").as_string() == event ? 1 : 0;
  }
  return count;
}

// Load pattern: refusals by the thousand within one second.
// Guards against a log without bound, and against successes that take the place of failures.
BOOST_AUTO_TEST_CASE(LogStaysWithinItsBudgetAndKeepsWarningsLongest) {
  const ScopedPausedClock clock;
  const auto path = TemporaryFile("geranium_log_bound_test.jsonl");
  const int file = open(path.c_str(), O_WRONLY | O_CREAT, 0600);
  {
    const RedirectedOutput output(file);
    InitializeLog(
        {.instance = "edge-1", .to_standard_output = true, .bytes_per_second = kBytesPerSecond});
    LogFlood(LogLevel::kInfo, "attempt");
    const auto after_successes = std::filesystem::file_size(path);
    BOOST_TEST(after_successes > kBytesPerSecond / 4);
    BOOST_TEST(after_successes <= kBytesPerSecond / 2);
    LogFlood(LogLevel::kWarn, "request_refused");
    BOOST_TEST(std::filesystem::file_size(path) <= kBytesPerSecond);
    BOOST_TEST(CountLines(path, "request_refused") > 10U);
    RuntimeClock::Advance(std::chrono::seconds(1));
    LogEvent(LogLevel::kInfo, "config_in_force");
    BOOST_TEST(CountLines(path, "log_lines_dropped") >= 1U);
    BOOST_TEST(CountLines(path, "config_in_force") == 1U);
  }
  InitializeLog({.file = TemporaryFile("geranium_log_after_test.jsonl").string()});
  close(file);
}

// Guards against an event loop that waits for a reader of its output: a whole second of lines
// doesn't fit into a pipe that nobody reads.
BOOST_AUTO_TEST_CASE(FullPipeBlocksNothingAndBreaksNoLine) {
  std::array<int, 2> ends{};
  BOOST_REQUIRE(pipe(ends.data()) == 0);
  std::string received;
  {
    const RedirectedOutput output(ends[1]);
    InitializeLog({.instance = "edge-1",
                   .to_standard_output = true,
                   .bytes_per_second = std::size_t{1} << 30U});
    // Returning at all is the check: a blocking write would wait forever.
    LogFlood(LogLevel::kWarn, "request_refused");
    std::array<char, 65'536> chunk{};
    const ssize_t first = read(ends[0], chunk.data(), chunk.size());
    received.append(chunk.data(), static_cast<std::size_t>(first));
    LogEvent(LogLevel::kInfo, "config_in_force");
  }
  InitializeLog({.file = TemporaryFile("geranium_log_after_test.jsonl").string()});
  close(ends[1]);
  std::array<char, 65'536> chunk{};
  for (ssize_t count = read(ends[0], chunk.data(), chunk.size()); count > 0;
       count = read(ends[0], chunk.data(), chunk.size())) {
    received.append(chunk.data(), static_cast<std::size_t>(count));
  }
  close(ends[0]);
  std::istringstream lines(received);
  std::string last;
  bool told = false;
  for (std::string line; std::getline(lines, line);) {
    const boost::json::value parsed = boost::json::parse(line);
    told = told || parsed.at("event").as_string() == "log_lines_dropped";
    last = parsed.at("event").as_string();
  }
  BOOST_TEST(told);
  BOOST_TEST(last == "config_in_force");
}

// Guards against a metric that is registered twice or loses its labels.
BOOST_AUTO_TEST_CASE(MetricsRenderInTextFormat) {
  Metrics metrics;
  metrics.Count("geranium_requests_total", {{"code", "200"}});
  metrics.Count("geranium_requests_total", {{"code", "200"}}, 2);
  metrics.SetGauge("geranium_config_version", 7);
  metrics.ObserveTime("geranium_first_token_seconds", std::chrono::milliseconds(20));
  const std::string text = metrics.Render();
  BOOST_TEST(text.find("geranium_requests_total{code=\"200\"} 3") != std::string::npos);
  BOOST_TEST(text.find("geranium_config_version 7") != std::string::npos);
  BOOST_TEST(text.find("geranium_first_token_seconds_count 1") != std::string::npos);
}

// Guards against a planned stop that ends in a kill: a static destructor of a
// library joined threads that never ended. The last line must be out by then.
BOOST_AUTO_TEST_CASE(AProcessEndsAfterItsLogThoughADestructorHangs) {
  std::array<int, 2> ends{};
  BOOST_REQUIRE(pipe(ends.data()) == 0);
  const pid_t child = fork();
  BOOST_REQUIRE(child >= 0);
  if (child == 0) {
    dup2(ends[1], STDOUT_FILENO);
    std::atexit([] {
      while (true) {
        pause();
      }
    });
    InitializeLog({.instance = "edge-1", .to_standard_output = true});
    LogEvent(LogLevel::kInfo, "stopped");
    CloseLogAndExit(7);
  }
  close(ends[1]);
  int status = 0;
  pid_t ended = 0;
  constexpr int kTries = 100;
  for (int tries = 0; tries < kTries && ended == 0; ++tries) {
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    ended = waitpid(child, &status, WNOHANG);
  }
  if (ended == 0) {
    kill(child, SIGKILL);
    waitpid(child, &status, 0);
  }
  BOOST_TEST(ended == child);
  BOOST_TEST((WIFEXITED(status) && WEXITSTATUS(status) == 7));
  std::array<char, 1024> text{};
  const ssize_t count = read(ends[0], text.data(), text.size());
  close(ends[0]);
  BOOST_TEST_REQUIRE(count > 0);
  BOOST_TEST(std::string_view(text.data(), static_cast<std::size_t>(count)).find("stopped") !=
             std::string_view::npos);
}

}  // namespace
}  // namespace geraniumspread::observability
