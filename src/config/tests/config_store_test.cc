#include <algorithm>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "common/secure_bytes.h"
#include "config/config_store.h"
#include "config/tests/test_configurations.h"

namespace geraniumspread::config {
namespace {

using std::chrono::seconds;

constexpr std::size_t kWorkspaces = 600;  // several shards

TimePoint At(seconds since_start) {
  return TimePoint(since_start);
}

ConfigStore MakeStore() {
  return MakeConfigStore({.startup_wait = seconds(10)}, At(seconds(0)));
}

OfferVerdict OfferAll(ConfigStore& store, const CompiledConfiguration& compiled) {
  OfferVerdict verdict = OfferManifest(store, compiled.manifest_bytes, At(seconds(1))).verdict;
  for (const CompiledShard& shard : compiled.shards) {
    if (verdict == OfferVerdict::kPending || verdict == OfferVerdict::kKnown) {
      verdict = OfferShard(store, shard.bytes, At(seconds(1))).verdict;
    }
  }
  return verdict;
}

CompiledConfiguration CompileVersion(std::uint64_t version, std::uint32_t limit = 24) {
  Configuration configuration = MakeConfiguration(version, kWorkspaces);
  configuration.workspaces[5].concurrency_limit = limit;
  return CompileOrThrow(configuration);
}

// Returns a valid manifest with an invalid shard.
CompiledConfiguration MakeInvalid(std::uint64_t version) {
  const CompiledConfiguration good = CompileVersion(version);
  Manifest manifest = ParseManifest(good.manifest_bytes).value();
  manifest.shards.resize(1);
  manifest.shards[0].workspaces += 1;
  CompiledConfiguration invalid;
  invalid.manifest_bytes = SerializeManifest(manifest);
  invalid.manifest_digest = Sha256Hex(invalid.manifest_bytes);
  invalid.shards = {good.shards[0]};
  return invalid;
}

// Guards against a version that comes into force before it is complete.
BOOST_AUTO_TEST_CASE(VersionComesIntoForceAtomically) {
  ConfigStore store = MakeStore();
  const auto compiled = CompileVersion(3);
  BOOST_REQUIRE(compiled.shards.size() > 1);
  const auto pending = OfferManifest(store, compiled.manifest_bytes, At(seconds(0)));
  BOOST_TEST((pending.verdict == OfferVerdict::kPending));
  BOOST_TEST(MissingShards(store).size() == compiled.shards.size());
  for (std::size_t index = compiled.shards.size() - 1; index > 0; --index) {
    const auto part = OfferShard(store, compiled.shards[index].bytes, At(seconds(0)));
    BOOST_TEST((part.verdict == OfferVerdict::kPending));
    BOOST_TEST(!ConfigurationInForce(store));
  }
  const auto last = OfferShard(store, compiled.shards[0].bytes, At(seconds(0)));
  BOOST_TEST((last.verdict == OfferVerdict::kAccepted));
  BOOST_TEST(last.version == 3U);
  BOOST_TEST(ConfigurationInForce(store)->workspaces.size() == kWorkspaces);
  BOOST_TEST(*FindObjectBytes(store, compiled.manifest_digest) == compiled.manifest_bytes);
  BOOST_TEST(*FindObjectBytes(store, compiled.shards[0].digest) == compiled.shards[0].bytes);
  BOOST_TEST(FindObjectBytes(store, std::string(64, '0')) == nullptr);
}

// Guards against control traffic proportional to the configuration instead of the
// change.
BOOST_AUTO_TEST_CASE(UnchangedShardsAreKept) {
  ConfigStore store = MakeStore();
  OfferAll(store, CompileVersion(3));
  const auto next = CompileVersion(4, 25);
  OfferManifest(store, next.manifest_bytes, At(seconds(1)));
  BOOST_TEST(MissingShards(store).size() == 1U);
  OfferAll(store, next);
  BOOST_TEST(store.in_force.version == 4U);
  // Only the shards of the version in force remain.
  BOOST_TEST(store.shards.size() == next.shards.size());
}

// Guards against a replayed older version that replaces the newer one.
BOOST_AUTO_TEST_CASE(LowerVersionIsIgnored) {
  ConfigStore store = MakeStore();
  OfferAll(store, CompileVersion(4));
  BOOST_TEST((OfferAll(store, CompileVersion(3, 99)) == OfferVerdict::kStale));
  BOOST_TEST(store.in_force.version == 4U);
  BOOST_TEST(store.alarms.empty());
}

// Guards against two configurations with the same version that replace each other.
BOOST_AUTO_TEST_CASE(SameVersionWithAnotherDigestRaisesAnAlarm) {
  ConfigStore store = MakeStore();
  const auto first = CompileVersion(4);
  const auto second = CompileVersion(4, 99);
  OfferAll(store, first);
  BOOST_TEST((OfferAll(store, second) == OfferVerdict::kConflict));
  BOOST_TEST(!RecordPeerVersion(store, {4, second.manifest_digest}, At(seconds(2))));
  BOOST_TEST(store.in_force.digest == first.manifest_digest);
  BOOST_REQUIRE(store.alarms.size() == 1U);
  BOOST_TEST((store.alarms[0].kind == AlarmKind::kVersionConflict));
  BOOST_TEST(store.alarms[0].count == 2U);
  OfferAll(store, CompileVersion(5));
  BOOST_TEST(store.alarms.empty());
}

// Guards against an invalid version that replaces the one in force, is fetched
// repeatedly, or gets another result if its shards arrive in another order.
BOOST_AUTO_TEST_CASE(InvalidVersionIsRejectedConsistentlyAndRemembered) {
  ConfigStore store = MakeStore();
  OfferAll(store, CompileVersion(4));
  const auto invalid = MakeInvalid(5);
  BOOST_TEST((OfferAll(store, invalid) == OfferVerdict::kRejected));
  const auto again = OfferManifest(store, invalid.manifest_bytes, At(seconds(3)));
  BOOST_TEST((again.verdict == OfferVerdict::kRejected));
  BOOST_TEST((again.error.code == ConfigErrorCode::kPartMismatch));
  BOOST_TEST(!RecordPeerVersion(store, {5, invalid.manifest_digest}, At(seconds(3))));
  BOOST_TEST(store.in_force.version == 4U);
  ConfigStore other = MakeStore();
  BOOST_TEST((OfferAll(other, invalid) == OfferVerdict::kRejected));
  BOOST_TEST((other.rejections == store.rejections));
  BOOST_TEST((OfferAll(store, CompileVersion(5)) == OfferVerdict::kAccepted));
}

// Guards against an incomplete higher version that blocks a lower one.
BOOST_AUTO_TEST_CASE(IncompleteHigherVersionDoesNotBlock) {
  ConfigStore store = MakeStore();
  OfferManifest(store, CompileVersion(9, 50).manifest_bytes, At(seconds(0)));
  BOOST_TEST((OfferAll(store, CompileVersion(8, 60)) == OfferVerdict::kAccepted));
  BOOST_TEST(store.pending_manifests.size() == 1U);
  for (std::uint64_t version = 10; version < 20; ++version) {
    OfferManifest(store, CompileVersion(version, 70).manifest_bytes, At(seconds(0)));
  }
  BOOST_TEST(store.pending_manifests.size() == kMaxPendingManifests);
  BOOST_TEST((OfferShard(store, "{}", At(seconds(0))).verdict == OfferVerdict::kUnreferenced));
}

// Guards against a restarted router that serves with a stale copy from the
// configuration service while its peers have a newer version.
BOOST_AUTO_TEST_CASE(StartupWaitsForTheVersionThatPeersReport) {
  ConfigStore store = MakeStore();
  const auto newer = CompileVersion(7, 30);
  OfferAll(store, CompileVersion(6));
  BOOST_TEST(!IsReadyToServe(store, At(seconds(1))));
  BOOST_TEST(RecordPeerVersion(store, {7, newer.manifest_digest}, At(seconds(1))));
  MarkPeersQueried(store);
  BOOST_TEST(!IsReadyToServe(store, At(seconds(9))));
  BOOST_TEST(MissingManifest(store) == newer.manifest_digest);
  ConfigStore late = store;
  BOOST_TEST(IsReadyToServe(late, At(seconds(10))));
  OfferAll(store, newer);
  BOOST_TEST(MissingManifest(store).empty());
  BOOST_TEST(IsReadyToServe(store, At(seconds(9))));
  // A report after the start is an ordinary change and doesn't stop serving.
  RecordPeerVersion(store, {8, std::string(64, 'a')}, At(seconds(9)));
  BOOST_TEST(IsReadyToServe(store, At(seconds(9))));
}

// Guards against sequences of replayed, stale, conflicting and invalid offers that make
// the version in force regress or put an invalid one in force.
BOOST_AUTO_TEST_CASE(VersionNeverRegresses) {
  std::vector<std::string> manifests;
  std::vector<std::string> shards;
  for (std::uint64_t version = 1; version <= 8; ++version) {
    for (const auto& compiled : {CompileVersion(version, 20 + static_cast<std::uint32_t>(version)),
                                 CompileVersion(version, 90), MakeInvalid(version)}) {
      manifests.push_back(compiled.manifest_bytes);
      for (const CompiledShard& shard : compiled.shards) {
        shards.push_back(shard.bytes);
      }
    }
  }
  std::ranges::sort(shards);
  shards.erase(std::ranges::unique(shards).begin(), shards.end());
  for (std::uint32_t seed = 1; seed <= 20; ++seed) {
    std::mt19937 random(seed);
    ConfigStore store = MakeStore();
    VersionDigest last;
    for (int step = 0; step < 400; ++step) {
      const bool is_manifest = random() % 4 == 0;
      const auto& pile = is_manifest ? manifests : shards;
      std::string bytes = pile[random() % pile.size()];
      const auto outcome = is_manifest ? OfferManifest(store, std::move(bytes), At(seconds(step)))
                                       : OfferShard(store, std::move(bytes), At(seconds(step)));
      const bool is_same = store.in_force == last;
      BOOST_REQUIRE(is_same || store.in_force.version > last.version);
      BOOST_REQUIRE(is_same == (outcome.verdict != OfferVerdict::kAccepted));
      BOOST_REQUIRE(!ConfigurationInForce(store) ||
                    ValidateConfiguration(*ConfigurationInForce(store)));
      BOOST_REQUIRE(store.pending_manifests.size() <= kMaxPendingManifests);
      last = store.in_force;
    }
    BOOST_TEST(last.version == 8U, "seed " << seed);
  }
}

}  // namespace
}  // namespace geraniumspread::config
