#ifndef APPS_GERANIUM_BENCH_LRU_CACHE_H_
#define APPS_GERANIUM_BENCH_LRU_CACHE_H_

#include <cstdint>
#include <list>
#include <unordered_map>

namespace geraniumspread::bench {

// Model of one engine's prefix cache: holds the chats that used it last.
struct LruCache {
  std::size_t capacity = 0;
  std::list<std::uint32_t> order;  // latest first
  std::unordered_map<std::uint32_t, std::list<std::uint32_t>::iterator> places;
};

// Makes the chat the latest; returns whether it was cached.
bool Touch(LruCache& cache, std::uint32_t chat);
bool Holds(const LruCache& cache, std::uint32_t chat);
void Clear(LruCache& cache);

}  // namespace geraniumspread::bench

#endif  // APPS_GERANIUM_BENCH_LRU_CACHE_H_
