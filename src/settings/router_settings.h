#ifndef SETTINGS_ROUTER_SETTINGS_H_
#define SETTINGS_ROUTER_SETTINGS_H_

#include <string>
#include <string_view>

#include "settings/settings_types.h"

namespace geraniumspread::settings {

// Reads and checks a router's TOML file. All problems are reported at once:
// syntax, unknown keys, missing keys, wrong types and values out of range.
// `fleet.shared_key_file` is read too; a relative path is taken from the folder
// of the settings file.
Result<RouterSettings> LoadRouterSettings(const std::string& path);

// The same for text that stands in for the file `path`.
Result<RouterSettings> ParseRouterSettings(std::string_view text, const std::string& path);

}  // namespace geraniumspread::settings

#endif  // SETTINGS_ROUTER_SETTINGS_H_
