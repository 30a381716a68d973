#include <gflags/gflags.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <functional>
#include <iostream>

#include "observability/log.h"
#include "router/router.h"
#include "settings/router_settings.h"

DEFINE_string(settings, "", "TOML settings file of this router (required)");
DEFINE_bool(check, false, "check the settings and exit");

namespace {

constexpr int kExitUsage = 2;
constexpr int kExitBadSettings = 3;
constexpr int kExitCannotStart = 4;

constexpr const char* kUsage =
    "Routes requests to model engines and plain services.\n"
    "  geranium_router --settings=FILE [--check]\n"
    "SIGTERM and SIGINT start a graceful stop; a second one stops at once.\n"
    "Exit codes: 0 stopped, 2 wrong flags, 3 bad settings, 4 a port can't be opened";

int RunRouter(const geraniumspread::settings::RouterSettings& settings) {
  boost::asio::io_context io(1);
  geraniumspread::router::Router router(io, settings);
  if (const auto started = router.Start(); !started) {
    std::cerr << "geranium_router: " << started.error().message << '\n';
    return kExitCannotStart;
  }
  boost::asio::signal_set signals(io, SIGTERM, SIGINT);
  bool is_stopping = false;
  std::function<void()> wait_for_signal = [&] {
    signals.async_wait([&](const boost::system::error_code& error, int) {
      if (error || is_stopping) {
        io.stop();
        return;
      }
      is_stopping = true;
      router.BeginStop([&io] { io.stop(); });
      wait_for_signal();
    });
  };
  wait_for_signal();
  io.run();
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  gflags::SetUsageMessage(kUsage);
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  if (FLAGS_settings.empty() || argc > 1) {
    std::cerr << "geranium_router: "
              << (argc > 1 ? std::string("unexpected argument \"") + argv[1] + "\""
                           : std::string("--settings is missing"))
              << "; see --help\n";
    return kExitUsage;
  }
  const auto settings = geraniumspread::settings::LoadRouterSettings(FLAGS_settings);
  if (!settings) {
    std::cerr << ToString(settings.error()) << '\n';
    return kExitBadSettings;
  }
  if (FLAGS_check) {
    std::cout << FLAGS_settings << ": ok\n";
    return 0;
  }
  geraniumspread::observability::InitializeLog({.level = settings.value().log.level,
                                                .file = settings.value().log.file,
                                                .instance = settings.value().instance.id});
  geraniumspread::observability::CloseLogAndExit(RunRouter(settings.value()));
}
