#include "dispatch/freshness.h"

#include <algorithm>
#include <bit>

namespace geraniumspread::dispatch {
namespace {

// Allowance for the time that a peer's digest spends in transit and in the receiver's
// queue.
constexpr Duration kTransitMargin = std::chrono::milliseconds(50);
// A socket's receive queue holds digests of less than this time.
constexpr Duration kQueueTime = std::chrono::milliseconds(500);

Duration Share(const FreshnessSettings& settings, double share) {
  return std::chrono::duration_cast<Duration>(settings.bound * share);
}

}  // namespace

void RecordConfirmation(Freshness& freshness, TimePoint as_of) {
  freshness.confirmed_at = std::max(freshness.confirmed_at.value_or(as_of), as_of);
}

void RecordPeerConfirmation(Freshness& freshness, Duration age, TimePoint now) {
  if (now >= freshness.ignore_peers_until && age >= Duration{0}) {
    RecordConfirmation(freshness, now - age - kTransitMargin);
  }
}

void RecordStandstill(Freshness& freshness, TimePoint now) {
  freshness.confirmed_at.reset();
  freshness.running_since = now;
  freshness.ignore_peers_until = now + kQueueTime;
}

std::optional<Duration> ConfirmationAge(const Freshness& freshness, TimePoint now) {
  if (!freshness.confirmed_at) {
    return std::nullopt;
  }
  return std::max(Duration{0}, now - *freshness.confirmed_at);
}

Duration UnconfirmedTime(const Freshness& freshness, TimePoint now) {
  return std::max(Duration{0}, now - freshness.confirmed_at.value_or(freshness.running_since));
}

bool ShouldQueryStore(const Freshness& freshness, std::size_t place, TimePoint now) {
  const FreshnessSettings& settings = freshness.settings;
  const auto age = ConfirmationAge(freshness, now);
  const Duration wait = Share(settings, settings.step_share) * std::bit_width(place);
  return !age || *age > Share(settings, settings.query_share) + wait;
}

Duration WatchTimeout(const FreshnessSettings& settings) {
  return Share(settings, settings.watch_share);
}

Duration QueryTimeout(const FreshnessSettings& settings) {
  return Share(settings, settings.query_timeout_share);
}

}  // namespace geraniumspread::dispatch
