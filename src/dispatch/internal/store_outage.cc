#include "dispatch/store_outage.h"

namespace geraniumspread::dispatch {

void RecordUnconfirmedTime(StoreOutage& outage, Duration unconfirmed, TimePoint now) {
  if (unconfirmed > outage.min_duration) {
    outage.last_outage_at = now;
  }
}

std::optional<TimePoint> HoldRemovalUntil(const StoreOutage& outage, TimePoint now) {
  if (!outage.last_outage_at || *outage.last_outage_at + outage.relisting_time <= now) {
    return std::nullopt;
  }
  return *outage.last_outage_at + outage.relisting_time;
}

}  // namespace geraniumspread::dispatch
