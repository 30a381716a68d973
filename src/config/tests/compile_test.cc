#include <algorithm>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "common/secure_bytes.h"
#include "config/compile.h"
#include "config/config_diff.h"
#include "config/manifest.h"
#include "config/tests/test_configurations.h"

namespace geraniumspread::config {
namespace {

constexpr std::size_t kDesignWorkspaces = 23'000;

std::vector<std::string_view> ShardViews(const CompiledConfiguration& compiled) {
  std::vector<std::string_view> views;
  views.reserve(compiled.shards.size());
  for (const CompiledShard& shard : compiled.shards) {
    views.emplace_back(shard.bytes);
  }
  return views;
}

ConfigErrorCode ManifestError(std::string_view bytes) {
  const auto manifest = ParseManifest(bytes);
  BOOST_REQUIRE(!manifest);
  return manifest.error().code;
}

std::string Changed(std::string text, std::string_view from, std::string_view to) {
  const std::size_t at = text.find(from);
  BOOST_REQUIRE(at != std::string::npos);
  return text.replace(at, from.size(), to);
}

// Guards against values that are lost or changed by compiling and parsing.
BOOST_AUTO_TEST_CASE(CompiledPartsAssembleToTheSameConfiguration) {
  const Configuration configuration = MakeConfiguration(7, kDesignWorkspaces);
  const CompiledConfiguration compiled = CompileOrThrow(configuration);
  const auto manifest = ParseManifest(compiled.manifest_bytes);
  BOOST_REQUIRE(manifest);
  const auto assembled = AssembleConfiguration(manifest.value(), ShardViews(compiled));
  BOOST_REQUIRE(assembled);
  BOOST_TEST((assembled.value() == configuration));
  BOOST_TEST(compiled.manifest_bytes == CompileOrThrow(configuration).manifest_bytes);
}

// Guards against a manifest that doesn't fit one control frame (64 KB) and shards
// above the limit of the configuration service.
BOOST_AUTO_TEST_CASE(PartsOfDesignSizeFitTheirLimits) {
  const auto compiled = CompileOrThrow(MakeConfiguration(1, kDesignWorkspaces));
  BOOST_TEST(compiled.manifest_bytes.size() < 48U * 1024);
  for (const CompiledShard& shard : compiled.shards) {
    BOOST_TEST(shard.bytes.size() <= kShardTargetBytes);
  }
}

// Guards against a change of one workspace that makes every router fetch all shards.
BOOST_AUTO_TEST_CASE(OneChangedWorkspaceChangesOneShard) {
  Configuration configuration = MakeConfiguration(1, kDesignWorkspaces);
  std::set<Digest> before;
  for (const CompiledShard& shard : CompileOrThrow(configuration).shards) {
    before.insert(shard.digest);
  }
  configuration.version = 2;
  configuration.workspaces[777].concurrency_limit = 25;
  const auto after = CompileOrThrow(configuration);
  const auto is_new = [&before](const CompiledShard& shard) {
    return !before.contains(shard.digest);
  };
  BOOST_TEST(std::ranges::count_if(after.shards, is_new) == 1);
  Workspace added = configuration.workspaces.front();
  added.name = "a-new-customer";
  configuration.workspaces.insert(configuration.workspaces.begin(), added);
  configuration.workspaces[778].concurrency_limit = 24;
  // The shard with the new workspace, or its two halves if it had to be split.
  BOOST_TEST(std::ranges::count_if(CompileOrThrow(configuration).shards, is_new) <= 2);
}

// Guards against routers that interpret the same bytes differently: bytes that the
// compiler wouldn't write are refused with a fixed error code.
BOOST_AUTO_TEST_CASE(NonCanonicalBytesAreRefused) {
  const std::string good = CompileOrThrow(MakeConfiguration(1, 3)).manifest_bytes;
  BOOST_TEST((ManifestError("[]") == ConfigErrorCode::kMalformed));
  BOOST_TEST((ManifestError(good + " ") == ConfigErrorCode::kNotCanonical));
  BOOST_TEST((ManifestError(Changed(good, "{\"format\":1", "{\"format\":2")) ==
              ConfigErrorCode::kUnsupportedFormat));
  BOOST_TEST((ManifestError(Changed(good, "\"version\":1,", "\"version\":1,\"more\":1,")) ==
              ConfigErrorCode::kNotCanonical));
  BOOST_TEST((ManifestError(Changed(good, "\"version\":1,", "\"version\":1.0,")) ==
              ConfigErrorCode::kMalformed));
  BOOST_TEST((ManifestError(Changed(good, "\"version\":1,", "\"version\":0,")) ==
              ConfigErrorCode::kInvalidValue));
  BOOST_TEST((ManifestError(Changed(good, "\"cold_limit\":2", "\"cold_limit\":99")) ==
              ConfigErrorCode::kInvalidValue));
  BOOST_TEST(
      (ManifestError(std::string(kMaxManifestBytes + 1, ' ')) == ConfigErrorCode::kTooLarge));
}

// Guards against shards that are swapped, truncated, or contain a workspace twice.
BOOST_AUTO_TEST_CASE(ShardsMustMatchTheManifest) {
  const Configuration configuration = MakeConfiguration(1, 2);
  const auto compiled = CompileOrThrow(configuration);
  Manifest manifest = ParseManifest(compiled.manifest_bytes).value();
  const std::string cut = compiled.shards[0].bytes.substr(1);
  const std::vector<std::string_view> cut_parts = {cut};
  BOOST_TEST(
      (AssembleConfiguration(manifest, cut_parts).error().code == ConfigErrorCode::kPartMismatch));
  manifest.shards[0].bytes += 1;
  const std::vector<std::string_view> whole = {compiled.shards[0].bytes};
  BOOST_TEST(
      (AssembleConfiguration(manifest, whole).error().code == ConfigErrorCode::kPartMismatch));
  manifest.shards[0].bytes -= 1;
  const std::string first = SerializeShard(std::span(configuration.workspaces).first(1));
  manifest.shards.push_back({Sha256Hex(first), first.size(), 1});
  const std::vector<std::string_view> twice = {compiled.shards[0].bytes, first};
  BOOST_TEST(
      (AssembleConfiguration(manifest, twice).error().code == ConfigErrorCode::kInvalidValue));
}

// Guards against changes and risks that aren't shown to operators.
BOOST_AUTO_TEST_CASE(DiffListsChangesAndRisks) {
  const Configuration before = MakeConfiguration(1, 3);
  Configuration after = before;
  BOOST_TEST(DiffConfigurations(before, after).empty());
  BOOST_TEST(FindRiskyChanges(before, after).empty());
  after.settings.return_ramp = std::chrono::minutes(1);
  after.failure_domains[0].in_service = false;
  after.failure_domains[1].in_service = false;
  after.pools.clear();
  after.workspaces[0].concurrency_limit = 11;
  after.workspaces[1].requests_per_second = 3.75;  // exactly half: not a risk
  after.workspaces.pop_back();
  const auto changes = DiffConfigurations(before, after);
  BOOST_REQUIRE(changes.size() == 7U);
  const ConfigChange ramp{
      EntryKind::kSetting, ChangeKind::kChanged, "return_ramp", "value", "30s", "1min"};
  BOOST_TEST((changes[0] == ramp));
  BOOST_TEST((changes[3].entry == EntryKind::kPool));
  BOOST_TEST((changes[3].change == ChangeKind::kRemoved));
  BOOST_TEST(changes[5].after == "3.75");
  const auto risks = FindRiskyChanges(before, after);
  BOOST_REQUIRE(risks.size() == 4U);
  BOOST_TEST(risks[0] == "no failure domain stays in service");
  BOOST_TEST(risks[1].find("2 workspace(s) may use its model") != std::string::npos);
  BOOST_TEST(risks[2].find("1 workspace(s) are removed") != std::string::npos);
  BOOST_TEST(risks[3].find("from 24 to 11") != std::string::npos);
}

}  // namespace
}  // namespace geraniumspread::config
