#ifndef DISPATCH_STORE_OUTAGE_H_
#define DISPATCH_STORE_OUTAGE_H_

#include <optional>

#include "common/runtime_clock.h"

namespace geraniumspread::dispatch {

// Whether the platform's store was away for so long that entries of sound
// upstreams, which could not renew them, expired. They come back soon after its
// return. The sign is that nothing confirmed the copy of the published state: an
// instance that only hears no reader, or started a moment ago, is no such sign.
struct StoreOutage {
  // Time after the store's return in which an entry may still come back.
  Duration relisting_time = std::chrono::milliseconds(2300);
  // A shorter time without confirmation lets no entry expire, or is usual.
  Duration min_duration = std::chrono::milliseconds(3000);
  // The last moment at which the copy was unconfirmed for longer than that.
  std::optional<TimePoint> last_outage_at;
};

void RecordUnconfirmedTime(StoreOutage& outage, Duration unconfirmed, TimePoint now);
// Until when the removal of an upstream that did not announce its leaving is
// held; unset when it acts at once.
std::optional<TimePoint> HoldRemovalUntil(const StoreOutage& outage, TimePoint now);

}  // namespace geraniumspread::dispatch

#endif  // DISPATCH_STORE_OUTAGE_H_
