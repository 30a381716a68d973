#ifndef DISPATCH_PUBLISHED_STATE_H_
#define DISPATCH_PUBLISHED_STATE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "common/runtime_clock.h"

// A copy of the state that the platform publishes, complete up to a position in the
// history of the platform's store. Instances that can't read the store copy it from a
// peer. How the copy survives a restore of the store is in store_restore.h.
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

// A value that a later change replaced or removed. Shows whether a restored store holds
// an old value or one that was written after the restore.
struct SupersededValue {
  std::uint64_t key_hash = 0;
  std::uint64_t value_hash = 0;
  std::uint64_t revision = 0;
  // Position of the change that replaced the value.
  StorePosition replaced_at;
};

// A change that a restore of the store lost and that stays in effect here. The entry is
// erased when the key is written again.
struct RetainedItem {
  // Position of the lost change.
  StorePosition origin;
  // What the restored store contains for the key.
  std::optional<PublishedItem> restored;
  TimePoint since;
  // The key was not written in time, so `restored` is in effect.
  bool ended = false;
};

// What the platform's items mean for the time after a restore.
struct RestoreRules {
  // Returns the version that the value contains, if any. Its writer raises it with each
  // change.
  std::optional<std::uint64_t> (*stated_version)(const PublishedItem& item) = nullptr;
  // True for an item that its writer renews, and that is removed without a renewal.
  bool (*is_renewed)(std::string_view key) = nullptr;
  // Time for the writer of a renewed item to renew it.
  Duration renewal_time = std::chrono::milliseconds(5900);
  // Time for the writers of other items to write lost changes again.
  Duration rewrite_time = std::chrono::minutes(1);
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
  // By key.
  std::map<std::string, RetainedItem> retained;
  // The newest superseded values, in the order in which they were replaced.
  std::deque<SupersededValue> superseded;
  RestoreRules restore_rules;
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
// ignored. In a new era, changes that the restore lost stay in effect.
std::vector<PublishedItem> ReplaceState(PublishedState& state,
                                        std::vector<PublishedItem> items,
                                        StorePosition position,
                                        TimePoint now);
// Returns the changes after `revision`, or nullopt if they are no longer kept. A key
// that changed several times appears once, with its current value.
std::optional<std::vector<PublishedItem>> ChangesSince(const PublishedState& state,
                                                       std::uint64_t revision);

}  // namespace geraniumspread::dispatch

#endif  // DISPATCH_PUBLISHED_STATE_H_
