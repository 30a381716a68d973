#ifndef ENGINES_KV_TRANSFERS_H_
#define ENGINES_KV_TRANSFERS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "common/runtime_clock.h"

namespace geraniumspread::engines {

// A chat in the prefix cache of an engine that is going to leave.
struct CachedChat {
  std::string chat;
  std::uint64_t bytes = 0;
  std::uint64_t blocks = 0;
  TimePoint last_used;
  // Engine to which placement sends the chat after the engine has left.
  std::string next_engine;
};

// Free cache of an engine that can receive chats.
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

// Returns the transfers to make before `from` leaves, in order: the most recently
// used chats first, because they are requested again soonest, and the smaller one of
// two with the same last use. The sum of bytes stays within `byte_budget` and each
// target within its free blocks.
std::vector<KvTransfer> PlanKvTransfers(const std::string& from,
                                        std::vector<CachedChat> chats,
                                        std::vector<CacheHeadroom> targets,
                                        std::uint64_t byte_budget);

}  // namespace geraniumspread::engines

#endif  // ENGINES_KV_TRANSFERS_H_
