#include "lru_cache.h"

namespace geraniumspread::bench {

bool Touch(LruCache& cache, std::uint32_t chat) {
  if (const auto found = cache.places.find(chat); found != cache.places.end()) {
    cache.order.splice(cache.order.begin(), cache.order, found->second);
    return true;
  }
  if (cache.order.size() >= cache.capacity) {
    cache.places.erase(cache.order.back());
    cache.order.pop_back();
  }
  cache.order.push_front(chat);
  cache.places.emplace(chat, cache.order.begin());
  return false;
}

bool Holds(const LruCache& cache, std::uint32_t chat) {
  return cache.places.contains(chat);
}

void Clear(LruCache& cache) {
  cache.order.clear();
  cache.places.clear();
}

}  // namespace geraniumspread::bench
