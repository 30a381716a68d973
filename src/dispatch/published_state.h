#ifndef DISPATCH_PUBLISHED_STATE_H_
#define DISPATCH_PUBLISHED_STATE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

// A copy of what the platform publishes, with the revision that it is complete
// up to. Instances that can't read the platform copy it from a peer.
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
  // The newest changes in order, for peers that lack only these. Values are in
  // `items`.
  struct RecentChange {
    std::string key;
    std::uint64_t revision = 0;
    bool removed = false;
  };
  std::deque<RecentChange> recent;
  // Changes after this revision are in `recent`.
  std::uint64_t recent_after = 0;
};

// Applies changes in order and moves the state to `revision`. Returns those that
// were new; older ones are ignored, so a copy never goes back.
std::vector<PublishedItem> ApplyChanges(PublishedState& state,
                                        std::vector<PublishedItem> changes,
                                        std::uint64_t revision);
// Replaces the whole state by one that is complete up to `revision`. Keys that
// are missing are reported as removed. An older state changes nothing.
std::vector<PublishedItem> ReplaceState(PublishedState& state,
                                        std::vector<PublishedItem> items,
                                        std::uint64_t revision);
// Changes after `revision`, or nothing when they are no longer kept. A key that
// changed several times comes once, as it is now.
std::optional<std::vector<PublishedItem>> ChangesSince(const PublishedState& state,
                                                       std::uint64_t revision);

}  // namespace geraniumspread::dispatch

#endif  // DISPATCH_PUBLISHED_STATE_H_
