#include "observability/log.h"

#include <fcntl.h>
#include <log4cplus/appender.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/fileappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <log4cplus/spi/loggingevent.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <chrono>
#include <cstdlib>
#include <memory>
#include <string>

#include "common/runtime_clock.h"

namespace geraniumspread::observability {
namespace {

// Failed and refused requests are logged as warnings and keep their lines longest.
constexpr double kBudgetShareForWarnings = 0.5;
// How long the end of the process waits for the reader of its last lines.
constexpr std::chrono::milliseconds kCloseFlushTimeout{100};

// Writes lines to a descriptor that may be a full pipe. A budget in bytes bounds
// the volume under load.
class BoundedOutputAppender final : public log4cplus::Appender {
 public:
  BoundedOutputAppender(int output, std::size_t bytes_per_second)
      : descriptor(output),
        rate(static_cast<double>(bytes_per_second)),
        budget(rate),
        budget_updated_at(RuntimeClock::now()) {
    fcntl(this->descriptor, F_SETFL, fcntl(this->descriptor, F_GETFL) | O_NONBLOCK);
  }
  BoundedOutputAppender(const BoundedOutputAppender&) = delete;
  BoundedOutputAppender& operator=(const BoundedOutputAppender&) = delete;
  ~BoundedOutputAppender() override { this->destructorImpl(); }

  void close() override {
    this->closed = true;
    pollfd writable{this->descriptor, POLLOUT, 0};
    if (!this->Flush() && poll(&writable, 1, static_cast<int>(kCloseFlushTimeout.count())) > 0) {
      this->Flush();
    }
  }

 protected:
  void append(const log4cplus::spi::InternalLoggingEvent& event) override {
    std::string line = event.getMessage() + '\n';
    if (this->dropped > 0) {
      line =
          R"({"event":"log_lines_dropped","count":)" + std::to_string(this->dropped) + "}\n" + line;
    }
    const double reserve =
        event.getLogLevel() >= log4cplus::WARN_LOG_LEVEL ? 0 : this->rate * kBudgetShareForWarnings;
    if (!this->SpendBudget(line.size(), reserve) || !this->Write(line)) {
      ++this->dropped;
      return;
    }
    this->dropped = 0;
  }

 private:
  bool SpendBudget(std::size_t bytes, double reserve) {
    const TimePoint now = RuntimeClock::now();
    const double elapsed = std::chrono::duration<double>(now - this->budget_updated_at).count();
    this->budget_updated_at = now;
    this->budget = std::min(this->rate, this->budget + elapsed * this->rate);
    if (this->budget < static_cast<double>(bytes) + reserve) {
      return false;
    }
    this->budget -= static_cast<double>(bytes);
    return true;
  }

  // A line that was written in part is finished before the next one.
  bool Write(const std::string& line) {
    if (!this->Flush()) {
      return false;
    }
    this->unwritten = line;
    this->Flush();
    return true;
  }

  bool Flush() {
    while (!this->unwritten.empty()) {
      const ssize_t count =
          ::write(this->descriptor, this->unwritten.data(), this->unwritten.size());
      if (count <= 0) {
        return false;
      }
      this->unwritten.erase(0, static_cast<std::size_t>(count));
    }
    return true;
  }

  int descriptor;
  double rate;
  double budget;
  TimePoint budget_updated_at;
  std::string unwritten;
  std::size_t dropped = 0;
};

struct LogState {
  std::unique_ptr<log4cplus::Initializer> initializer;
  log4cplus::Logger logger;
  std::string instance;
};

LogState& State() {
  static LogState state;
  return state;
}

log4cplus::LogLevel ToLibraryLevel(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return log4cplus::DEBUG_LOG_LEVEL;
    case LogLevel::kInfo:
      return log4cplus::INFO_LOG_LEVEL;
    case LogLevel::kWarn:
      return log4cplus::WARN_LOG_LEVEL;
    case LogLevel::kError:
      return log4cplus::ERROR_LOG_LEVEL;
  }
  return log4cplus::INFO_LOG_LEVEL;
}

std::string_view LevelName(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return "debug";
    case LogLevel::kInfo:
      return "info";
    case LogLevel::kWarn:
      return "warn";
    case LogLevel::kError:
      return "error";
  }
  return "info";
}

constexpr std::array<LogLevel, 4> kLevels = {LogLevel::kDebug, LogLevel::kInfo, LogLevel::kWarn,
                                             LogLevel::kError};

log4cplus::LogLevel ParseLevel(std::string_view name) {
  const auto* const level = std::ranges::find(kLevels, name, LevelName);
  return level == kLevels.end() ? log4cplus::INFO_LOG_LEVEL : ToLibraryLevel(*level);
}

std::string CurrentTime() {
  return log4cplus::helpers::getFormattedTime("%Y-%m-%dT%H:%M:%S.%qZ", log4cplus::helpers::now(),
                                              true);
}

}  // namespace

bool IsLogLevel(std::string_view name) {
  return std::ranges::find(kLevels, name, LevelName) != kLevels.end();
}

void InitializeLog(const LogOptions& options) {
  LogState& state = State();
  state.initializer = std::make_unique<log4cplus::Initializer>();
  state.instance = options.instance;
  state.logger = log4cplus::Logger::getInstance("geraniumspread");
  state.logger.setLogLevel(ParseLevel(options.level));
  state.logger.setAdditivity(false);
  log4cplus::SharedAppenderPtr appender;
  if (options.to_standard_output) {
    appender = new BoundedOutputAppender(STDOUT_FILENO, options.bytes_per_second);
  } else if (options.file.empty()) {
    appender = new log4cplus::ConsoleAppender(/*logToStdErr=*/true, /*immediateFlush=*/true);
  } else {
    appender = new log4cplus::FileAppender(options.file, std::ios_base::app);
  }
  // The message is the whole JSON line; the layout only adds the line end.
  appender->setLayout(std::make_unique<log4cplus::PatternLayout>("%m%n"));
  state.logger.addAppender(appender);
}

void LogEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields) {
  LogState& state = State();
  if (!state.initializer || !state.logger.isEnabledFor(ToLibraryLevel(level))) {
    return;
  }
  boost::json::object line;
  line["time"] = CurrentTime();
  line["level"] = LevelName(level);
  line["instance"] = state.instance;
  line["event"] = event;
  for (const auto& [name, value] : fields) {
    line[name] = value;
  }
  state.logger.forcedLog(ToLibraryLevel(level), boost::json::serialize(line));
}

void CloseLog() {
  LogState& state = State();
  if (state.initializer) {
    log4cplus::Logger::shutdown();
    state.logger.setLogLevel(log4cplus::OFF_LOG_LEVEL);
  }
}

void CloseLogAndExit(int exit_code) {
  CloseLog();
  std::quick_exit(exit_code);
}

}  // namespace geraniumspread::observability
