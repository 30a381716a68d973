#ifndef STANDIN_PREFIX_CACHE_H_
#define STANDIN_PREFIX_CACHE_H_

#include <cstdint>
#include <list>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace geraniumspread::standin {

// Each hash covers all tokens up to the end of its block, so equal hashes mean
// equal prefixes. An incomplete last block has no hash.
using BlockHashes = std::vector<std::uint64_t>;

BlockHashes HashBlocks(std::string_view text);

// Prefix blocks by chat. When blocks run out, the chat that was used least
// recently loses all of its blocks.
struct PrefixCache {
  struct Entry {
    std::string chat;
    BlockHashes blocks;
  };

  std::size_t capacity_blocks = 0;
  std::size_t used_blocks = 0;
  std::list<Entry> entries;  // most recently used first
  std::unordered_map<std::string, std::list<Entry>::iterator> by_chat;
};

// Number of leading blocks of `blocks` that are cached for `chat`. Marks the chat as used.
std::size_t MatchPrefix(PrefixCache& cache, const std::string& chat, const BlockHashes& blocks);

// Replaces the blocks of `chat`, cut to the capacity. Returns the chats that were evicted.
std::vector<std::string> StorePrefix(PrefixCache& cache,
                                     const std::string& chat,
                                     BlockHashes blocks);

void ClearPrefixes(PrefixCache& cache);

// Portable bytes of one chat's blocks; empty when the chat is not cached.
std::optional<std::string> ExportPrefix(const PrefixCache& cache, const std::string& chat);

// The blocks in exported bytes; empty when the bytes are not valid.
std::optional<BlockHashes> ParseExportedPrefix(std::string_view bytes);

}  // namespace geraniumspread::standin

#endif  // STANDIN_PREFIX_CACHE_H_
