#include "dispatch/upstream_table.h"

#include <boost/test/unit_test.hpp>

#include "common/hash.h"
#include "dispatch/tests/test_tables.h"

namespace geraniumspread::dispatch {
namespace {

using namespace std::chrono_literals;
using test::kStart;
using test::Listing;

// Guards against outdated state of a process that was replaced under its id.
BOOST_AUTO_TEST_CASE(ARestartUnderTheSameIdDiscardsTheStateOfTheOldProcess) {
  UpstreamTable table;
  ApplyListing(table, Listing("a", "x"), kStart);
  RecordPrompt(table.rows.at("a")->prompt_cache, test::ChatPrompt(1, 1), 100'000);
  UpstreamListing restarted = Listing("a", "x");
  restarted.started_at_ms = 2;
  BOOST_CHECK(ApplyListing(table, restarted, kStart) == ListingChange::kRestarted);
  BOOST_TEST(table.rows.at("a")->prompt_cache.tokens == 0U);
  BOOST_TEST(table.by_service.at("model").size() == 1U);
}

// Guards against losing the count of a request when its upstream is removed during
// the request.
BOOST_AUTO_TEST_CASE(ARemovedRowOutlivesItsRequests) {
  UpstreamTable table;
  ApplyListing(table, Listing("a", "x"), kStart);
  {
    const RunningRequest running(table.rows.at("a"), 10);
    RemoveUpstream(table, "a", kStart);
  }
  BOOST_TEST(table.by_service.empty());
}

UpstreamListing LeavingListing(const std::string& id) {
  UpstreamListing listing = Listing(id, "x");
  listing.draining = true;
  return listing;
}

// Guards against requests to an upstream that is leaving: the platform may apply
// an older write of the same process after the one that announced it.
BOOST_AUTO_TEST_CASE(ALateWriteDoesNotCancelDraining) {
  UpstreamTable table;
  ApplyListing(table, Listing("a", "x"), kStart);
  ApplyListing(table, LeavingListing("a"), kStart);
  ApplyListing(table, Listing("a", "x"), kStart + 2s);
  BOOST_TEST(!TakesNewWork(table, *table.rows.at("a")));
}

// The same after the entry was removed and a late write listed it again.
BOOST_AUTO_TEST_CASE(AProcessThatLeftGetsNoRequestsWhenItIsListedAgain) {
  UpstreamTable table;
  ApplyListing(table, LeavingListing("a"), kStart);
  RemoveUpstream(table, "a", kStart + 1s);
  ApplyListing(table, Listing("a", "x"), kStart + 2s);
  BOOST_TEST(!TakesNewWork(table, *table.rows.at("a")));
  // Twice, because the announced state moves from the dropped process to the row and
  // back.
  RemoveUpstream(table, "a", kStart + 3s);
  ApplyListing(table, Listing("a", "x"), kStart + 4s);
  BOOST_TEST(!TakesNewWork(table, *table.rows.at("a")));
}

// Guards against an upstream that gets no requests after a restart.
BOOST_AUTO_TEST_CASE(ANewProcessUnderTheSameIdTakesNewWork) {
  UpstreamTable table;
  ApplyListing(table, LeavingListing("a"), kStart);
  UpstreamListing restarted = Listing("a", "x");
  restarted.started_at_ms = 2;
  ApplyListing(table, restarted, kStart + 1s);
  BOOST_TEST(TakesNewWork(table, *table.rows.at("a")));
  // A late write of the old process changes nothing for the old process, and the next
  // write of the new one changes nothing for the new process.
  ApplyListing(table, Listing("a", "x"), kStart + 2s);
  BOOST_TEST(!TakesNewWork(table, *table.rows.at("a")));
  ApplyListing(table, restarted, kStart + 3s);
  BOOST_TEST(TakesNewWork(table, *table.rows.at("a")));
}

// Guards against a pause that is lost when its upstream's entry is removed, or that
// outlasts its process or its duration.
BOOST_AUTO_TEST_CASE(APauseAppliesToTheProcessThatRequestedIt) {
  UpstreamTable table;
  ApplyListing(table, Listing("a", "x"), kStart);
  table.rows.at("a")->announced.pause_until = kStart + 10s;
  RemoveUpstream(table, "a", kStart + 1s);
  ApplyListing(table, Listing("a", "x"), kStart + 2s);
  BOOST_TEST(IsPaused(*table.rows.at("a"), kStart + 10s - 1ns));
  BOOST_TEST(!IsPaused(*table.rows.at("a"), kStart + 10s));
  UpstreamListing restarted = Listing("a", "x");
  restarted.started_at_ms = 2;
  ApplyListing(table, restarted, kStart + 3s);
  BOOST_TEST(!IsPaused(*table.rows.at("a"), kStart + 3s));
}

// Guards against a second, shorter pause that ends the first one early: requests that
// were in flight together are rejected one after the other.
BOOST_AUTO_TEST_CASE(TheLongerOfTwoPausesHolds) {
  UpstreamTable table;
  ApplyListing(table, Listing("a", "x"), kStart);
  Upstream& upstream = *table.rows.at("a");
  RecordPause(upstream, 3s, kStart);
  RecordPause(upstream, 1s, kStart + 100ms);
  BOOST_TEST(IsPaused(upstream, kStart + 3s - 1ns));
  BOOST_TEST(!IsPaused(upstream, kStart + 3s));
  RecordPause(upstream, 2s, kStart + 2s);
  BOOST_TEST(IsPaused(upstream, kStart + 4s - 1ns));
}

// Guards against a retry time at which no upstream is available, or that is later
// than the end of the earliest pause.
BOOST_AUTO_TEST_CASE(TheEarliestPauseEndIsTheRetryTime) {
  UpstreamTable table;
  for (const char* id : {"a", "b", "c"}) {
    ApplyListing(table, Listing(id, "x"), kStart);
  }
  table.rows.at("a")->announced.pause_until = kStart + 5s;
  table.rows.at("b")->announced.pause_until = kStart + 2s;
  BOOST_TEST(!EarliestPauseEnd(table, "model", kStart).has_value());
  table.rows.at("c")->announced.leaving = true;
  BOOST_CHECK(EarliestPauseEnd(table, "model", kStart) == kStart + 2s);
  BOOST_TEST(!EarliestPauseEnd(table, "model", kStart + 2s).has_value());
  BOOST_TEST(!EarliestPauseEnd(table, "other", kStart).has_value());
}

// Guards against memory use that grows with each upstream that ever left.
BOOST_AUTO_TEST_CASE(DroppedProcessesExpire) {
  UpstreamTable table;
  for (int upstream = 0; upstream < 1000; ++upstream) {
    const std::string id = std::to_string(upstream);
    ApplyListing(table, LeavingListing(id), kStart);
    RemoveUpstream(table, id, kStart);
  }
  BOOST_TEST(table.dropped.size() == 1000U);
  ExpireRemovals(table, kStart + 1h);
  BOOST_TEST(table.dropped.empty());
}

// Pattern: entries expire during a store outage and reappear after it.
BOOST_AUTO_TEST_CASE(AHeldRemovalIsUndoneByANewListing) {
  UpstreamTable table;
  ApplyListing(table, Listing("a", "x"), kStart);
  ApplyListing(table, Listing("b", "x"), kStart);
  HoldRemoval(table, "a", kStart + 2s);
  HoldRemoval(table, "b", kStart + 2s);
  BOOST_TEST(TakesNewWork(table, *table.rows.at("a")));
  ApplyListing(table, Listing("a", "x"), kStart + 1s);
  const std::vector<std::string> removed = ExpireRemovals(table, kStart + 2s);
  BOOST_TEST(removed == std::vector<std::string>{"b"}, boost::test_tools::per_element());
  BOOST_TEST(table.rows.contains("a"));
}

// Guards against load taken from only one source: peer digests are delayed and
// reports become stale.
BOOST_AUTO_TEST_CASE(EstimatedLoadIsTheHigherOfCountsAndFreshReport) {
  UpstreamTable table;
  ApplyListing(table, Listing("a", "x"), kStart);
  Upstream& upstream = *table.rows.at("a");
  table.remote[DigestKey(upstream)] = {3, 0};
  const RunningRequest running(table.rows.at("a"), 0);
  BOOST_TEST(EstimatedRunning(table, upstream, kStart) == 4U);
  upstream.report = LoadReport{9, 1, kStart, 1};
  BOOST_TEST(EstimatedRunning(table, upstream, kStart + 100ms) == 10U);
  BOOST_TEST(EstimatedRunning(table, upstream, kStart + 2s) == 4U);
}

// Guards against an upstream that is avoided permanently after it has recovered.
BOOST_AUTO_TEST_CASE(AFailureRateDecaysWithTime) {
  UpstreamHealth health;
  for (int failures = 0; failures < 10; ++failures) {
    RecordAttemptFailure(health, kStart);
  }
  BOOST_TEST(FailureRate(health, kStart) > 0.8);
  BOOST_TEST(FailureRate(health, kStart + 20s) < 0.05);
}

BOOST_AUTO_TEST_CASE(BackoffGrowsWithEachFailedConnect) {
  UpstreamHealth health;
  RecordConnectFailure(health, kStart);
  const Duration first = health.avoid_until - kStart;
  RecordConnectFailure(health, kStart);
  BOOST_TEST((health.avoid_until - kStart > first));
  for (int failures = 0; failures < 100; ++failures) {
    RecordConnectFailure(health, kStart);
  }
  BOOST_TEST((health.avoid_until - kStart <= 10s));
  RecordAttemptSuccess(health, kStart);
  BOOST_TEST((health.avoid_until <= kStart));
}

// Guards against a prompt cache model that grows beyond the capacity of the engine.
BOOST_AUTO_TEST_CASE(OldPromptsAreEvictedFirst) {
  PromptCacheModel cache;
  constexpr std::uint64_t kCapacity = 20'000;
  for (std::uint64_t chat = 0; chat < 10; ++chat) {
    RecordPrompt(cache, test::ChatPrompt(chat, chat), kCapacity);
    BOOST_TEST(cache.tokens <= kCapacity);
  }
  BOOST_TEST(UncachedSharedTokens(cache, test::ChatPrompt(9, 99)) == 0U);
  BOOST_TEST(UncachedSharedTokens(cache, test::ChatPrompt(0, 98)) == 6000U);
}

// A part is cached only if all parts before it are.
BOOST_AUTO_TEST_CASE(APartAfterAnUncachedPartIsUncached) {
  PromptCacheModel cache;
  Prompt known;
  known.parts = {{1, 100}, {2, 200}, {3, 10}};
  known.input_tokens = 310;
  RecordPrompt(cache, known, 1000);
  Prompt other = known;
  other.parts.front().id = 9;
  BOOST_TEST(UncachedTokens(cache, other) == 310U);
}

}  // namespace
}  // namespace geraniumspread::dispatch
