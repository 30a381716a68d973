#include <boost/test/unit_test.hpp>

#include "common/secure_bytes.h"
#include "fleet/tests/fleet_channel.h"

namespace geraniumspread::fleet::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kSeed = 20261204;

ChannelSettings Small(std::size_t routers = 6) {
  ChannelSettings settings;
  settings.routers = routers;
  settings.seed = kSeed;
  settings.real_frames = true;
  return settings;
}

// Guards against a change that reaches only the routers with access to the service.
BOOST_AUTO_TEST_CASE(OneRouterWithAccessIsEnough) {
  FleetChannel channel(Small(8));
  channel.Run(seconds(5));
  for (std::size_t index = 1; index < channel.nodes.size(); ++index) {
    channel.nodes[index]->service_reachable = false;
  }
  BOOST_TEST(channel.RunUntilInForce(channel.Publish(), seconds(3)).has_value());
}

// Guards against a large shard that never arrives because one of its parts is lost.
BOOST_AUTO_TEST_CASE(ShardInPartsSurvivesLostParts) {
  ChannelSettings settings = Small();
  settings.shard_bytes = 300'000;
  settings.drop = 0.1;
  FleetChannel channel(settings);
  channel.Run(seconds(5));
  for (std::size_t index = 1; index < channel.nodes.size(); ++index) {
    channel.nodes[index]->service_reachable = false;
  }
  BOOST_TEST(channel.RunUntilInForce(channel.Publish(), seconds(60)).has_value());
}

// Guards against routers that stay on an old version after a partition.
BOOST_AUTO_TEST_CASE(PartitionIsRepaired) {
  FleetChannel channel(Small());
  channel.Run(seconds(5));
  for (std::size_t index = 0; index < 2; ++index) {
    channel.nodes[index]->group = 1;
    channel.nodes[index]->service_reachable = false;
    channel.nodes[index]->lists_reachable = false;
  }
  const std::uint64_t version = channel.Publish();
  channel.Run(seconds(20));
  BOOST_TEST(channel.CountInForce(version) == 4U);
  channel.nodes[0]->group = 0;
  channel.nodes[1]->group = 0;
  BOOST_TEST(channel.RunUntilInForce(version, seconds(3)).has_value());
}

// Guards against a stale service that restores an old version, and against the
// announcement of a crashed router that blocks the versions of running routers.
BOOST_AUTO_TEST_CASE(StaleServiceAndCrashedAnnouncerAreTolerated) {
  ChannelSettings settings = Small();
  settings.shards = 64;  // the manifest is too large for an offer
  FleetChannel channel(settings);
  channel.Publish();
  BOOST_TEST(channel.RunUntilInForce(2, seconds(10)).has_value());
  for (const auto& other : channel.nodes) {
    other->service_stale = true;
  }
  channel.Restart(0);
  Node& node = *channel.nodes[0];
  // Router 5 announced version 9 and crashed before it could provide the manifest.
  channel.nodes[5]->up = false;
  channel.Step();
  Heartbeat heartbeat;
  heartbeat.incarnation = 1;
  heartbeat.failure_domain = "zone-2";
  heartbeat.config = {9, std::string(64, 'd')};
  HandlePeerMessage(node.gossip, node.membership, node.exchange, "router-5", heartbeat,
                    channel.now);
  BOOST_TEST(channel.RunUntilInForce(2, seconds(5)).has_value());
  channel.Run(seconds(15));
  BOOST_TEST(channel.version_regressions == 0U);
}

// Guards against a new process that serves before it has asked its peers.
BOOST_AUTO_TEST_CASE(NewProcessAsksItsPeersBeforeItServes) {
  FleetChannel channel(Small());
  channel.Run(seconds(5));
  channel.service.up = false;
  channel.Restart(3);
  Node& node = *channel.nodes[3];
  BOOST_TEST(!IsReadyToServe(node.gossip, node.membership, node.exchange, channel.now));
  BOOST_TEST(channel.RunUntilInForce(1, seconds(2)).has_value());
  channel.Run(seconds(2));
  BOOST_TEST(IsReadyToServe(node.gossip, node.membership, node.exchange, channel.now));
}

// Guards against a reader that calls a failing or refusing service in a loop.
BOOST_AUTO_TEST_CASE(ReaderBacksOffAndWatchesWithOneCall) {
  FleetChannel channel(Small());
  channel.Run(seconds(30));
  std::uint64_t before = channel.nodes[0]->gossip.reader.calls;
  BOOST_TEST(before <= 5U);  // watches of 10 s
  channel.service.up = false;
  channel.Run(seconds(60));
  BOOST_TEST(channel.nodes[0]->gossip.reader.calls - before <= 10U);
  ConfigReader& reader = channel.nodes[0]->gossip.reader;
  before = reader.calls;
  for (int step = 0; step < 1000; ++step) {
    channel.now += milliseconds(20);
    auto call = NextServiceCall(reader, channel.nodes[0]->membership, 1, "",
                                channel.nodes[0]->gossip.random, channel.now);
    if (call) {
      FinishServiceCall(reader, channel.nodes[0]->membership,
                        {call->call_id, ServiceStatus::kBusy, {}}, channel.nodes[0]->gossip.random,
                        channel.now);
    }
  }
  BOOST_TEST(reader.calls - before <= 12U);
}

// Guards against repeated pulls of a manifest that the store refuses.
BOOST_AUTO_TEST_CASE(RefusedManifestIsPulledOnce) {
  FleetChannel channel(Small(2));
  Node& node = *channel.nodes[0];
  channel.Run(seconds(1));
  const std::string manifest = "7 invalid";
  const ConfigOffer offer{{7, Sha256Hex(manifest)}, manifest};
  int offers = 0;
  node.exchange.offer_manifest = [&](std::string_view) {
    ++offers;
    return OfferOutcome::kRefused;
  };
  for (int round = 0; round < 3; ++round) {
    const auto output = HandlePeerMessage(node.gossip, node.membership, node.exchange, "router-1",
                                          offer, channel.now);
    BOOST_TEST(output.messages.empty());
  }
  BOOST_TEST(offers == 1);
}

// Guards against an unreported conflict: one version with two different contents.
BOOST_AUTO_TEST_CASE(SameVersionWithAnotherDigestIsReported) {
  FleetChannel channel(Small(2));
  Node& node = *channel.nodes[0];
  const auto output =
      HandlePeerMessage(node.gossip, node.membership, node.exchange, "router-1",
                        ConfigOffer{{1, std::string(64, 'f')}, std::nullopt}, channel.now);
  BOOST_TEST(output.digest_conflicts == std::vector<std::string>{"router-1"});
  BOOST_TEST(node.store.in_force.digest != std::string(64, 'f'));
}

// Guards against a quarantine entry that doesn't reach a router, lasts too long, or
// never expires because routers keep sending it to each other.
BOOST_AUTO_TEST_CASE(QuarantineReachesAllAndEnds) {
  ChannelSettings settings = Small(8);
  // Delays long enough that an entry expires at different times on two routers.
  settings.real_frames = false;
  settings.delay_min = milliseconds(300);
  settings.delay_max = milliseconds(900);
  FleetChannel channel(settings);
  channel.Run(seconds(5));
  channel.nodes[7]->group = 1;
  AddQuarantine(channel.nodes[0]->gossip, {"crasher", 2, seconds(60)}, channel.now);
  channel.Run(seconds(5));
  BOOST_TEST(IsQuarantined(channel.nodes[6]->gossip, "crasher", channel.now));
  BOOST_TEST(!IsQuarantined(channel.nodes[7]->gossip, "crasher", channel.now));
  channel.nodes[7]->group = 0;
  channel.Run(seconds(10));
  BOOST_TEST(IsQuarantined(channel.nodes[7]->gossip, "crasher", channel.now));
  channel.Run(seconds(50));
  for (const auto& node : channel.nodes) {
    BOOST_TEST(node->gossip.quarantine.empty());
  }
  // An entry near its expiry isn't accepted, or it could circulate forever.
  Node& node = *channel.nodes[0];
  HandlePeerMessage(node.gossip, node.membership, node.exchange, "router-1",
                    Quarantine{{{"crasher", 2, seconds(9)}}}, channel.now);
  BOOST_TEST(!IsQuarantined(node.gossip, "crasher", channel.now));
}

// Guards against a version that regresses, and against a fleet that doesn't converge
// again, under partitions, pauses, restarts, message loss and a stale service.
BOOST_AUTO_TEST_CASE(VersionNeverRegressesUnderSeededFaults) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    ChannelSettings settings = Small(8);
    settings.seed = seed;
    settings.drop = 0.05;
    settings.delay_max = milliseconds(400);
    FleetChannel channel(settings);
    for (int round = 0; round < 20; ++round) {
      Node& node = *channel.nodes[channel.random() % channel.nodes.size()];
      node.group = static_cast<int>(channel.random() % 2);
      node.service_reachable = channel.random() % 2 == 0;
      channel.nodes[channel.random() % channel.nodes.size()]->paused_until =
          channel.now + seconds(channel.random() % 12);
      node.service_stale = channel.random() % 3 == 0;
      if (channel.random() % 4 == 0) {
        channel.Restart(channel.random() % channel.nodes.size());
      }
      channel.Publish();
      channel.Run(seconds(2));
    }
    for (const auto& node : channel.nodes) {
      node->service_stale = false;
      node->group = 0;
      node->service_reachable = true;
    }
    BOOST_TEST(channel.RunUntilInForce(channel.service.version, seconds(30)).has_value(), seed);
    BOOST_TEST(channel.version_regressions == 0U, seed);
    BOOST_TEST(channel.conflicts == 0U, seed);
  }
}

}  // namespace
}  // namespace geraniumspread::fleet::testing
