#ifndef SETTINGS_SETTINGS_TYPES_H_
#define SETTINGS_SETTINGS_TYPES_H_

#include <cstdint>
#include <string>
#include <vector>

#include "common/result.h"
#include "common/runtime_clock.h"

// Settings of one router process. What operators decide for the whole fleet is
// in the published configuration and not here.
namespace geraniumspread::settings {

struct Address {
  std::string address;
  std::uint16_t port = 0;
};

struct InstanceSettings {
  std::string id;
  std::string failure_domain;
};

struct ListenSettings {
  std::string address = "127.0.0.1";
  std::uint16_t public_port = 0;
  std::uint16_t peer_port = 0;
  std::uint16_t control_port = 0;
};

struct PlatformSettings {
  Address config_service;
  Address instance_list;
  Duration instance_list_period = std::chrono::seconds(1);
};

struct LimitSettings {
  std::uint32_t max_header_bytes = 16 * 1024;
  std::uint64_t max_body_bytes = std::uint64_t{4} << 20U;
  std::uint64_t max_answer_bytes = std::uint64_t{16} << 20U;
  std::uint32_t max_connections = 10'000;
  std::uint32_t max_concurrent_requests = 20'000;
  Duration read_timeout = std::chrono::seconds(20);
  Duration idle_timeout = std::chrono::seconds(60);
};

struct UpstreamSettings {
  Duration connect_timeout = std::chrono::milliseconds(500);
  Duration first_byte_timeout = std::chrono::seconds(20);
  Duration between_bytes_timeout = std::chrono::seconds(5);
  Duration load_report_period = std::chrono::milliseconds(250);
  Duration default_deadline = std::chrono::seconds(120);
};

struct LogSettings {
  std::string level = "info";  // debug, info, warn, error
  std::string file;            // empty: standard error
};

struct TraceSettings {
  std::string file;  // empty: spans are not exported
};

struct RouterSettings {
  InstanceSettings instance;
  ListenSettings listen;
  PlatformSettings platform;
  std::string shared_key;
  LimitSettings limits;
  UpstreamSettings upstreams;
  LogSettings log;
  TraceSettings trace;
};

// One thing that is wrong in a settings file.
struct SettingsProblem {
  std::string file;
  std::string key;  // dotted path, e.g. "listen.public_port"
  std::string reason;
};

struct SettingsError {
  std::vector<SettingsProblem> problems;
};

template <typename T>
using Result = ResultOf<T, SettingsError>;

// "FILE: KEY: REASON" for each problem, one a line.
std::string ToString(const SettingsError& error);

}  // namespace geraniumspread::settings

#endif  // SETTINGS_SETTINGS_TYPES_H_
