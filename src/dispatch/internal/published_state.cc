#include "dispatch/published_state.h"

#include <algorithm>
#include <set>
#include <utility>

#include "dispatch/store_restore.h"

namespace geraniumspread::dispatch {
namespace {

// Covers a few seconds of rapid changes. Peers that miss more copy the whole state.
constexpr std::size_t kMaxRecentChanges = 64;

void AppendRecent(PublishedState& state, const PublishedItem& item) {
  state.recent.push_back({item.key, item.revision, item.removed});
  while (state.recent.size() > kMaxRecentChanges) {
    state.recent_after = state.recent.front().revision;
    state.recent.pop_front();
  }
}

bool ApplyItem(PublishedState& state, const PublishedItem& item) {
  const auto known = state.items.find(item.key);
  if (known != state.items.end() && known->second.revision >= item.revision) {
    return false;
  }
  if (const auto retained = state.retained.find(item.key); retained != state.retained.end()) {
    const std::optional<PublishedItem>& restored = retained->second.restored;
    if (restored && restored->revision >= item.revision) {
      return false;
    }
  }
  if (IsOlderThanRetained(state, item)) {
    known->second.revision = item.revision;
    state.retained[item.key].restored = item;
    return false;
  }
  if (known != state.items.end()) {
    RecordSuperseded(state, known->second, {state.position.era, item.revision});
  }
  state.retained.erase(item.key);
  if (item.removed) {
    if (known == state.items.end()) {
      return false;
    }
    state.items.erase(known);
    return true;
  }
  state.items[item.key] = item;
  return true;
}

// True for an item that stays in effect although the restored store lacks it.
bool IsRetained(const PublishedState& state, const std::string& key) {
  const auto retained = state.retained.find(key);
  return retained != state.retained.end() && !retained->second.restored && !retained->second.ended;
}

}  // namespace

std::vector<PublishedItem> ApplyChanges(PublishedState& state,
                                        std::vector<PublishedItem> changes,
                                        StorePosition position) {
  std::vector<PublishedItem> applied;
  if (position.era != state.position.era) {
    return applied;
  }
  for (PublishedItem& change : changes) {
    if (change.revision <= state.position.revision) {
      continue;
    }
    // The paged read may have contained this change already. Peers at the revision of
    // the pages still need it.
    AppendRecent(state, change);
    if (ApplyItem(state, change)) {
      applied.push_back(std::move(change));
    }
  }
  state.position = std::max(state.position, position);
  return applied;
}

bool IsAfterRestore(const PublishedState& state, StorePosition position) {
  const bool may_be_same_era =
      state.position.era == 0 && state.position.revision <= position.revision;
  return state.position.era < position.era && !may_be_same_era;
}

std::vector<PublishedItem> ReplaceState(PublishedState& state,
                                        std::vector<PublishedItem> items,
                                        StorePosition position,
                                        TimePoint now) {
  if (IsAfterRestore(state, position)) {
    return EnterEra(state, std::move(items), position, now);
  }
  state.position.era = std::max(state.position.era, position.era);
  std::vector<PublishedItem> changes;
  if (position < state.position) {
    return changes;
  }
  std::set<std::string> present;
  for (PublishedItem& item : items) {
    present.insert(item.key);
    const auto known = state.items.find(item.key);
    if (known == state.items.end() || known->second.revision < item.revision) {
      changes.push_back(std::move(item));
    }
  }
  for (const auto& [key, item] : state.items) {
    if (!present.contains(key) && !IsRetained(state, key)) {
      changes.push_back({key, {}, position.revision, true});
    }
  }
  // ApplyItem ignores the removal of an item that is newer than the pages: it was
  // removed after their revision, and that change has yet to arrive.
  std::erase_if(changes,
                [&state](const PublishedItem& change) { return !ApplyItem(state, change); });
  state.recent.clear();
  state.recent_after = position.revision;
  state.position = position;
  return changes;
}

std::optional<std::vector<PublishedItem>> ChangesSince(const PublishedState& state,
                                                       std::uint64_t revision) {
  if (revision < state.recent_after || state.position.revision == 0) {
    return std::nullopt;
  }
  std::vector<PublishedItem> changes;
  for (const PublishedState::RecentChange& change : state.recent) {
    if (change.revision <= revision) {
      continue;
    }
    const auto item = state.items.find(change.key);
    if (change.removed && item == state.items.end()) {
      changes.push_back({change.key, {}, change.revision, true});
    } else if (item != state.items.end() && item->second.revision == change.revision) {
      changes.push_back(item->second);
    }
  }
  return changes;
}

}  // namespace geraniumspread::dispatch
