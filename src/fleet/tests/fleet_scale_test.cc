// Measures the propagation time of configuration and the control traffic for several
// fleet sizes. Run with `-- --table` to print the tables of docs/measurements/fleet.md.
// Only sizes with a target are checked.
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cstdio>
#include <string>
#include <string_view>

#include "fleet/tests/fleet_channel.h"
#include "fleet/tests/partial_views.h"

namespace geraniumspread::fleet::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kBytesPerSecondTarget = 8000;
constexpr std::uint64_t kServiceCallsTarget = 2000;

bool WithTable() {
  const auto& suite = boost::unit_test::framework::master_test_suite();
  return suite.argc > 1 && std::string_view(suite.argv[1]) == "--table";
}

template <typename... Arguments>
void Row(const char* format, Arguments... arguments) {
  if (WithTable()) {
    std::printf(format, arguments...);
    std::fflush(stdout);
  }
}

// Fleet sizes to measure. Without `--table`, only those that have a target.
std::vector<std::size_t> Sizes() {
  return WithTable() ? std::vector<std::size_t>{6, 8, 64, 410}
                     : std::vector<std::size_t>{6, 8, 410};
}

// At design size: 23,000 workspaces at 100 bytes in 64 shards.
ChannelSettings Sized(std::size_t routers, std::uint64_t seed) {
  ChannelSettings settings;
  settings.routers = routers;
  settings.list_period = seconds(5);
  settings.domains = routers <= 8 ? 3 : 8;
  settings.seed = seed;
  settings.shards = routers <= 8 ? 4 : 64;
  settings.shard_bytes = routers <= 8 ? 512 : 36'000;
  return settings;
}

enum class Access { kAll, kOneReader, kOneOther, kStaleButOne, kLossAndDelay };

const char* Name(Access access) {
  switch (access) {
    case Access::kAll:
      return "all routers reach the service";
    case Access::kOneReader:
      return "one reader reaches it";
    case Access::kOneOther:
      return "one router that is no reader reaches it";
    case Access::kStaleButOne:
      return "stale for all but one reader";
    case Access::kLossAndDelay:
      return "5% loss, delay 1 to 200 ms";
  }
  return "";
}

// Applies the partition or staleness to all routers but the first reader or non-reader.
// Returns false if the fleet has no such router.
bool Restrict(FleetChannel& channel, Access access) {
  const auto chosen = std::ranges::find_if(channel.nodes, [&](const auto& node) {
    return channel.IsReader(*node) == (access != Access::kOneOther);
  });
  if (chosen == channel.nodes.end()) {
    return false;
  }
  if (access == Access::kAll || access == Access::kLossAndDelay) {
    return true;
  }
  for (const auto& node : channel.nodes) {
    const bool keep = node == *chosen;
    (access == Access::kStaleButOne ? node->service_stale : node->service_reachable) =
        access == Access::kStaleButOne ? !keep : keep;
  }
  return true;
}

struct Spread {
  bool measured = false;
  bool within_limit = true;
  double worst_seconds = 0;
};

Spread MeasureSpread(std::size_t routers, Access access) {
  Spread spread;
  const std::uint64_t seeds = WithTable() || routers <= 8 ? 3 : 1;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    ChannelSettings settings = Sized(routers, seed);
    if (access == Access::kLossAndDelay) {
      settings.drop = 0.05;
      settings.delay_max = milliseconds(200);
    }
    FleetChannel channel(settings);
    channel.Run(seconds(6));
    if (!Restrict(channel, access)) {
      continue;
    }
    channel.Run(milliseconds(1300 * seed));
    const auto taken = channel.RunUntilInForce(channel.Publish(), seconds(60));
    spread.measured = true;
    spread.within_limit = spread.within_limit && taken.has_value();
    spread.worst_seconds = std::max(
        spread.worst_seconds, std::chrono::duration<double>(taken.value_or(seconds(60))).count());
    BOOST_TEST(channel.version_regressions == 0U);
  }
  return spread;
}

// Guards against a propagation time above the target.
BOOST_AUTO_TEST_CASE(TimeToForce) {
  Row("\n| routers | service | worst time to force over 3 seeds |\n|---|---|---|\n");
  for (const std::size_t routers : Sizes()) {
    for (const Access access : {Access::kAll, Access::kOneReader, Access::kOneOther,
                                Access::kStaleButOne, Access::kLossAndDelay}) {
      const Spread spread = MeasureSpread(routers, access);
      if (!spread.measured) {
        continue;
      }
      Row("| %zu | %s | %.2f s |\n", routers, Name(access), spread.worst_seconds);
      BOOST_TEST(spread.within_limit);
      BOOST_TEST(spread.worst_seconds <= (routers <= 8 ? 3.0 : 15.0),
                 routers << " routers, " << Name(access));
    }
  }
}

// Guards against routers that stay on an old version after a partition.
BOOST_AUTO_TEST_CASE(RepairAfterCut) {
  Row("\n| routers | cut off for 30 s | in force after the end of the cut |\n|---|---|---|\n");
  for (const std::size_t routers : Sizes()) {
    FleetChannel channel(Sized(routers, 1));
    channel.Run(seconds(6));
    for (std::size_t index = 0; index < routers; index += channel.settings.domains) {
      channel.nodes[index]->group = 1;
      channel.nodes[index]->service_reachable = false;
      channel.nodes[index]->lists_reachable = false;
    }
    channel.Publish();
    channel.Run(seconds(30));
    for (const auto& node : channel.nodes) {
      node->group = 0;  // the service and the lists stay unreachable
    }
    const auto taken = channel.RunUntilInForce(2, seconds(60));
    const double taken_seconds = std::chrono::duration<double>(taken.value_or(seconds(60))).count();
    Row("| %zu | one domain | %.2f s |\n", routers, taken_seconds);
    BOOST_TEST(taken_seconds <= (routers <= 8 ? 3.0 : 15.0));
  }
}

struct Storm {
  const char* name;
  Duration service_down;
  Duration lists_down;
};

// Guards against a restart of the whole fleet that overloads the configuration service.
BOOST_AUTO_TEST_CASE(RestartStorm) {
  Row("\n| 410 routers start at once without configuration | peak service calls/s, with waiting "
      "watches | refused | in force everywhere after |\n|---|---|---|---|\n");
  for (const Storm& storm : {Storm{"service and lists up", seconds(0), seconds(0)},
                             Storm{"service down for 10 s", seconds(10), seconds(0)},
                             Storm{"instance lists down for 30 s", seconds(0), seconds(30)}}) {
    if (!WithTable() && storm.service_down == seconds(0)) {
      continue;  // the outage causes the highest peak
    }
    FleetChannel channel(Sized(410, 1));
    for (std::size_t index = 0; index < channel.nodes.size(); ++index) {
      channel.nodes[index]->lists_reachable = storm.lists_down == seconds(0);
      channel.Restart(index);
    }
    channel.service.up = storm.service_down == seconds(0);
    channel.Run(storm.service_down);
    channel.service.up = true;
    const auto early = channel.RunUntilInForce(1, storm.lists_down);
    for (const auto& node : channel.nodes) {
      node->lists_reachable = true;
    }
    const auto late = channel.RunUntilInForce(1, seconds(120));
    BOOST_TEST(late.has_value());
    const Duration taken =
        storm.service_down + early.value_or(storm.lists_down) + late.value_or(seconds(120));
    Row("| %s | %llu | %llu | %.1f s |\n", storm.name,
        static_cast<unsigned long long>(channel.service.peak_calls),
        static_cast<unsigned long long>(channel.service.refused),
        std::chrono::duration<double>(taken).count());
    BOOST_TEST(channel.service.peak_calls <= kServiceCallsTarget);
  }
}

// Sends lease messages like the ownership module: each router renews the leases of its
// upstreams at 5 voters of its domain.
void SendLeases(FleetChannel& channel, std::size_t upstreams) {
  std::vector<std::string> ids;
  ids.reserve(upstreams);
  for (std::size_t upstream = 0; upstream < upstreams; ++upstream) {
    ids.push_back("engine-" + std::to_string(1000 + upstream));
  }
  for (std::size_t index = 0; index < channel.nodes.size(); ++index) {
    const Node& node = *channel.nodes[index];
    auto voters = RankRouters(node.membership, node.membership.self_domain, node.id);
    voters.resize(std::min<std::size_t>(voters.size(), 5));
    for (const RouterMember* voter : voters) {
      if (voter->id == node.id) {
        continue;
      }
      const std::string voter_id = voter->id;
      channel.SendOne(index, {voter_id, LeaseRequest{1000, 51, ids}});
      const auto at =
          std::ranges::find(channel.nodes, voter_id, [](const auto& other) { return other->id; });
      channel.SendOne(static_cast<std::size_t>(at - channel.nodes.begin()),
                      {node.id, LeaseReply{1000, ids, {}}});
    }
  }
}

constexpr int kWarmUpSeconds = 60;
constexpr int kTrafficSeconds = 120;

// Two changes a minute are 2,880 a day.
void RunTraffic(FleetChannel& channel, std::size_t upstreams) {
  for (const auto& node : channel.nodes) {
    node->gossip.pool_loads = {{"wording", 3}, {"proofing", 12}, {"survey", 7}, {"lookup", 4}};
  }
  channel.Run(seconds(35));  // until heartbeats no longer carry endpoints
  for (int second = 0; second < kWarmUpSeconds + kTrafficSeconds; ++second) {
    if (second == kWarmUpSeconds) {
      channel.ResetMeters();
    }
    if (second % 30 == 5) {
      channel.Publish();
    }
    if (second % 3 == 0) {
      SendLeases(channel, upstreams);
    }
    channel.Run(seconds(1));
  }
}

double SentPerSecond(const ControlMeter& meter) {
  double bytes = 0;
  for (const std::uint64_t sent : meter.sent_bytes) {
    bytes += static_cast<double>(sent);
  }
  return bytes / kTrafficSeconds;
}

// Guards against control traffic above its budget per node.
BOOST_AUTO_TEST_CASE(ControlBytes) {
  for (const std::size_t routers : Sizes()) {
    FleetChannel channel(Sized(routers, 1));
    RunTraffic(channel, 7);
    Row("\n| %zu routers: message | bytes/s sent per node (mean) | messages/s |\n|---|---|---|\n",
        routers);
    for (std::size_t type = 0; type < kMessageTypeCount; ++type) {
      double bytes = 0;
      double messages = 0;
      for (const auto& node : channel.nodes) {
        bytes += static_cast<double>(node->gossip.meter.sent_bytes[type]);
        messages += static_cast<double>(node->gossip.meter.sent_messages[type]);
      }
      const double scale = static_cast<double>(routers) * kTrafficSeconds;
      Row("| %s | %.0f | %.2f |\n", std::string(MethodName(type)).c_str(), bytes / scale,
          messages / scale);
    }
    double worst = 0;
    double mean = 0;
    for (const auto& node : channel.nodes) {
      const double sent = SentPerSecond(node->gossip.meter);
      worst = std::max(worst, sent);
      mean += sent / static_cast<double>(routers);
    }
    Row("| all (mean) | %.0f | |\n| all (busiest node) | %.0f | |\n", mean, worst);
    BOOST_TEST(worst <= kBytesPerSecondTarget);
  }
}

// Seconds since the last contact of each router with each of its domain peers.
void PrintAges(FleetChannel& channel, std::size_t routers) {
  std::vector<double> ages;
  for (const auto& node : channel.nodes) {
    for (const RouterMember* peer : DomainRouters(node->membership, node->membership.self_domain)) {
      if (peer->id != node->id && peer->last_contact) {
        ages.push_back(std::chrono::duration<double>(channel.now - *peer->last_contact).count());
      }
    }
  }
  std::ranges::sort(ages);
  Row("| full | %zu | %.2f s | %.2f s | %.2f s |\n", routers, ages[ages.size() / 2],
      ages[ages.size() * 99 / 100], ages.back());
}

// Time until all domain peers know the new incarnation of a router, without updates of
// the instance list.
double RestartKnownAfter(FleetChannel& channel) {
  for (const auto& node : channel.nodes) {
    node->lists_reachable = false;
  }
  Node& restarted = *channel.nodes[0];
  const auto members = restarted.membership.routers;
  channel.Restart(0);
  for (const RouterMember& member : members) {
    if (member.id != restarted.id) {
      restarted.membership.routers.push_back(member);
    }
  }
  std::ranges::sort(restarted.membership.routers, {}, &RouterMember::id);
  const TimePoint start = channel.now;
  const auto known = [&](const auto& node) {
    return node->membership.self_domain != restarted.membership.self_domain ||
           FindRouter(node->membership, restarted.id)->incarnation == restarted.incarnation;
  };
  while (!std::ranges::all_of(channel.nodes, known) && channel.now - start < seconds(60)) {
    channel.Step();
  }
  return std::chrono::duration<double>(channel.now - start).count();
}

// Prints the comparison in docs/decisions/membership.md; checks nothing.
BOOST_AUTO_TEST_CASE(FullMembershipAgainstPartialViews) {
  Row("\n| membership | routers | age of domain peers, p50 | p99 | max |\n|---|---|---|---|---|\n");
  if (!WithTable()) {
    return;
  }
  for (const std::size_t routers : Sizes()) {
    FleetChannel channel(Sized(routers, 1));
    channel.Run(seconds(60));
    PrintAges(channel, routers);
    Row("| full | %zu | all domain peers know a restart after %.2f s | | |\n", routers,
        RestartKnownAfter(channel));
  }
  constexpr double kEntryBytes = 80;     // id, incarnation, domain, address, ports, age in JSON
  constexpr double kMessageBytes = 120;  // frame and JSON-RPC envelope
  Row("\n| partial view, shuffled | bytes/s per node | domain peers in view | domain peers that "
      "know "
      "a restart after 60 s | routers with a peer beyond the cut, 60 s after a cut of 120 s "
      "|\n|---|---|---|---|---|\n");
  for (const std::size_t view : {10U, 20U, 60U}) {
    PartialViews views({410, 8, view, view / 2, 1});
    for (int round = 0; round < 60; ++round) {
      views.Round();
    }
    const double bytes = (static_cast<double>(views.entries_sent) * kEntryBytes +
                          static_cast<double>(views.messages_sent) * kMessageBytes) /
                         (410.0 * 60);
    const double domain_known = views.DomainKnown();
    views.incarnations[0] = 2;
    for (int round = 0; round < 60; ++round) {
      views.Round();
    }
    const std::size_t restart_known = views.KnowIncarnation(0);
    views.halves_cut = true;
    for (int round = 0; round < 120; ++round) {
      views.Round();
    }
    views.halves_cut = false;
    for (int round = 0; round < 60; ++round) {
      views.Round();
    }
    Row("| %zu of 410 | %.0f | %.0f%% | %zu of 51 | %zu of 410 |\n", view, bytes,
        domain_known * 100, restart_known, views.WithOtherHalf());
  }
}

}  // namespace
}  // namespace geraniumspread::fleet::testing
