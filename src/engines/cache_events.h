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

// Parses the body of GET /cache_events. Errors: kTooLarge, kMalformed,
// kInvalidField (also when sequences don't grow).
Result<CacheEventBatch> ParseCacheEvents(std::string_view body);

// Position in the event stream of one engine.
struct CacheEventCursor {
  std::uint64_t incarnation = 0;
  std::uint64_t last_sequence = 0;  // the `after` of the next read
  std::uint64_t missed = 0;         // events lost in gaps, over all reads
};

struct CacheEventUpdate {
  // The engine restarted: its whole cache is gone, including what the events
  // before these said. The events below are of the new incarnation.
  bool cache_lost = false;
  // Number of events between the last known and the first new one.
  std::uint64_t missed = 0;
  std::vector<CacheEvent> events;  // new ones only, in order
};

// Errors: kStaleIncarnation; the cursor then keeps its position.
Result<CacheEventUpdate> ApplyCacheEvents(CacheEventCursor& cursor, const CacheEventBatch& batch);

}  // namespace geraniumspread::engines

#endif  // ENGINES_CACHE_EVENTS_H_
