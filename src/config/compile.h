#ifndef CONFIG_COMPILE_H_
#define CONFIG_COMPILE_H_

#include <cstddef>
#include <string>
#include <vector>

#include "config/config_error.h"
#include "config/config_types.h"
#include "config/manifest.h"

namespace geraniumspread::config {

// A shard is split while it is larger than this. Each change of one workspace
// makes a router fetch one shard and one manifest (about 110 bytes per shard):
// at 23,000 workspaces this size keeps both near 20 KB.
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

// The same configuration always gives the same bytes. Workspaces are put into
// shards by leading bits of their name's hash, so a change of one workspace
// changes one shard and the others keep their digests.
ConfigResult<CompiledConfiguration> Compile(const Configuration& configuration);

}  // namespace geraniumspread::config

#endif  // CONFIG_COMPILE_H_
