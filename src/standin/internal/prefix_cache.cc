#include "standin/prefix_cache.h"

#include <algorithm>
#include <charconv>

#include "common/hash.h"
#include "standin/answer_text.h"

namespace geraniumspread::standin {
namespace {

constexpr std::string_view kExportHeader = "GSKV1\n";
constexpr std::size_t kHashDigits = 16;
constexpr int kHexBase = 16;

void EraseEntry(PrefixCache& cache, std::list<PrefixCache::Entry>::iterator entry) {
  cache.used_blocks -= entry->blocks.size();
  cache.by_chat.erase(entry->chat);
  cache.entries.erase(entry);
}

}  // namespace

BlockHashes HashBlocks(std::string_view text) {
  constexpr std::string_view kSpaces = " \n\t\r";
  BlockHashes hashes;
  std::uint64_t hash = 0;
  std::size_t tokens = 0;
  std::size_t begin = text.find_first_not_of(kSpaces);
  while (begin != std::string_view::npos) {
    const std::size_t end = std::min(text.find_first_of(kSpaces, begin), text.size());
    hash = StableHash(text.substr(begin, end - begin), hash);
    if (++tokens % kCacheBlockTokens == 0) {
      hashes.push_back(hash);
    }
    begin = text.find_first_not_of(kSpaces, end);
  }
  return hashes;
}

std::size_t MatchPrefix(PrefixCache& cache, const std::string& chat, const BlockHashes& blocks) {
  const auto found = cache.by_chat.find(chat);
  if (found == cache.by_chat.end()) {
    return 0;
  }
  cache.entries.splice(cache.entries.begin(), cache.entries, found->second);
  const BlockHashes& cached = found->second->blocks;
  const auto mismatch = std::ranges::mismatch(cached, blocks);
  return static_cast<std::size_t>(mismatch.in1 - cached.begin());
}

std::vector<std::string> StorePrefix(PrefixCache& cache,
                                     const std::string& chat,
                                     BlockHashes blocks) {
  if (const auto found = cache.by_chat.find(chat); found != cache.by_chat.end()) {
    EraseEntry(cache, found->second);
  }
  blocks.resize(std::min(blocks.size(), cache.capacity_blocks));
  std::vector<std::string> evicted;
  while (cache.used_blocks + blocks.size() > cache.capacity_blocks) {
    evicted.push_back(cache.entries.back().chat);
    EraseEntry(cache, std::prev(cache.entries.end()));
  }
  if (!blocks.empty()) {
    cache.used_blocks += blocks.size();
    cache.entries.push_front({chat, std::move(blocks)});
    cache.by_chat[chat] = cache.entries.begin();
  }
  return evicted;
}

void ClearPrefixes(PrefixCache& cache) {
  cache.by_chat.clear();
  cache.entries.clear();
  cache.used_blocks = 0;
}

std::optional<std::string> ExportPrefix(const PrefixCache& cache, const std::string& chat) {
  const auto found = cache.by_chat.find(chat);
  if (found == cache.by_chat.end()) {
    return std::nullopt;
  }
  std::string bytes(kExportHeader);
  for (const std::uint64_t hash : found->second->blocks) {
    std::string digits(kHashDigits, '0');
    std::string buffer(kHashDigits, '\0');
    const auto end =
        std::to_chars(buffer.data(), buffer.data() + buffer.size(), hash, kHexBase).ptr;
    std::copy_backward(buffer.data(), end, digits.data() + digits.size());
    bytes += digits;
  }
  return bytes;
}

std::optional<BlockHashes> ParseExportedPrefix(std::string_view bytes) {
  if (!bytes.starts_with(kExportHeader)) {
    return std::nullopt;
  }
  bytes.remove_prefix(kExportHeader.size());
  if (bytes.size() % kHashDigits != 0) {
    return std::nullopt;
  }
  BlockHashes blocks;
  for (; !bytes.empty(); bytes.remove_prefix(kHashDigits)) {
    std::uint64_t hash = 0;
    const char* begin = bytes.data();
    const char* end = begin + kHashDigits;
    const auto [next, error] = std::from_chars(begin, end, hash, kHexBase);
    if (error != std::errc() || next != end) {
      return std::nullopt;
    }
    blocks.push_back(hash);
  }
  return blocks;
}

}  // namespace geraniumspread::standin
