#include "observability/log.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/fileappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <memory>

namespace geraniumspread::observability {
namespace {

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

log4cplus::LogLevel ParseLevel(std::string_view name) {
  for (const LogLevel level :
       {LogLevel::kDebug, LogLevel::kInfo, LogLevel::kWarn, LogLevel::kError}) {
    if (LevelName(level) == name) {
      return ToLibraryLevel(level);
    }
  }
  return log4cplus::INFO_LOG_LEVEL;
}

std::string CurrentTime() {
  return log4cplus::helpers::getFormattedTime("%Y-%m-%dT%H:%M:%S.%qZ", log4cplus::helpers::now(),
                                              true);
}

}  // namespace

void InitializeLog(const LogOptions& options) {
  LogState& state = State();
  state.initializer = std::make_unique<log4cplus::Initializer>();
  state.instance = options.instance;
  state.logger = log4cplus::Logger::getInstance("geraniumspread");
  state.logger.setLogLevel(ParseLevel(options.level));
  state.logger.setAdditivity(false);
  log4cplus::SharedAppenderPtr appender;
  if (options.file.empty()) {
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

}  // namespace geraniumspread::observability
