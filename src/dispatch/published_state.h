#ifndef DISPATCH_PUBLISHED_STATE_H_
#define DISPATCH_PUBLISHED_STATE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

// A copy of the state that the platform publishes, complete up to a position in the
// history of the platform's store. Instances that can't read the store copy it from a
// peer.
namespace geraniumspread::dispatch {

// A store that was restored from a backup begins a new era. It has lost its latest
// changes and assigns their revisions again, so revisions of different eras don't
// compare. An era of 0 is unknown: the sender doesn't name eras.
struct StorePosition {
  std::uint64_t era = 0;
  std::uint64_t revision = 0;

  auto operator<=>(const StorePosition&) const = default;
};

struct PublishedItem {
  std::string key;
  std::string value;
  std::uint64_t revision = 0;
  bool removed = false;
};

struct PublishedState {
  // All changes up to this position are applied; the revision is 0 before the first read.
  StorePosition position;
  // The items in effect.
  std::map<std::string, PublishedItem> items;
  // The newest changes in order, for peers that miss only these. The values are in
  // `items`.
  struct RecentChange {
    std::string key;
    std::uint64_t revision = 0;
    bool removed = false;
  };
  std::deque<RecentChange> recent;
  // `recent` contains all changes after this revision.
  std::uint64_t recent_after = 0;
  // The state has followed a restore of the store.
  bool was_restored = false;
};

// Applies changes in order and advances the state to `position`. Returns the changes
// that were new. Older ones and those of another era are ignored, so the copy never goes
// back.
std::vector<PublishedItem> ApplyChanges(PublishedState& state,
                                        std::vector<PublishedItem> changes,
                                        StorePosition position);
// True if `position` belongs to a later era than the state, so that the store was restored
// in between. A state from a sender that names no eras may belong to the same era.
bool IsAfterRestore(const PublishedState& state, StorePosition position);
// Replaces the whole state by a state that is complete up to `position`. Returns the
// changes, with a removal for each missing key. A state older than the copy is
// ignored.
std::vector<PublishedItem> ReplaceState(PublishedState& state,
                                        std::vector<PublishedItem> items,
                                        StorePosition position);
// Returns the changes after `revision`, or nullopt if they are no longer kept. A key
// that changed several times appears once, with its current value.
std::optional<std::vector<PublishedItem>> ChangesSince(const PublishedState& state,
                                                       std::uint64_t revision);

}  // namespace geraniumspread::dispatch

#endif  // DISPATCH_PUBLISHED_STATE_H_
