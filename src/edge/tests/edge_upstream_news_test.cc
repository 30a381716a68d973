#include <boost/json/parse.hpp>
#include <boost/test/unit_test.hpp>

#include "edge/tests/edge_fixture.h"

// Upstreams that another instance of the fleet has found gone.
namespace geraniumspread::edge {
namespace {

using namespace std::chrono_literals;
using test::EdgeFixture;
using test::RawUpstream;
using test::Reply;
using test::Sealed;

// Returns what the first instance knows about the upstream.
boost::json::value StatusOf(EdgeFixture& fixture, std::string_view id) {
  const boost::json::value status = boost::json::parse(fixture.Ask("/status"));
  for (const boost::json::value& row : status.at("upstreams").as_array()) {
    if (row.at("id").as_string() == id) {
      return row;
    }
  }
  return {};
}

std::int64_t AvoidedMs(EdgeFixture& fixture, std::string_view id) {
  return StatusOf(fixture, id).at("avoided_ms").as_int64();
}

// Guards against each instance finding an ended process with a request of its own.
BOOST_AUTO_TEST_CASE(ARefusedConnectIsToldToThePeers) {
  EdgeFixture fixture;
  fixture.AddInstance("127.0.0.2");
  fixture.AddInstance("127.0.0.3");
  fixture.RunFor(500ms);
  fixture.AddUpstream({Sealed("whole")}).crashes_on = "boom";
  RawUpstream& other = fixture.AddUpstream({Sealed("whole")});
  fixture.current = 2;
  fixture.Call("/order/1", {}, "boom").value();
  BOOST_TEST_REQUIRE(fixture.upstreams.front()->has_crashed);
  BOOST_TEST(AvoidedMs(fixture, "u1") == 0);
  fixture.current = 1;
  BOOST_TEST(fixture.Call("/order/1").value().status == 200);
  fixture.RunFor(300ms);
  BOOST_TEST(AvoidedMs(fixture, "u1") > 0);
  BOOST_TEST(AvoidedMs(fixture, "u2") == 0);
  fixture.current = 0;
  BOOST_TEST(fixture.Call("/order/1").value().status == 200);
  BOOST_TEST(other.requests.size() == 2U);
  const std::string metrics = fixture.Ask("/metrics");
  BOOST_TEST(metrics.find("geranium_upstreams_avoided_total{sign=\"refused\"} 1") !=
             std::string::npos);
}

// Guards against requests that each instance sends to a process that has taken an address over.
BOOST_AUTO_TEST_CASE(AnotherProcessAtTheAddressIsToldToThePeers) {
  EdgeFixture fixture;
  fixture.AddInstance("127.0.0.2");
  fixture.RunFor(500ms);
  fixture.AddUpstream(
      {Reply{"HTTP/1.1 421 Other\r\nX-Id: {id}\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"}});
  fixture.AddUpstream({Sealed("whole")});
  fixture.current = 1;
  BOOST_TEST(fixture.Call("/order/1").value().status == 200);
  fixture.RunFor(300ms);
  BOOST_TEST(AvoidedMs(fixture, "u1") > 3000);
}

// Guards against a pace that only the instance knows to which it was stated.
BOOST_AUTO_TEST_CASE(AStatedPaceIsToldToThePeers) {
  EdgeFixture fixture;
  fixture.AddInstance("127.0.0.2");
  fixture.RunFor(500ms);
  fixture.AddUpstream({test::With(Sealed("whole"), "X-Pace: 4")});
  fixture.current = 1;
  BOOST_TEST(fixture.Call("/order/1").value().status == 200);
  BOOST_TEST(StatusOf(fixture, "u1").at("pace").to_number<double>() == 1);
  fixture.RunFor(250ms);
  BOOST_TEST(StatusOf(fixture, "u1").at("pace").to_number<double>() > 1.1);
}

}  // namespace
}  // namespace geraniumspread::edge
