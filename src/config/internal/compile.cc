#include "config/compile.h"

#include <algorithm>
#include <functional>
#include <span>
#include <utility>

#include <boost/outcome/try.hpp>

#include "common/hash.h"
#include "common/secure_bytes.h"

namespace geraniumspread::config {
namespace {

constexpr int kMaxSplitDepth = 32;
constexpr int kHashBits = 64;
// Upper bound on the bytes of a shard besides its workspaces.
constexpr std::size_t kShardFrameBytes = 64;

struct HashedWorkspace {
  std::uint64_t hash = 0;
  std::size_t bytes = 0;  // in a shard, with the comma
  const Workspace* workspace = nullptr;
};

struct ShardDraft {
  std::string bytes;
  std::size_t workspaces = 0;
};

std::vector<HashedWorkspace> SortByHash(const std::vector<Workspace>& workspaces) {
  std::vector<HashedWorkspace> hashed;
  hashed.reserve(workspaces.size());
  const std::size_t empty_shard_bytes = SerializeShard({}).size();
  for (const Workspace& workspace : workspaces) {
    const std::size_t bytes = SerializeShard({&workspace, 1}).size() - empty_shard_bytes + 1;
    hashed.push_back({StableHash(workspace.name), bytes, &workspace});
  }
  std::ranges::stable_sort(hashed, {}, &HashedWorkspace::hash);
  return hashed;
}

std::size_t CountBytes(std::span<const HashedWorkspace> hashed) {
  std::size_t bytes = 0;
  for (const HashedWorkspace& entry : hashed) {
    bytes += entry.bytes;
  }
  return bytes;
}

std::string SerializeByName(std::span<const HashedWorkspace> hashed) {
  std::vector<Workspace> workspaces;
  workspaces.reserve(hashed.size());
  for (const HashedWorkspace& entry : hashed) {
    workspaces.push_back(*entry.workspace);
  }
  std::ranges::sort(workspaces, {}, &Workspace::name);
  return SerializeShard(workspaces);
}

// Splits by the next bit of the hash while the shard is too large. Only the
// shard that exceeds the target is split, so the bytes of the others don't change.
void SplitIntoShards(std::span<const HashedWorkspace> hashed,
                     int depth,
                     std::vector<ShardDraft>& shards) {
  if (hashed.empty()) {
    return;
  }
  const bool is_small = CountBytes(hashed) + kShardFrameBytes <= kShardTargetBytes;
  if (is_small || hashed.size() == 1 || depth == kMaxSplitDepth) {
    shards.push_back({SerializeByName(hashed), hashed.size()});
    return;
  }
  const std::uint64_t bit = std::uint64_t{1} << static_cast<unsigned>(kHashBits - 1 - depth);
  const auto upper = std::ranges::partition_point(
      hashed, [bit](const HashedWorkspace& entry) { return (entry.hash & bit) == 0; });
  const auto lower_count = static_cast<std::size_t>(upper - hashed.begin());
  SplitIntoShards(hashed.first(lower_count), depth + 1, shards);
  SplitIntoShards(hashed.subspan(lower_count), depth + 1, shards);
}

}  // namespace

ConfigResult<CompiledConfiguration> Compile(const Configuration& configuration) {
  BOOST_OUTCOME_TRYV(ValidateConfiguration(configuration));
  std::vector<ShardDraft> drafts;
  SplitIntoShards(SortByHash(configuration.workspaces), 0, drafts);
  Manifest manifest{.version = configuration.version,
                    .settings = configuration.settings,
                    .failure_domains = configuration.failure_domains,
                    .pools = configuration.pools,
                    .services = configuration.services,
                    .shards = {}};
  CompiledConfiguration compiled;
  for (ShardDraft& draft : drafts) {
    Digest digest = Sha256Hex(draft.bytes);
    manifest.shards.push_back({digest, draft.bytes.size(), draft.workspaces});
    compiled.shards.push_back({std::move(digest), std::move(draft.bytes)});
  }
  compiled.manifest_bytes = SerializeManifest(manifest);
  compiled.manifest_digest = Sha256Hex(compiled.manifest_bytes);
  // Applies the size limits that the routers apply.
  BOOST_OUTCOME_TRYV(ParseManifest(compiled.manifest_bytes));
  return compiled;
}

}  // namespace geraniumspread::config
