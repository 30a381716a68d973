#include "dispatch/store_outage.h"

namespace geraniumspread::dispatch {

void NoteUnconfirmedTime(StoreOutage& outage, Duration unconfirmed, TimePoint now) {
  if (unconfirmed > outage.shortest) {
    outage.away_at = now;
  }
}

std::optional<TimePoint> HoldRemovalUntil(const StoreOutage& outage, TimePoint now) {
  if (!outage.away_at || *outage.away_at + outage.relisting_time <= now) {
    return std::nullopt;
  }
  return *outage.away_at + outage.relisting_time;
}

}  // namespace geraniumspread::dispatch
