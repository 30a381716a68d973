#include "dispatch/store_restore.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <charconv>

// A store that was restored from a backup has lost changes that it had acknowledged.
namespace geraniumspread::dispatch {
namespace {

using std::chrono::seconds;

const TimePoint kStart = TimePoint{} + std::chrono::hours(1);
const TimePoint kLater = kStart + std::chrono::hours(1);

// The value of "config" is its version; keys that begin with "upstreams/" are renewed.
std::optional<std::uint64_t> Version(const PublishedItem& item) {
  std::uint64_t version = 0;
  std::from_chars(item.value.data(), item.value.data() + item.value.size(), version);
  return item.key == "config" ? std::optional(version) : std::nullopt;
}

bool IsRenewed(std::string_view key) {
  return key.starts_with("upstreams/");
}

// A copy in era 1 that has seen the items change from those of the backup at revision 10.
struct Fixture {
  Fixture() {
    this->state.restore_rules.stated_version = Version;
    this->state.restore_rules.is_renewed = IsRenewed;
    ReplaceState(this->state, this->backup, {1, 10}, kStart);
  }

  void Change(PublishedItem item) {
    const std::uint64_t revision = item.revision;
    ApplyChanges(this->state, {std::move(item)}, {1, revision});
  }

  // Era 2 begins with the backup, and `written` was written since.
  std::vector<PublishedItem> Restore(std::vector<PublishedItem> written = {}) {
    std::map<std::string, PublishedItem> items;
    std::uint64_t revision = 10;
    for (const auto* source : {&this->backup, &written}) {
      for (const PublishedItem& item : *source) {
        items.insert_or_assign(item.key, item);
        revision = std::max(revision, item.revision);
      }
    }
    std::vector<PublishedItem> pages;
    pages.reserve(items.size());
    for (const auto& [key, item] : items) {
      pages.push_back(item);
    }
    return ReplaceState(this->state, std::move(pages), {2, revision}, kStart);
  }

  bool Has(const std::string& key) const { return this->state.items.contains(key); }
  std::string Value(const std::string& key) const { return this->state.items.at(key).value; }

  std::vector<PublishedItem> backup = {{"config", "4", 5}, {"upstreams/a", "ready", 6}};
  PublishedState state;
};

// Guards against a confirmed configuration that comes back older, and a withdrawn key that
// is valid again.
BOOST_FIXTURE_TEST_CASE(AConfigurationThatTheRestoreLostStaysInEffect, Fixture) {
  this->Change({"config", "8", 11});
  BOOST_TEST(this->Restore().empty());
  BOOST_TEST(this->Value("config") == "8");
  BOOST_TEST(EndRetentions(this->state, kStart + seconds(50)).empty());
}

// Guards against an instance that never takes what the operators write after the restore,
// since its revision was assigned before.
BOOST_FIXTURE_TEST_CASE(AWriteAfterTheRestoreTakesEffect, Fixture) {
  this->Change({"config", "8", 11});
  this->Change({"upstreams/a", "draining", 12});
  this->Restore();
  const auto changes = ApplyChanges(this->state, {{"config", "9", 11}}, {2, 11});
  BOOST_TEST(changes.size() == 1U);
  BOOST_TEST(this->Value("config") == "9");
  BOOST_TEST(!this->state.retained.contains("config"));
}

// Guards against instances that go back to an older configuration when the operators write the
// lost versions again in order.
BOOST_FIXTURE_TEST_CASE(LostVersionsThatAreWrittenAgainInOrderNeverGoBack, Fixture) {
  this->Change({"config", "6", 11});
  this->Change({"config", "8", 12});
  this->Restore();
  BOOST_TEST(ApplyChanges(this->state, {{"config", "6", 11}}, {2, 11}).empty());
  BOOST_TEST(this->Value("config") == "8");
  BOOST_TEST(ApplyChanges(this->state, {{"config", "8", 12}}, {2, 12}).size() == 1U);
  BOOST_TEST(this->state.retained.empty());
  ApplyChanges(this->state, {{"config", "9", 13}}, {2, 13});
  BOOST_TEST(this->Value("config") == "9");
}

// Guards against an instance that goes back to a lost version that it never saw itself, in a
// change or in a full read. Versions only increase, so a lower one is never a newer decision.
BOOST_FIXTURE_TEST_CASE(ALowerVersionThatIsWrittenAfterTheRestoreDoesNotReplaceTheLostOne,
                        Fixture) {
  this->Change({"config", "8", 11});
  this->Restore();
  ApplyChanges(this->state, {{"config", "6", 11}}, {2, 11});
  BOOST_TEST(this->Value("config") == "8");
  ReplaceState(this->state, {{"config", "7", 12}, this->backup[1]}, {2, 12}, kStart);
  BOOST_TEST(this->Value("config") == "8");
  // What the operators wrote last takes effect if they don't write the lost version again.
  BOOST_TEST(EndRetentions(this->state, kLater).size() == 1U);
  BOOST_TEST(this->Value("config") == "7");
}

// Guards against an instance that started after the restore and stays at the lower version that
// was written meanwhile.
BOOST_FIXTURE_TEST_CASE(ANewInstanceGetsTheLostVersionAlsoAfterALowerOneIsWritten, Fixture) {
  this->Change({"config", "6", 11});
  this->Change({"config", "8", 12});
  this->Restore();
  ApplyChanges(this->state, {{"config", "6", 11}}, {2, 11});
  PublishedState fresh;
  fresh.restore_rules = this->state.restore_rules;
  ReplaceState(fresh, {{"config", "6", 11}, this->backup[1]}, {2, 11}, kStart);
  MergeRetained(fresh, CopyRetained(this->state, kStart), kStart);
  BOOST_TEST(fresh.items.at("config").value == "8");
}

// An instance that was cut off reads the restored store late, when everything has been
// written again under revisions that it knows for other changes.
BOOST_FIXTURE_TEST_CASE(ALateReaderTakesWhatWasWrittenSinceTheRestore, Fixture) {
  this->Change({"config", "8", 11});
  this->Change({"upstreams/a", "draining", 12});
  const auto changes = this->Restore({{"config", "9", 11}, {"evacuated/east", "", 12}});
  BOOST_TEST(changes.size() == 2U);
  BOOST_TEST(this->Value("config") == "9");
  BOOST_TEST(this->Has("evacuated/east"));
}

// An intermediate version that this copy never saw, as it got only the newest one from a
// peer.
BOOST_FIXTURE_TEST_CASE(AnUnseenOlderConfigurationDoesNotReplaceANewerOne, Fixture) {
  this->backup[0] = {"config", "6", 11};
  ApplyChanges(this->state, {{"config", "8", 13}}, {1, 13});
  this->Restore();
  BOOST_TEST(this->Value("config") == "8");
}

// Guards against an instance that stays apart from the store for ever, if the operators
// give up the lost change.
BOOST_FIXTURE_TEST_CASE(AConfigurationThatNobodyWritesAgainEnds, Fixture) {
  this->Change({"config", "8", 11});
  this->Restore();
  BOOST_TEST(EndRetentions(this->state, kLater).size() == 1U);
  BOOST_TEST(this->Value("config") == "4");
}

// Guards against requests to an evacuated failure domain.
BOOST_FIXTURE_TEST_CASE(AnEvacuationThatTheRestoreLostStaysInEffectForATime, Fixture) {
  this->Change({"evacuated/east", "", 11});
  BOOST_TEST(this->Restore().empty());
  BOOST_TEST(this->Has("evacuated/east"));
  // Written again: it ends when the operators end it, and not by itself.
  BOOST_TEST(ApplyChanges(this->state, {{"evacuated/east", "", 12}}, {2, 12}).size() == 1U);
  BOOST_TEST(EndRetentions(this->state, kLater).empty());
  ApplyChanges(this->state, {{"evacuated/east", {}, 13, true}}, {2, 13});
  BOOST_TEST(!this->Has("evacuated/east"));
}

// Guards against a failure domain that stays out of service although the operators took it back
// after the restore: an item that the backup contains and the store lacks was removed since.
BOOST_FIXTURE_TEST_CASE(AnEvacuationThatEndsAfterTheRestoreEnds, Fixture) {
  this->Change({"evacuated/east", "", 11});
  this->Change({"config", "8", 12});
  this->backup.push_back({"config", "8", 12});
  this->Change({"evacuated/west", "", 13});
  const auto changes = this->Restore({{"upstreams/b", "ready", 14}});
  BOOST_TEST(changes.size() == 2U);
  BOOST_TEST(!this->Has("evacuated/east"));
  BOOST_TEST(this->Has("evacuated/west"));
}

// Guards against a lost evacuation that ends at once, because another lost item was written again
// under the revision that it had. The backup contains less than that, as it has an older value.
BOOST_FIXTURE_TEST_CASE(AnItemThatGotItsOldRevisionAgainIsNoPartOfTheBackup, Fixture) {
  this->Change({"config", "6", 11});
  this->Change({"evacuated/east", "", 12});
  this->Change({"upstreams/b", "ready", 13});
  this->Restore({{"upstreams/b", "ready", 13}});
  BOOST_TEST(this->Has("evacuated/east"));
  BOOST_TEST(this->Value("config") == "6");
}

// The operators may have ended the evacuation before they wrote it again. The store then
// reports no removal.
BOOST_FIXTURE_TEST_CASE(AnEvacuationThatNobodyWritesAgainEnds, Fixture) {
  this->Change({"evacuated/east", "", 11});
  this->Restore();
  BOOST_TEST(EndRetentions(this->state, kLater).size() == 1U);
  BOOST_TEST(!this->Has("evacuated/east"));
}

// Guards against a failure domain that is evacuated again because the restore lost the end
// of its evacuation.
BOOST_FIXTURE_TEST_CASE(AnEndedEvacuationIsNotResumed, Fixture) {
  this->backup.push_back({"evacuated/east", "", 11});
  this->Change(this->backup.back());
  this->Change({"evacuated/east", {}, 12, true});
  BOOST_TEST(this->Restore().empty());
  BOOST_TEST(!this->Has("evacuated/east"));
}

// Guards against requests to an upstream that has left: the restored store lists it until
// its entry lapses.
BOOST_FIXTURE_TEST_CASE(AnUpstreamThatLeftIsNotUsedAgain, Fixture) {
  this->Change({"upstreams/a", {}, 11, true});
  BOOST_TEST(this->Restore().empty());
  BOOST_TEST(!this->Has("upstreams/a"));
  ApplyChanges(this->state, {{"upstreams/a", {}, 12, true}}, {2, 12});
  BOOST_TEST(this->state.retained.empty());
  BOOST_TEST(EndRetentions(this->state, kLater).empty());
  BOOST_TEST(!this->Has("upstreams/a"));
}

// The removed upstream was only out of touch with the store. It renews its entry, which
// changes nothing in it.
BOOST_FIXTURE_TEST_CASE(AnUpstreamThatIsStillListedAfterSomeTimeIsUsed, Fixture) {
  this->Change({"upstreams/a", {}, 11, true});
  this->Restore();
  BOOST_TEST(EndRetentions(this->state, kStart + seconds(5)).empty());
  BOOST_TEST(EndRetentions(this->state, kStart + seconds(6)).size() == 1U);
  BOOST_TEST(this->Value("upstreams/a") == "ready");
}

// A new process under an id that another process had.
BOOST_FIXTURE_TEST_CASE(AnUpstreamThatRegistersAfterTheRestoreIsUsed, Fixture) {
  this->Change({"upstreams/a", {}, 11, true});
  this->Restore();
  BOOST_TEST(ApplyChanges(this->state, {{"upstreams/a", "new", 11}}, {2, 11}).size() == 1U);
  BOOST_TEST(this->Value("upstreams/a") == "new");
}

// Guards against an upstream that serves and is dropped for good, or that is kept although
// it has crashed: the caller holds its removal until it had time to register again.
BOOST_FIXTURE_TEST_CASE(AnUpstreamThatTheBackupLacksIsReportedAsRemoved, Fixture) {
  this->Change({"upstreams/b", "ready", 11});
  const auto changes = this->Restore();
  BOOST_TEST_REQUIRE(changes.size() == 1U);
  BOOST_TEST(changes.front().key == "upstreams/b");
  BOOST_TEST(changes.front().removed);
}

// Restores in a row, the second from a copy older than the first restore.
BOOST_FIXTURE_TEST_CASE(LostChangesStayInEffectOverASecondRestore, Fixture) {
  this->Change({"config", "8", 11});
  this->Change({"evacuated/east", "", 12});
  this->Restore();
  BOOST_TEST(ReplaceState(this->state, {{"config", "8", 11}, {"upstreams/a", "ready", 6}}, {3, 11},
                          kStart + seconds(1))
                 .empty());
  BOOST_TEST(this->Has("evacuated/east"));
  BOOST_TEST(this->Value("config") == "8");
  BOOST_TEST(ReplaceState(this->state, this->backup, {4, 10}, kStart + seconds(2)).empty());
  BOOST_TEST(this->Value("config") == "8");
  BOOST_TEST(this->Has("evacuated/east"));
}

// A read of all items in the same era, for example because the history was dropped.
BOOST_FIXTURE_TEST_CASE(RetainedItemsOutlastAFullRead, Fixture) {
  this->Change({"config", "8", 11});
  this->Change({"upstreams/a", {}, 12, true});
  this->Change({"evacuated/east", "", 13});
  this->Restore();
  BOOST_TEST(ReplaceState(this->state, this->backup, {2, 15}, kStart).empty());
  BOOST_TEST(this->Value("config") == "8");
  BOOST_TEST(!this->Has("upstreams/a"));
  BOOST_TEST(this->Has("evacuated/east"));
}

// Guards against an instance that starts after the restore and serves by the restored
// configuration.
BOOST_FIXTURE_TEST_CASE(ANewInstanceGetsLostChangesFromAPeer, Fixture) {
  this->Change({"config", "8", 11});
  this->Change({"upstreams/a", {}, 12, true});
  this->Change({"evacuated/east", "", 13});
  this->Restore();
  PublishedState fresh;
  fresh.restore_rules = this->state.restore_rules;
  ReplaceState(fresh, this->backup, {2, 10}, kStart);
  BOOST_TEST(RetainedFingerprint(fresh) == 0U);
  BOOST_TEST(RetainedFingerprint(this->state) != 0U);
  const auto changes = MergeRetained(fresh, CopyRetained(this->state, kStart), kStart);
  BOOST_TEST(changes.size() == 3U);
  BOOST_TEST(fresh.items.at("config").value == "8");
  BOOST_TEST(!fresh.items.contains("upstreams/a"));
  BOOST_TEST(fresh.items.contains("evacuated/east"));
  BOOST_TEST(RetainedFingerprint(fresh) == RetainedFingerprint(this->state));
  // The time limit counts from the restore.
  BOOST_TEST(EndRetentions(fresh, kStart + seconds(6)).size() == 1U);
}

// One instance missed the last lost change because it was cut off.
BOOST_FIXTURE_TEST_CASE(TheNewerOfTwoLostChangesPrevails, Fixture) {
  this->Change({"config", "6", 11});
  PublishedState behind = this->state;
  this->Change({"config", "8", 12});
  this->Restore();
  ReplaceState(behind, this->backup, {2, 10}, kStart);
  BOOST_TEST(behind.items.at("config").value == "6");
  BOOST_TEST(MergeRetained(this->state, CopyRetained(behind, kStart), kStart).empty());
  BOOST_TEST(MergeRetained(behind, CopyRetained(this->state, kStart), kStart).size() == 1U);
  BOOST_TEST(behind.items.at("config").value == "8");
}

// Guards against a peer's retained item that undoes a later write.
BOOST_FIXTURE_TEST_CASE(ARetainedItemOfAPeerDoesNotReplaceALaterWrite, Fixture) {
  this->Change({"config", "8", 11});
  this->Restore();
  PublishedState fresh;
  ReplaceState(fresh, {{"config", "9", 11}, {"upstreams/a", "ready", 6}}, {2, 11}, kStart);
  BOOST_TEST(MergeRetained(fresh, CopyRetained(this->state, kStart), kStart).empty());
  BOOST_TEST(fresh.items.at("config").value == "9");
}

// Guards against a failure domain that is evacuated again by a peer that read the store only after
// the end of the evacuation, and takes the missing item for a lost change.
BOOST_FIXTURE_TEST_CASE(ARetainedItemOfAPeerDoesNotUndoALaterRemoval, Fixture) {
  this->Change({"evacuated/east", "", 11});
  PublishedState late_reader = this->state;
  this->backup.push_back({"evacuated/east", "", 11});
  this->Restore();
  ApplyChanges(this->state, {{"evacuated/east", {}, 12, true}}, {2, 12});
  ReplaceState(late_reader, {this->backup[0], this->backup[1]}, {2, 12}, kStart);
  BOOST_TEST(late_reader.retained.contains("evacuated/east"));
  BOOST_TEST(MergeRetained(this->state, CopyRetained(late_reader, kStart), kStart).empty());
  BOOST_TEST(!this->Has("evacuated/east"));
}

// Guards against instances that copy from each other without end, because the time limit
// ends at one a moment before the other.
BOOST_FIXTURE_TEST_CASE(AnEndedRetentionIsNotTakenUpAgain, Fixture) {
  this->Change({"evacuated/east", "", 11});
  this->Restore();
  PublishedState other = this->state;
  EndRetentions(this->state, kLater);
  BOOST_TEST(RetainedFingerprint(this->state) == RetainedFingerprint(other));
  BOOST_TEST(MergeRetained(this->state, CopyRetained(other, kLater), kLater).empty());
  BOOST_TEST(!this->Has("evacuated/east"));
}

// Guards against unbounded memory for superseded values in a long run.
BOOST_FIXTURE_TEST_CASE(OnlyTheNewestSupersededValuesAreKept, Fixture) {
  for (std::uint64_t revision = 11; revision < 10'000; ++revision) {
    this->Change({"config", std::to_string(revision), revision});
  }
  BOOST_TEST(this->state.superseded.size() <= 4096U);
}

}  // namespace
}  // namespace geraniumspread::dispatch
