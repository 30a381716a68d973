#include "outcomes/quarantine.h"

#include <boost/test/unit_test.hpp>

namespace geraniumspread::outcomes {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(1'000)};
constexpr std::uint64_t kSelf = 1;
const Fingerprint kPoison = FingerprintOf("foundry", "wording", "poison");
const Fingerprint kInnocent = FingerprintOf("foundry", "wording", "innocent");

// Upstreams that die while a caller sends the poison again and again, out of 10.
int DeathsUntilQuarantine(bool enabled) {
  QuarantineTable table = MakeQuarantineTable({.enabled = enabled}, kSelf);
  int deaths = 0;
  for (std::uint64_t upstream = 0; upstream < 10; ++upstream) {
    const TimePoint now = kStart + upstream * seconds(30);
    if (!CheckQuarantine(table, kPoison, now)) {
      RecordUpstreamDeath(table, upstream, {{kPoison}}, now);
      deaths += 1;
    }
  }
  return deaths;
}

// Guards against a request that takes down every upstream in turn.
BOOST_AUTO_TEST_CASE(PoisonIsQuarantinedAfterTwoDeaths) {
  BOOST_TEST(DeathsUntilQuarantine(true) == 2);
  BOOST_TEST(DeathsUntilQuarantine(false) == 10);
}

// Guards against the quarantine of requests that were lost in the same crash.
BOOST_AUTO_TEST_CASE(BystandersAreNotBlamed) {
  for (const bool spare : {true, false}) {
    QuarantineTable table = MakeQuarantineTable({.count_only_attributed_deaths = spare}, kSelf);
    RecordUpstreamDeath(table, 1, {{kPoison, kInnocent}}, kStart);
    BOOST_TEST(IsSuspected(table, kInnocent, kStart));
    BOOST_TEST(!CheckQuarantine(table, kInnocent, kStart));
    if (spare) {
      RecordCompletion(table, kInnocent);
      BOOST_TEST(!IsSuspected(table, kInnocent, kStart));
    }
    RecordUpstreamDeath(table, 2, {{kPoison, kInnocent}}, kStart + seconds(10));
    BOOST_TEST(CheckQuarantine(table, kInnocent, kStart + seconds(10)).has_value() == !spare);
    RecordUpstreamDeath(table, 3, {{kPoison}}, kStart + seconds(20));
    const auto error = CheckQuarantine(table, kPoison, kStart + seconds(20));
    BOOST_TEST(error.has_value());
    const OutcomeError refusal = error.value_or(OutcomeError{});
    BOOST_TEST(refusal.status == 422);
    BOOST_TEST((refusal.ran == RunState::kNotRun));
  }
}

// Guards against one crash that counts twice: by its connections and by the new incarnation.
BOOST_AUTO_TEST_CASE(OneCrashCountsOnce) {
  for (const Duration window : {Duration{seconds(5)}, Duration{0}}) {
    QuarantineTable table = MakeQuarantineTable({.same_crash_window = window}, kSelf);
    RecordUpstreamDeath(table, 1, {{kPoison, kPoison}}, kStart);
    RecordUpstreamDeath(table, 1, {{kPoison}}, kStart + seconds(1));
    BOOST_TEST(CheckQuarantine(table, kPoison, kStart + seconds(1)).has_value() ==
               (window == Duration{0}));
  }
}

// Guards against a poison that kills one upstream at each router.
BOOST_AUTO_TEST_CASE(DeathsAtDifferentRoutersAddUp) {
  QuarantineTable left = MakeQuarantineTable({}, 1);
  QuarantineTable right = MakeQuarantineTable({}, 2);
  const auto from_left = RecordUpstreamDeath(left, 1, {{kPoison}}, kStart);
  const auto from_right = RecordUpstreamDeath(right, 2, {{kPoison}}, kStart);
  BOOST_TEST(MergeReport(left, from_right[0], kStart));
  BOOST_TEST(!MergeReport(left, from_right[0], kStart));
  BOOST_TEST(CheckQuarantine(left, kPoison, kStart).has_value());
  QuarantineTable third = MakeQuarantineTable({}, 3);
  for (const QuarantineReport& report : ReportsOf(left, kStart)) {
    MergeReport(third, report, kStart);
  }
  BOOST_TEST(CheckQuarantine(third, kPoison, kStart).has_value());
}

// Guards against a quarantine that peers keep alive among themselves, or that never ends.
BOOST_AUTO_TEST_CASE(QuarantineEnds) {
  QuarantineTable left = MakeQuarantineTable({}, 1);
  QuarantineTable right = MakeQuarantineTable({}, 2);
  RecordUpstreamDeath(left, 1, {{kPoison}}, kStart);
  RecordUpstreamDeath(left, 2, {{kPoison}}, kStart);
  for (int second = 0; second <= 601; ++second) {
    // Each report arrives half a second after it was sent.
    const TimePoint now = kStart + seconds(second);
    for (const QuarantineReport& report : ReportsOf(left, now)) {
      MergeReport(right, report, now + milliseconds(500));
    }
    for (const QuarantineReport& report : ReportsOf(right, now)) {
      MergeReport(left, report, now + milliseconds(500));
    }
  }
  BOOST_TEST(!CheckQuarantine(left, kPoison, kStart + seconds(602)));
  BOOST_TEST(!CheckQuarantine(right, kPoison, kStart + seconds(602)));
  RemoveExpiredSuspects(left, kStart + seconds(602));
  BOOST_TEST(left.entries.empty());
}

// Guards against a table that grows without bound, or drops a quarantine for a mere suspicion.
BOOST_AUTO_TEST_CASE(TableIsBounded) {
  QuarantineTable table = MakeQuarantineTable({.max_entries = 10}, kSelf);
  RecordUpstreamDeath(table, 1, {{kPoison}}, kStart);
  RecordUpstreamDeath(table, 2, {{kPoison}}, kStart);
  for (std::uint64_t number = 0; number < 100; ++number) {
    const Fingerprint other{.high = number, .low = number};
    RecordUpstreamDeath(table, 3, {{other}}, kStart + seconds(number));
  }
  BOOST_TEST(table.entries.size() == 10U);
  BOOST_TEST(CheckQuarantine(table, kPoison, kStart + seconds(100)).has_value());
}

// Guards against fingerprints that mix up their parts or change on the wire.
BOOST_AUTO_TEST_CASE(FingerprintsAreDistinctAndRoundTrip) {
  BOOST_TEST((FingerprintOf("ab", "c", "d") != FingerprintOf("a", "bc", "d")));
  BOOST_TEST((ParseFingerprint(ToHex(kPoison)) == kPoison));
  BOOST_TEST(ToHex(kPoison).size() == 32U);
  BOOST_TEST(!ParseFingerprint("12"));
  BOOST_TEST(!ParseFingerprint(std::string(32, 'z')));
}

}  // namespace
}  // namespace geraniumspread::outcomes
