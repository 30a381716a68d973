#ifndef DISPATCH_STORE_OUTAGE_H_
#define DISPATCH_STORE_OUTAGE_H_

#include <optional>

#include "common/runtime_clock.h"

namespace geraniumspread::dispatch {

// Detects outages of the platform's store that are long enough for the entries of
// healthy upstreams to expire because they could not be renewed. The entries reappear
// soon after the store is back. An outage is detected by the time without any
// confirmation of the copy of the published state. Receiving no digest from a reader,
// or having started a moment ago, is not evidence of an outage.
struct StoreOutage {
  // Time after the end of an outage within which an entry may reappear.
  Duration relisting_time = std::chrono::milliseconds(2300);
  // Shorter times without confirmation are normal, or too short for an entry to
  // expire.
  Duration min_duration = std::chrono::milliseconds(3000);
  // Last time at which the copy had been unconfirmed for longer than `min_duration`.
  std::optional<TimePoint> last_outage_at;
};

void RecordUnconfirmedTime(StoreOutage& outage, Duration unconfirmed, TimePoint now);
// Returns the time until which to hold the removal of an upstream that did not
// announce that it is leaving, or nullopt if the removal takes effect at once.
std::optional<TimePoint> HoldRemovalUntil(const StoreOutage& outage, TimePoint now);

}  // namespace geraniumspread::dispatch

#endif  // DISPATCH_STORE_OUTAGE_H_
