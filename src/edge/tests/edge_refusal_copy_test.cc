#include <boost/test/unit_test.hpp>

#include "edge/tests/edge_fixture.h"

// An upstream sends the copy of a refusal with the id of the refused request, late, where the
// answer of the same request is due that was sent again meanwhile.
namespace geraniumspread::edge {
namespace {

using namespace std::chrono_literals;
using test::EdgeFixture;
using test::Events;
using test::NotRun;
using test::RawUpstream;
using test::Reply;
using test::Sealed;
using test::With;
using transport::FindHeader;

// The copy comes in one read with the next answer, or alone before it.
constexpr std::chrono::milliseconds kDelays[] = {0ms, 3ms};

Reply Misdirected() {
  return {"HTTP/1.1 421 Misdirected\r\nX-Id: {id}\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"};
}

Reply WithLateCopies(Reply refusal, std::chrono::milliseconds delay, int copies = 1) {
  for (int copy = 0; copy < copies; ++copy) {
    refusal.late_copy += refusal.bytes;
  }
  refusal.late_by = delay;
  return refusal;
}

std::string HeaderOf(const std::string& request, const std::string& name) {
  const auto start = request.find(name + ": ");
  return start == std::string::npos ? ""
                                    : request.substr(start, request.find("\r\n", start) - start);
}

// Publishes two upstreams at one address, as while the entry of an ended incarnation has not
// lapsed. Both have just answered, so that an order may use a connection again.
RawUpstream& AddRestartedUpstream(EdgeFixture& fixture) {
  RawUpstream& upstream = fixture.AddUpstream({Sealed("served"), NotRun(), Sealed("served")});
  fixture.AddListing(upstream);
  BOOST_TEST(fixture.Call("/order/1").value().status == 200);
  BOOST_TEST(fixture.Call("/order/1").value().status == 200);
  BOOST_REQUIRE(upstream.requests.size() == 3U);
  BOOST_TEST(HeaderOf(upstream.requests[1], "X-Expect") !=
             HeaderOf(upstream.requests[2], "X-Expect"));
  upstream.requests.clear();
  return upstream;
}

// The request was sent twice with one id, and the second send was executed.
void CheckSentAgain(const RawUpstream& upstream) {
  BOOST_REQUIRE(upstream.requests.size() == 2U);
  BOOST_TEST(HeaderOf(upstream.requests.front(), "X-Id") ==
             HeaderOf(upstream.requests.back(), "X-Id"));
}

// Guards against an order that ran and is reported as not run.
BOOST_AUTO_TEST_CASE(ACopyOfARefusalIsNotTheAnswerOfAnOrderThatRan) {
  for (const Reply& refusal : {Misdirected(), NotRun()}) {
    for (const auto delay : kDelays) {
      for (const int copies : {1, 2, 5}) {
        BOOST_TEST_CONTEXT(refusal.bytes.substr(9, 3)
                           << ", " << delay.count() << " ms, copies: " << copies) {
          EdgeFixture fixture;
          RawUpstream& upstream = AddRestartedUpstream(fixture);
          upstream.SetReplies({WithLateCopies(refusal, delay, copies), Sealed("whole")});
          const auto answer = fixture.Call("/order/1").value();
          BOOST_TEST(answer.status == 200);
          BOOST_TEST(answer.body == "whole");
          CheckSentAgain(upstream);
        }
      }
    }
  }
}

// Guards against the same fault over two requests of a caller with one id.
BOOST_AUTO_TEST_CASE(ACopyOfARefusalIsNotTheAnswerOfTheCallersNextTry) {
  for (const auto delay : kDelays) {
    BOOST_TEST_CONTEXT(delay.count() << " ms") {
      EdgeFixture fixture;
      RawUpstream& upstream =
          fixture.AddUpstream({WithLateCopies(NotRun(), delay), Sealed("whole")});
      BOOST_TEST(fixture.Call("/order/1", {{"X-Id", "same"}}).value().status == 503);
      BOOST_TEST(fixture.Call("/order/1", {{"X-Id", "same"}}).value().status == 200);
      CheckSentAgain(upstream);
    }
  }
}

// Guards against statements of a refusal that a copy applies to the upstream which runs the
// request: that one takes further requests.
BOOST_AUTO_TEST_CASE(ACopyOfARefusalStatesNothingAboutTheNextUpstream) {
  for (const std::string statement : {"X-Pause-Ms: 5000", "X-Leaving: 1", "X-Limit: 0.01"}) {
    for (const auto delay : kDelays) {
      BOOST_TEST_CONTEXT(statement << ", " << delay.count() << " ms") {
        EdgeFixture fixture;
        RawUpstream& upstream = AddRestartedUpstream(fixture);
        upstream.SetReplies({WithLateCopies(With(NotRun(), statement), delay), Sealed("whole")});
        BOOST_TEST(fixture.Call("/order/1").value().status == 200);
        CheckSentAgain(upstream);
        BOOST_TEST(fixture.Call("/order/2").value().status == 200);
        BOOST_TEST(upstream.requests.size() == 3U);
      }
    }
  }
}

// Guards against a refusal of requests that may be sent again, although the second upstream
// answered.
BOOST_AUTO_TEST_CASE(ACopyOfARefusalDoesNotReplaceTheAnswerOfALookup) {
  for (const auto delay : kDelays) {
    BOOST_TEST_CONTEXT(delay.count() << " ms") {
      EdgeFixture fixture;
      RawUpstream& upstream = AddRestartedUpstream(fixture);
      upstream.SetReplies({WithLateCopies(NotRun(), delay), Sealed("whole")});
      BOOST_TEST(fixture.Call("/lookup/1").value().status == 200);
      CheckSentAgain(upstream);
    }
  }
}

// Guards against a refusal where the answer of a stream is due.
BOOST_AUTO_TEST_CASE(ACopyOfARefusalDoesNotReplaceAStream) {
  for (const std::string target : {"/stream/1", "/resume/1"}) {
    for (const auto delay : kDelays) {
      BOOST_TEST_CONTEXT(target << ", " << delay.count() << " ms") {
        EdgeFixture fixture;
        RawUpstream& upstream = AddRestartedUpstream(fixture);
        upstream.SetReplies({WithLateCopies(Misdirected(), delay), Events(1, 3)});
        const auto answer = fixture.Call(target).value();
        BOOST_TEST(answer.status == 200);
        BOOST_TEST(answer.body.ends_with("data: e3\n\n"));
        CheckSentAgain(upstream);
      }
    }
  }
}

// A copy that came with the refusal itself leaves the connection unusable, and one where a body
// is due damages the answer. Neither promises that the order did not run.
BOOST_AUTO_TEST_CASE(ACopyThatComesWithAnAnswerPromisesNothing) {
  EdgeFixture fixture;
  RawUpstream& upstream = AddRestartedUpstream(fixture);
  upstream.SetReplies({{Misdirected().bytes + Misdirected().bytes}, Sealed("whole")});
  BOOST_TEST(fixture.Call("/order/1").value().status == 200);
  const std::string begun =
      "HTTP/1.1 200 OK\r\nX-Id: {id}\r\nX-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n";
  upstream.SetReplies({{begun + NotRun().bytes}});
  BOOST_TEST(fixture.Call("/stream/1").value().status == 502);
  BOOST_TEST(fixture.Call("/order/1").value().status == 502);
}

// Guards against an order that ran and whose answer is lost: its first bytes count as the body of a
// refused HEAD request's copy, which has a length and no body.
BOOST_AUTO_TEST_CASE(ACopyOfARefusalOfAHeadRequestDoesNotSwallowTheNextAnswer) {
  for (const auto delay : kDelays) {
    BOOST_TEST_CONTEXT(delay.count() << " ms") {
      EdgeFixture fixture;
      const Reply refusal{
          "HTTP/1.1 503 Full\r\nX-Id: {id}\r\nX-Not-Run: 1\r\nContent-Length: 20\r\n\r\n"};
      RawUpstream& upstream =
          fixture.AddUpstream({WithLateCopies(refusal, delay), Sealed("whole")});
      const std::string refused = fixture.CallRaw(
          "HEAD /lookup/1 HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Key: key\r\nX-Id: head\r\n"
          "Connection: close\r\n\r\n");
      BOOST_TEST(refused.starts_with("HTTP/1.1 503"));
      const auto answer = fixture.Call("/order/1").value();
      BOOST_TEST(answer.status == 200);
      BOOST_TEST(answer.body == "whole");
      BOOST_TEST(upstream.requests.size() == 2U);
    }
  }
}

// Guards against an order that ran and is sent again: the status of a refusal that was cut off in
// its status line counts as that of the answer which follows.
BOOST_AUTO_TEST_CASE(APartOfARefusalIsNotTheStatusOfAnOrderThatRan) {
  const std::string status_line = "HTTP/1.1 421 Misdirected";
  const std::string failed = "HTTP/1.1 500 Error\r\nX-Id: {id}\r\nContent-Length: 0\r\n\r\n";
  for (std::size_t length = 1; length <= status_line.size(); ++length) {
    BOOST_TEST_CONTEXT(status_line.substr(0, length)) {
      EdgeFixture fixture;
      RawUpstream& upstream = AddRestartedUpstream(fixture);
      upstream.SetReplies({{status_line.substr(0, length) + failed}, Sealed("again")});
      BOOST_TEST(fixture.Call("/order/1").value().status == 502);
      BOOST_TEST(upstream.requests.size() == 1U);
    }
  }
}

// A request whose id differs from that of the copy may use the connection: it skips the copy.
BOOST_AUTO_TEST_CASE(AnotherRequestSkipsTheCopy) {
  EdgeFixture fixture;
  RawUpstream& upstream = fixture.AddUpstream({WithLateCopies(NotRun(), 3ms), Sealed("whole")});
  BOOST_TEST(fixture.Call("/order/1").value().status == 503);
  BOOST_TEST(fixture.Call("/order/2").value().status == 200);
  BOOST_TEST(upstream.connections == 1U);
}

}  // namespace
}  // namespace geraniumspread::edge
