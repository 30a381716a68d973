#include "engines/kv_transfers.h"

#include <algorithm>
#include <map>
#include <utility>

namespace geraniumspread::engines {

std::vector<KvTransfer> PlanKvTransfers(const std::string& from,
                                        std::vector<CachedChat> chats,
                                        std::vector<CacheHeadroom> targets,
                                        std::uint64_t byte_budget) {
  std::map<std::string, std::uint64_t> free_blocks;
  for (CacheHeadroom& room : targets) {
    free_blocks[std::move(room.engine)] = room.free_blocks;
  }
  std::ranges::sort(chats, [](const CachedChat& left, const CachedChat& right) {
    if (left.last_used != right.last_used) {
      return left.last_used > right.last_used;
    }
    return left.bytes != right.bytes ? left.bytes < right.bytes : left.chat < right.chat;
  });
  std::vector<KvTransfer> transfers;
  for (const CachedChat& chat : chats) {
    const auto room = free_blocks.find(chat.next_engine);
    if (chat.next_engine == from || room == free_blocks.end() || room->second < chat.blocks ||
        chat.bytes > byte_budget) {
      continue;
    }
    room->second -= chat.blocks;
    byte_budget -= chat.bytes;
    transfers.push_back({chat.chat, from, chat.next_engine, chat.bytes});
  }
  return transfers;
}

}  // namespace geraniumspread::engines
