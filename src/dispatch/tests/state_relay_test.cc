#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <map>
#include <random>
#include <utility>
#include <vector>

#include "dispatch/published_state.h"
#include "dispatch/store_restore.h"

// Simulates copies of the published state without a network. Some are read from a
// store, in pages and by its change history, and the others from other copies. A seed
// determines the order of steps and the duration of transfers.
namespace geraniumspread::dispatch {
namespace {

constexpr std::size_t kPageSize = 3;
constexpr std::size_t kKeys = 12;
constexpr std::size_t kReaders = 2;
constexpr std::size_t kCopies = 6;
constexpr int kSteps = 400;

const TimePoint kNow;

using Values = std::map<std::string, std::string>;

struct Store {
  std::uint64_t era = 1;
  std::uint64_t revision = 1;
  // Not restored, so that no value is written twice.
  std::uint64_t writes = 0;
  std::map<std::string, PublishedItem> items;
  std::deque<PublishedItem> history;
  // Changes up to this revision are compacted and can't be read any more.
  std::uint64_t compacted = 1;
};

void Write(Store& store, std::string key, std::string value) {
  PublishedItem item{std::move(key), std::move(value), ++store.revision};
  store.items[item.key] = item;
  store.history.push_back(std::move(item));
}

void Remove(Store& store, const std::string& key) {
  if (store.items.erase(key) != 0) {
    store.history.push_back({key, {}, ++store.revision, true});
  }
}

void Compact(Store& store) {
  store.compacted = store.revision;
  store.history.clear();
}

// Loses the changes since `backup`, whose outcome the writers then write again.
void Restore(Store& store, const Store& backup) {
  const Store lost = std::exchange(store, backup);
  store.era = lost.era + 1;
  store.writes = lost.writes;
  for (const auto& [key, item] : lost.items) {
    const auto restored = store.items.find(key);
    if (restored == store.items.end() || restored->second.value != item.value) {
      Write(store, key, item.value);
    }
  }
  for (const auto& [key, item] : backup.items) {
    if (!lost.items.contains(key)) {
      Remove(store, key);
    }
  }
}

struct Transfer {
  std::vector<PublishedItem> items;
  StorePosition position;
  bool is_complete = false;
  std::vector<RetainedCopy> retained;
};

struct Copy {
  PublishedState state;
  // State built from the reported changes alone, like the upstream table.
  Values applied;
  // Pages read so far. A reader whose position is no longer in the history reads all
  // pages again.
  bool reads_pages = true;
  std::vector<PublishedItem> pages;
  StorePosition first_page;
  std::deque<Transfer> on_the_way;
};

void Apply(Copy& copy, const std::vector<PublishedItem>& changes) {
  for (const PublishedItem& change : changes) {
    if (change.removed) {
      copy.applied.erase(change.key);
    } else {
      copy.applied[change.key] = change.value;
    }
  }
}

void Take(Copy& copy, Transfer transfer) {
  SeparateRetained(transfer.items, transfer.retained);
  Apply(copy, transfer.is_complete
                  ? ReplaceState(copy.state, std::move(transfer.items), transfer.position, kNow)
                  : ApplyChanges(copy.state, std::move(transfer.items), transfer.position));
  if (copy.state.position == transfer.position) {
    Apply(copy, MergeRetained(copy.state, std::move(transfer.retained), kNow));
  }
}

void ReadPage(Copy& reader, const Store& store) {
  if (reader.pages.empty() || reader.first_page.era != store.era) {
    reader.pages.clear();
    reader.first_page = {store.era, store.revision};
  }
  auto next =
      reader.pages.empty() ? store.items.begin() : store.items.upper_bound(reader.pages.back().key);
  for (std::size_t count = 0; count < kPageSize && next != store.items.end(); ++count, ++next) {
    reader.pages.push_back(next->second);
  }
  if (next == store.items.end()) {
    Take(reader, {std::exchange(reader.pages, {}), reader.first_page, true});
    reader.reads_pages = false;
  }
}

void ReadStore(Copy& reader, const Store& store) {
  if (!reader.reads_pages && (reader.state.position.revision < store.compacted ||
                              reader.state.position.era != store.era)) {
    reader.reads_pages = true;
  }
  if (reader.reads_pages) {
    ReadPage(reader, store);
    return;
  }
  Transfer changes{{}, {store.era, store.revision}};
  std::ranges::copy_if(
      store.history, std::back_inserter(changes.items),
      [&](const PublishedItem& item) { return item.revision > reader.state.position.revision; });
  Take(reader, std::move(changes));
}

Transfer TransferAfter(const PublishedState& state, StorePosition position) {
  auto changes =
      position.era == state.position.era ? ChangesSince(state, position.revision) : std::nullopt;
  if (changes) {
    return {std::move(*changes), state.position};
  }
  Transfer transfer{{}, state.position, true};
  for (const auto& [key, item] : state.items) {
    transfer.items.push_back(item);
  }
  transfer.retained = CopyRetained(state, kNow);
  return transfer;
}

void Pull(Copy& copy, const Copy& from) {
  if (from.state.position > copy.state.position) {
    copy.on_the_way.push_back(TransferAfter(from.state, copy.state.position));
  }
}

void TakeArrived(Copy& copy) {
  if (!copy.on_the_way.empty()) {
    Take(copy, std::move(copy.on_the_way.front()));
    copy.on_the_way.pop_front();
  }
}

void ChangeStore(Store& store, std::mt19937& random) {
  const std::string key = "upstream-" + std::to_string(random() % kKeys);
  if (random() % 4 == 0) {
    Remove(store, key);
  } else {
    Write(store, key, "state " + std::to_string(++store.writes));
  }
}

void Step(Store& store, std::vector<Copy>& copies, std::mt19937& random) {
  const std::size_t one = random() % kCopies;
  const std::size_t other = random() % kCopies;
  switch (random() % 8) {
    case 0:
    case 1:
      ChangeStore(store, random);
      break;
    case 2:
    case 3:
      ReadStore(copies[random() % kReaders], store);
      break;
    case 4:
    case 5:
      Pull(copies[one], copies[other]);
      break;
    case 6:
      TakeArrived(copies[one]);
      break;
    default:
      if (random() % 8 == 0) {
        Compact(store);
      }
  }
}

// Runs until every copy has the store's position, without further changes.
void Settle(const Store& store, std::vector<Copy>& copies) {
  constexpr int kRounds = 100;
  for (int round = 0; round < kRounds; ++round) {
    for (std::size_t index = 0; index < kCopies; ++index) {
      if (index < kReaders) {
        ReadStore(copies[index], store);
      } else {
        Pull(copies[index], copies[index - 1]);
      }
      TakeArrived(copies[index]);
    }
  }
}

Values ValuesOf(const std::map<std::string, PublishedItem>& items) {
  Values values;
  for (const auto& [key, item] : items) {
    values[key] = item.value;
  }
  return values;
}

void CheckCopies(const Store& store, const std::vector<Copy>& copies) {
  for (std::size_t index = 0; index < kCopies; ++index) {
    const Copy& copy = copies[index];
    BOOST_TEST_CONTEXT("copy " << index) {
      BOOST_TEST((copy.state.position == StorePosition{store.era, store.revision}));
      BOOST_TEST((ValuesOf(copy.state.items) == ValuesOf(store.items)));
      BOOST_TEST((copy.applied == ValuesOf(store.items)));
    }
  }
}

// Guards against an upstream that left and stays in use on some instances because its
// change came between two pages of a reader and was not forwarded.
BOOST_AUTO_TEST_CASE(ACopyAtTheNewestRevisionHasAllChanges) {
  constexpr unsigned kSeeds = 300;
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      std::mt19937 random(seed);
      Store store;
      std::vector<Copy> copies(kCopies);
      for (int step = 0; step < kSteps; ++step) {
        Step(store, copies, random);
      }
      Settle(store, copies);
      CheckCopies(store, copies);
    }
  }
}

// Guards against copies that keep the state of before a restore, or mix it with changes of
// another era that have the same revisions.
BOOST_AUTO_TEST_CASE(ACopyFollowsRestoresOfTheStore) {
  constexpr unsigned kSeeds = 300;
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      std::mt19937 random(seed);
      Store store;
      Store backup;
      std::vector<Copy> copies(kCopies);
      for (int step = 0; step < kSteps; ++step) {
        Step(store, copies, random);
        if (random() % 30 == 0) {
          backup = store;
        } else if (random() % 60 == 0) {
          Restore(store, backup);
        }
      }
      Settle(store, copies);
      for (Copy& copy : copies) {
        Apply(copy, EndRetentions(copy.state, kNow + std::chrono::hours(1)));
      }
      CheckCopies(store, copies);
    }
  }
}

// Guards against the same fault for an upstream whose entry was removed between two
// pages: the reader never had the entry, but its peers still have it.
BOOST_AUTO_TEST_CASE(ARemovalBetweenTwoPagesReachesPeers) {
  PublishedState peer;
  ReplaceState(peer, {{"a", "ready", 1}, {"b", "ready", 2}}, {0, 10}, {});
  PublishedState reader;
  // The first page shows revision 10; "b" was removed at 11, before the second page.
  ReplaceState(reader, {{"a", "ready", 1}}, {0, 10}, {});
  ApplyChanges(reader, {{"b", {}, 11, true}}, {0, 11});
  ApplyChanges(peer,
               ChangesSince(reader, peer.position.revision).value_or(std::vector<PublishedItem>{}),
               reader.position);
  BOOST_TEST(!peer.items.contains("b"));
}

// Guards against the same fault for an upstream that announced that it is leaving.
BOOST_AUTO_TEST_CASE(AChangeBetweenTwoPagesReachesPeers) {
  PublishedState peer;
  ReplaceState(peer, {{"a", "ready", 1}, {"b", "ready", 2}}, {0, 10}, {});
  PublishedState reader;
  ReplaceState(reader, {{"a", "ready", 1}, {"b", "draining", 11}}, {0, 10}, {});
  ApplyChanges(reader, {{"b", "draining", 11}}, {0, 11});
  ApplyChanges(peer,
               ChangesSince(reader, peer.position.revision).value_or(std::vector<PublishedItem>{}),
               reader.position);
  BOOST_TEST(peer.items.at("b").value == "draining");
}

}  // namespace
}  // namespace geraniumspread::dispatch
