#ifndef CONFIG_MANIFEST_H_
#define CONFIG_MANIFEST_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "config/config_error.h"
#include "config/config_types.h"

// Wire format of a configuration: a manifest with the small fleet-wide part, and shards
// with the workspaces. Both are JSON. Only the exact bytes that the serialiser writes
// are valid, so all routers agree on whether an object is valid.
namespace geraniumspread::config {

// Changed whenever members are added or their meaning changes.
inline constexpr std::uint32_t kWireFormat = 1;
// A value of the configuration service is at most 1 MB.
inline constexpr std::size_t kMaxShardBytes = 1'000'000;
inline constexpr std::size_t kMaxManifestBytes = 1'000'000;
inline constexpr std::size_t kMaxShards = 4'096;
// Total size of all shards of one manifest. Keeps the store far below the limit of 32 MB
// per node.
inline constexpr std::size_t kMaxConfigurationBytes = 8'000'000;

// A SHA-256 in lower-case hexadecimal, 64 characters.
using Digest = std::string;

struct ShardReference {
  Digest digest;
  std::size_t bytes = 0;
  std::size_t workspaces = 0;

  bool operator==(const ShardReference&) const = default;
};

struct Manifest {
  std::uint64_t version = 0;
  FleetSettings settings;
  std::vector<FailureDomain> failure_domains;
  std::vector<ModelPool> pools;
  std::vector<Service> services;
  std::vector<ShardReference> shards;  // no digest occurs twice

  bool operator==(const Manifest&) const = default;
};

// Lower-case hexadecimal, 64 characters.
bool IsDigest(std::string_view text);

std::string SerializeManifest(const Manifest& manifest);
std::string SerializeShard(std::span<const Workspace> workspaces);

// Both check every value. Their results depend only on the bytes.
ConfigResult<Manifest> ParseManifest(std::string_view bytes);
ConfigResult<std::vector<Workspace>> ParseShard(std::string_view bytes);

// Result of parsing one shard, valid or not.
struct ShardContent {
  std::size_t size = 0;
  Digest digest;
  ConfigResult<std::vector<Workspace>> workspaces = std::vector<Workspace>();
};

ShardContent ReadShard(std::string_view bytes);

// Joins a manifest with its shards, `shards[i]` being the bytes of
// `manifest.shards[i]`. Checks digests, sizes and names across shards. Stops at
// the first error in manifest order, so that every router reports the same one.
ConfigResult<Configuration> AssembleConfiguration(const Manifest& manifest,
                                                  std::span<const std::string_view> shards);
// Like AssembleConfiguration, for shards that are already parsed.
ConfigResult<Configuration> JoinShards(const Manifest& manifest,
                                       std::span<const ShardContent* const> shards);

// Checks every value and every name, and that lists are sorted without
// duplicates. Returns the first error.
ConfigResult<void> ValidateConfiguration(const Configuration& configuration);

}  // namespace geraniumspread::config

#endif  // CONFIG_MANIFEST_H_
