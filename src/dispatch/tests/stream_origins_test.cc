#include "dispatch/stream_origins.h"

#include <boost/test/unit_test.hpp>

#include "common/hash.h"
#include "dispatch/tests/test_tables.h"

// Upstreams of two software versions serve side by side, and what they write doesn't fit
// together.
namespace geraniumspread::dispatch {
namespace {

using namespace std::chrono_literals;
using test::kStart;
using test::Listing;

constexpr Duration kWindow = 5s;

UpstreamListing Versioned(const std::string& id, const std::string& version) {
  UpstreamListing listing = Listing(id, "a");
  listing.version = version;
  return listing;
}

std::optional<std::uint64_t> Only(const UpstreamTable& table, TimePoint now) {
  return OnlyVersion(table, "model", kWindow, kStart, now);
}

PeerTable Fleet(int instances, int self) {
  PeerTable peers;
  UpstreamTable upstreams;
  peers.self_address = "10.0.0." + std::to_string(self);
  peers.self_domain = "a";
  for (int index = 1; index <= instances; ++index) {
    PeerDigest digest;
    digest.address = "10.0.0." + std::to_string(index);
    digest.incarnation = 1;
    digest.sequence = 1;
    digest.failure_domain = "a";
    ApplyDigest(peers, upstreams, digest, kStart);
  }
  return peers;
}

BOOST_AUTO_TEST_CASE(AStreamKeepsTheVersionThatWasRecordedFirst) {
  StreamOrigins origins;
  RecordOrigin(origins, 7, 1, kStart);
  RecordOrigin(origins, 7, 2, kStart + 1s);
  BOOST_TEST((FindOrigin(origins, 7) == 1U));
  BOOST_TEST(!FindOrigin(origins, 8).has_value());
  ExpireOrigins(origins, kStart + 59s);
  BOOST_TEST(FindOrigin(origins, 7).has_value());
  ExpireOrigins(origins, kStart + 61s);
  BOOST_TEST(!FindOrigin(origins, 7).has_value());
}

// Guards against unbounded memory during a flood of streams.
BOOST_AUTO_TEST_CASE(OnlyTheNewestOriginsAreKept) {
  StreamOrigins origins;
  for (std::uint64_t stream = 0; stream < 30'000; ++stream) {
    RecordOrigin(origins, stream, 1, kStart);
  }
  BOOST_TEST(origins.versions.size() <= 20'000U);
  BOOST_TEST(origins.recorded.size() == origins.versions.size());
  BOOST_TEST(FindOrigin(origins, 29'999).has_value());
}

// Guards against an instance that asks other peers than those that store the origin: with a
// few peers stopped, most of the holders must be found by any instance.
BOOST_AUTO_TEST_CASE(AllInstancesFindTheHoldersOfAnOrigin) {
  const PeerTable sender = Fleet(100, 1);
  const PeerTable asker = Fleet(95, 2);
  int found = 0;
  for (std::uint64_t stream = 0; stream < 1000; ++stream) {
    const auto stored = OriginHolders(sender, stream, kStart);
    const auto asked = OriginHolders(asker, stream, kStart);
    BOOST_TEST_REQUIRE(stored.size() == 3U);
    found += std::ranges::find_first_of(stored, asked) != stored.end() ? 1 : 0;
  }
  BOOST_TEST(found > 990);
  BOOST_TEST(OriginHolders(Fleet(6, 1), 7, kStart).size() == 5U);
}

// Guards against a stream that continues at the new version after all upstreams of its own
// have left.
BOOST_AUTO_TEST_CASE(AVersionThatHasJustLeftIsNotTheOnlyOne) {
  UpstreamTable table;
  ApplyListing(table, Versioned("old", "v1"), kStart);
  BOOST_TEST((Only(table, kStart + 10s) == StableHash("v1")));
  ApplyListing(table, Versioned("new", "v2"), kStart + 10s);
  BOOST_TEST(!Only(table, kStart + 10s).has_value());
  RemoveUpstream(table, "old", kStart + 12s);
  BOOST_TEST(!Only(table, kStart + 16s).has_value());
  BOOST_TEST((Only(table, kStart + 18s) == StableHash("v2")));
}

// A process may list itself again with another version.
BOOST_AUTO_TEST_CASE(AChangedVersionOfAListingCounts) {
  UpstreamTable table;
  ApplyListing(table, Versioned("u", "v1"), kStart);
  ApplyListing(table, Versioned("u", "v2"), kStart + 10s);
  BOOST_TEST(!Only(table, kStart + 12s).has_value());
  BOOST_TEST((Only(table, kStart + 16s) == StableHash("v2")));
}

// Guards against a conclusion of an instance that has just started, or that was cut off:
// another version may have served before.
BOOST_AUTO_TEST_CASE(AnInstanceThatFollowsTheListingsForAShortTimeKnowsNoOnlyVersion) {
  UpstreamTable table;
  ApplyListing(table, Versioned("u", "v1"), kStart);
  BOOST_TEST(!Only(table, kStart + 4s).has_value());
  BOOST_TEST(Only(table, kStart + 6s).has_value());
}

BOOST_AUTO_TEST_CASE(AStreamContinuesOnlyAtItsVersion) {
  UpstreamTable table;
  ApplyListing(table, Versioned("a", "v1"), kStart);
  ApplyListing(table, Versioned("b", "v2"), kStart);
  const Prompt prompt = test::ChatPrompt(1, 1);
  SelectionRequest request = test::EngineRequest(prompt);
  request.version = StableHash("v2");
  const Selection selection = SelectUpstream(table, {}, request);
  BOOST_TEST_REQUIRE(selection.candidates.size() == 1U);
  BOOST_TEST(selection.candidates.front().row->listing.id == "b");
  RemoveUpstream(table, "b", kStart);
  BOOST_TEST((SelectUpstream(table, {}, request).failure == SelectionFailure::kNoneOfVersion));
}

}  // namespace
}  // namespace geraniumspread::dispatch
