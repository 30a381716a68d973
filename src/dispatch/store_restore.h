#ifndef DISPATCH_STORE_RESTORE_H_
#define DISPATCH_STORE_RESTORE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "dispatch/published_state.h"

// A restore from a backup makes the platform's store lose its latest changes, which it
// had acknowledged. Their writers write them again. Until then the copies keep them in
// effect, so that no change is undone: an item that was replaced or removed after the
// backup keeps its newer value, and an item that the backup lacks stays. Renewed items
// that the backup lacks are removed, since a live writer renews them soon. A change that
// nobody writes again in time is given up.
namespace geraniumspread::dispatch {

// A retained item as it is sent to a peer.
struct RetainedCopy {
  std::string key;
  // Unset if the lost change removed the item.
  std::optional<std::string> value;
  StorePosition origin;
  std::optional<PublishedItem> restored;
  // Time since the restore was noticed.
  Duration age{0};
  bool ended = false;
};

// Replaces the state by the first complete one of a later era. Returns the changes of the
// items in effect.
std::vector<PublishedItem> EnterEra(PublishedState& state,
                                    std::vector<PublishedItem> items,
                                    StorePosition position,
                                    TimePoint now);
// Records that a change replaces or removes `item`.
void RecordSuperseded(PublishedState& state, const PublishedItem& item, StorePosition replaced_at);
// True if `item` is written with a lower version than the lost change that is retained for its
// key, as when the writer repeats its lost changes in order. The lost change then stays in effect.
bool IsOlderThanRetained(const PublishedState& state, const PublishedItem& item);
// Ends retentions whose time is over. Returns the changes of the items in effect.
std::vector<PublishedItem> EndRetentions(PublishedState& state, TimePoint now);

std::vector<RetainedCopy> CopyRetained(const PublishedState& state, TimePoint now);
// Moves the values of retained items from `items`, which are those in effect, to `copies`, and
// leaves the items that the store contains. Peers send the items in effect for the sake of
// builds that don't know retained items.
void SeparateRetained(std::vector<PublishedItem>& items, std::vector<RetainedCopy>& copies);
// Adopts retained items of a peer whose state has the same position: lost changes that this
// copy never had, or had in an older form. Returns the changes of the items in effect.
std::vector<PublishedItem> MergeRetained(PublishedState& state,
                                         std::vector<RetainedCopy> copies,
                                         TimePoint now);
// Identifies the set of retained items; 0 for an empty set. Copies at the same position
// have different sets if one of them lacks lost changes that the other has.
std::uint8_t RetainedFingerprint(const PublishedState& state);

}  // namespace geraniumspread::dispatch

#endif  // DISPATCH_STORE_RESTORE_H_
