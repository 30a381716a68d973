#include "dispatch/published_state.h"

#include <boost/test/unit_test.hpp>

namespace geraniumspread::dispatch {
namespace {

const TimePoint kNow;

// Guards against a configuration that goes back to an older version that a slower
// source delivers.
BOOST_AUTO_TEST_CASE(OlderChangesAndStatesAreIgnored) {
  PublishedState state;
  ReplaceState(state, {{"config", "3", 30}}, {0, 30}, kNow);
  BOOST_TEST(ApplyChanges(state, {{"config", "2", 20}}, {0, 20}).empty());
  BOOST_TEST(ReplaceState(state, {{"config", "2", 20}}, {0, 20}, kNow).empty());
  BOOST_TEST(state.items.at("config").value == "3");
  BOOST_TEST(state.position.revision == 30U);
}

// The pages of the first read are not one snapshot, so a later change may be received
// twice.
BOOST_AUTO_TEST_CASE(AChangeThatThePagesContainedIsAppliedOnce) {
  PublishedState state;
  ReplaceState(state, {{"a", "new", 12}}, {0, 10}, kNow);
  BOOST_TEST(ApplyChanges(state, {{"a", "new", 12}, {"b", "1", 13}}, {0, 13}).size() == 1U);
}

// Guards against an upstream that stays listed because its removal was missed.
BOOST_AUTO_TEST_CASE(KeysMissingFromANewStateAreRemoved) {
  PublishedState state;
  ReplaceState(state, {{"a", "1", 1}, {"b", "1", 2}}, {0, 5}, kNow);
  const std::vector<PublishedItem> changes = ReplaceState(state, {{"b", "1", 2}}, {0, 9}, kNow);
  BOOST_TEST(changes.size() == 1U);
  BOOST_TEST(changes.front().key == "a");
  BOOST_TEST(changes.front().removed);
  BOOST_TEST(!state.items.contains("a"));
}

BOOST_AUTO_TEST_CASE(RecentChangesAreReturnedForAPeerThatMissesThem) {
  PublishedState state;
  ReplaceState(state, {{"a", "1", 1}}, {0, 5}, kNow);
  ApplyChanges(state, {{"a", "2", 6}}, {0, 6});
  ApplyChanges(state, {{"a", {}, 7, true}}, {0, 7});
  const std::vector<PublishedItem> changes =
      ChangesSince(state, 6).value_or(std::vector<PublishedItem>{});
  BOOST_TEST_REQUIRE(changes.size() == 1U);
  BOOST_TEST(changes.front().removed);
  BOOST_TEST(!ChangesSince(state, 4).has_value());
}

// Pattern: a rapid series of configurations. A peer that misses all of them gets only
// the last one.
BOOST_AUTO_TEST_CASE(AKeyThatChangedOftenIsReturnedOnce) {
  PublishedState state;
  ReplaceState(state, {{"config", "v0", 1}, {"b", "1", 1}}, {0, 5}, kNow);
  for (std::uint64_t revision = 6; revision < 53; ++revision) {
    ApplyChanges(state, {{"config", "v" + std::to_string(revision), revision}}, {0, revision});
  }
  ApplyChanges(state, {{"b", {}, 53, true}}, {0, 53});
  ApplyChanges(state, {{"b", "2", 54}}, {0, 54});
  const std::vector<PublishedItem> changes =
      ChangesSince(state, 5).value_or(std::vector<PublishedItem>{});
  BOOST_TEST_REQUIRE(changes.size() == 2U);
  BOOST_TEST(changes.front().value == "v52");
  BOOST_TEST(changes.back().value == "2");
  // A copy that applies the changes is identical.
  PublishedState copy;
  ReplaceState(copy, {{"config", "v0", 1}, {"b", "1", 1}}, {0, 5}, kNow);
  ApplyChanges(copy, changes, state.position);
  BOOST_TEST(copy.items.at("config").value == "v52");
  BOOST_TEST(copy.items.at("b").value == "2");
}

// Guards against unbounded memory use during a rapid series of changes.
BOOST_AUTO_TEST_CASE(OnlyTheNewestChangesAreKept) {
  PublishedState state;
  ReplaceState(state, {}, {0, 1}, kNow);
  for (std::uint64_t revision = 2; revision < 500; ++revision) {
    ApplyChanges(state, {{"a", "x", revision}}, {0, revision});
  }
  BOOST_TEST(state.recent.size() <= 64U);
  BOOST_TEST(!ChangesSince(state, 2).has_value());
  BOOST_TEST(ChangesSince(state, 498).value_or(std::vector<PublishedItem>{}).size() == 1U);
}

}  // namespace
}  // namespace geraniumspread::dispatch
