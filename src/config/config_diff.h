#ifndef CONFIG_CONFIG_DIFF_H_
#define CONFIG_CONFIG_DIFF_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "config/config_types.h"

namespace geraniumspread::config {

enum class EntryKind : std::uint8_t { kSetting, kFailureDomain, kPool, kService, kWorkspace };
enum class ChangeKind : std::uint8_t { kAdded, kRemoved, kChanged };

// One difference between two configurations. `field`, `before` and `after` are empty unless the
// kind is kChanged. Values are written as in the sheet.
struct ConfigChange {
  EntryKind entry = EntryKind::kSetting;
  ChangeKind change = ChangeKind::kChanged;
  std::string name;
  std::string field;
  std::string before;
  std::string after;

  bool operator==(const ConfigChange&) const = default;
};

// Returns the differences in a fixed order: entry kind, name, field. Versions are not compared.
std::vector<ConfigChange> DiffConfigurations(const Configuration& before,
                                             const Configuration& after);

// Describes each risky change in one sentence: the last failure domain (of the fleet or
// of a region) taken out of service, a pool removed that workspaces may use, a limit
// reduced by more than half, entries removed.
std::vector<std::string> FindRiskyChanges(const Configuration& before, const Configuration& after);

// "setting", "failure_domain", "pool", "service", "workspace".
std::string_view ToString(EntryKind kind);
// "added", "removed", "changed".
std::string_view ToString(ChangeKind kind);

}  // namespace geraniumspread::config

#endif  // CONFIG_CONFIG_DIFF_H_
