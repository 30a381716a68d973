#ifndef DISPATCH_FRESHNESS_H_
#define DISPATCH_FRESHNESS_H_

#include <cstddef>
#include <cstdint>
#include <optional>

#include "common/runtime_clock.h"

// Bounds the staleness of the copy of the published state. A confirmation is a time
// at which the copy is known to have contained everything in the platform's store. A
// response of the store confirms the copy, and peers forward the age of their
// confirmation. An instance whose confirmation is too old queries the store itself,
// whatever its peers announce.
namespace geraniumspread::dispatch {

struct FreshnessSettings {
  // Time within which a change takes effect on every instance that reaches the store;
  // a requirement of the deployment. The shares below are fractions of it.
  Duration bound = std::chrono::seconds(2);
  // Age of the confirmation at which the instance that ranks first queries the store.
  double query_share = 0.35;
  // Extra wait for each doubling of the rank, so that few instances query when one
  // response is enough, and all of them do when no response comes.
  double step_share = 0.03;
  // Timeout of a reader's watch, and therefore the largest regular age of its
  // confirmation.
  double watch_share = 0.4;
  // Timeout of a query that the store answers immediately.
  double query_timeout_share = 0.15;
};

struct Freshness {
  FreshnessSettings settings;
  // Unset before the first confirmation and after a standstill of the process.
  std::optional<TimePoint> confirmed_at;
  // Start of the process or end of its last standstill.
  TimePoint running_since;
  // Until then peer confirmations are ignored: digests that were queued during a
  // standstill state a wrong age.
  TimePoint ignore_peers_until;
};

enum class StoreReadMode : std::uint8_t {
  kNone,   // peers confirm the copy
  kWatch,  // this instance watches the store for its failure domain
  kQuery,  // the confirmation is too old: one query that the store answers immediately
};

// Records that the copy was complete at `as_of`. Earlier times than the recorded one
// are ignored.
void RecordConfirmation(Freshness& freshness, TimePoint as_of);
// Applies the confirmation of a peer whose copy is not ahead of this one. `age` is
// the age when the peer sent it.
void RecordPeerConfirmation(Freshness& freshness, Duration age, TimePoint now);
// Discards the confirmation after the process was stopped for an unknown time, for
// example while the machine was suspended.
void RecordStandstill(Freshness& freshness, TimePoint now);
// Returns the age of the confirmation, or nullopt without one.
std::optional<Duration> ConfirmationAge(const Freshness& freshness, TimePoint now);
// Returns the time since the last confirmation. Time before the process started or
// during a standstill is not counted.
Duration UnconfirmedTime(const Freshness& freshness, TimePoint now);
// True if this instance must query the store itself. `place` is the number of live
// instances of its failure domain that rank before it.
bool ShouldQueryStore(const Freshness& freshness, std::size_t place, TimePoint now);

Duration WatchTimeout(const FreshnessSettings& settings);
Duration QueryTimeout(const FreshnessSettings& settings);

}  // namespace geraniumspread::dispatch

#endif  // DISPATCH_FRESHNESS_H_
