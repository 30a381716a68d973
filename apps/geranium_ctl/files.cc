#include "geranium_ctl/files.h"

#include <fstream>
#include <system_error>
#include <vector>

#include "config/manifest.h"
#include "geranium_ctl/command_line.h"

namespace geraniumspread::ctl {
namespace {

namespace fs = std::filesystem;

constexpr std::string_view kManifestName = "manifest";
constexpr std::string_view kShardFolder = "shard";

CommandError Unavailable(const fs::path& path, std::string_view reason) {
  return {ExitCode::kUnavailable, path.string() + ": " + std::string(reason)};
}

CommandError Invalid(const fs::path& path, const config::ConfigError& error) {
  return {ExitCode::kInvalid, path.string() + ": " + error.message};
}

void CreateFolder(const fs::path& folder) {
  std::error_code code;
  fs::create_directories(folder, code);
  if (code) {
    throw Unavailable(folder, "the folder can't be created: " + code.message());
  }
}

}  // namespace

std::string ReadFile(const fs::path& path, std::size_t most_bytes) {
  std::error_code code;
  if (!fs::is_regular_file(path, code)) {
    throw Unavailable(path, "no such file");
  }
  std::ifstream file(path, std::ios::binary);
  std::string bytes(most_bytes + 1, '\0');
  file.read(bytes.data(), static_cast<std::streamsize>(bytes.size()));
  bytes.resize(static_cast<std::size_t>(file.gcount()));
  if (file.bad() || (file.fail() && !file.eof())) {
    throw Unavailable(path, "the file can't be read");
  }
  if (bytes.size() > most_bytes) {
    throw Unavailable(path, "the file is larger than " + std::to_string(most_bytes) + " bytes");
  }
  return bytes;
}

void WriteFile(const fs::path& path, std::string_view bytes) {
  const fs::path temporary = path.string() + ".new";
  std::ofstream file(temporary, std::ios::binary | std::ios::trunc);
  file.write(bytes.data(), static_cast<std::streamsize>(bytes.size()));
  file.close();
  if (!file) {
    throw Unavailable(path, "the file can't be written");
  }
  std::error_code code;
  fs::rename(temporary, path, code);
  if (code) {
    throw Unavailable(path, "the file can't be written: " + code.message());
  }
}

bool HasConfiguration(const fs::path& folder) {
  std::error_code code;
  return fs::exists(folder / kManifestName, code);
}

config::Configuration ReadConfiguration(const fs::path& folder) {
  const fs::path manifest_path = folder / kManifestName;
  const auto manifest = config::ParseManifest(ReadFile(manifest_path, config::kMaxManifestBytes));
  if (!manifest) {
    throw Invalid(manifest_path, manifest.error());
  }
  std::vector<std::string> shards;
  shards.reserve(manifest.value().shards.size());
  for (const config::ShardReference& shard : manifest.value().shards) {
    shards.push_back(ReadFile(folder / kShardFolder / shard.digest, config::kMaxShardBytes));
  }
  const std::vector<std::string_view> views(shards.begin(), shards.end());
  auto configuration = config::AssembleConfiguration(manifest.value(), views);
  if (!configuration) {
    throw Invalid(folder, configuration.error());
  }
  return std::move(configuration.value());
}

void WriteConfiguration(const fs::path& folder, const config::CompiledConfiguration& compiled) {
  CreateFolder(folder / kShardFolder);
  for (const config::CompiledShard& shard : compiled.shards) {
    WriteFile(folder / kShardFolder / shard.digest, shard.bytes);
  }
  WriteFile(folder / kManifestName, compiled.manifest_bytes);
}

}  // namespace geraniumspread::ctl
