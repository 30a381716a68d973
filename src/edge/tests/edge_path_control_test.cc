#include <array>
#include <boost/asio/steady_timer.hpp>
#include <boost/test/unit_test.hpp>

#include "edge/tests/path_fixture.h"

// Behaviour that the loss of all paths to upstreams, and the troubles of single upstreams, must not
// change.
namespace geraniumspread::edge {
namespace {

using namespace std::chrono_literals;
using test::PathFault;
using test::PathFixture;

constexpr int kTries = 20;
constexpr std::array<PathFault, 6> kCuts = {PathFault::kHang,        PathFault::kReset,
                                            PathFault::kResetOnOpen, PathFault::kRefuseNew,
                                            PathFault::kStandStill,  PathFault::kResetOnSend};

// Guards against an instance that takes one upstream that is down for a loss of its paths.
BOOST_AUTO_TEST_CASE(OneUpstreamDownIsServedAround) {
  for (const PathFault down : {PathFault::kHang, PathFault::kReset, PathFault::kRefuseNew}) {
    PathFixture fixture;
    fixture.paths[0]->SetFault(down);
    const PathFixture::Tries tries = fixture.Trickle(4s);
    BOOST_TEST(tries.served == tries.sent);
    BOOST_TEST(fixture.Runs() == static_cast<std::size_t>(tries.sent));
    BOOST_TEST(fixture.DirectRequests() == fixture.Runs());
    BOOST_TEST(fixture.BrokenOrders() == std::vector<std::string>(),
               boost::test_tools::per_element());
  }
}

// Guards against an instance that takes an upstream that stands still for a second for a loss
// of its paths.
BOOST_AUTO_TEST_CASE(OneSilentUpstreamIsServedAround) {
  PathFixture fixture;
  fixture.Trickle(500ms);
  fixture.paths[0]->SetFault(PathFault::kStandStill);
  boost::asio::steady_timer end(fixture.io, 1200ms);
  end.async_wait(
      [&](const boost::system::error_code&) { fixture.paths[0]->SetFault(PathFault::kNone); });
  const PathFixture::Tries tries = fixture.Trickle(3s);
  BOOST_TEST(tries.served == tries.sent);
  BOOST_TEST(fixture.DirectRequests() == fixture.Runs());
  BOOST_TEST(fixture.BrokenOrders() == std::vector<std::string>(),
             boost::test_tools::per_element());
}

// Guards against an instance that keeps using its peers after its paths are back.
BOOST_AUTO_TEST_CASE(RequestsGoDirectlyAfterTheCut) {
  for (const PathFault cut : kCuts) {
    PathFixture fixture;
    fixture.SetFault(cut);
    fixture.Trickle(3s);
    fixture.SetFault(PathFault::kNone);
    fixture.RunFor(2s);
    const std::size_t direct = fixture.DirectRequests();
    PathFixture::Tries tries;
    while (tries.sent < kTries) {
      fixture.Try(0, tries);
    }
    BOOST_TEST(tries.served == kTries);
    BOOST_TEST(fixture.DirectRequests() - direct == static_cast<std::size_t>(kTries));
    BOOST_TEST(fixture.BrokenOrders() == std::vector<std::string>(),
               boost::test_tools::per_element());
  }
}

// Guards against an order that is sent again, through a peer, after the cut hid its answer.
BOOST_AUTO_TEST_CASE(AnOrderUnderWayRunsOnce) {
  for (const PathFault cut : kCuts) {
    PathFixture fixture;
    for (const auto& upstream : fixture.upstreams) {
      upstream->SetReplies({test::Silence()});
    }
    boost::asio::steady_timer begin(fixture.io, 100ms);
    begin.async_wait([&](const boost::system::error_code&) { fixture.SetFault(cut); });
    PathFixture::Tries tries;
    fixture.Try(0, tries);
    BOOST_TEST(tries.served == 0);
    BOOST_TEST(fixture.Runs() == 1U);
    BOOST_TEST(fixture.BrokenOrders() == std::vector<std::string>(),
               boost::test_tools::per_element());
  }
}

// Guards against connections that live on and aren't used.
BOOST_AUTO_TEST_CASE(KeptConnectionsServeWhileNewOnesAreRefused) {
  PathFixture fixture;
  fixture.Trickle(500ms);
  fixture.SetFault(PathFault::kRefuseNew);
  const PathFixture::Tries tries = fixture.Trickle(4s);
  BOOST_TEST(tries.served == tries.sent);
  BOOST_TEST(fixture.BrokenOrders() == std::vector<std::string>(),
             boost::test_tools::per_element());
}

// Guards against a lost path that stays undetected because an upstream that no request uses is
// reached.
BOOST_AUTO_TEST_CASE(UnconfiguredUpstreamsHideNoLostPath) {
  PathFixture fixture;
  test::RawUpstream live(fixture.io, {test::Sealed("x")});
  // The ids follow those of the fixture.
  fixture.listings = fixture.upstreams.size();
  for (const std::string number : {"1", "2", "3", "4", "5"}) {
    fixture.listing_details = "domain-";
    fixture.listing_details.append(number).append(" 8 other-").append(number);
    fixture.AddListing(live);
  }
  fixture.Trickle(500ms);
  fixture.SetFault(PathFault::kReset);
  fixture.Trickle(2s);
  const PathFixture::Tries tries = fixture.Trickle(2s);
  BOOST_TEST(tries.served == tries.sent);
  BOOST_TEST(live.connections == 0U);
  BOOST_TEST(live.health_checks == 0U);
}

// Guards against requests that are relayed to an instance that knows no upstream for them.
BOOST_AUTO_TEST_CASE(UnconfiguredUpstreamsMakeNoRelay) {
  test::EdgeFixture fixture;
  fixture.AddInstance("127.0.0.2");
  fixture.listing_details = "a 8 other";
  const test::RawUpstream& upstream = fixture.AddUpstream({test::Sealed("x")});
  fixture.RunFor(1s);
  BOOST_TEST(fixture.Ask("/status").find(R"("reaches_upstreams":true)") == std::string::npos);
  BOOST_TEST(fixture.Ask("/status").find(R"("takes_new_work":true)") == std::string::npos);
  fixture.listing_details = "a 8 app";
  fixture.AddListing(upstream);
  fixture.RunFor(1s);
  BOOST_TEST(fixture.Ask("/status").find(R"("reaches_upstreams":true)") != std::string::npos);
  BOOST_TEST(fixture.Ask("/status").find(R"("takes_new_work":true)") != std::string::npos);
}

}  // namespace
}  // namespace geraniumspread::edge
