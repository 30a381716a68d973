#include "dispatch/upstream_news.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <random>

#include "dispatch/tests/simulated_instance.h"
#include "dispatch/tests/test_tables.h"

namespace geraniumspread::dispatch {
namespace {

using namespace std::chrono_literals;
using test::kStart;
using test::Listing;

// Engines whose processes are replaced, a few a second. For two seconds after its end a process is
// still listed.
struct Release {
  static constexpr std::size_t kInstances = 64;
  static constexpr std::size_t kUpstreams = 140;
  // Digest targets of an instance: six in its failure domain and four in others.
  static constexpr std::size_t kTargets = 10;
  static constexpr auto kStep = 10ms;
  static constexpr auto kListedAfterEnd = 2s;
  static constexpr auto kEndInterval = 250ms;
  static constexpr std::size_t kRequestsPerStep = 7;

  explicit Release(bool tells_peers) : tells(tells_peers), fleet(kInstances), ended_at(kUpstreams) {
    for (UpstreamTable& instance : this->fleet) {
      for (std::size_t index = 0; index < kUpstreams; ++index) {
        ApplyListing(instance, Listing(IdOf(index), "a"), kStart);
      }
    }
  }

  static std::string IdOf(std::size_t index) { return "u" + std::to_string(index); }

  bool IsDown(std::size_t index) const { return this->ended_at[index] != TimePoint{}; }

  void Replace(TimePoint now) {
    for (std::size_t index = 0; index < kUpstreams; ++index) {
      if (!this->IsDown(index) || this->ended_at[index] + kListedAfterEnd > now) {
        continue;
      }
      this->ended_at[index] = {};
      UpstreamListing listing = Listing(IdOf(index), "a");
      listing.started_at_ms = ++this->starts;
      for (UpstreamTable& instance : this->fleet) {
        ApplyListing(instance, listing, now);
      }
    }
  }

  // Sends one request to random upstreams until one of them is up. Returns the failed connects.
  std::size_t Send(UpstreamTable& instance, TimePoint now) {
    std::size_t failed = 0;
    while (true) {
      const std::size_t index = this->random() % kUpstreams;
      Upstream& upstream = *instance.rows.at(IdOf(index));
      if (now < upstream.health.avoid_until) {
        continue;
      }
      if (!this->IsDown(index)) {
        RecordAttemptSuccess(upstream.health, now);
        return failed;
      }
      ++failed;
      RecordConnectFailure(upstream.health, now);
      RecordEndedProcess(upstream, EndedProcess::kRefusesConnects, now);
    }
  }

  void Tell(std::size_t sender, TimePoint now) {
    const auto news = TakeUpstreamNews(this->fleet[sender], PathState::kReached, now);
    for (std::size_t target = 0; target < kTargets && !news.empty() && this->tells; ++target) {
      MergeUpstreamNews(this->fleet[this->random() % kInstances], news, now + 1ms);
    }
  }

  // Returns the requests that met at least one ended process.
  std::size_t Run(Duration duration) {
    std::size_t met = 0;
    for (Duration at{0}; at < duration; at += kStep) {
      const TimePoint now = kStart + at;
      this->Replace(now);
      if (at % kEndInterval == Duration{0}) {
        this->ended_at[this->random() % kUpstreams] = now;
      }
      for (std::size_t request = 0; request < kRequestsPerStep; ++request) {
        met += this->Send(this->fleet[this->random() % kInstances], now) > 0 ? 1 : 0;
      }
      for (std::size_t sender = 0; sender < kInstances; ++sender) {
        if ((at + kStep * sender) % test::kNewsInterval == Duration{0}) {
          this->Tell(sender, now);
        }
      }
    }
    return met;
  }

  bool tells;
  std::vector<UpstreamTable> fleet;
  std::vector<TimePoint> ended_at;
  std::int64_t starts = 1;
  std::mt19937_64 random{7};
};

// Guards against a release in which each instance finds each ended process with a request of its
// own.
BOOST_AUTO_TEST_CASE(NewsSparesRequestsDuringARelease) {
  const std::size_t alone = Release(false).Run(20s);
  const std::size_t told = Release(true).Run(20s);
  BOOST_TEST_MESSAGE("met an ended process: " << alone << " alone, " << told << " with news");
  BOOST_TEST(told * 2 < alone);
}

UpstreamNews Refused(const UpstreamTable& table, const std::string& id, Duration age) {
  const Upstream& upstream = *table.rows.at(id);
  UpstreamNews news;
  news.upstream_key = DigestKey(upstream);
  news.process = ProcessKey(upstream);
  news.ended_age = age;
  return news;
}

std::size_t Merge(UpstreamTable& table, const UpstreamNews& news, TimePoint now) {
  return MergeUpstreamNews(table, std::vector{news}, now).size();
}

// Guards against avoiding a live process on news that is late, about the process before, or absurd.
BOOST_AUTO_TEST_CASE(NewsThatDoesNotApplyIsDropped) {
  UpstreamTable table = test::MakeTable(1);
  const TimePoint now = kStart + 10s;
  UpstreamNews before = Refused(table, "a0", 5ms);
  before.process -= 1;
  UpstreamNews unknown = Refused(table, "a0", 5ms);
  unknown.upstream_key += 1;
  BOOST_TEST(Merge(table, before, now) == 0U);
  BOOST_TEST(Merge(table, unknown, now) == 0U);
  BOOST_TEST(Merge(table, Refused(table, "a0", 1001ms), now) == 0U);
  BOOST_TEST(Merge(table, Refused(table, "a0", 24h), now) == 0U);
  BOOST_TEST((table.rows.at("a0")->health.avoid_until <= now));
  BOOST_TEST(Merge(table, Refused(table, "a0", 5ms), now) == 1U);
  BOOST_TEST((table.rows.at("a0")->health.avoid_until > now));
}

// Guards against an avoidance that grows with each copy of one observation, or that an older
// observation prolongs.
BOOST_AUTO_TEST_CASE(DoubledAndReorderedNewsChangesNothing) {
  UpstreamTable table = test::MakeTable(1);
  const TimePoint now = kStart + 10s;
  const UpstreamHealth& health = table.rows.at("a0")->health;
  Merge(table, Refused(table, "a0", 100ms), now);
  const TimePoint avoid_until = health.avoid_until;
  Merge(table, Refused(table, "a0", 100ms), now);
  Merge(table, Refused(table, "a0", 300ms), now + 205ms);
  Merge(table, Refused(table, "a0", 900ms), now + 210ms);
  BOOST_TEST((health.avoid_until == avoid_until));
  BOOST_TEST(health.connect_failures == 1U);
}

// Guards against an upstream that stays avoided although it answers here.
BOOST_AUTO_TEST_CASE(ASuccessEndsTheAvoidanceAndOutweighsOlderNews) {
  UpstreamTable table = test::MakeTable(1);
  Upstream& upstream = *table.rows.at("a0");
  const TimePoint now = kStart + 10s;
  Merge(table, Refused(table, "a0", 5ms), now);
  RecordAttemptSuccess(upstream.health, now + 300ms);
  BOOST_TEST((upstream.health.avoid_until <= now));
  BOOST_TEST(Merge(table, Refused(table, "a0", 200ms), now + 450ms) == 0U);
  BOOST_TEST(Merge(table, Refused(table, "a0", 5ms), now + 450ms) == 1U);
}

// Guards against an upstream that is tried again after a refused connect though its address has
// gone to another process.
BOOST_AUTO_TEST_CASE(AnotherProcessAtTheAddressIsAvoidedLonger) {
  UpstreamTable table = test::MakeTable(1);
  const TimePoint now = kStart + 10s;
  Merge(table, Refused(table, "a0", 5ms), now);
  UpstreamNews replaced = Refused(table, "a0", 50ms);
  replaced.is_replaced = true;
  Merge(table, replaced, now);
  BOOST_TEST((table.rows.at("a0")->health.avoid_until >= now + 4900ms));
}

// An instance whose path to all upstreams refuses connects observes ended processes everywhere.
// Guards against its peers avoiding them.
BOOST_AUTO_TEST_CASE(AnInstanceThatIsCutOffTellsNothing) {
  UpstreamTable table = test::MakeTable(2);
  UpstreamPath path;
  const TimePoint now = kStart + 10s;
  for (const auto& [id, row] : table.rows) {
    RecordConnectFailure(row->health, now);
    RecordEndedProcess(*row, EndedProcess::kRefusesConnects, now);
    RecordPathFailure(path, id, table.rows.size(), now);
  }
  BOOST_TEST((path.state == PathState::kSuspected));
  BOOST_TEST(TakeUpstreamNews(table, path.state, now + 50ms).empty());
  BOOST_TEST(RecordPathUnreached(path, now + 250ms));
  ForgetPathFailures(path, table);
  BOOST_TEST(TakeUpstreamNews(table, path.state, now + 300ms).empty());
  BOOST_TEST(TakeUpstreamNews(table, PathState::kReached, now + 400ms).empty());
}

// During a release several processes end at once, which raises the suspicion. Guards against news
// that is lost because of it.
BOOST_AUTO_TEST_CASE(NewsWaitsWhileThePathIsSuspected) {
  UpstreamTable table = test::MakeTable(1);
  const TimePoint now = kStart + 10s;
  RecordEndedProcess(*table.rows.at("a0"), EndedProcess::kRefusesConnects, now);
  BOOST_TEST(TakeUpstreamNews(table, PathState::kSuspected, now + 100ms).empty());
  const auto news = TakeUpstreamNews(table, PathState::kReached, now + 300ms);
  BOOST_REQUIRE(news.size() == 1U);
  BOOST_TEST((news.front().ended_age.value_or(0ms) == 300ms));
}

// Guards against news that circulates: what a peer told is not told again.
BOOST_AUTO_TEST_CASE(NewsOfPeersIsNotPassedOn) {
  UpstreamTable table = test::MakeTable(1);
  Merge(table, Refused(table, "a0", 5ms), kStart + 10s);
  BOOST_TEST(TakeUpstreamNews(table, PathState::kReached, kStart + 10s).empty());
}

// Guards against a service that is refused because a peer tells that none of its upstreams is
// there.
BOOST_AUTO_TEST_CASE(IfAllAreAvoidedAllAreCandidates) {
  UpstreamTable table = test::MakeTable(1);
  for (const char* id : {"a0", "b0", "c0"}) {
    Merge(table, Refused(table, id, 5ms), kStart);
  }
  const Selection selection =
      SelectUpstream(table, {}, test::EngineRequest(test::ChatPrompt(1, 1)));
  BOOST_TEST(selection.candidates.size() == 3U);
}

}  // namespace
}  // namespace geraniumspread::dispatch
