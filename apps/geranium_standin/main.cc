#include <gflags/gflags.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <csignal>
#include <iostream>

#include "standin/standin_host.h"

DEFINE_string(settings, "", "TOML file that lists what to host (docs/standins.md)");

namespace geraniumspread::standin {
namespace {

enum ExitCode : int { kStopped = 0, kPortTaken = 1, kBadUsage = 2 };

void Log(std::string_view level, std::string_view event, std::string_view message) {
  boost::json::object line;
  line["time"] = std::chrono::duration_cast<std::chrono::milliseconds>(
                     std::chrono::system_clock::now().time_since_epoch())
                     .count();
  line["level"] = level;
  line["program"] = "geranium_standin";
  line["event"] = event;
  line["message"] = message;
  std::cerr << boost::json::serialize(line) << '\n';
}

int Run() {
  if (FLAGS_settings.empty()) {
    Log("error", "usage", "the flag --settings is missing");
    return kBadUsage;
  }
  auto settings = ReadPlatformSettings(FLAGS_settings);
  if (!settings) {
    Log("error", "invalid_settings", ToString(settings.error()));
    return kBadUsage;
  }
  boost::asio::io_context io;
  StandinHost host(io.get_executor(), std::move(settings).value());
  if (const auto reason = host.Start(); reason) {
    Log("error", "start_failed", *reason);
    return kPortTaken;
  }
  boost::asio::signal_set signals(io, SIGINT, SIGTERM);
  signals.async_wait([&host](const boost::system::error_code&, int) {
    Log("info", "stopping", "a stop signal arrived");
    host.Stop();
  });
  Log("info", "started", FLAGS_settings);
  // Returns once the last connection has ended after Stop.
  io.run();
  Log("info", "stopped", "all connections are closed");
  return kStopped;
}

}  // namespace
}  // namespace geraniumspread::standin

int main(int argc, char** argv) {
  gflags::SetUsageMessage(
      "hosts stand-ins of the platform and of upstreams\n"
      "  geranium_standin --settings=platform.toml\n"
      "Exit codes: 0 stopped by a signal, 1 a port can't be opened, 2 bad flags or settings.");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return geraniumspread::standin::Run();
}
