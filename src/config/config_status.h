#ifndef CONFIG_CONFIG_STATUS_H_
#define CONFIG_CONFIG_STATUS_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "config/config_error.h"
#include "config/config_store.h"

// What a router reports of its configuration: the member "configuration" of the
// answer to GET /status.
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
  std::uint64_t highest_heard = 0;   // from peers
  std::uint64_t missing_shards = 0;  // of versions that wait for shards
  std::vector<AlarmStatus> alarms;

  bool operator==(const ConfigStatus&) const = default;
};

ConfigStatus StatusOf(const ConfigStore& store);
// A JSON object with the members of ConfigStatus.
std::string SerializeStatus(const ConfigStatus& status);
// Reads such an object. Unknown members are ignored: a newer router may report more.
ConfigResult<ConfigStatus> ParseStatus(std::string_view bytes);

}  // namespace geraniumspread::config

#endif  // CONFIG_CONFIG_STATUS_H_
