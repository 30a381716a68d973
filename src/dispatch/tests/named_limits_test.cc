#include "dispatch/named_limits.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <random>

#include "common/hash.h"
#include "dispatch/tests/simulated_instance.h"

namespace geraniumspread::dispatch {
namespace {

using namespace std::chrono_literals;

constexpr TimePoint kStart{std::chrono::hours(1)};

// Instances that all know the limit of one upstream.
struct Fleet {
  Fleet(std::size_t count, double limit) : instances(count) {
    for (Upstream& instance : this->instances) {
      RecordNamedLimit(instance, limit, kStart, kStart);
    }
  }
  std::vector<Upstream> instances;
};

// Returns the requests that arrive in a time if each instance tries every 50 ms, knows
// `known` instances, and hears the limit again each second.
std::size_t Sent(Fleet& fleet, std::size_t known, double limit, Duration time) {
  std::size_t sent = 0;
  for (auto at = 0ms; at < time; at += 50ms) {
    const TimePoint now = kStart + at;
    for (std::size_t rank = 0; rank < fleet.instances.size(); ++rank) {
      Upstream& instance = fleet.instances[rank];
      if (at % 1s == 0ms) {
        RecordNamedLimit(instance, limit, now, now);
      }
      if (IsWithinNamedLimit(instance, known, rank, now)) {
        RecordLimitedSend(instance, now);
        ++sent;
      }
    }
  }
  return sent;
}

// Guards against more requests than an upstream accepts from all instances together, also
// where there are more instances than requests.
BOOST_AUTO_TEST_CASE(TheSharesAddUpToAtMostTheLimit) {
  for (const double limit : {0.0, 0.3, 1.0, 2.5, 17.0, 300.0}) {
    for (const std::size_t instances : {1, 6, 8, 9, 69, 410}) {
      Fleet fleet(instances, limit);
      const std::size_t known = AssumedInstances({.known = instances});
      const std::size_t sent = Sent(fleet, known, limit, kLimitWindow);
      BOOST_TEST(static_cast<double>(sent) <= std::max(1.0, limit * 4),
                 limit << " a second, " << instances << " instances");
      BOOST_TEST(sent >= 1U);
    }
  }
}

// A share that no instance can use is no use to the callers.
BOOST_AUTO_TEST_CASE(MostOfTheLimitIsUsed) {
  Fleet fleet(8, 2.5);
  BOOST_TEST(Sent(fleet, 8, 2.5, 20s) == 50U);
}

BOOST_AUTO_TEST_CASE(TheLimitEndsWithAnAnswerWithoutIt) {
  Upstream upstream;
  BOOST_TEST(RecordNamedLimit(upstream, 0.1, kStart, kStart + 1s));
  BOOST_TEST(!RecordNamedLimit(upstream, 0.1, kStart, kStart + 2s));
  // The request was sent before the limit was last named, so its answer may be older.
  BOOST_TEST(!RecordNamedLimit(upstream, std::nullopt, kStart + 1900ms, kStart + 3s));
  BOOST_TEST(RecordNamedLimit(upstream, std::nullopt, kStart + 2s, kStart + 4s));
  for (int request = 0; request < 100; ++request) {
    BOOST_TEST(IsWithinNamedLimit(upstream, 8, 7, kStart + 4s));
    RecordLimitedSend(upstream, kStart + 4s);
  }
}

// Guards against an upstream that is shut out for ever: without any answer the assumed limit
// grows, and so all instances come to send again.
BOOST_AUTO_TEST_CASE(ABeliefWithoutNewsFades) {
  Upstream upstream;
  RecordNamedLimit(upstream, 0.0, kStart, kStart);
  BOOST_TEST(!IsWithinNamedLimit(upstream, 410, 409, kStart + 10s));
  BOOST_TEST(!IsWithinNamedLimit(upstream, 410, 409, kStart + 30s));
  BOOST_TEST(IsWithinNamedLimit(upstream, 410, 409, kStart + 2min));
}

UpstreamTable TableWith(std::size_t upstreams) {
  UpstreamTable table;
  for (std::size_t index = 0; index < upstreams; ++index) {
    UpstreamListing listing;
    listing.id = "u" + std::to_string(index);
    listing.service = "app";
    listing.started_at_ms = 1;
    ApplyListing(table, listing, kStart);
  }
  return table;
}

// Guards against sending callers away for long because of one limited upstream among others.
BOOST_AUTO_TEST_CASE(TheRetryTimeIsThatOfTheLimitsOnlyIfAllUpstreamsNameOne) {
  UpstreamTable table = TableWith(2);
  RecordNamedLimit(*table.rows.at("u0"), 2.0, kStart, kStart);
  RecordLimitedSend(*table.rows.at("u0"), kStart + 1s);
  BOOST_TEST(!EarliestLimitedSend(table, "app").has_value());
  RecordNamedLimit(*table.rows.at("u1"), 2.0, kStart, kStart);
  RecordLimitedSend(*table.rows.at("u1"), kStart + 2s);
  BOOST_TEST((EarliestLimitedSend(table, "app") == kStart + 1s + kLimitWindow));
}

// Guards against a limit that is lost when its upstream's entry expires during an outage of the
// store and reappears after it.
BOOST_AUTO_TEST_CASE(TheLimitAppliesToTheProcessThatNamedIt) {
  UpstreamTable table = TableWith(1);
  const UpstreamListing listing = table.rows.at("u0")->listing;
  RecordNamedLimit(*table.rows.at("u0"), 0.25, kStart, kStart);
  RecordLimitedSend(*table.rows.at("u0"), kStart);
  RemoveUpstream(table, "u0", kStart + 1s);
  ApplyListing(table, listing, kStart + 2s);
  BOOST_TEST(!IsWithinNamedLimit(*table.rows.at("u0"), 8, 0, kStart + 2s));
  UpstreamListing restarted = listing;
  restarted.started_at_ms = 2;
  ApplyListing(table, restarted, kStart + 3s);
  BOOST_TEST(IsWithinNamedLimit(*table.rows.at("u0"), 8, 0, kStart + 3s));
}

// The limit and its end reach all of a large fleet from the one instance that heard of them,
// in messages of bounded size.
BOOST_AUTO_TEST_CASE(NewsReachesAFleetOfFourHundred) {
  constexpr std::size_t kInstances = 410;
  std::vector<UpstreamTable> fleet;
  fleet.reserve(kInstances);
  for (std::size_t instance = 0; instance < kInstances; ++instance) {
    fleet.push_back(TableWith(20));
  }
  std::mt19937_64 random(1);
  TimePoint now = kStart + 1s;
  for (const std::optional<double> limit : {std::optional(2.5), std::optional<double>()}) {
    RecordNamedLimit(*fleet[0].rows.at("u3"), limit, now, now);
    test::SpreadNews(
        fleet, random, now,
        [](UpstreamTable& sender, TimePoint at) {
          std::vector<LimitNews> news = TakeLimitNews(sender, at);
          BOOST_TEST_REQUIRE(news.size() <= 8U);
          return news;
        },
        MergeLimitNews);
    BOOST_TEST(std::ranges::all_of(fleet, [&limit](const UpstreamTable& table) {
      return table.rows.at("u3")->limit.requests.per_second == limit;
    }));
  }
}

// Guards against an older message that undoes a newer one.
BOOST_AUTO_TEST_CASE(OlderNewsIsIgnored) {
  UpstreamTable table = TableWith(1);
  Upstream& upstream = *table.rows.at("u0");
  RecordNamedLimit(upstream, 3.0, kStart + 5s, kStart + 5s);
  const std::vector<LimitNews> older{{DigestKey(upstream), std::nullopt, 2s}};
  BOOST_TEST(MergeLimitNews(table, older, kStart + 6s).empty());
  BOOST_TEST(upstream.limit.requests.per_second.value_or(0) == 3.0);
}

}  // namespace
}  // namespace geraniumspread::dispatch
