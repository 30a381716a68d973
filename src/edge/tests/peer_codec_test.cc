#include "edge/internal/peer_codec.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/test/unit_test.hpp>
#include <random>

namespace geraniumspread::edge::detail {
namespace {

using namespace std::chrono_literals;

dispatch::PeerDigest SampleDigest() {
  dispatch::PeerDigest digest;
  digest.instance = "edge-a-16";
  digest.incarnation = 0xfedcba9876543210U;
  digest.sequence = 12;
  digest.address = "10.1.0.16";
  digest.failure_domain = "zone-a";
  digest.leaving = true;
  digest.published.revision = 77;
  digest.confirmation_age = 340ms;
  digest.reads_store = true;
  digest.reaches_upstreams = true;
  digest.is_brief = true;
  digest.loads = {{0xfedcba98U, 3, 9000}, {5, 1, 0}};
  digest.reports = {{0x76543210U, 17, 120ms}, {6, 0, 0ms}};
  digest.known_addresses = {"10.1.0.17", "10.2.0.1"};
  return digest;
}

BOOST_AUTO_TEST_CASE(DigestRoundTrip) {
  const dispatch::PeerDigest sent = SampleDigest();
  const dispatch::PeerDigest digest =
      DecodeDigest(EncodeDigest(sent)).value_or(dispatch::PeerDigest{});
  BOOST_TEST(digest.instance == sent.instance);
  BOOST_TEST(digest.incarnation == sent.incarnation);
  BOOST_TEST(digest.sequence == sent.sequence);
  BOOST_TEST(digest.address == sent.address);
  BOOST_TEST(digest.failure_domain == sent.failure_domain);
  BOOST_TEST(digest.leaving);
  BOOST_TEST(digest.reads_store);
  BOOST_TEST(digest.reaches_upstreams);
  BOOST_TEST(digest.is_brief);
  BOOST_TEST(digest.published.revision == 77U);
  BOOST_TEST((digest.confirmation_age == 340ms));
  BOOST_TEST_REQUIRE(digest.loads.size() == 2U);
  BOOST_TEST(digest.loads.front().upstream_key == 0xfedcba98U);
  BOOST_TEST(digest.loads.front().pending_prefill_tokens == 9000U);
  BOOST_TEST_REQUIRE(digest.reports.size() == 2U);
  // Reports are sorted by age, the newest first.
  BOOST_TEST(digest.reports.back().upstream_key == 0x76543210U);
  BOOST_TEST(digest.reports.back().requests == 17U);
  BOOST_TEST((digest.reports.back().age == 120ms));
  BOOST_TEST(digest.known_addresses == sent.known_addresses, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(DigestRoundTripWithoutConfirmation) {
  dispatch::PeerDigest digest = SampleDigest();
  digest.confirmation_age.reset();
  const dispatch::PeerDigest back = DecodeDigest(EncodeDigest(digest)).value_or(SampleDigest());
  BOOST_TEST(!back.confirmation_age.has_value());
}

// At the size that the system is designed for, ten digests every 200 ms must stay within
// 8 KB/s.
BOOST_AUTO_TEST_CASE(ADigestIsSmall) {
  constexpr std::size_t kDigestsPerSecond = 50;
  dispatch::PeerDigest digest = SampleDigest();
  digest.loads.assign(5, {0xfedcba98U, 3, 1500});
  digest.reports.assign(3, {0xfedcba98U, 3, 350ms});
  digest.known_addresses.assign(4, "10.128.0.116");
  BOOST_TEST(EncodeDigest(digest).size() * kDigestsPerSecond < 9000U);
  // Under any load, a digest fits one packet and carries the largest loads.
  digest.reports.assign(2900, {0xfedcba98U, 0xffffffffU, 599ms});
  digest.loads.assign(2900, {0xfedcba98U, 1, 0xffffffffU});
  digest.loads.back().running = 90;
  const dispatch::PeerDigest cut =
      DecodeDigest(EncodeDigest(digest)).value_or(dispatch::PeerDigest{});
  const auto largest = std::ranges::find(cut.loads, 90U, &dispatch::UpstreamLoad::running);
  BOOST_TEST((largest != cut.loads.end()));
}

// Changes up to four bytes and cuts off the end of every third message.
std::string Damaged(std::string bytes, std::mt19937_64& random) {
  for (std::uint64_t change = random() % 4 + 1; change > 0; --change) {
    bytes[random() % bytes.size()] = static_cast<char>(random());
  }
  bytes.resize(random() % 3 == 0 ? random() % bytes.size() : bytes.size());
  return bytes;
}

// Guards against a process that crashes on a malformed message.
BOOST_AUTO_TEST_CASE(MalformedDigestsAreDropped) {
  BOOST_TEST(!DecodeDigest("").has_value());
  BOOST_TEST(!DecodeDigest("{}").has_value());
  // Arrays nested as deeply as a packet allows, and deeper.
  BOOST_TEST(!DecodeDigest(std::string(1400, '\x81')).has_value());
  BOOST_TEST(!DecodeDigest(std::string(60'000, '\x81')).has_value());
  const std::string good = EncodeDigest(SampleDigest());
  std::mt19937_64 random(7);
  for (int round = 0; round < 20'000; ++round) {
    const std::string bytes = Damaged(good, random);
    const dispatch::PeerDigest digest = DecodeDigest(bytes).value_or(dispatch::PeerDigest{});
    BOOST_TEST_REQUIRE((digest.confirmation_age.value_or(0ms) <= 1h));
  }
}

std::vector<dispatch::CrashEvidence> SampleEvidence() {
  dispatch::CrashEvidence evidence{0xfab0ad8b3e5cULL};
  evidence.crashes = {{7, 1500ms}, {8, 20ms}};
  evidence.has_begun = true;
  evidence.depth = 3;
  evidence.answer_age = 90s;
  evidence.quarantines = 2;
  evidence.quarantine_age = 10min;
  return {evidence, dispatch::CrashEvidence{5}};
}

BOOST_AUTO_TEST_CASE(CrashEvidenceIsReadBack) {
  const auto read = DecodeCrashEvidence(EncodeCrashEvidence(SampleEvidence()))
                        .value_or(std::vector<dispatch::CrashEvidence>{});
  BOOST_REQUIRE(read.size() == 2U);
  const dispatch::CrashEvidence& first = read.front();
  BOOST_TEST(first.trait == 0xfab0ad8b3e5cULL);
  BOOST_REQUIRE(first.crashes.size() == 2U);
  BOOST_TEST(first.crashes.front().process == 7U);
  BOOST_TEST((first.crashes.front().age == 1500ms));
  BOOST_TEST(first.has_begun);
  BOOST_TEST(first.depth == 3U);
  BOOST_TEST((first.answer_age == 90s));
  BOOST_TEST(first.quarantines == 2U);
  BOOST_TEST((first.quarantine_age == 10min));
  BOOST_TEST(!read.back().answer_age.has_value());
}

// Instances of an earlier version know only digests, which are unchanged.
BOOST_AUTO_TEST_CASE(DigestsAndCrashEvidenceAreToldApart) {
  BOOST_TEST(!DecodeDigest(EncodeCrashEvidence(SampleEvidence())).has_value());
  BOOST_TEST(!DecodeCrashEvidence(EncodeDigest(SampleDigest())).has_value());
}

// Guards against a process that ends because of one malformed datagram.
BOOST_AUTO_TEST_CASE(MalformedCrashEvidenceIsDropped) {
  const std::string good = EncodeCrashEvidence(SampleEvidence());
  std::mt19937_64 random(7);
  for (int round = 0; round < 20'000; ++round) {
    const std::string bytes = Damaged(good, random);
    for (const auto& evidence :
         DecodeCrashEvidence(bytes).value_or(std::vector<dispatch::CrashEvidence>{})) {
      BOOST_TEST_REQUIRE((evidence.quarantine_age <= 24h));
    }
  }
}

BOOST_AUTO_TEST_CASE(LimitNewsIsReadBack) {
  const std::string bytes = EncodeLimitNews({{7, 2.5, 40ms}, {8, std::nullopt, 90s}});
  const auto read = DecodeLimitNews(bytes).value_or(std::vector<dispatch::LimitNews>{});
  BOOST_REQUIRE(read.size() == 2U);
  BOOST_TEST(read.front().upstream_key == 7U);
  BOOST_TEST(read.front().requests_per_second.value_or(0) == 2.5);
  BOOST_TEST((read.front().age == 40ms));
  BOOST_TEST(!read.back().requests_per_second.has_value());
  BOOST_TEST((read.back().age == 90s));
  BOOST_TEST(!DecodeDigest(bytes).has_value());
  BOOST_TEST(!DecodeCrashEvidence(bytes).has_value());
  BOOST_TEST(!DecodeLimitNews(EncodeCrashEvidence(SampleEvidence())).has_value());
}

BOOST_AUTO_TEST_CASE(BrittleNewsIsReadBack) {
  const std::string bytes = EncodeBrittleNews(
      {{7, 2.5, 40ms, 30ms, 3}, {8, std::nullopt, 90s, std::nullopt, std::nullopt}, {9}});
  const auto read = DecodeBrittleNews(bytes).value_or(std::vector<dispatch::BrittleNews>{});
  BOOST_REQUIRE(read.size() == 3U);
  BOOST_TEST(read[0].upstream_key == 7U);
  BOOST_TEST(read[0].rejections_per_second.value_or(0) == 2.5);
  BOOST_TEST((read[0].age == 40ms));
  BOOST_TEST((read[0].rejection_age == 30ms));
  BOOST_TEST(read[0].running.value_or(0) == 3U);
  BOOST_TEST(!read[1].rejections_per_second.has_value());
  BOOST_TEST((read[1].age == 90s));
  BOOST_TEST(!read[1].rejection_age.has_value());
  BOOST_TEST(!read[1].running.has_value());
  BOOST_TEST(!read[2].age.has_value());
  BOOST_TEST(!DecodeDigest(bytes).has_value());
  BOOST_TEST(!DecodeLimitNews(bytes).has_value());
  BOOST_TEST(!DecodeBrittleNews(EncodeLimitNews({})).has_value());
}

std::vector<dispatch::UpstreamNews> SampleUpstreamNews() {
  return {{7, 0xfedcba98U, 2.5, 40ms, 30ms, true},
          {8, 1, std::nullopt, 0ms, 900ms, false},
          {9, 2, 3, 0ms, std::nullopt, false, true}};
}

BOOST_AUTO_TEST_CASE(UpstreamNewsIsReadBack) {
  const std::string bytes = EncodeUpstreamNews(SampleUpstreamNews());
  const auto read = DecodeUpstreamNews(bytes).value_or(std::vector<dispatch::UpstreamNews>{});
  BOOST_REQUIRE(read.size() == 3U);
  BOOST_TEST(read[0].upstream_key == 7U);
  BOOST_TEST(read[0].process == 0xfedcba98U);
  BOOST_TEST(read[0].pace.value_or(0) == 2.5);
  BOOST_TEST((read[0].pace_age == 40ms));
  BOOST_TEST((read[0].ended_age == 30ms));
  BOOST_TEST(read[0].is_replaced);
  BOOST_TEST(!read[0].is_measured);
  BOOST_TEST(read[2].is_measured);
  BOOST_TEST(!read[2].is_replaced);
  BOOST_TEST(!read[1].pace.has_value());
  BOOST_TEST((read[1].ended_age == 900ms));
  BOOST_TEST(!read[1].is_replaced);
  BOOST_TEST(!read[2].ended_age.has_value());
  // Other builds drop the datagram.
  BOOST_TEST(!DecodeDigest(bytes).has_value());
  BOOST_TEST(!DecodeBrittleNews(bytes).has_value());
  BOOST_TEST(!DecodeUpstreamNews(EncodeBrittleNews({})).has_value());
}

// Guards against a datagram above one packet.
BOOST_AUTO_TEST_CASE(UpstreamNewsIsSmall) {
  const std::vector<dispatch::UpstreamNews> most(32,
                                                 {0xffffffffU, 0xffffffffU, 99.0, 1s, 1s, true});
  BOOST_TEST(EncodeUpstreamNews(most).size() <= 32U * 21U + 15U);
}

// Guards against a message that ends the process, and against values that no sender has.
BOOST_AUTO_TEST_CASE(MalformedUpstreamNewsIsDropped) {
  const std::string good = EncodeUpstreamNews(SampleUpstreamNews());
  std::mt19937_64 random(7);
  for (int round = 0; round < 20'000; ++round) {
    const std::string bytes = Damaged(good, random);
    for (const auto& news :
         DecodeUpstreamNews(bytes).value_or(std::vector<dispatch::UpstreamNews>{})) {
      BOOST_TEST_REQUIRE((news.pace_age <= 24h && news.ended_age.value_or(0ms) <= 24h));
      BOOST_TEST_REQUIRE((news.pace.value_or(1) > 0 && news.pace.value_or(1) <= 100));
    }
  }
}

// Guards against a message that ends the process, and against ages that overflow.
BOOST_AUTO_TEST_CASE(MalformedBrittleNewsIsDropped) {
  const std::string good = EncodeBrittleNews(
      {{7, 2.5, 40ms, 30ms, 3}, {8, std::nullopt, 90s, std::nullopt, std::nullopt}});
  std::mt19937_64 random(7);
  for (int round = 0; round < 20'000; ++round) {
    std::string bytes = good;
    bytes[random() % bytes.size()] = static_cast<char>(random());
    bytes.resize(random() % 3 == 0 ? random() % bytes.size() : bytes.size());
    for (const auto& news :
         DecodeBrittleNews(bytes).value_or(std::vector<dispatch::BrittleNews>{})) {
      BOOST_TEST_REQUIRE((news.age.value_or(0ms) <= 24h));
      BOOST_TEST_REQUIRE((news.rejection_age.value_or(0ms) <= 24h));
    }
  }
}

BOOST_AUTO_TEST_CASE(OriginsOfStreamsAreReadBack) {
  const std::vector<StreamOrigin> sent = {{1ULL << 60U, 7}, {2, 3}};
  const std::string bytes = EncodeOrigins(sent);
  BOOST_TEST((DecodeOrigins(bytes).value_or(std::vector<StreamOrigin>{}) == sent));
  BOOST_TEST(!DecodeDigest(bytes).has_value());
  BOOST_TEST(!DecodeLimitNews(bytes).has_value());
  BOOST_TEST(!DecodeOrigins(EncodeLimitNews({})).has_value());
}

// Guards against a rate that is not a finite number, and against a process that ends.
BOOST_AUTO_TEST_CASE(MalformedLimitNewsIsDropped) {
  BOOST_TEST(DecodeLimitNews(EncodeLimitNews({{7, 1e300, 0ms}})).has_value());
  const std::string good = EncodeLimitNews({{7, 2.5, 40ms}, {8, std::nullopt, 90s}});
  std::mt19937_64 random(7);
  for (int round = 0; round < 20'000; ++round) {
    std::string bytes = good;
    bytes[random() % bytes.size()] = static_cast<char>(random());
    bytes.resize(random() % 3 == 0 ? random() % bytes.size() : bytes.size());
    for (const auto& news : DecodeLimitNews(bytes).value_or(std::vector<dispatch::LimitNews>{})) {
      BOOST_TEST_REQUIRE((news.age <= 24h));
    }
  }
}

StateTransfer SampleTransfer(std::size_t value_bytes) {
  StateTransfer transfer;
  transfer.position = {3, 9};
  transfer.is_complete = true;
  transfer.confirmation_age = 12ms;
  transfer.items = {{"config", std::string(value_bytes, '"'), 9, false}, {"gone", {}, 8, true}};
  return transfer;
}

// Guards against positions of different eras that are compared by their revisions. Builds that
// know no eras read the flags below and send an era of 0.
BOOST_AUTO_TEST_CASE(ADigestCarriesTheEraOfTheStore) {
  dispatch::PeerDigest sent = SampleDigest();
  sent.published = {7, 30};
  sent.retained_fingerprint = 200;
  const auto digest = DecodeDigest(EncodeDigest(sent)).value_or(dispatch::PeerDigest{});
  BOOST_TEST((digest.published == dispatch::StorePosition{7, 30}));
  BOOST_TEST(digest.retained_fingerprint == 200U);
  BOOST_TEST(digest.leaving == sent.leaving);
  BOOST_TEST(digest.reads_store == sent.reads_store);
}

// Builds that don't know retained items take the items in effect.
BOOST_AUTO_TEST_CASE(RetainedItemsAreSeparatedFromThoseOfTheStore) {
  StateTransfer sent = SampleTransfer(10);
  sent.items = {{"config", "new", 5}, {"evacuated", "", 9}};
  sent.retained = {{.key = "config",
                    .origin = {2, 30},
                    .restored = dispatch::PublishedItem{"config", "old", 5},
                    .age = 4s},
                   {.key = "evacuated", .origin = {2, 31}, .age = 4s},
                   {.key = "left",
                    .origin = {2, 32},
                    .restored = dispatch::PublishedItem{"left", "ready", 6},
                    .age = 4s}};
  const StateTransfer transfer = DecodeTransfer(EncodeTransfer(sent)).value_or(StateTransfer{});
  BOOST_TEST_REQUIRE(transfer.items.size() == 2U);
  BOOST_TEST(std::ranges::count(transfer.items, "old", &dispatch::PublishedItem::value) == 1);
  BOOST_TEST(std::ranges::count(transfer.items, "ready", &dispatch::PublishedItem::value) == 1);
  BOOST_TEST_REQUIRE(transfer.retained.size() == 3U);
  BOOST_TEST(transfer.retained[0].value.value_or("") == "new");
  BOOST_TEST((transfer.retained[0].origin == dispatch::StorePosition{2, 30}));
  BOOST_TEST((transfer.retained[0].age == 4s));
  BOOST_TEST(transfer.retained[1].value.has_value());
  BOOST_TEST(!transfer.retained[2].value.has_value());
}

// Values that other programs wrote and that aren't UTF-8.
const std::vector<std::string> kBinaryValues = {"\x80", "\xff\xfe", "caf\xe9",
                                                "{\"zone\":\"\xfc\"}", std::string("\0\xc3", 2)};

// Guards against a copy that fails for all items because of one value.
BOOST_AUTO_TEST_CASE(ValuesThatAreNotUtf8AreCopied) {
  for (const std::string& value : kBinaryValues) {
    StateTransfer sent = SampleTransfer(10);
    sent.items.push_back({"odd", value, 7, false});
    sent.items.push_back({"kept", "old", 5, false});
    sent.retained = {{.key = "kept",
                      .origin = {2, 30},
                      .restored = dispatch::PublishedItem{"kept", value, 5},
                      .age = 4s}};
    const StateTransfer transfer = DecodeTransfer(EncodeTransfer(sent)).value_or(StateTransfer{});
    BOOST_TEST_REQUIRE(transfer.items.size() == 4U);
    BOOST_TEST(std::ranges::count(transfer.items, value, &dispatch::PublishedItem::value) == 2);
    BOOST_TEST(transfer.items.front().value == sent.items.front().value);
  }
}

// Earlier builds parse strictly and read the first four elements of a row.
BOOST_AUTO_TEST_CASE(EarlierBuildsReadACopyWithValuesThatAreNotUtf8) {
  for (const std::string& value : kBinaryValues) {
    StateTransfer sent = SampleTransfer(10);
    sent.items.push_back({"odd", value, 7, false});
    const auto read = boost::json::parse(EncodeTransfer(sent));
    const boost::json::array& row = read.at("items").as_array().back().as_array();
    BOOST_TEST(row.at(0).as_string() == "odd");
    BOOST_TEST(row.at(1).as_string().empty());
    BOOST_TEST(row.at(2).to_number<int>() == 7);
    BOOST_TEST(!row.at(3).as_bool());
  }
}

BOOST_AUTO_TEST_CASE(ACopyOfAnEarlierBuildIsRead) {
  for (const std::string& value : {kBinaryValues[0], kBinaryValues[1], kBinaryValues[2]}) {
    const std::string sent =
        R"({"revision":9,"complete":true,"confirmation_age_ms":null,"items":[["odd",")" + value +
        R"(",7,false],["config","text",9,false]]})";
    const StateTransfer transfer = DecodeTransfer(sent).value_or(StateTransfer{});
    BOOST_TEST_REQUIRE(transfer.items.size() == 2U);
    BOOST_TEST(transfer.items.front().value == value);
    BOOST_TEST(transfer.items.back().value == "text");
  }
}

// A configuration with many routes must fit a slow link.
BOOST_AUTO_TEST_CASE(LargeTransfersAreCompressed) {
  for (const std::size_t size : {10U, 500'000U}) {
    const std::string bytes = EncodeTransfer(SampleTransfer(size));
    const StateTransfer transfer = DecodeTransfer(bytes).value_or(StateTransfer{});
    BOOST_TEST(transfer.is_complete);
    BOOST_TEST_REQUIRE(transfer.items.size() == 2U);
    BOOST_TEST(transfer.items.front().value.size() == size);
    BOOST_TEST(transfer.items.back().removed);
    BOOST_TEST((transfer.confirmation_age == 12ms));
    BOOST_TEST(bytes.size() < 50'000U);
  }
}

// Guards against a small transfer that decompresses to more than fits in memory.
BOOST_AUTO_TEST_CASE(ATransferThatDecompressesTooLargeIsRejected) {
  BOOST_TEST(!DecodeTransfer(EncodeTransfer(SampleTransfer(20U << 20U))).has_value());
}

BOOST_AUTO_TEST_CASE(DamagedTransfersAreRejected) {
  const std::string good = EncodeTransfer(SampleTransfer(5'000));
  std::mt19937_64 random(7);
  for (int round = 0; round < 2'000; ++round) {
    std::string bytes = good;
    bytes[random() % bytes.size()] = static_cast<char>(random());
    bytes.resize(random() % 2 == 0 ? random() % bytes.size() : bytes.size());
    DecodeTransfer(bytes);
  }
  BOOST_TEST(!DecodeTransfer(good.substr(0, good.size() - 3)).has_value());
}

}  // namespace
}  // namespace geraniumspread::edge::detail
