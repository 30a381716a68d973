#ifndef ENGINES_KV_TRANSFERS_H_
#define ENGINES_KV_TRANSFERS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "common/runtime_clock.h"

namespace geraniumspread::engines {

// A chat in the prefix cache of an engine that will leave.
struct CachedChat {
  std::string chat;
  std::uint64_t bytes = 0;
  std::uint64_t blocks = 0;
  TimePoint last_used;
  // Where placement will send the chat once the engine has left.
  std::string next_engine;
};

// Free cache of an engine that takes chats over.
struct CacheHeadroom {
  std::string engine;
  std::uint64_t free_blocks = 0;
};

// POST /kv/export on `from`, then POST /kv/import on `to`.
struct KvTransfer {
  std::string chat;
  std::string from;
  std::string to;
  std::uint64_t bytes = 0;
};

// Chats to move before `from` leaves, in order: the most recently used first,
// because recent chats return soonest; among equals the smaller one. The sum of
// bytes stays within `byte_budget` and each target within its free blocks.
std::vector<KvTransfer> PlanKvTransfers(const std::string& from,
                                        std::vector<CachedChat> chats,
                                        std::vector<CacheHeadroom> targets,
                                        std::uint64_t byte_budget);

}  // namespace geraniumspread::engines

#endif  // ENGINES_KV_TRANSFERS_H_
