#ifndef GERANIUM_CTL_FILES_H_
#define GERANIUM_CTL_FILES_H_

#include <cstddef>
#include <filesystem>
#include <string>
#include <string_view>

#include "config/compile.h"
#include "config/config_types.h"

namespace geraniumspread::ctl {

// All of these throw CommandError.

// Reads at most `most_bytes`; a larger file is an error.
std::string ReadFile(const std::filesystem::path& path, std::size_t most_bytes);
// Writes beside the target and renames, so that a reader never sees half a file.
void WriteFile(const std::filesystem::path& path, std::string_view bytes);

// Whether the folder holds a compiled configuration.
bool HasConfiguration(const std::filesystem::path& folder);
// Reads DIR/manifest and its shards and applies the checks of the routers.
config::Configuration ReadConfiguration(const std::filesystem::path& folder);
// Writes the shards first, so that a manifest never names a shard that isn't there.
void WriteConfiguration(const std::filesystem::path& folder,
                        const config::CompiledConfiguration& compiled);

}  // namespace geraniumspread::ctl

#endif  // GERANIUM_CTL_FILES_H_
