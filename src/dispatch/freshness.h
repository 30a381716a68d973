#ifndef DISPATCH_FRESHNESS_H_
#define DISPATCH_FRESHNESS_H_

#include <cstddef>
#include <cstdint>
#include <optional>

#include "common/runtime_clock.h"

// How old the copy of the published state may be. A confirmation is a moment at
// which the copy is known to have held all that the platform's store held: an
// answer of the store proves it, and peers hand it on with its age. An instance
// whose confirmation grows too old asks the store itself, whatever its peers
// announce.
namespace geraniumspread::dispatch {

struct FreshnessSettings {
  // Time in which a change has to act on every instance that reaches the store;
  // a bound of the deployment. The parts below are shares of it.
  Duration bound = std::chrono::seconds(2);
  // Age of the confirmation at which the first instance of the order asks.
  double query_share = 0.35;
  // Each doubling of the place in the order waits this much longer, so that few
  // ask when one answer is enough, and all do when none comes.
  double step_share = 0.03;
  // Longest wait of a reader's watch, and so the age of its confirmation.
  double watch_share = 0.4;
  // Longest wait for the answer to a question that the store answers at once.
  double query_timeout_share = 0.15;
};

struct Freshness {
  FreshnessSettings settings;
  // Unset until the first confirmation and after a standstill.
  std::optional<TimePoint> confirmed_at;
  // Start of the process or end of its last standstill.
  TimePoint running_since;
  // Digests that waited out a standstill have a wrong age until then.
  TimePoint ignore_peers_until;
};

enum class StoreReadMode : std::uint8_t {
  kNone,   // peers confirm the copy
  kWatch,  // this instance follows the store for its failure domain
  kQuery,  // the confirmation is too old: one question, answered at once
};

// Notes that the copy was complete as of a moment; an earlier one changes nothing.
void RecordConfirmation(Freshness& freshness, TimePoint as_of);
// Takes over the confirmation of a peer whose copy is not ahead of this one.
// `age` is as of the sending of the peer's word.
void RecordPeerConfirmation(Freshness& freshness, Duration age, TimePoint now);
// Forgets the confirmation: the process stood still and can't tell for how long.
void RecordStandstill(Freshness& freshness, TimePoint now);
// Age of the confirmation; nothing when there is none.
std::optional<Duration> ConfirmationAge(const Freshness& freshness, TimePoint now);
// For how long nothing has confirmed the copy, not counting time before the start
// or in a standstill.
Duration UnconfirmedTime(const Freshness& freshness, TimePoint now);
// Whether this instance has to ask the store itself. `place` counts the live
// instances of its failure domain that come earlier in the order.
bool ShouldQueryStore(const Freshness& freshness, std::size_t place, TimePoint now);

Duration WatchTimeout(const FreshnessSettings& settings);
Duration QueryTimeout(const FreshnessSettings& settings);

}  // namespace geraniumspread::dispatch

#endif  // DISPATCH_FRESHNESS_H_
