#ifndef STANDIN_PLATFORM_SETTINGS_H_
#define STANDIN_PLATFORM_SETTINGS_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "common/result.h"
#include "standin/engine_types.h"
#include "standin/plain_service.h"
#include "transport/transport_types.h"

// What one stand-in process hosts, read from a TOML file (docs/standins.md).
namespace geraniumspread::standin {

struct HostedEngine {
  EngineSettings engine;
  std::string pool;
  std::string failure_domain;
  transport::Endpoint endpoint;
};

struct HostedService {
  PlainServiceSettings service;
  std::string failure_domain;
  transport::Endpoint endpoint;
};

// A router that the instance list names. The stand-in doesn't run it.
struct ListedRouter {
  std::string id;
  std::string failure_domain;
  transport::Endpoint endpoint;
  std::uint16_t peer_port = 0;
  std::uint16_t control_port = 0;
  std::uint64_t incarnation = 0;
};

struct ConfigServiceSettings {
  transport::Endpoint endpoint;
  std::string folder;
  int calls_per_second = 2000;
};

struct InstanceListSettings {
  transport::Endpoint endpoint;
  Duration lag = std::chrono::milliseconds(500);
};

struct WeightStoreSettings {
  transport::Endpoint endpoint;
  int calls_per_second = 20;
  std::size_t object_bytes = 65536;
};

struct PlatformSettings {
  transport::Endpoint admin;
  Duration tick = std::chrono::milliseconds(5);
  std::optional<ConfigServiceSettings> config_service;
  std::optional<InstanceListSettings> instance_list;
  std::optional<WeightStoreSettings> weight_store;
  std::vector<HostedEngine> engines;
  std::vector<HostedService> services;
  std::vector<ListedRouter> routers;
};

struct SettingsError {
  std::string file;
  std::string key;  // for example "engine[3].port"; empty when the file can't be parsed
  std::string reason;
};

std::string ToString(const SettingsError& error);

// Relative paths in the file are taken from the file's folder.
ResultOf<PlatformSettings, SettingsError> ReadPlatformSettings(const std::string& path);
ResultOf<PlatformSettings, SettingsError> ParsePlatformSettings(std::string_view toml_text,
                                                                const std::string& path);

}  // namespace geraniumspread::standin

#endif  // STANDIN_PLATFORM_SETTINGS_H_
