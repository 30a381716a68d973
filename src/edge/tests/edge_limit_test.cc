#include <boost/test/unit_test.hpp>

#include "edge/tests/edge_fixture.h"

// Upstreams that name a limit of requests per second for all instances together.
namespace geraniumspread::edge {
namespace {

using namespace std::chrono_literals;
using test::EdgeFixture;
using test::RawUpstream;
using test::Sealed;
using test::With;
using transport::FindHeader;

// The users' rule allows one and a half times the limit in any 4 s, and 5 requests more.
constexpr std::size_t kAllowedInWindow = 17;

// Sends requests to the instances in turn, for less than the window of the rule. Returns how
// many were answered.
std::size_t SendBurst(EdgeFixture& fixture, std::size_t requests) {
  std::size_t answered = 0;
  for (std::size_t request = 0; request < requests; ++request) {
    fixture.current = request % fixture.caller_endpoints.size();
    const auto answer = fixture.Call("/order/1").value();
    answered += answer.status == 200 ? 1 : 0;
  }
  return answered;
}

// Guards against more requests than the limit that the upstream names. What exceeds it goes
// elsewhere, and is refused with a time to return if there is no other upstream.
BOOST_AUTO_TEST_CASE(AnUpstreamGetsNoMoreThanTheLimitThatItNames) {
  EdgeFixture fixture;
  RawUpstream& limited = fixture.AddUpstream({With(Sealed("whole"), "X-Limit: 2")});
  BOOST_TEST(SendBurst(fixture, 60) < 60U);
  BOOST_TEST(limited.requests.size() <= kAllowedInWindow);
  const auto refused = fixture.Call("/order/1").value();
  BOOST_TEST(refused.status == 503);
  BOOST_TEST(FindHeader(refused.headers, "X-Ran") == "no");
  BOOST_TEST(!FindHeader(refused.headers, "Retry-After").empty());
  RawUpstream& other = fixture.AddUpstream({Sealed("whole")});
  BOOST_TEST(SendBurst(fixture, 60) == 60U);
  BOOST_TEST(other.requests.size() >= 40U);
  BOOST_TEST(limited.requests.size() <= kAllowedInWindow);
}

// The limit is one for all instances, also for those that the upstream has not told yet.
BOOST_AUTO_TEST_CASE(TheInstancesShareTheLimit) {
  EdgeFixture fixture;
  fixture.AddInstance("127.0.0.2");
  fixture.AddInstance("127.0.0.3");
  fixture.RunFor(500ms);
  RawUpstream& limited = fixture.AddUpstream({With(Sealed("whole"), "X-Limit: 2")});
  fixture.Call("/order/1").value();
  fixture.RunFor(500ms);
  SendBurst(fixture, 60);
  BOOST_TEST(limited.requests.size() <= kAllowedInWindow);
}

// Guards against a limit that outlives its reason: the upstream no longer names it.
BOOST_AUTO_TEST_CASE(TheLimitEndsWithTheFirstAnswerWithoutIt) {
  EdgeFixture fixture;
  RawUpstream& limited =
      fixture.AddUpstream({With(Sealed("whole"), "X-Limit: 2"), Sealed("whole")});
  BOOST_TEST(SendBurst(fixture, 1) == 1U);
  BOOST_TEST(fixture.Call("/order/1").value().status == 503);
  // The share of one instance: at least one request in this time.
  fixture.RunFor(4100ms);
  BOOST_TEST(SendBurst(fixture, 20) == 20U);
  BOOST_TEST(limited.requests.size() == 21U);
}

}  // namespace
}  // namespace geraniumspread::edge
