#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

#include "edge/tests/edge_fixture.h"

// Upstreams that say that they are brittle: they fail if they reject too many requests.
namespace geraniumspread::edge {
namespace {

using namespace std::chrono_literals;
using test::EdgeFixture;
using test::NotRun;
using test::RawUpstream;
using test::Sealed;
using test::With;
using transport::FindHeader;

namespace json = boost::json;

// Returns what the first instance believes of the only upstream.
json::value Belief(EdgeFixture& fixture) {
  const json::object status = json::parse(fixture.Ask("/status")).as_object();
  return status.at("upstreams").as_array().front().as_object().at("rejections_per_second");
}

// Guards against repeated rejections, which make a brittle upstream fail.
BOOST_AUTO_TEST_CASE(ABrittleUpstreamThatRejectsGetsNothingForAMoment) {
  EdgeFixture fixture;
  RawUpstream& brittle =
      fixture.AddUpstream({With(NotRun(), "X-Brittle: 4"), With(Sealed("whole"), "X-Brittle: 4")});
  for (int request = 0; request < 5; ++request) {
    const auto refused = fixture.Call("/order/1").value();
    BOOST_TEST(refused.status == 503);
    BOOST_TEST(FindHeader(refused.headers, "X-Ran") == "no");
    BOOST_TEST(!FindHeader(refused.headers, "Retry-After").empty());
  }
  BOOST_TEST(brittle.requests.size() == 1U);
  fixture.RunFor(200ms);
  BOOST_TEST(fixture.Call("/order/1").value().status == 200);
}

// Guards against instances that rush to a brittle upstream until it has told each of them.
BOOST_AUTO_TEST_CASE(TheInstancesTellEachOtherOfABrittleUpstream) {
  EdgeFixture fixture;
  fixture.AddInstance("127.0.0.2");
  fixture.RunFor(500ms);
  fixture.AddUpstream({With(Sealed("whole"), "X-Brittle: 4"), Sealed("whole")});
  BOOST_TEST(Belief(fixture).is_null());
  fixture.current = 1;
  BOOST_TEST(fixture.Call("/order/1").value().status == 200);
  fixture.RunFor(500ms);
  BOOST_TEST(Belief(fixture).as_double() == 4);
  BOOST_TEST(fixture.Call("/order/1").value().status == 200);
  fixture.RunFor(500ms);
  BOOST_TEST(Belief(fixture).is_null());
}

}  // namespace
}  // namespace geraniumspread::edge
