#ifndef DISPATCH_PUBLISHED_STATE_H_
#define DISPATCH_PUBLISHED_STATE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

// A copy of the state that the platform publishes, complete up to a revision.
// Instances that can't read the platform's store copy it from a peer.
namespace geraniumspread::dispatch {

struct PublishedItem {
  std::string key;
  std::string value;
  std::uint64_t revision = 0;
  bool removed = false;
};

struct PublishedState {
  // All changes up to this revision are applied; 0 before the first read.
  std::uint64_t revision = 0;
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
};

// Applies changes in order and advances the state to `revision`. Returns the changes
// that were new. Older ones are ignored, so the copy never goes back.
std::vector<PublishedItem> ApplyChanges(PublishedState& state,
                                        std::vector<PublishedItem> changes,
                                        std::uint64_t revision);
// Replaces the whole state by a state that is complete up to `revision`. Returns the
// changes, with a removal for each missing key. A state older than the copy is
// ignored.
std::vector<PublishedItem> ReplaceState(PublishedState& state,
                                        std::vector<PublishedItem> items,
                                        std::uint64_t revision);
// Returns the changes after `revision`, or nullopt if they are no longer kept. A key
// that changed several times appears once, with its current value.
std::optional<std::vector<PublishedItem>> ChangesSince(const PublishedState& state,
                                                       std::uint64_t revision);

}  // namespace geraniumspread::dispatch

#endif  // DISPATCH_PUBLISHED_STATE_H_
