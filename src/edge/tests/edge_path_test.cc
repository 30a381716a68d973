#include <boost/test/unit_test.hpp>

#include "edge/tests/path_fixture.h"

// An instance loses its paths to all upstreams, while callers and the other instances reach it.
namespace geraniumspread::edge {
namespace {

using namespace std::chrono_literals;
using test::PathFault;
using test::PathFixture;

constexpr int kTries = 20;
// The rule applies from this time after the cut began.
constexpr auto kStableTime = 3s;

// The connections that are open end with their next answers.
void EndKeptConnections(PathFixture& fixture) {
  test::Reply last = test::With(test::Events(1, 3), "Connection: close");
  last.then = test::Reply::Then::kClose;
  for (const auto& upstream : fixture.upstreams) {
    upstream->SetReplies({last});
  }
}

// Guards against callers of a cut instance that are refused although the other instances serve.
void CheckServedWhileCut(PathFixture& fixture, PathFault cut) {
  const PathFixture::Tries before = fixture.Trickle(500ms);
  BOOST_TEST(before.served == before.sent);
  if (cut == PathFault::kRefuseNew) {
    EndKeptConnections(fixture);
  }
  fixture.SetFault(cut);
  fixture.Trickle(kStableTime);
  PathFixture::Tries at_cut;
  PathFixture::Tries at_other;
  for (int count = 0; count < kTries; ++count) {
    fixture.Try(0, at_cut);
    fixture.Try(1, at_other);
    fixture.RunFor(20ms);
  }
  BOOST_TEST(at_other.served == kTries);
  BOOST_TEST(3 * at_cut.served >= 2 * at_other.served,
             "served " << at_cut.served << " of " << at_cut.sent << ", the other instance "
                       << at_other.served);
  BOOST_TEST(fixture.BrokenOrders() == std::vector<std::string>(),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(CallersAreServedWhileConnectionsHang) {
  PathFixture fixture;
  CheckServedWhileCut(fixture, PathFault::kHang);
}

BOOST_AUTO_TEST_CASE(CallersAreServedWhileConnectionsAreReset) {
  PathFixture fixture;
  CheckServedWhileCut(fixture, PathFault::kReset);
}

BOOST_AUTO_TEST_CASE(CallersAreServedWhileNewConnectionsAreReset) {
  PathFixture fixture;
  CheckServedWhileCut(fixture, PathFault::kResetOnOpen);
}

// Guards against a check that only connects, which calls this path good: new connections stay open
// until a request is sent.
BOOST_AUTO_TEST_CASE(CallersAreServedWhileRequestsAreReset) {
  PathFixture fixture;
  CheckServedWhileCut(fixture, PathFault::kResetOnSend);
}

// The same for new connections that open and carry no bytes.
BOOST_AUTO_TEST_CASE(CallersAreServedWhileNewConnectionsAreSilent) {
  PathFixture fixture;
  CheckServedWhileCut(fixture, PathFault::kStandStill);
}

BOOST_AUTO_TEST_CASE(CallersAreServedWhileNewConnectionsAreRefused) {
  PathFixture fixture;
  CheckServedWhileCut(fixture, PathFault::kRefuseNew);
}

}  // namespace
}  // namespace geraniumspread::edge
