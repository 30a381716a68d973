#include <boost/test/unit_test.hpp>
#include <deque>
#include <tuple>

#include "common/hash.h"
#include "dispatch/selection.h"
#include "dispatch/tests/test_fleet.h"
#include "dispatch/tests/test_tables.h"

// Pattern: all instances start at once, as after a power loss, while an upstream is cold.
namespace geraniumspread::dispatch {
namespace {

using namespace std::chrono_literals;
using test::Fleet;
using test::FleetInstance;

constexpr double kColdRate = 10;
constexpr double kColdFactor = 1.5;
constexpr double kColdSlack = 5;
constexpr std::size_t kColdLimit = 20;

// The requests to one cold upstream from all instances, each of which sends as many as it may.
struct ColdUpstream {
  SelectionSettings settings;
  std::deque<TimePoint> recent;
  std::size_t total = 0;
  std::size_t most_in_a_second = 0;

  void SendWherePossible(FleetInstance& instance, TimePoint now) {
    if (instance.upstreams.rows.empty()) {
      UpstreamListing listing = test::Listing("cold", "a");
      listing.cold_left = 1h;
      ApplyListing(instance.upstreams, listing, now);
    }
    const std::vector<std::uint64_t> peer_hashes = PeerHashes(instance.peers);
    SelectionRequest request = test::EngineRequest({});
    request.own_hash = StableHash(instance.peers.self_address);
    request.peer_hashes = peer_hashes;
    request.instances = AssumedInstances({.known = KnownInstances(instance.peers)});
    request.knows_fleet = KnowsFleet(instance.peers, now);
    request.cold_requests_per_second = kColdRate;
    request.now = now;
    if (SelectUpstream(instance.upstreams, this->settings, request).candidates.empty()) {
      return;
    }
    instance.upstreams.rows.at("cold")->cold_sends.times.push_back(now);
    ++this->total;
    this->recent.push_back(now);
    while (this->recent.front() + 1s <= now) {
      this->recent.pop_front();
    }
    this->most_in_a_second = std::max(this->most_in_a_second, this->recent.size());
  }
};

ColdUpstream StartFleet(int instances, int domains, std::uint64_t seed) {
  std::map<std::string, int> counts;
  for (int domain = 0; domain < domains; ++domain) {
    counts[std::string(1, static_cast<char>('a' + domain))] =
        instances / domains + (domain < instances % domains ? 1 : 0);
  }
  Fleet fleet(counts, seed);
  fleet.StartWithin(300ms);
  fleet.SetSeeds({"a0", "b0", "c0"});
  ColdUpstream upstream;
  upstream.settings.cold = {kColdFactor, kColdSlack, 0.8};
  fleet.Run(12s, [&upstream](FleetInstance& instance, TimePoint now) {
    upstream.SendWherePossible(instance, now);
  });
  return upstream;
}

// Guards against the overload of a cold upstream by instances that have just started and know
// only a few of the others, so that the sum of their shares exceeds the limit.
BOOST_AUTO_TEST_CASE(AFleetThatStartsAtOnceKeepsTheColdLimit) {
  for (const auto& [instances, domains, seeds] :
       {std::tuple(6, 3, 20), {23, 3, 20}, {95, 5, 3}, {410, 5, 1}}) {
    for (int seed = 1; seed <= seeds; ++seed) {
      const ColdUpstream upstream = StartFleet(instances, domains, seed);
      BOOST_TEST(upstream.most_in_a_second <= kColdLimit, instances << " instances, seed " << seed);
      BOOST_TEST(upstream.total > kColdLimit, instances << " instances, seed " << seed);
    }
  }
}

}  // namespace
}  // namespace geraniumspread::dispatch
