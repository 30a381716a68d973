#ifndef CONFIG_CONFIG_STATUS_H_
#define CONFIG_CONFIG_STATUS_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "config/config_error.h"
#include "config/config_store.h"

// A router's report on its configuration: the member "configuration" of the response
// to GET /status.
namespace geraniumspread::config {

struct AlarmStatus {
  std::string kind;  // see ToString(AlarmKind)
  std::uint64_t version = 0;
  std::string digest;
  std::string message;
  std::uint64_t count = 0;

  bool operator==(const AlarmStatus&) const = default;
};

struct ConfigStatus {
  std::uint64_t version = 0;  // 0: none in force
  std::string digest;
  bool serving = false;
  std::uint64_t highest_announced = 0;  // from peers
  std::uint64_t missing_shards = 0;     // of pending versions
  std::vector<AlarmStatus> alarms;

  bool operator==(const ConfigStatus&) const = default;
};

ConfigStatus MakeConfigStatus(const ConfigStore& store);
// Returns a JSON object with the members of ConfigStatus.
std::string SerializeStatus(const ConfigStatus& status);
// Parses the output of SerializeStatus. Unknown members, which newer routers may
// report, are ignored.
ConfigResult<ConfigStatus> ParseStatus(std::string_view bytes);

}  // namespace geraniumspread::config

#endif  // CONFIG_CONFIG_STATUS_H_
