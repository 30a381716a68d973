#ifndef ENGINES_CACHE_EVENTS_H_
#define ENGINES_CACHE_EVENTS_H_

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include "engines/engines_types.h"

namespace geraniumspread::engines {

inline constexpr std::size_t kMaxCacheEventBytes = 1U << 20U;
inline constexpr std::size_t kMaxCacheEvents = 10'000;

// Parses the body of GET /cache_events. Errors: kTooLarge, kMalformed, kInvalidField
// (also if the sequences are not increasing).
Result<CacheEventBatch> ParseCacheEvents(std::string_view body);

// Position in the event stream of one engine.
struct CacheEventCursor {
  std::uint64_t incarnation = 0;
  std::uint64_t last_sequence = 0;  // the `after` parameter of the next read
  std::uint64_t missed = 0;         // events lost in gaps, over all reads
};

struct CacheEventUpdate {
  // The engine restarted with an empty cache, which invalidates all earlier events.
  // `events` belong to the new incarnation.
  bool cache_lost = false;
  // Number of events lost between the last known event and the first new one.
  std::uint64_t missed = 0;
  std::vector<CacheEvent> events;  // new ones only, in order
};

// Errors: kStaleIncarnation; the cursor then keeps its position.
Result<CacheEventUpdate> ApplyCacheEvents(CacheEventCursor& cursor, const CacheEventBatch& batch);

}  // namespace geraniumspread::engines

#endif  // ENGINES_CACHE_EVENTS_H_
