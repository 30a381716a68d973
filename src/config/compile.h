#ifndef CONFIG_COMPILE_H_
#define CONFIG_COMPILE_H_

#include <cstddef>
#include <string>
#include <vector>

#include "config/config_error.h"
#include "config/config_types.h"
#include "config/manifest.h"

namespace geraniumspread::config {

// Shards larger than this are split. After a change of one workspace, a router fetches
// one shard and one manifest (about 110 bytes per shard). With 23,000 workspaces, this
// size keeps both near 20 KB.
inline constexpr std::size_t kShardTargetBytes = std::size_t{32} * 1024;

struct CompiledShard {
  Digest digest;
  std::string bytes;
};

struct CompiledConfiguration {
  Digest manifest_digest;
  std::string manifest_bytes;
  std::vector<CompiledShard> shards;  // in manifest order
};

// Equal configurations compile to equal bytes. Workspaces are assigned to shards by the
// leading bits of their name's hash, so a change of one workspace changes one shard and
// the digests of the others stay the same.
ConfigResult<CompiledConfiguration> Compile(const Configuration& configuration);

}  // namespace geraniumspread::config

#endif  // CONFIG_COMPILE_H_
