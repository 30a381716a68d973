#include <gflags/gflags.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <functional>
#include <iostream>
#include <utility>

#include "common/runtime_timer.h"
#include "edge/edge.h"
#include "observability/log.h"
#include "platform/settings.h"
#include "platform/store_client.h"
#include "platform/wire_codec.h"

DEFINE_string(settings, "", "settings file; the default is the path that the platform names");
DEFINE_uint64(log_one_in, 16, "log one in this many requests that succeed at once");
DEFINE_string(log_level, "info", "least level of logged events: debug, info, warn or error");
DEFINE_bool(check, false, "check the settings and exit");

namespace {

using geraniumspread::edge::Edge;
using geraniumspread::edge::EdgeSettings;
using geraniumspread::observability::LogEvent;
using geraniumspread::observability::LogLevel;

constexpr int kExitUsage = 2;
constexpr int kExitBadSettings = 3;
constexpr int kExitCannotStart = 4;
// Ports of an ended process and its connections are free again within this time.
constexpr geraniumspread::Duration kMaxStartTime = std::chrono::seconds(70);
constexpr geraniumspread::Duration kStartRetryInterval = std::chrono::milliseconds(50);
// The settings may change without a signal.
constexpr geraniumspread::Duration kSettingsCheckInterval = std::chrono::seconds(1);

constexpr const char* kUsage =
    "Takes requests from callers and sends each to an upstream.\n"
    "  geranium_edge [--settings=FILE] [--check]\n"
    "SIGTERM starts a graceful stop, SIGHUP reads the settings again.\n"
    "Exit codes: 0 stopped, 2 wrong flags, 3 bad settings, 4 a port can't be opened";

std::filesystem::file_time_type ChangeTime(const std::string& path) {
  std::error_code error;
  return std::filesystem::last_write_time(path, error);
}

struct Program {
  Program(std::string settings_path, const EdgeSettings& settings)
      : path(std::move(settings_path)),
        io(1),
        edge(io, settings, geraniumspread::platform::MakeCodec()),
        signals(io, SIGTERM, SIGINT, SIGHUP),
        check_timer(io),
        start_until(geraniumspread::RuntimeClock::now() + kMaxStartTime),
        changed_at(ChangeTime(path)) {}

  std::string path;
  boost::asio::io_context io;
  Edge edge;
  boost::asio::signal_set signals;
  geraniumspread::RuntimeTimer check_timer;
  geraniumspread::TimePoint start_until;
  bool started = false;
  bool start_delayed = false;
  int exit_code = 0;
  std::filesystem::file_time_type changed_at;
};

void Reload(Program& program) {
  program.changed_at = ChangeTime(program.path);
  const auto settings = geraniumspread::platform::ReadSettings(program.path);
  if (!settings) {
    LogEvent(LogLevel::kError, "settings_refused", {{"reason", settings.error().message}});
    return;
  }
  program.edge.Reload(settings.value());
  LogEvent(LogLevel::kInfo, "settings_reloaded",
           {{"seeds", settings.value().seed_addresses.size()}});
}

void HandleSignals(Program& program) {
  program.signals.async_wait([&program](const boost::system::error_code& error, int signal) {
    if (error) {
      return;
    }
    LogEvent(LogLevel::kInfo, "signal", {{"number", signal}});
    if (signal == SIGHUP) {
      Reload(program);
    } else if (!program.started) {
      program.io.stop();
    } else {
      program.edge.Stop([&program] { program.io.stop(); });
    }
    HandleSignals(program);
  });
}

void WatchSettings(Program& program) {
  program.check_timer.expires_after(kSettingsCheckInterval);
  program.check_timer.async_wait([&program](const boost::system::error_code& error) {
    if (error) {
      return;
    }
    if (ChangeTime(program.path) != program.changed_at) {
      Reload(program);
    }
    WatchSettings(program);
  });
}

geraniumspread::platform::StoreCallbacks MakeStoreCallbacks(Edge& edge) {
  geraniumspread::platform::StoreCallbacks callbacks;
  callbacks.on_state = [&edge](auto items, geraniumspread::dispatch::StorePosition position) {
    edge.OnPublishedState(std::move(items), position);
  };
  callbacks.on_changes = [&edge](auto changes, geraniumspread::dispatch::StorePosition position) {
    edge.OnPublishedChanges(std::move(changes), position);
  };
  callbacks.on_reachable = [&edge](bool reachable) { edge.OnFeedReachable(reachable); };
  callbacks.on_call = [&edge](geraniumspread::Duration elapsed, bool answered) {
    edge.RecordFeedCall(elapsed, answered);
  };
  callbacks.on_confirmed = [&edge](geraniumspread::TimePoint confirmed_at) {
    edge.OnFeedConfirmed(confirmed_at);
  };
  callbacks.read_mode = [&edge] { return edge.UpdateStoreReadMode(); };
  callbacks.freshness = [&edge]() -> const geraniumspread::dispatch::FreshnessSettings& {
    return edge.FreshnessBounds();
  };
  callbacks.position = [&edge] { return edge.PublishedPosition(); };
  return callbacks;
}

void RunStarted(Program& program, const EdgeSettings& settings) {
  program.started = true;
  LogEvent(LogLevel::kInfo, "started",
           {{"failure_domain", settings.failure_domain},
            {"address", settings.address},
            {"seeds", settings.seed_addresses.size()}});
  WatchSettings(program);
  boost::asio::co_spawn(program.io,
                        geraniumspread::platform::FollowStore(program.io, settings.store_endpoint,
                                                              MakeStoreCallbacks(program.edge)),
                        boost::asio::detached);
}

// Starts the instance, and tries again while a port is in use.
void Start(Program& program, const EdgeSettings& settings) {
  const auto started = program.edge.Start();
  if (started) {
    RunStarted(program, settings);
    return;
  }
  if (!started.error().is_port_in_use ||
      geraniumspread::RuntimeClock::now() >= program.start_until) {
    LogEvent(LogLevel::kError, "start_failed", {{"reason", started.error().message}});
    program.exit_code = kExitCannotStart;
    program.io.stop();
    return;
  }
  if (!std::exchange(program.start_delayed, true)) {
    LogEvent(LogLevel::kWarn, "start_delayed", {{"reason", started.error().message}});
  }
  program.check_timer.expires_after(kStartRetryInterval);
  program.check_timer.async_wait([&program, &settings](const boost::system::error_code& error) {
    if (!error) {
      Start(program, settings);
    }
  });
}

int Run(const std::string& path, const EdgeSettings& settings) {
  Program program(path, settings);
  HandleSignals(program);
  Start(program, settings);
  program.io.run();
  return program.exit_code;
}

}  // namespace

int main(int argc, char** argv) {
  // Until the handler is set, SIGHUP would end the process.
  std::signal(SIGHUP, SIG_IGN);
  gflags::SetUsageMessage(kUsage);
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  if (argc > 1) {
    std::cerr << "geranium_edge: unknown argument \"" << argv[1] << "\"\n" << kUsage << '\n';
    return kExitUsage;
  }
  if (!geraniumspread::observability::IsLogLevel(FLAGS_log_level)) {
    std::cerr << "geranium_edge: --log_level: \"" << FLAGS_log_level << "\" is no level\n"
              << kUsage << '\n';
    return kExitUsage;
  }
  const char* named = std::getenv(geraniumspread::platform::kSettingsVariable);
  const std::string path = !FLAGS_settings.empty() ? FLAGS_settings : named != nullptr ? named : "";
  if (path.empty()) {
    std::cerr << "geranium_edge: no settings file is named\n" << kUsage << '\n';
    return kExitUsage;
  }
  auto settings = geraniumspread::platform::ReadSettings(path);
  if (!settings) {
    std::cerr << "geranium_edge: " << settings.error().message << '\n';
    return kExitBadSettings;
  }
  settings.value().log_one_in = std::max<std::uint64_t>(FLAGS_log_one_in, 1);
  if (FLAGS_check) {
    return 0;
  }
  std::signal(SIGPIPE, SIG_IGN);
  geraniumspread::observability::InitializeLog({.level = FLAGS_log_level,
                                                .instance = settings.value().instance,
                                                .to_standard_output = true});
  geraniumspread::observability::CloseLogAndExit(Run(path, settings.value()));
}
