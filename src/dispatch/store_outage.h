#ifndef DISPATCH_STORE_OUTAGE_H_
#define DISPATCH_STORE_OUTAGE_H_

#include <optional>

#include "common/runtime_clock.h"

namespace geraniumspread::dispatch {

// Whether the platform's store itself was away. Entries of upstreams that could
// not renew them expire meanwhile and come back soon after its return. An
// instance that alone can't reach the store sees no such expiry.
struct StoreOutage {
  // Time after the store's return in which an entry may still come back.
  Duration relisting_time = std::chrono::milliseconds(2300);
  // The last moment at which no instance was known to reach the store.
  std::optional<TimePoint> away_at;
};

// `is_reached`: this instance or a live peer reached the store lately.
void NoteStoreReach(StoreOutage& outage, bool is_reached, TimePoint now);
// Until when the removal of an upstream that did not announce its leaving is
// held; unset when it acts at once.
std::optional<TimePoint> HoldRemovalUntil(const StoreOutage& outage, TimePoint now);

}  // namespace geraniumspread::dispatch

#endif  // DISPATCH_STORE_OUTAGE_H_
