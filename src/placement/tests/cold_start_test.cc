#include "placement/cold_start.h"

#include <boost/test/unit_test.hpp>

namespace geraniumspread::placement {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::int32_t kCapacity = 16;
constexpr std::int32_t kColdLimit = 2;

ColdStartReport Report(std::uint64_t incarnation, std::uint64_t sequence) {
  return {.incarnation = incarnation,
          .sequence = sequence,
          .capacity = kCapacity,
          .cold_limit = kColdLimit,
          .first_token_ms = 300};
}

void Succeed(ColdStartState& state, int count) {
  for (int index = 0; index < count; ++index) {
    RecordSuccess(state, ColdStartPolicy{}, state.epoch);
  }
}

// Returns an upstream that has become warm after 2 + 4 + 8 successes.
ColdStartState WarmState(const ColdStartSettings& settings, TimePoint now) {
  ColdStartState state;
  ApplyReport(state, settings, Report(1, 1), now);
  Succeed(state, 14);
  return state;
}

// Guards against a new upstream that gets full load before any request has succeeded.
BOOST_AUTO_TEST_CASE(UnknownIsColdAndGrowsBySuccesses) {
  const ColdStartSettings settings;
  ColdStartState state;
  BOOST_TEST(state.cold);
  BOOST_TEST(InFlightLimit(state) == 0);
  ApplyReport(state, settings, Report(1, 1), TimePoint{});
  BOOST_TEST(InFlightLimit(state) == kColdLimit);
  Succeed(state, 1);
  BOOST_TEST(InFlightLimit(state) == 2);
  Succeed(state, 1);
  BOOST_TEST(InFlightLimit(state) == 4);
  Succeed(state, 4 + 7);
  BOOST_TEST(state.cold);
  Succeed(state, 1);
  BOOST_TEST(!state.cold);
  BOOST_TEST(InFlightLimit(state) == kCapacity);
}

// Guards against missing any of the signs that an upstream has turned cold.
BOOST_AUTO_TEST_CASE(EachSignTurnsAWarmUpstreamCold) {
  const ColdStartSettings settings;
  const TimePoint start{};
  const auto reason_after = [&](const ColdStartReport& report) {
    ColdStartState state = WarmState(settings, start);
    ApplyReport(state, settings, report, start + seconds(1));
    BOOST_TEST(InFlightLimit(state) == (state.cold ? kColdLimit : kCapacity));
    return state.reason;
  };
  BOOST_TEST((reason_after(Report(1, 2)) == ColdReason::kNone));
  BOOST_TEST((reason_after(Report(2, 2)) == ColdReason::kNewIncarnation));
  BOOST_TEST((reason_after(Report(1, 0)) == ColdReason::kSequenceBreak));
  ColdStartReport slow = Report(1, 2);
  slow.first_token_ms = 1201;
  BOOST_TEST((reason_after(slow) == ColdReason::kSlowFirstToken));
  ColdStartReport reported = Report(1, 2);
  reported.cold = true;
  BOOST_TEST((reason_after(reported) == ColdReason::kReportedCold));
}

// Guards against dispatch based on a stale report.
BOOST_AUTO_TEST_CASE(MissingFreshReportTurnsCold) {
  const ColdStartSettings settings;
  const TimePoint start{};
  ColdStartState state = WarmState(settings, start);
  ExpireReport(state, settings, ColdStartPolicy{}, start + settings.max_report_age);
  BOOST_TEST(!state.cold);
  ColdStartState unguarded = state;
  ExpireReport(state, settings, ColdStartPolicy{},
               start + settings.max_report_age + milliseconds(1));
  BOOST_TEST(state.cold);
  ExpireReport(unguarded, settings, ColdStartPolicy{.unknown_is_cold = false}, start + seconds(60));
  BOOST_TEST(!unguarded.cold);
}

// Guards against a flapping upstream whose earlier successes raise its new limit.
BOOST_AUTO_TEST_CASE(FlapNeverRaisesTheLimit) {
  const ColdStartSettings settings;
  const TimePoint start{};
  for (const bool guarded : {true, false}) {
    const ColdStartPolicy policy{.growth_by_epoch = guarded};
    ColdStartState state = WarmState(settings, start);
    const std::uint32_t epoch_of_old_requests = state.epoch;
    std::uint64_t incarnation = 1;
    std::int32_t highest = 0;
    for (int flap = 0; flap < 10; ++flap) {
      ApplyReport(state, settings, Report(++incarnation, 1), start + seconds(flap + 1));
      for (int late = 0; late < 3; ++late) {
        RecordSuccess(state, policy, epoch_of_old_requests);
      }
      highest = std::max(highest, InFlightLimit(state));
    }
    BOOST_TEST((highest == kColdLimit) == guarded);
  }
}

// Guards against a delayed report of an earlier incarnation that resets the state twice.
BOOST_AUTO_TEST_CASE(OlderReportIsIgnored) {
  const ColdStartSettings settings;
  ColdStartState state;
  ApplyReport(state, settings, Report(2, 5), TimePoint{} + seconds(2));
  const std::uint32_t epoch = state.epoch;
  ApplyReport(state, settings, Report(1, 9), TimePoint{} + seconds(1));
  BOOST_TEST(state.epoch == epoch);
  BOOST_TEST(state.incarnation == 2U);
}

}  // namespace
}  // namespace geraniumspread::placement
