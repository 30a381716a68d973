#include "dispatch/freshness.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "dispatch/peer_table.h"
#include "dispatch/published_state.h"

namespace geraniumspread::dispatch {
namespace {

using namespace std::chrono_literals;

constexpr TimePoint kStart{std::chrono::hours(1)};

std::int64_t Milliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

Freshness MakeFreshness(Duration bound) {
  Freshness freshness;
  freshness.settings.bound = bound;
  return freshness;
}

// Guards against an instance that trusts its copy without any confirmation.
BOOST_AUTO_TEST_CASE(WithoutAConfirmationEachInstanceQueriesTheStore) {
  BOOST_TEST(ShouldQueryStore(MakeFreshness(2s), 0, kStart));
  BOOST_TEST(ShouldQueryStore(MakeFreshness(2s), 400, kStart));
}

BOOST_AUTO_TEST_CASE(TheFirstInstanceInRankOrderQueriesFirst) {
  Freshness freshness = MakeFreshness(2s);
  RecordConfirmation(freshness, kStart);
  BOOST_TEST(!ShouldQueryStore(freshness, 0, kStart + 700ms));
  BOOST_TEST(ShouldQueryStore(freshness, 0, kStart + 701ms));
  BOOST_TEST(!ShouldQueryStore(freshness, 1, kStart + 760ms));
  BOOST_TEST(ShouldQueryStore(freshness, 1, kStart + 761ms));
  // The last of 52 instances of a failure domain waits six steps of 60 ms.
  BOOST_TEST(!ShouldQueryStore(freshness, 51, kStart + 1060ms));
  BOOST_TEST(ShouldQueryStore(freshness, 51, kStart + 1061ms));
}

BOOST_AUTO_TEST_CASE(AnOlderConfirmationChangesNothing) {
  Freshness freshness = MakeFreshness(2s);
  RecordConfirmation(freshness, kStart);
  RecordPeerConfirmation(freshness, 500ms, kStart + 100ms);
  BOOST_TEST((ConfirmationAge(freshness, kStart + 100ms) == 100ms));
  RecordPeerConfirmation(freshness, -1ms, kStart + 5s);
  BOOST_TEST((ConfirmationAge(freshness, kStart + 100ms) == 100ms));
}

// Guards against digests that were queued in the socket while the machine was
// suspended.
BOOST_AUTO_TEST_CASE(DigestsFromBeforeAStandstillConfirmNothing) {
  Freshness freshness = MakeFreshness(2s);
  RecordConfirmation(freshness, kStart);
  RecordStandstill(freshness, kStart + 5s);
  RecordPeerConfirmation(freshness, 0ms, kStart + 5s);
  BOOST_TEST(ShouldQueryStore(freshness, 0, kStart + 5s));
  RecordPeerConfirmation(freshness, 0ms, kStart + 6s);
  BOOST_TEST(!ShouldQueryStore(freshness, 0, kStart + 6s));
}

// Simulates a fleet with the functions of this module and of the peer table, over a
// minimal network and store. Time advances in steps of `kStep`. Whether to call the
// store is decided every 100 ms, as in the idle store client.
constexpr Duration kStep = 10ms;
// Time to transfer a compressed configuration of 60 KB over a link of 10 Mbit/s.
constexpr Duration kTransfer = 50ms;
constexpr Duration kStoreAnswer = 30ms;
constexpr Duration kBound = 3s;

enum class Access : std::uint8_t {
  kServed,
  // The store refuses the instance's calls at once.
  kRefused,
  // Calls get no response.
  kSilent,
};

struct Datagram {
  TimePoint arrives;
  std::size_t target = 0;
  PeerDigest digest;
  bool operator<(const Datagram& other) const { return this->arrives > other.arrives; }
};

struct FakeInstance {
  std::string address;
  PeerTable peers;
  UpstreamTable upstreams;
  Freshness freshness;
  std::uint64_t revision = 0;
  std::uint64_t sequence = 0;
  bool reads = true;
  bool reached = true;
  Access access = Access::kServed;
  TimePoint paused_until;
  // The call to the store in progress: its start, its end and its outcome.
  TimePoint call_started_at;
  std::optional<TimePoint> call_ends;
  bool call_fails = false;
  bool call_is_query = false;
  Duration call_wait{0};
  TimePoint next_call;
  std::uint32_t failures = 0;
  // The transfer from a peer in progress.
  std::optional<TimePoint> pull_ends;
  std::uint64_t pull_revision = 0;
  std::optional<TimePoint> pull_confirmed_at;
  // When the last of the queued transfers from this instance to others ends.
  TimePoint link_free;
  TimePoint next_digest;
  TimePoint in_force_at;
};

struct FakeFleet {
  std::vector<FakeInstance> instances;
  std::map<std::string, std::size_t> by_address;
  std::priority_queue<Datagram> datagrams;
  std::uint64_t store_revision = 1;
  std::mt19937_64 random;
  std::uint64_t store_calls = 0;
  double loss = 0.02;
};

FakeFleet MakeFleet(std::size_t count, std::size_t domains, std::uint64_t seed) {
  FakeFleet fleet;
  fleet.random.seed(seed);
  fleet.instances.resize(count);
  for (std::size_t index = 0; index < count; ++index) {
    FakeInstance& instance = fleet.instances[index];
    instance.address = "10." + std::to_string(index % domains) + ".0." + std::to_string(index);
    instance.peers.self_address = instance.address;
    instance.peers.self_domain = "zone-" + std::to_string(index % domains);
    instance.freshness.settings.bound = kBound;
    instance.next_digest = kStart + std::chrono::milliseconds(fleet.random() % 200);
    instance.revision = 1;
    fleet.by_address[instance.address] = index;
  }
  // All instances know each other, as they do after a few seconds of digests.
  for (FakeInstance& instance : fleet.instances) {
    for (const FakeInstance& other : fleet.instances) {
      PeerDigest digest;
      digest.incarnation = 1;
      digest.address = other.address;
      digest.failure_domain = other.peers.self_domain;
      digest.sequence = 1;
      digest.published.revision = 1;
      ApplyDigest(instance.peers, instance.upstreams, digest, kStart);
    }
    instance.sequence = 1;
  }
  return fleet;
}

void SendDigest(FakeFleet& fleet, FakeInstance& instance, TimePoint now) {
  PeerDigest digest;
  digest.incarnation = 1;
  digest.address = instance.address;
  digest.failure_domain = instance.peers.self_domain;
  digest.sequence = ++instance.sequence;
  digest.published.revision = instance.revision;
  digest.confirmation_age = ConfirmationAge(instance.freshness, now);
  digest.reads_store = instance.reads && instance.reached;
  std::uniform_real_distribution<double> chance(0, 1);
  // These digests carry no loads, so brief ones are the same.
  std::vector<std::string> targets =
      DigestTargets(instance.peers, instance.reads, fleet.random, now);
  std::ranges::copy(BriefDigestTargets(instance.peers, instance.reads, targets, now),
                    std::back_inserter(targets));
  for (const std::string& target : targets) {
    if (chance(fleet.random) >= fleet.loss) {
      fleet.datagrams.push({now + 2ms, fleet.by_address.at(target), digest});
    }
  }
}

void TakeRevision(FakeInstance& instance, std::uint64_t revision, TimePoint now) {
  if (revision > instance.revision) {
    instance.revision = revision;
    instance.in_force_at = now;
  }
}

void StartPull(FakeFleet& fleet, FakeInstance& instance, TimePoint now) {
  const Peer* ahead = ChooseNewerPeer(instance.peers, {0, instance.revision}, fleet.random, now);
  if (ahead == nullptr || instance.pull_ends || (instance.reads && instance.reached)) {
    return;
  }
  FakeInstance& holder = fleet.instances[fleet.by_address.at(ahead->digest.address)];
  holder.link_free = std::max(holder.link_free, now) + kTransfer;
  instance.pull_ends = holder.link_free;
  instance.pull_revision = holder.revision;
  const auto age = ConfirmationAge(holder.freshness, now);
  instance.pull_confirmed_at = age ? std::optional(now - *age) : std::nullopt;
}

void FinishPull(FakeInstance& instance, TimePoint now) {
  if (!instance.pull_ends || *instance.pull_ends > now) {
    return;
  }
  instance.pull_ends.reset();
  TakeRevision(instance, instance.pull_revision, now);
  if (instance.pull_confirmed_at && instance.revision == instance.pull_revision) {
    RecordConfirmation(instance.freshness, *instance.pull_confirmed_at);
  }
}

// Like the store client: one call at a time, with a backoff after failures.
void StartCall(FakeFleet& fleet, FakeInstance& instance, TimePoint now) {
  instance.reads = ShouldReadStore(instance.peers, now);
  const bool is_query =
      ShouldQueryStore(instance.freshness, StoreReaderRank(instance.peers, now), now);
  if (instance.call_ends || now < instance.next_call || (!is_query && !instance.reads)) {
    return;
  }
  ++fleet.store_calls;
  const FreshnessSettings& settings = instance.freshness.settings;
  instance.call_started_at = now;
  instance.call_is_query = is_query;
  instance.call_wait = is_query ? 1ms : WatchTimeout(settings);
  instance.call_fails = instance.access != Access::kServed;
  if (instance.access == Access::kRefused) {
    instance.call_ends = now + kStoreAnswer;
  } else if (instance.access == Access::kSilent) {
    instance.call_ends = now + instance.call_wait + (is_query ? QueryTimeout(settings) : 450ms);
  } else {
    instance.call_ends = now + instance.call_wait + kStoreAnswer;
  }
}

void FinishCall(FakeFleet& fleet, FakeInstance& instance, TimePoint now) {
  if (!instance.call_ends) {
    return;
  }
  // A watch ends at the first change.
  const bool is_changed = !instance.call_fails && fleet.store_revision > instance.revision;
  if (*instance.call_ends > now && !is_changed) {
    return;
  }
  instance.call_ends.reset();
  if (instance.call_fails) {
    instance.reached = ++instance.failures <= 1;
    const Duration longest =
        instance.call_is_query
            ? std::min<Duration>(500ms * (1U << std::min(instance.failures, 4U)), 2s)
            : 500ms;
    instance.next_call =
        instance.failures <= 1
            ? now
            : now + 150ms +
                  std::chrono::milliseconds(fleet.random() %
                                            static_cast<std::uint64_t>(longest / 1ms - 150));
    return;
  }
  instance.failures = 0;
  instance.reached = true;
  TakeRevision(instance, fleet.store_revision, now + kTransfer);
  RecordConfirmation(instance.freshness, is_changed
                                             ? instance.call_started_at
                                             : instance.call_started_at + instance.call_wait);
  if (is_changed) {
    instance.next_call = now + 250ms;
    SendDigest(fleet, instance, now + kTransfer);
  }
}

void DeliverDigests(FakeFleet& fleet, TimePoint now) {
  while (!fleet.datagrams.empty() && fleet.datagrams.top().arrives <= now) {
    const Datagram datagram = fleet.datagrams.top();
    fleet.datagrams.pop();
    FakeInstance& instance = fleet.instances[datagram.target];
    if (now < instance.paused_until) {
      continue;
    }
    const PeerDigest& digest = datagram.digest;
    if (IsNewDigest(instance.peers, digest) && digest.confirmation_age &&
        digest.published.revision <= instance.revision) {
      RecordPeerConfirmation(instance.freshness, *digest.confirmation_age, now);
    }
    ApplyDigest(instance.peers, instance.upstreams, digest, now);
    StartPull(fleet, instance, now);
  }
}

void Play(FakeFleet& fleet, TimePoint from, TimePoint to) {
  for (TimePoint now = from; now < to; now += kStep) {
    const bool looks = (now - kStart) / kStep % 10 == 0;
    DeliverDigests(fleet, now);
    for (FakeInstance& instance : fleet.instances) {
      if (now < instance.paused_until) {
        continue;
      }
      FinishPull(instance, now);
      FinishCall(fleet, instance, now);
      if (looks) {
        StartCall(fleet, instance, now);
      }
      if (now >= instance.next_digest) {
        instance.next_digest += 200ms;
        ExpirePeers(instance.peers, instance.upstreams, now);
        SendDigest(fleet, instance, now);
        StartPull(fleet, instance, now);
      }
    }
  }
}

// Returns the longest time from `published_at` until an instance that the store
// serves and that was never paused has the revision.
Duration LastInForce(const FakeFleet& fleet, TimePoint published_at) {
  Duration last{0};
  for (const FakeInstance& instance : fleet.instances) {
    if (instance.access == Access::kServed && instance.paused_until < kStart) {
      BOOST_TEST(instance.revision == fleet.store_revision);
      last = std::max(last, instance.in_force_at - published_at);
    }
  }
  return last;
}

struct FleetSize {
  std::size_t instances;
  std::size_t domains;
};
constexpr FleetSize kSizes[] = {{30, 3}, {89, 3}, {300, 5}, {410, 8}};

// Each run of the larger fleets takes seconds.
std::uint64_t SeedsOf(const FleetSize& size) {
  return size.instances < 100 ? 6 : 1;
}

// Publishes a change at the current simulated time. Returns the time until the last
// instance has it.
Duration Publish(FakeFleet& fleet, TimePoint at) {
  ++fleet.store_revision;
  Play(fleet, at, at + kBound + 1s);
  return LastInForce(fleet, at);
}

// Simulates a start without faults and one change. Returns the time until the last
// instance has it.
Duration PlayChange(FakeFleet& fleet, std::uint64_t seed) {
  constexpr Duration kSettle = 4s;
  const TimePoint published_at = kStart + kSettle + std::chrono::milliseconds(seed * 97 % 1000);
  Play(fleet, kStart, published_at);
  fleet.store_calls = 0;
  return Publish(fleet, published_at);
}

// Pattern: a fleet without faults. The bound holds and few instances call the store.
BOOST_AUTO_TEST_CASE(AChangeTakesEffectOnAllInstancesInTime) {
  for (const FleetSize& size : kSizes) {
    for (std::uint64_t seed = 1; seed <= SeedsOf(size); ++seed) {
      FakeFleet fleet = MakeFleet(size.instances, size.domains, seed);
      BOOST_TEST_CONTEXT(size.instances << " instances, seed " << seed) {
        BOOST_TEST(Milliseconds(PlayChange(fleet, seed)) < Milliseconds(kBound));
        // On average an instance makes at most one query per change. In addition, the
        // reader of each domain watches about once a second for 4 s.
        BOOST_TEST(fleet.store_calls <= size.instances + 4 * size.domains);
      }
    }
  }
}

// Pattern: the store rejects a third of the instances, among them readers. Their
// calls are refused or get no response.
BOOST_AUTO_TEST_CASE(TheBoundHoldsWhileTheStoreRejectsReaders) {
  for (const Access access : {Access::kRefused, Access::kSilent}) {
    for (const FleetSize& size : kSizes) {
      for (std::uint64_t seed = 1; seed <= SeedsOf(size); ++seed) {
        FakeFleet fleet = MakeFleet(size.instances, size.domains, seed);
        Play(fleet, kStart, kStart + 3s);
        for (FakeInstance& instance : fleet.instances) {
          // Readers are rejected more often than others.
          const bool is_hit = fleet.random() % 3 == 0 || (instance.reads && fleet.random() % 3 > 0);
          instance.access = is_hit ? access : Access::kServed;
        }
        const TimePoint published_at = kStart + 3s + std::chrono::milliseconds(seed * 130);
        Play(fleet, kStart + 3s, published_at);
        BOOST_TEST(Milliseconds(Publish(fleet, published_at)) < Milliseconds(kBound));
      }
    }
  }
}

// Pattern: every reader is paused and sends no digests, just before the change.
BOOST_AUTO_TEST_CASE(TheBoundHoldsWhenAllReadersStandStill) {
  for (const FleetSize& size : kSizes) {
    for (std::uint64_t seed = 1; seed <= SeedsOf(size); ++seed) {
      FakeFleet fleet = MakeFleet(size.instances, size.domains, seed);
      const TimePoint published_at = kStart + 3s + std::chrono::milliseconds(seed * 130);
      Play(fleet, kStart, published_at);
      for (FakeInstance& instance : fleet.instances) {
        instance.paused_until = instance.reads ? published_at + 10s : TimePoint{};
      }
      BOOST_TEST(Milliseconds(Publish(fleet, published_at)) < Milliseconds(kBound));
    }
  }
}

// Pattern: a rapid series of large configurations, one every 65 ms. Copies of peers
// that are behind confirm nothing, so partial progress doesn't delay a query.
BOOST_AUTO_TEST_CASE(TheBoundHoldsForTheLastOfManyRapidChanges) {
  for (const FleetSize& size : kSizes) {
    for (std::uint64_t seed = 1; seed <= SeedsOf(size); ++seed) {
      FakeFleet fleet = MakeFleet(size.instances, size.domains, seed);
      TimePoint now = kStart + 3s;
      Play(fleet, kStart, now);
      for (int version = 0; version < 47; ++version) {
        ++fleet.store_revision;
        Play(fleet, now, now + 70ms);
        now += 70ms;
      }
      BOOST_TEST(Milliseconds(Publish(fleet, now)) < Milliseconds(kBound));
    }
  }
}

// Pattern: a peer announces that its old copy is fresh. This keeps the instance from
// querying the store only until the copy of another peer contains the change.
BOOST_AUTO_TEST_CASE(AConfirmationOfAnOlderRevisionIsIgnoredByInstancesAhead) {
  FakeFleet fleet = MakeFleet(30, 3, 1);
  Play(fleet, kStart, kStart + 3s);
  FakeInstance& liar = fleet.instances.front();
  liar.access = Access::kSilent;
  ++fleet.store_revision;
  TimePoint now = kStart + 3s;
  for (int step = 0; step < 40; ++step, now += 100ms) {
    liar.freshness.confirmed_at = now;
    Play(fleet, now, now + 100ms);
  }
  BOOST_TEST((LastInForce(fleet, kStart + 3s) < kBound));
}

}  // namespace
}  // namespace geraniumspread::dispatch
