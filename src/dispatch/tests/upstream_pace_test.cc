#include "dispatch/upstream_pace.h"

#include <algorithm>
#include <array>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <limits>
#include <random>

#include "dispatch/tests/test_tables.h"
#include "dispatch/upstream_news.h"

namespace geraniumspread::dispatch {
namespace {

using namespace std::chrono_literals;
using test::kStart;

// Upstreams whose pace changes every 600 ms. Each request goes to the one with the lowest estimate,
// or to a random one. Returns the mean pace that the requests meet.
double MeanPaceMet(bool uses_estimate, std::uint64_t seed) {
  constexpr std::array kPaces = {1.0, 1.0, 2.5, 4.0};
  std::mt19937_64 random(seed);
  std::array<UpstreamPace, 3> estimates;
  std::array<double, 3> paces{1, 1, 1};
  double sum = 0;
  int requests = 0;
  for (auto at = 0ms; at < 60s; at += 20ms) {
    const TimePoint now = kStart + at;
    for (std::size_t index = 0; index < paces.size(); ++index) {
      if ((at + 200ms * index) % 600ms == 0ms) {
        paces[index] = kPaces[random() % kPaces.size()];
      }
    }
    // The answers of all instances state the pace of any upstream, 100 ms old.
    const std::size_t stated = random() % paces.size();
    RecordStatedPace(estimates[stated], paces[stated], now - 100ms);
    std::size_t chosen = random() % paces.size();
    if (uses_estimate) {
      const auto lowest = std::ranges::min_element(
          estimates, {}, [now](const UpstreamPace& pace) { return ExpectedPace(pace, now); });
      chosen = static_cast<std::size_t>(lowest - estimates.begin());
    }
    sum += paces[chosen];
    ++requests;
  }
  return sum / requests;
}

// Guards against an average that is too slow for a pace that changes every 600 ms.
BOOST_AUTO_TEST_CASE(RequestsFollowAPaceThatChangesOften) {
  for (const std::uint64_t seed : {1, 2, 3}) {
    const double random = MeanPaceMet(false, seed);
    const double chosen = MeanPaceMet(true, seed);
    BOOST_TEST_MESSAGE("pace met: " << random << " at random, " << chosen << " by estimate");
    // The lowest of three paces is 1.21 in the mean.
    BOOST_TEST(chosen < 1.21 + (random - 1.21) / 3);
  }
}

// Guards against an upstream that is always slow and looks usual whenever no answer came lately.
BOOST_AUTO_TEST_CASE(AStatedPaceDecaysTowardsItsAverage) {
  UpstreamPace pace;
  for (auto at = 0ms; at < 20s; at += 200ms) {
    RecordStatedPace(pace, at % 400ms == 0ms ? 2.0 : 4.0, kStart + at);
  }
  const TimePoint last = kStart + 19'800ms;
  BOOST_TEST(ExpectedPace(pace, last) == 4);
  BOOST_TEST(std::abs(ExpectedPace(pace, last + 500ms) - 3) < 0.3);
  BOOST_TEST(ExpectedPace(pace, last + 5min) < 1.01);
}

// Guards against values that no machine has, and against one value that decides for long.
BOOST_AUTO_TEST_CASE(LittleOrAbsurdNewsLeavesTheEstimateNearOne) {
  UpstreamPace pace;
  for (const double bad : {0.0, -1.0, 101.0, std::numeric_limits<double>::infinity(),
                           std::numeric_limits<double>::quiet_NaN()}) {
    RecordStatedPace(pace, bad, kStart);
    BOOST_TEST(ExpectedPace(pace, kStart) == 1);
  }
  RecordStatedPace(pace, 2.5, kStart);
  RecordStatedPace(pace, 1, kStart - 10ms);
  BOOST_TEST(ExpectedPace(pace, kStart) == 2.5);
  BOOST_TEST(ExpectedPace(pace, kStart + 500ms) < 1.35);
}

// Guards against requests that gather at an upstream because nothing is known about it.
BOOST_AUTO_TEST_CASE(TheAbsenceOfNewsNeverMeansFast) {
  UpstreamPace usual;
  for (auto at = 0ms; at < 10s; at += 100ms) {
    RecordStatedPace(usual, 1, kStart + at);
    RecordMeasuredTime(usual, 50ms, 20ms, kStart + at);
    BOOST_TEST(ExpectedPace({}, kStart + at) >= ExpectedPace(usual, kStart + at));
  }
}

// Engines that work 7.5 times slower for some seconds while they look healthy. Guards against
// requests that go on to them.
BOOST_AUTO_TEST_CASE(AnEngineThatTurnsSlowIsFoundByItsSecondRequest) {
  UpstreamPace pace;
  TimePoint now = kStart;
  for (int request = 0; request < 20; ++request) {
    RecordMeasuredTime(pace, 250ms, 180ms + 7ms * (request % 5), now += 300ms);
    BOOST_TEST(ExpectedPace(pace, now) == 1);
  }
  RecordMeasuredTime(pace, 250ms, 1500ms, now += 1600ms);
  BOOST_TEST(ExpectedPace(pace, now) == 1);
  RecordMeasuredTime(pace, 250ms, 1500ms, now += 1600ms);
  BOOST_TEST(ExpectedPace(pace, now) > 4);
  BOOST_TEST(UpdateSlowness(pace, now).value_or(false));
  // It recovers with the first usual answer, and without any answer after some seconds.
  BOOST_TEST(ExpectedPace(pace, now + 4s) == 1);
  RecordMeasuredTime(pace, 250ms, 200ms, now += 300ms);
  BOOST_TEST(ExpectedPace(pace, now) == 1);
  BOOST_TEST(!UpdateSlowness(pace, now).value_or(true));
}

// Guards against an engine that is avoided because of one long prompt, which delays all requests
// that wait behind it.
BOOST_AUTO_TEST_CASE(ASingleLongPromptDoesNotMakeAnEngineSlow) {
  UpstreamPace pace;
  RecordMeasuredTime(pace, 30ms, 25ms, kStart);
  // The prompt is prefilled from 100 ms to 900 ms.
  const TimePoint end = kStart + 900ms;
  for (int request = 0; request < 6; ++request) {
    RecordMeasuredTime(pace, 30ms, 750ms - 100ms * request, end + 5ms * request);
    BOOST_TEST(ExpectedPace(pace, end + 5ms * request) == 1);
  }
  RecordMeasuredTime(pace, 30ms, 25ms, end + 100ms);
  BOOST_TEST(ExpectedPace(pace, end + 100ms) == 1);
}

// Guards against an upstream above the load bound that gets requests because others are slow.
BOOST_AUTO_TEST_CASE(ThePaceDoesNotBreakTheLoadBound) {
  for (std::uint64_t chat = 0; chat < 20; ++chat) {
    UpstreamTable table = test::MakeTable(1);
    const Prompt prompt = test::ChatPrompt(chat, 1);
    const auto first = SelectUpstream(table, {}, test::EngineRequest(prompt));
    const std::string home = first.candidates.front().row->listing.id;
    for (const auto& [id, row] : table.rows) {
      row->running = id == home ? 60 : 10;
      if (id != home) {
        RecordStatedPace(row->pace, 7.5, kStart);
      }
    }
    const auto selection = SelectUpstream(table, {}, test::EngineRequest(prompt));
    BOOST_TEST(selection.candidates.front().row->listing.id != home);
  }
}

// Guards against datagrams about upstreams that work as usual, and against a peer that goes on
// believing a pace that has ended.
BOOST_AUTO_TEST_CASE(UnusualPacesAndTheirEndAreTold) {
  UpstreamTable table = test::MakeTable(1);
  UpstreamTable peer = test::MakeTable(1);
  Upstream& upstream = *table.rows.at("a0");
  const UpstreamPace& believed = peer.rows.at("a0")->pace;
  const auto tell = [&](double factor, TimePoint now) {
    RecordOwnStatedPace(upstream.pace, factor, now - 50ms);
    const auto news = TakeUpstreamNews(table, PathState::kReached, now);
    MergeUpstreamNews(peer, news, now);
    return news.size();
  };
  BOOST_TEST(tell(1.05, kStart + 1s) == 0U);
  BOOST_TEST(tell(3, kStart + 2s) == 1U);
  BOOST_TEST(ExpectedPace(believed, kStart + 2s) > 2.5);
  BOOST_TEST(TakeUpstreamNews(table, PathState::kReached, kStart + 2100ms).empty());
  BOOST_TEST(tell(1, kStart + 2300ms) == 1U);
  BOOST_TEST(ExpectedPace(believed, kStart + 2300ms) < 1.1);
  BOOST_TEST(tell(1, kStart + 2500ms) == 0U);
  // A new process starts without an estimate.
  tell(5, kStart + 3s);
  UpstreamListing restarted = upstream.listing;
  restarted.started_at_ms += 1;
  const auto late = std::vector{UpstreamNews{DigestKey(upstream), ProcessKey(upstream), 5, 10ms}};
  ApplyListing(peer, restarted, kStart + 3s);
  MergeUpstreamNews(peer, late, kStart + 3s);
  BOOST_TEST(ExpectedPace(peer.rows.at("a0")->pace, kStart + 3s) == 1);
}

// In a large fleet no instance has two requests at an engine within seconds. Guards against an
// engine that turns slow and is not found, and against one that is avoided because of one long
// prompt that delays requests of several instances.
BOOST_AUTO_TEST_CASE(MeasuredTimesOfPeersAddUp) {
  constexpr Duration kExpected = 250ms;
  std::vector<UpstreamTable> fleet(3, UpstreamTable{});
  for (UpstreamTable& instance : fleet) {
    instance = test::MakeTable(1);
  }
  const auto measure = [&](std::size_t instance, Duration measured, TimePoint now) {
    RecordMeasuredTime(fleet[instance].rows.at("a0")->pace, kExpected, measured, now);
    const auto news = TakeUpstreamNews(fleet[instance], PathState::kReached, now);
    for (std::size_t other = 0; other < fleet.size() && !news.empty(); ++other) {
      if (other != instance) {
        MergeUpstreamNews(fleet[other], news, now);
      }
    }
  };
  const auto believed = [&](TimePoint now) {
    return ExpectedPace(fleet[2].rows.at("a0")->pace, now);
  };
  measure(0, 1800ms, kStart + 2s);
  measure(1, 1700ms, kStart + 2010ms);
  BOOST_TEST(believed(kStart + 2010ms) == 1);
  measure(1, 1800ms, kStart + 4s);
  BOOST_TEST(believed(kStart + 4s) > 4);
  // An instance that heard of it tells that it finds the engine usual.
  measure(0, 200ms, kStart + 5s);
  BOOST_TEST(believed(kStart + 5s) == 1);
}

// At plain services: guards against a slow one of few upstreams that raises the mean of all.
BOOST_AUTO_TEST_CASE(TheMeanOfAServiceIsThatOfItsUsualRequests) {
  MeanTime mean;
  for (int request = 0; request < 19; ++request) {
    RecordServiceTime(mean, 15ms);
  }
  BOOST_TEST(!MeanServiceTime(mean).has_value());
  for (int request = 0; request < 50; ++request) {
    RecordServiceTime(mean, request % 10 == 0 ? 2s : 15ms);
  }
  BOOST_TEST((MeanServiceTime(mean).value_or(1s) < 30ms));
}

}  // namespace
}  // namespace geraniumspread::dispatch
