#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "edge/tests/edge_fixture.h"

// Requests that crash the upstream that runs them.
namespace geraniumspread::edge {
namespace {

using namespace std::chrono_literals;
using test::EdgeFixture;
using test::RawUpstream;
using test::Sealed;
using transport::FindHeader;

// Sends requests of which some crash each upstream that runs them, to the instances in turn.
class CrashRun {
 public:
  explicit CrashRun(EdgeFixture& edge_fixture) : fixture(edge_fixture) {
    for (int upstream = 0; upstream < 12; ++upstream) {
      this->fixture.AddUpstream({Sealed("whole")}).crashes_on = kCrashingPart;
    }
  }

  // Sends a request that shares all parts but the last with others of its kind, and a request
  // without the crashing part that shares the others.
  void SendBoth() {
    ++this->sent;
    const std::string last = std::to_string(1000 + this->sent);
    this->fixture.current = this->sent % this->fixture.caller_endpoints.size();
    this->crashing =
        this->fixture.Call("/order/1", {{"X-Parts", "1,2,666," + last}}, "order " + last).value();
    this->sound = this->fixture.Call("/order/2", {{"X-Parts", "1,2," + last}}).value();
    this->fixture.RunFor(300ms);
  }

  // Sends more crashing requests than there may be crashes. Sound ones are always answered.
  void SendRounds() {
    for (int round = 0; round < 9; ++round) {
      this->SendBoth();
      BOOST_TEST(this->sound.status == 200);
    }
  }

  std::size_t Crashes() const {
    return static_cast<std::size_t>(std::ranges::count_if(
        this->fixture.upstreams, [](const auto& upstream) { return upstream->has_crashed; }));
  }

  EdgeFixture& fixture;
  std::size_t sent = 0;
  transport::HttpResponse crashing{0};
  transport::HttpResponse sound{0};

 private:
  static constexpr const char* kCrashingPart = ",666,";
};

// Guards against requests that crash one upstream after the other because they share a prompt
// part. Five crashes must be enough to find the part.
BOOST_AUTO_TEST_CASE(APartThatCrashesUpstreamsIsQuarantined) {
  EdgeFixture fixture;
  CrashRun run(fixture);
  run.SendRounds();
  BOOST_TEST(run.Crashes() <= 5U);
  BOOST_TEST(run.crashing.status == 503);
  BOOST_TEST(FindHeader(run.crashing.headers, "X-Ran") == "no");
  BOOST_TEST(!FindHeader(run.crashing.headers, "Retry-After").empty());
}

// The same when each instance sees only some of the crashes.
BOOST_AUTO_TEST_CASE(CrashesAtSeveralInstancesAddUp) {
  EdgeFixture fixture;
  fixture.AddInstance("127.0.0.2");
  fixture.AddInstance("127.0.0.3");
  CrashRun run(fixture);
  run.SendRounds();
  BOOST_TEST(run.Crashes() <= 5U);
  BOOST_TEST(run.crashing.status == 503);
}

// Guards against crashes that aren't counted because several upstreams crash at once, so that the
// instance suspects that its own path is lost.
BOOST_AUTO_TEST_CASE(CrashesWhileThePathIsSuspectedAreCounted) {
  EdgeFixture fixture;
  CrashRun run(fixture);
  for (const std::string last : {"2000", "2001"}) {
    fixture.Call("/order/1", {{"X-Parts", "1,2,666," + last}}, "order " + last).value();
  }
  fixture.RunFor(1s);
  BOOST_TEST(run.Crashes() == 2U);
  BOOST_TEST(fixture.Ask("/metrics").find("geranium_upstream_crashes_total 2") !=
             std::string::npos);
}

// Guards against an upstream in trouble that hides a crashing request: its error says nothing
// about whether a sound upstream survives the request. Known red, see KNOWN-RED.txt.
BOOST_AUTO_TEST_CASE(AFailedAnswerDoesNotClearARequest, *boost::unit_test::disabled()) {
  EdgeFixture fixture;
  constexpr const char* kCrashingPart = ",666,";
  constexpr const char* kAnyRequest = "X-Id";
  std::size_t sent = 1000;
  const auto send = [&](const std::string& shared_parts) {
    fixture.Call("/order/1", {{"X-Parts", shared_parts + std::to_string(++sent)}}).value();
    fixture.RunFor(300ms);
  };
  // In each round the part crashes one upstream, and another one answers it with an error.
  for (int round = 0; round < 9; ++round) {
    fixture.AddUpstream({Sealed("whole")}).crashes_on = kCrashingPart;
    send("1,2,666,");
    RawUpstream& failing = fixture.AddUpstream({Sealed("error", 500)});
    send("1,2,666,");
    failing.crashes_on = kAnyRequest;
    send("");
    fixture.RunFor(1s);
  }
  BOOST_TEST(std::ranges::count_if(fixture.upstreams, [](const auto& upstream) {
               return upstream->has_crashed && upstream->crashes_on == kCrashingPart;
             }) <= 5);
}

// Guards against a quarantine after connections that an upstream resets while it lives on.
BOOST_AUTO_TEST_CASE(ResetConnectionsOfALivingUpstreamAreNoCrash) {
  EdgeFixture fixture;
  fixture.AddUpstream({{"", test::Reply::Then::kReset}});
  for (int request = 0; request < 4; ++request) {
    BOOST_TEST(fixture.Call("/order/1", {{"X-Parts", "1,2,3"}}).value().status == 502);
    fixture.RunFor(300ms);
  }
}

// Guards against taking a crash for the end of a stream without a length: the connection ends
// after the head, before any event.
BOOST_AUTO_TEST_CASE(AStreamWithoutEventsThatEndsWithItsConnectionIsNotComplete) {
  EdgeFixture fixture;
  fixture.AddUpstream(
      {{"HTTP/1.1 200 OK\r\nX-Id: {id}\r\nX-Seal: s\r\n\r\n", test::Reply::Then::kClose}});
  BOOST_TEST(fixture.Call("/stream/1").value().status == 502);
}

}  // namespace
}  // namespace geraniumspread::edge
