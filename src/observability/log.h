#ifndef OBSERVABILITY_LOG_H_
#define OBSERVABILITY_LOG_H_

#include <boost/json/value.hpp>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <type_traits>

// Logs as JSON lines: {"time", "level", "event", ...fields}. `event` is a
// stable snake_case name that runbooks refer to.
namespace geraniumspread::observability {

enum class LogLevel : std::uint8_t { kDebug, kInfo, kWarn, kError };

struct LogOptions {
  std::string level = "info";  // debug, info, warn, error
  std::string file;            // empty: standard error
  std::string instance;        // added to each line
  // Writes to standard output and never waits for its reader: lines that don't
  // fit, or go beyond `bytes_per_second`, are dropped and counted. The last half
  // of the budget is left to warnings and errors.
  bool to_standard_output = false;
  std::size_t bytes_per_second = std::size_t{64} * 1024;
};

// A named value of a log line.
struct LogField {
  LogField(std::string_view field_name, std::string_view text) : name(field_name), value(text) {}
  LogField(std::string_view field_name, const std::string& text)
      : name(field_name), value(std::string_view(text)) {}
  LogField(std::string_view field_name, const char* text) : name(field_name), value(text) {}
  template <typename Number>
    requires std::is_arithmetic_v<Number>
  LogField(std::string_view field_name, Number number) : name(field_name), value(number) {}

  std::string_view name;
  boost::json::value value;
};

bool IsLogLevel(std::string_view name);
// Sets up the logger of the process. Call once, before the first event.
void InitializeLog(const LogOptions& options);
void LogEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields = {});
// Flushes pending lines and drops later events. Waits only briefly for a reader of the output.
void CloseLog();
// Closes the log and ends the process without static destructors. The log library
// starts threads while it is loaded and joins them in its own, which may not return
// where these threads are not scheduled.
[[noreturn]] void CloseLogAndExit(int exit_code);

}  // namespace geraniumspread::observability

#endif  // OBSERVABILITY_LOG_H_
