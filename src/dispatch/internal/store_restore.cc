#include "dispatch/store_restore.h"

#include <algorithm>
#include <limits>
#include <set>
#include <span>
#include <unordered_map>
#include <utility>

#include "common/hash.h"

namespace geraniumspread::dispatch {
namespace {

// Covers some seconds in which a large fleet of upstreams is replaced.
constexpr std::size_t kMaxSuperseded = 4096;

using SupersededByKey = std::unordered_multimap<std::uint64_t, const SupersededValue*>;

SupersededByKey IndexSuperseded(const PublishedState& state) {
  SupersededByKey index;
  for (const SupersededValue& value : state.superseded) {
    index.emplace(value.key_hash, &value);
  }
  return index;
}

bool IsSuperseded(const SupersededByKey& index, const PublishedItem& item) {
  const auto [begin, end] = index.equal_range(StableHash(item.key));
  const std::uint64_t value_hash = StableHash(item.value);
  return std::any_of(begin, end, [&](const auto& entry) {
    return entry.second->revision == item.revision && entry.second->value_hash == value_hash;
  });
}

bool HasLowerVersion(const RestoreRules& rules,
                     const PublishedItem& item,
                     const PublishedItem& other) {
  if (rules.stated_version == nullptr) {
    return false;
  }
  const auto version = rules.stated_version(item);
  const auto other_version = rules.stated_version(other);
  return version && other_version && *version < *other_version;
}

bool IsRenewed(const RestoreRules& rules, std::string_view key) {
  return rules.is_renewed != nullptr && rules.is_renewed(key);
}

// Returns the position of the change that put `item` into effect.
StorePosition OriginOf(const PublishedState& state, const PublishedItem& item) {
  const auto retained = state.retained.find(item.key);
  return retained != state.retained.end() && !retained->second.ended
             ? retained->second.origin
             : StorePosition{state.position.era, item.revision};
}

// Returns the newest revision that the backup is known to contain, by the items that the restored
// store holds as this copy knew them. An item may have been written again under the revision that
// it had, so revisions from the first one on that the store has lost prove nothing.
std::uint64_t RevisionInBackup(const PublishedState& state,
                               const SupersededByKey& superseded,
                               std::span<const PublishedItem> items) {
  std::uint64_t first_lost = std::numeric_limits<std::uint64_t>::max();
  for (const PublishedItem& item : items) {
    const auto known = state.items.find(item.key);
    if (known != state.items.end() && IsSuperseded(superseded, item)) {
      first_lost = std::min(first_lost, known->second.revision);
    }
  }
  std::uint64_t newest = 0;
  for (const PublishedItem& item : items) {
    const auto known = state.items.find(item.key);
    if (known != state.items.end() && item.revision < first_lost &&
        known->second.revision == item.revision && known->second.value == item.value) {
      newest = std::max(newest, item.revision);
    }
  }
  return newest;
}

// Returns the position at which the key was removed.
StorePosition RemovalOf(const SupersededByKey& index, std::string_view key) {
  StorePosition removal;
  const auto [begin, end] = index.equal_range(StableHash(key));
  for (auto entry = begin; entry != end; ++entry) {
    removal = std::max(removal, entry->second->replaced_at);
  }
  return removal;
}

// The items in effect and the retained ones after the restore, and the changes that lead
// there.
struct NewEra {
  std::map<std::string, PublishedItem> items;
  std::map<std::string, RetainedItem> retained;
  std::vector<PublishedItem> changes;
  // Items that were in effect with another value or revision.
  std::vector<PublishedItem> superseded;
};

void TakeStoreItem(NewEra& era, PublishedItem item) {
  era.changes.push_back(item);
  std::string key = item.key;
  era.items.insert_or_assign(std::move(key), std::move(item));
}

// Adds an item of the restored store, or keeps the change that the store has lost. An item
// in effect gets the revision of the restored one, so that any later write replaces it.
void AddStoreItem(NewEra& era,
                  const PublishedState& state,
                  const SupersededByKey& superseded,
                  PublishedItem item,
                  TimePoint now) {
  const auto known = state.items.find(item.key);
  const bool is_older = IsSuperseded(superseded, item);
  if (known == state.items.end()) {
    if (!is_older) {
      TakeStoreItem(era, std::move(item));
      return;
    }
    const StorePosition removal = RemovalOf(superseded, item.key);
    std::string key = item.key;
    era.retained[std::move(key)] = {removal, std::move(item), now};
    return;
  }
  PublishedItem in_effect = known->second;
  if (in_effect.revision != item.revision) {
    era.superseded.push_back(in_effect);
  }
  in_effect.revision = item.revision;
  if (in_effect.value != item.value) {
    if (!is_older && !HasLowerVersion(state.restore_rules, item, in_effect)) {
      TakeStoreItem(era, std::move(item));
      return;
    }
    era.retained[in_effect.key] = {OriginOf(state, known->second), std::move(item), now};
  }
  std::string key = in_effect.key;
  era.items.insert_or_assign(std::move(key), std::move(in_effect));
}

void AddMissingItem(NewEra& era,
                    const PublishedState& state,
                    const PublishedItem& known,
                    std::uint64_t revision_in_backup,
                    StorePosition position,
                    TimePoint now) {
  const bool is_removed_since =
      !state.retained.contains(known.key) && known.revision <= revision_in_backup;
  if (is_removed_since || IsRenewed(state.restore_rules, known.key)) {
    era.superseded.push_back(known);
    era.changes.push_back({known.key, {}, position.revision, true});
    return;
  }
  era.retained[known.key] = {OriginOf(state, known), std::nullopt, now};
  era.items[known.key] = {known.key, known.value, position.revision};
}

// True if the store is known here to have removed the item in this era.
bool WasRemovedInEra(const PublishedState& state, std::string_view key) {
  const std::uint64_t key_hash = StableHash(key);
  return std::ranges::any_of(state.superseded, [&](const SupersededValue& value) {
    return value.key_hash == key_hash && value.replaced_at.era == state.position.era;
  });
}

// True if the store has not written the key since the state from which `copy` comes.
bool IsUnwritten(const PublishedState& state, const RetainedCopy& copy) {
  const auto retained = state.retained.find(copy.key);
  if (retained != state.retained.end()) {
    return true;
  }
  const auto known = state.items.find(copy.key);
  if (known == state.items.end() || !copy.restored) {
    return known == state.items.end() && !copy.restored && !WasRemovedInEra(state, copy.key);
  }
  return known->second.revision == copy.restored->revision &&
         known->second.value == copy.restored->value;
}

// Puts the value of a lost change into effect, or removes the item.
PublishedItem PutIntoEffect(PublishedState& state, const RetainedCopy& copy) {
  const std::uint64_t revision = copy.restored ? copy.restored->revision : state.position.revision;
  if (!copy.value) {
    state.items.erase(copy.key);
    return {copy.key, {}, revision, true};
  }
  PublishedItem item{copy.key, *copy.value, revision};
  state.items[copy.key] = item;
  return item;
}

}  // namespace

std::vector<PublishedItem> EnterEra(PublishedState& state,
                                    std::vector<PublishedItem> items,
                                    StorePosition position,
                                    TimePoint now) {
  const SupersededByKey superseded = IndexSuperseded(state);
  const std::uint64_t revision_in_backup = RevisionInBackup(state, superseded, items);
  NewEra era;
  std::set<std::string> present;
  for (PublishedItem& item : items) {
    present.insert(item.key);
    AddStoreItem(era, state, superseded, std::move(item), now);
  }
  for (const auto& [key, known] : state.items) {
    if (!present.contains(key)) {
      AddMissingItem(era, state, known, revision_in_backup, position, now);
    }
  }
  for (const PublishedItem& item : era.superseded) {
    RecordSuperseded(state, item, position);
  }
  state.items = std::move(era.items);
  state.retained = std::move(era.retained);
  state.recent.clear();
  state.recent_after = position.revision;
  state.position = position;
  state.was_restored = true;
  return std::move(era.changes);
}

void RecordSuperseded(PublishedState& state, const PublishedItem& item, StorePosition replaced_at) {
  const std::uint64_t revision = OriginOf(state, item).revision;
  state.superseded.push_back({StableHash(item.key), StableHash(item.value), revision, replaced_at});
  if (state.superseded.size() > kMaxSuperseded) {
    state.superseded.pop_front();
  }
}

bool IsOlderThanRetained(const PublishedState& state, const PublishedItem& item) {
  const auto retained = state.retained.find(item.key);
  const auto in_effect = state.items.find(item.key);
  return retained != state.retained.end() && !retained->second.ended && !item.removed &&
         in_effect != state.items.end() &&
         HasLowerVersion(state.restore_rules, item, in_effect->second);
}

std::vector<PublishedItem> EndRetentions(PublishedState& state, TimePoint now) {
  std::vector<PublishedItem> changes;
  for (auto& [key, retained] : state.retained) {
    const Duration time = IsRenewed(state.restore_rules, key) ? state.restore_rules.renewal_time
                                                              : state.restore_rules.rewrite_time;
    if (retained.ended || now < retained.since + time) {
      continue;
    }
    retained.ended = true;
    if (retained.restored) {
      state.items[key] = *retained.restored;
      changes.push_back(*retained.restored);
    } else {
      state.items.erase(key);
      changes.push_back({key, {}, state.position.revision, true});
    }
  }
  return changes;
}

std::vector<RetainedCopy> CopyRetained(const PublishedState& state, TimePoint now) {
  std::vector<RetainedCopy> copies;
  for (const auto& [key, retained] : state.retained) {
    RetainedCopy copy{
        key,           std::nullopt, retained.origin, retained.restored, now - retained.since,
        retained.ended};
    if (const auto item = state.items.find(key); item != state.items.end() && !retained.ended) {
      copy.value = item->second.value;
    }
    copies.push_back(std::move(copy));
  }
  return copies;
}

void SeparateRetained(std::vector<PublishedItem>& items, std::vector<RetainedCopy>& copies) {
  std::unordered_map<std::string_view, RetainedCopy*> by_key;
  for (RetainedCopy& copy : copies) {
    if (!copy.ended) {
      by_key[copy.key] = &copy;
    }
  }
  std::erase_if(items, [&by_key](PublishedItem& item) {
    const auto retained = by_key.find(item.key);
    if (retained == by_key.end()) {
      return false;
    }
    retained->second->value = std::move(item.value);
    return true;
  });
  for (const auto& [key, copy] : by_key) {
    if (copy->restored) {
      items.push_back(*copy->restored);
    }
  }
}

std::vector<PublishedItem> MergeRetained(PublishedState& state,
                                         std::vector<RetainedCopy> copies,
                                         TimePoint now) {
  std::vector<PublishedItem> changes;
  for (RetainedCopy& copy : copies) {
    const auto known = state.retained.find(copy.key);
    const bool is_newer = known == state.retained.end() || known->second.origin < copy.origin;
    if (!is_newer || !IsUnwritten(state, copy)) {
      continue;
    }
    if (!copy.ended) {
      changes.push_back(PutIntoEffect(state, copy));
    }
    std::string key = std::move(copy.key);
    state.retained[std::move(key)] = {copy.origin, std::move(copy.restored), now - copy.age,
                                      copy.ended};
  }
  return changes;
}

std::uint8_t RetainedFingerprint(const PublishedState& state) {
  std::uint64_t combined = 0;
  for (const auto& [key, retained] : state.retained) {
    combined ^= MixHash(MixHash(StableHash(key), retained.origin.era), retained.origin.revision);
  }
  const auto fingerprint = static_cast<std::uint8_t>(combined);
  return state.retained.empty() ? 0 : std::max<std::uint8_t>(fingerprint, 1);
}

}  // namespace geraniumspread::dispatch
