#include "dispatch/peer_table.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "common/hash.h"
#include "dispatch/tests/test_tables.h"

namespace geraniumspread::dispatch {
namespace {

using namespace std::chrono_literals;
using test::kStart;

PeerDigest Digest(const std::string& address, std::uint64_t sequence, std::uint32_t running) {
  PeerDigest digest;
  digest.instance = "edge-" + address;
  digest.incarnation = 1;
  digest.sequence = sequence;
  digest.address = address;
  digest.failure_domain = "b";
  digest.published.revision = 5;
  digest.loads = {{static_cast<std::uint32_t>(StableHash("a0")), running, 100}};
  return digest;
}

PeerTable MakePeers() {
  PeerTable peers;
  peers.self_address = "10.0.0.1";
  peers.self_domain = "a";
  return peers;
}

// Guards against loads that accumulate with each digest, and against digests that
// arrive out of order.
BOOST_AUTO_TEST_CASE(OnlyTheNewestDigestOfAPeerCounts) {
  PeerTable peers = MakePeers();
  UpstreamTable upstreams = test::MakeTable(1);
  ApplyDigest(peers, upstreams, Digest("10.0.0.2", 1, 4), kStart);
  ApplyDigest(peers, upstreams, Digest("10.0.0.2", 3, 7), kStart);
  BOOST_CHECK(ApplyDigest(peers, upstreams, Digest("10.0.0.2", 2, 1), kStart) == PeerChange::kNone);
  ApplyDigest(peers, upstreams, Digest("10.0.0.3", 1, 2), kStart);
  BOOST_TEST(upstreams.remote.at(static_cast<std::uint32_t>(StableHash("a0"))).running == 9U);
}

// Guards against a stale count of an upstream's requests: its report to a peer is
// newer than the counts that all peers sent of their own requests.
BOOST_AUTO_TEST_CASE(TheNewestReportOfAnUpstreamCountsWhoeverGotIt) {
  PeerTable peers = MakePeers();
  UpstreamTable upstreams = test::MakeTable(1);
  Upstream& upstream = *upstreams.rows.at("a0");
  upstream.report = LoadReport{5, 0, kStart, 0};
  const auto told = [&](std::uint64_t sequence, std::uint32_t requests, Duration age) {
    PeerDigest digest = Digest("10.0.0.2", sequence, 0);
    digest.reports = {{DigestKey(upstream), requests, age}, {12345, 9, 0ms}};
    ApplyDigest(peers, upstreams, digest, kStart + 200ms);
    return EstimatedRunning(upstreams, upstream, kStart + 200ms);
  };
  BOOST_TEST(told(1, 20, 300ms) == 5U);
  BOOST_TEST(OwnReports(upstreams, kStart + 200ms).size() == 1U);
  BOOST_TEST(told(2, 20, 100ms) == 20U);
  // Forwarded only once, so that its age stays accurate.
  BOOST_TEST(OwnReports(upstreams, kStart + 200ms).empty());
  BOOST_TEST(EstimatedRunning(upstreams, upstream, kStart + 100ms + kReportLifetime + 1ms) == 0U);
}

// Guards against counting the load of an instance that died.
BOOST_AUTO_TEST_CASE(ASilentPeerCountsNoLoadButStaysAnInstance) {
  PeerTable peers = MakePeers();
  UpstreamTable upstreams = test::MakeTable(1);
  ApplyDigest(peers, upstreams, Digest("10.0.0.2", 1, 4), kStart);
  BOOST_TEST(ExpirePeers(peers, upstreams, kStart + 2s).size() == 1U);
  BOOST_TEST(upstreams.remote.empty());
  BOOST_TEST(KnownInstances(peers) == 2U);
  ExpirePeers(peers, upstreams, kStart + 2min);
  BOOST_TEST(KnownInstances(peers) == 1U);
}

// Guards against a large fleet in which known instances are taken for new ones until each of them
// has sent a digest here, so that no cold upstream gets a request meanwhile.
BOOST_AUTO_TEST_CASE(AnInstanceThatPeersStillAnnounceIsDiscoveredOnce) {
  PeerTable peers = MakePeers();
  UpstreamTable upstreams = test::MakeTable(1);
  for (std::uint64_t sequence = 1; sequence <= 20; ++sequence) {
    const TimePoint now = kStart + sequence * 1s;
    PeerDigest digest = Digest("10.0.0.2", sequence, 0);
    digest.known_addresses = {"10.0.0.3"};
    ApplyDigest(peers, upstreams, digest, now);
    ExpirePeers(peers, upstreams, now);
    BOOST_TEST(KnownInstances(peers) == 3U);
  }
  BOOST_TEST((peers.last_discovery == kStart + 1s));
}

// Guards against an instance that counts itself as a peer when its address is in a
// seed list.
BOOST_AUTO_TEST_CASE(AnInstanceIsNotItsOwnPeer) {
  PeerTable peers = MakePeers();
  UpstreamTable upstreams = test::MakeTable(1);
  ApplyDigest(peers, upstreams, Digest("10.0.0.1", 1, 4), kStart);
  BOOST_TEST(peers.peers.empty());
}

// Pattern: a network partition of a zone. One silent instance suggests a crash;
// silence of a whole failure domain suggests a partition.
BOOST_AUTO_TEST_CASE(ADomainIsSilentOnlyWhenAllItsInstancesAre) {
  PeerTable peers = MakePeers();
  UpstreamTable upstreams = test::MakeTable(1);
  ApplyDigest(peers, upstreams, Digest("10.0.0.2", 1, 0), kStart);
  ApplyDigest(peers, upstreams, Digest("10.0.0.3", 1, 0), kStart);
  ApplyDigest(peers, upstreams, Digest("10.0.0.3", 2, 0), kStart + 600ms);
  BOOST_TEST(UpdateDomainSilence(peers, upstreams, kStart + 700ms).empty());
  BOOST_TEST(UpdateDomainSilence(peers, upstreams, kStart + 1200ms).size() == 1U);
  BOOST_TEST(upstreams.domains_silent.contains("b"));
  ApplyDigest(peers, upstreams, Digest("10.0.0.2", 2, 0), kStart + 1300ms);
  UpdateDomainSilence(peers, upstreams, kStart + 1300ms);
  BOOST_TEST(upstreams.domains_silent.empty());
}

// Pattern: a large fleet. The number of digests of one instance must not grow with
// the fleet.
BOOST_AUTO_TEST_CASE(TheNumberOfTargetsIsBounded) {
  PeerTable peers = MakePeers();
  UpstreamTable upstreams = test::MakeTable(1);
  for (int index = 2; index < 250; ++index) {
    PeerDigest digest = Digest("10.0.0." + std::to_string(index), 1, 1);
    digest.failure_domain = index % 3 == 0 ? "a" : "b";
    ApplyDigest(peers, upstreams, digest, kStart);
  }
  std::mt19937_64 random(1);
  BOOST_TEST(DigestTargets(peers, false, random, kStart).size() <= 12U);
  BOOST_TEST(AddressesToShare(peers, random, kStart).size() <= 6U);
}

// Pattern: the store rejects this instance and serves others.
BOOST_AUTO_TEST_CASE(APeerWithNewerStateIsFound) {
  PeerTable peers = MakePeers();
  UpstreamTable upstreams = test::MakeTable(1);
  PeerDigest far = Digest("10.0.0.2", 1, 0);
  far.published.revision = 9;
  PeerDigest near = Digest("10.0.0.3", 1, 0);
  near.failure_domain = "a";
  near.published.revision = 8;
  ApplyDigest(peers, upstreams, far, kStart);
  ApplyDigest(peers, upstreams, near, kStart);
  std::mt19937_64 random(1);
  BOOST_TEST(ChooseNewerPeer(peers, {0, 7}, random, kStart)->digest.address == "10.0.0.3");
  BOOST_TEST(ChooseNewerPeer(peers, {0, 8}, random, kStart)->digest.address == "10.0.0.2");
  BOOST_TEST(ChooseNewerPeer(peers, {0, 9}, random, kStart) == nullptr);
}

// Guards against one instance that sends a large configuration to its whole failure
// domain over a slow link although other instances have it too.
BOOST_AUTO_TEST_CASE(PeersOfANewRevisionShareTheTransfers) {
  PeerTable peers = MakePeers();
  UpstreamTable upstreams = test::MakeTable(1);
  for (int index = 2; index < 6; ++index) {
    PeerDigest digest = Digest("10.0.0." + std::to_string(index), 1, 0);
    digest.failure_domain = "a";
    digest.published.revision = index == 2 ? 8 : 9;
    ApplyDigest(peers, upstreams, digest, kStart);
  }
  std::mt19937_64 random(1);
  std::map<std::string, int> taken;
  for (int draw = 0; draw < 300; ++draw) {
    ++taken[ChooseNewerPeer(peers, {0, 7}, random, kStart)->digest.address];
  }
  BOOST_TEST(taken.size() == 3U);
  BOOST_TEST(!taken.contains("10.0.0.2"));
  for (const auto& [address, count] : taken) {
    BOOST_TEST(count > 60);
  }
}

// Guards against a store that every instance of a large fleet calls, and against a
// fleet in which the last reader died and no instance replaced it.
BOOST_AUTO_TEST_CASE(AFewInstancesOfADomainReadTheStore) {
  constexpr int kInstances = 30;
  const auto readers_without = [](std::vector<int> dead) {
    std::vector<bool> reads(kInstances, true);
    // In each round every live instance receives who read in the round before.
    for (int round = 0; round < kInstances; ++round) {
      std::vector<bool> next(kInstances, false);
      for (int self = 0; self < kInstances; ++self) {
        PeerTable peers = MakePeers();
        peers.self_address = "10.0.0." + std::to_string(self);
        UpstreamTable upstreams;
        for (int other = 0; other < kInstances; ++other) {
          if (other == self || std::ranges::count(dead, other) > 0) {
            continue;
          }
          PeerDigest digest = Digest("10.0.0." + std::to_string(other), 1, 0);
          digest.failure_domain = "a";
          digest.reads_store = reads[other];
          ApplyDigest(peers, upstreams, digest, kStart);
        }
        next[self] = std::ranges::count(dead, self) == 0 && ShouldReadStore(peers, kStart);
      }
      reads = next;
    }
    std::vector<int> readers;
    for (int index = 0; index < kInstances; ++index) {
      if (reads[index]) {
        readers.push_back(index);
      }
    }
    return readers;
  };
  const std::vector<int> readers = readers_without({});
  BOOST_TEST(readers.size() == 1U);
  const std::vector<int> after_loss = readers_without(readers);
  BOOST_TEST(after_loss.size() == 1U);
  BOOST_TEST(std::ranges::count(after_loss, readers.front()) == 0);
}

// An announced instance gets digests, and is removed if it sends none.
BOOST_AUTO_TEST_CASE(AnnouncedInstancesGetDigestsUntilTheyExpire) {
  PeerTable peers = MakePeers();
  UpstreamTable upstreams = test::MakeTable(1);
  PeerDigest digest = Digest("10.0.0.2", 1, 0);
  digest.known_addresses = {"10.0.0.1", "10.0.0.7"};
  ApplyDigest(peers, upstreams, digest, kStart);
  std::mt19937_64 random(1);
  BOOST_TEST(std::ranges::count(DigestTargets(peers, false, random, kStart), "10.0.0.7") == 1);
  ExpirePeers(peers, upstreams, kStart + 11s);
  BOOST_TEST(peers.announced_addresses.empty());
}

PeerTable MakeDomain(std::size_t instances) {
  PeerTable peers = MakePeers();
  UpstreamTable upstreams;
  for (std::size_t index = 0; index < instances; ++index) {
    PeerDigest digest = Digest("10.0.1." + std::to_string(index), 1, 0);
    digest.failure_domain = "a";
    ApplyDigest(peers, upstreams, digest, kStart);
  }
  return peers;
}

// Guards against a store reader whose traffic grows with its failure domain: whole digests to 100
// instances took 899 kB/s.
BOOST_AUTO_TEST_CASE(AReaderOfALargeDomainSendsMostPeersBriefDigests) {
  std::mt19937_64 random(1);
  for (const std::size_t instances : {100, 200}) {
    const PeerTable peers = MakeDomain(instances);
    const std::vector<std::string> whole = DigestTargets(peers, true, random, kStart);
    BOOST_TEST(whole.size() == peers.settings.own_domain_targets);
    BOOST_TEST(BriefDigestTargets(peers, true, whole, kStart).size() == instances - whole.size());
    BOOST_TEST(BriefDigestTargets(peers, false, whole, kStart).empty());
  }
  const PeerTable small = MakeDomain(30);
  const std::vector<std::string> whole = DigestTargets(small, true, random, kStart);
  BOOST_TEST(whole.size() == 30U);
  BOOST_TEST(BriefDigestTargets(small, true, whole, kStart).empty());
}

// Guards against an instance that looks idle, because its last digest was a brief one, and against
// loads that a restarted instance no longer has.
BOOST_AUTO_TEST_CASE(ABriefDigestKeepsTheLoadsOfTheSameProcess) {
  PeerTable peers = MakePeers();
  UpstreamTable upstreams = test::MakeTable(1);
  const auto running = [&upstreams] {
    return EstimatedRunning(upstreams, *upstreams.rows.at("a0"), kStart);
  };
  ApplyDigest(peers, upstreams, Digest("10.0.0.2", 1, 4), kStart);
  PeerDigest brief = Digest("10.0.0.2", 2, 0);
  brief.is_brief = true;
  brief.loads.clear();
  ApplyDigest(peers, upstreams, brief, kStart);
  BOOST_TEST(running() == 4U);
  ApplyDigest(peers, upstreams, Digest("10.0.0.2", 3, 1), kStart);
  BOOST_TEST(running() == 1U);
  brief.incarnation = 2;
  ApplyDigest(peers, upstreams, brief, kStart);
  BOOST_TEST(running() == 0U);
}

}  // namespace
}  // namespace geraniumspread::dispatch
