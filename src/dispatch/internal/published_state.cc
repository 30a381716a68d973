#include "dispatch/published_state.h"

#include <algorithm>
#include <set>
#include <utility>

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

}  // namespace

std::vector<PublishedItem> ApplyChanges(PublishedState& state,
                                        std::vector<PublishedItem> changes,
                                        std::uint64_t revision) {
  std::vector<PublishedItem> applied;
  for (PublishedItem& change : changes) {
    if (change.revision <= state.revision) {
      continue;
    }
    // The paged read may have contained this change already. Peers at the revision of
    // the pages still need it.
    AppendRecent(state, change);
    if (ApplyItem(state, change)) {
      applied.push_back(std::move(change));
    }
  }
  state.revision = std::max(state.revision, revision);
  return applied;
}

std::vector<PublishedItem> ReplaceState(PublishedState& state,
                                        std::vector<PublishedItem> items,
                                        std::uint64_t revision) {
  std::vector<PublishedItem> changes;
  if (revision < state.revision) {
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
    if (!present.contains(key)) {
      changes.push_back({key, {}, revision, true});
    }
  }
  // ApplyItem ignores the removal of an item that is newer than the pages: it was
  // removed after their revision, and that change has yet to arrive.
  std::erase_if(changes,
                [&state](const PublishedItem& change) { return !ApplyItem(state, change); });
  state.recent.clear();
  state.recent_after = revision;
  state.revision = revision;
  return changes;
}

std::optional<std::vector<PublishedItem>> ChangesSince(const PublishedState& state,
                                                       std::uint64_t revision) {
  if (revision < state.recent_after || state.revision == 0) {
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
