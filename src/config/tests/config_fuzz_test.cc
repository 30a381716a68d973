#include <random>
#include <string>
#include <string_view>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "config/manifest.h"
#include "config/sheet.h"
#include "config/tests/test_configurations.h"

// Bounded fuzzing with fixed seeds. A build with GERANIUM_SANITIZE=ON also finds
// out-of-bounds reads.
namespace geraniumspread::config {
namespace {

constexpr std::uint32_t kSeed = 20'261;
constexpr int kRounds = 20'000;
// Tokens that parsers treat specially, inserted between random bytes.
constexpr std::string_view kPieces[] = {"\"",
                                        "\"\"",
                                        ",",
                                        ";",
                                        "\t",
                                        "\r",
                                        "\n",
                                        "\r\n",
                                        "\xef\xbb\xbf",
                                        "\xff",
                                        std::string_view("\0", 1),
                                        "[",
                                        "]",
                                        "{",
                                        "}",
                                        ":",
                                        "-1",
                                        "1e9",
                                        "0.5",
                                        "18446744073709551616",
                                        "null",
                                        "true",
                                        "\\u0000",
                                        "sep=",
                                        "kind",
                                        "*",
                                        "|",
                                        "GET /../",
                                        "georgia",
                                        "99999999999"};

class Mutator {
 public:
  explicit Mutator(std::uint32_t seed) : random(seed) {}

  std::string Mutate(std::string text) {
    for (std::size_t count = 1 + this->Pick(4); count > 0; --count) {
      this->MutateOnce(text);
    }
    return text;
  }

 private:
  std::size_t Pick(std::size_t bound) { return this->random() % bound; }

  void MutateOnce(std::string& text) {
    const std::size_t at = this->Pick(text.size() + 1);
    const std::size_t length = this->Pick(32);
    switch (this->Pick(6)) {
      case 0:
        text.insert(at, kPieces[this->Pick(std::size(kPieces))]);
        break;
      case 1:
        text.erase(at, length);
        break;
      case 2:
        text.insert(at, text.substr(this->Pick(text.size() + 1), length));
        break;
      case 3:
        text.resize(at);
        break;
      case 4:
        text.insert(at, std::string(this->Pick(12'000), static_cast<char>(this->random())));
        break;
      default:
        if (at < text.size()) {
          text[at] = static_cast<char>(this->random());
        }
    }
  }

  std::mt19937 random;
};

// Guards against crashes on damaged sheets, and against accepted sheets that routers
// would reject.
BOOST_AUTO_TEST_CASE(MutatedSheets) {
  const std::string sheet =
      "kind,name,concurrency_limit,requests_per_second,allowed_models,model,version,cold_limit,"
      "capacity,repeatable,timeout,concurrency_per_upstream,region,state,value\r\n"
      "failure_domain,georgia-a,,,,,,,,,,,georgia,in,\r\n"
      "pool,wording,,,,inscription-wording,1,2,16,,,,,,\r\n"
      "service,registry,,,,,,,,\"GET /*|POST /a\",10s,32,,,\r\n"
      "workspace,foundry,96,2.5,inscription-wording|other,,,,,,,,,,\r\n"
      "setting,lease_term,,,,,,,,,,,,,3s\r\n";
  Mutator mutator(kSeed);
  int accepted = 0;
  for (int round = 0; round < kRounds; ++round) {
    SheetReport report = ParseSheet(mutator.Mutate(sheet));
    BOOST_REQUIRE(report.configuration.has_value() == (report.error_count == 0));
    BOOST_REQUIRE(report.findings.size() <= kMaxFindings);
    if (report.configuration) {
      ++accepted;
      report.configuration->version = 1;
      BOOST_REQUIRE(ValidateConfiguration(*report.configuration));
    }
  }
  // Both outcomes must occur, or the mutations are too weak or too strong.
  BOOST_TEST(accepted > kRounds / 100);
  BOOST_TEST(accepted < kRounds);
}

// Guards against crashes on damaged manifests and shards, and against accepted bytes
// that another router could interpret differently.
BOOST_AUTO_TEST_CASE(MutatedManifestsAndShards) {
  const auto compiled = CompileOrThrow(MakeConfiguration(1, 4));
  Mutator mutator(kSeed);
  for (int round = 0; round < kRounds; ++round) {
    const std::string manifest_bytes = mutator.Mutate(compiled.manifest_bytes);
    if (const auto manifest = ParseManifest(manifest_bytes)) {
      BOOST_REQUIRE(SerializeManifest(manifest.value()) == manifest_bytes);
    }
    const std::string shard_bytes = mutator.Mutate(compiled.shards[0].bytes);
    if (const auto shard = ParseShard(shard_bytes)) {
      BOOST_REQUIRE(SerializeShard(shard.value()) == shard_bytes);
      Configuration configuration = MakeConfiguration(1, 1);
      configuration.workspaces = shard.value();
      BOOST_REQUIRE(ValidateConfiguration(configuration));
    }
  }
}

}  // namespace
}  // namespace geraniumspread::config
