#include "edge/edge.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/json/parse.hpp>
#include <boost/test/unit_test.hpp>

#include "edge/tests/edge_fixture.h"

namespace geraniumspread::edge {
namespace {

namespace json = boost::json;
using namespace std::chrono_literals;
using test::EdgeFixture;
using test::Events;
using test::NotRun;
using test::RawUpstream;
using test::Reply;
using test::Sealed;
using test::Silence;
using transport::FindHeader;

// Guards against a 404 from an instance that has no configuration yet.
BOOST_AUTO_TEST_CASE(WithoutAConfigurationRequestsAreRefusedWithRetryAfter) {
  EdgeFixture fixture;
  const auto answer = fixture.Call("/order/1").value();
  BOOST_TEST(answer.status == 503);
  BOOST_TEST(FindHeader(answer.headers, "X-Ran") == "no");
  BOOST_TEST(!FindHeader(answer.headers, "Retry-After").empty());
}

BOOST_AUTO_TEST_CASE(UnknownRoutesAndKeysReachNoUpstream) {
  EdgeFixture fixture;
  RawUpstream& upstream = fixture.AddUpstream({Sealed("whole")});
  BOOST_TEST(fixture.Call("/nowhere/1").value().status == 404);
  BOOST_TEST(fixture.Call("/order/1", {{"X-Key", "revoked"}}).value().status == 401);
  BOOST_TEST(upstream.requests.empty());
  BOOST_TEST(fixture.Call("/open/1", {{"X-Key", "revoked"}}).value().status == 200);
}

BOOST_AUTO_TEST_CASE(AWholeAnswerIsPassedOnUnchanged) {
  EdgeFixture fixture;
  RawUpstream& upstream = fixture.AddUpstream({Sealed("whole")});
  const auto answer = fixture.Call("/order/1?x=1").value();
  BOOST_TEST(answer.status == 200);
  BOOST_TEST(answer.body == "whole");
  BOOST_TEST(FindHeader(answer.headers, "X-Seal") == "s");
  BOOST_TEST_REQUIRE(upstream.requests.size() == 1U);
  BOOST_TEST(upstream.requests.front().starts_with("POST /order/1?x=1 HTTP/1.1\r\n"));
  BOOST_TEST(upstream.requests.front().ends_with("\r\n\r\norder"));
}

// Guards against an order that runs twice: once bytes of it were sent, it is not retried.
BOOST_AUTO_TEST_CASE(AnOrderIsNotRetriedAfterALostResponse) {
  EdgeFixture fixture;
  RawUpstream& first = fixture.AddUpstream({{"", Reply::Then::kReset}});
  RawUpstream& second = fixture.AddUpstream({{"", Reply::Then::kReset}});
  const auto answer = fixture.Call("/order/1").value();
  BOOST_TEST(answer.status == 502);
  BOOST_TEST(FindHeader(answer.headers, "X-Ran") == "unknown");
  BOOST_TEST(first.requests.size() + second.requests.size() == 1U);
}

BOOST_AUTO_TEST_CASE(ALookupIsRetriedAfterALostResponse) {
  EdgeFixture fixture;
  RawUpstream& first = fixture.AddUpstream({{"", Reply::Then::kReset}, Sealed("whole")});
  RawUpstream& second = fixture.AddUpstream({Sealed("whole")});
  BOOST_TEST(fixture.Call("/lookup/1").value().status == 200);
  BOOST_TEST(first.requests.size() + second.requests.size() <= 2U);
}

// Guards against a refusal that reports "not run" without proof.
BOOST_AUTO_TEST_CASE(OnlyAMarkedRejectionIsReportedAsNotRun) {
  EdgeFixture fixture;
  fixture.AddUpstream({NotRun(), {"HTTP/1.1 503 Odd\r\nX-Id: {id}\r\nContent-Length: 0\r\n\r\n"}});
  const auto rejected = fixture.Call("/order/1").value();
  BOOST_TEST(rejected.status == 503);
  BOOST_TEST(FindHeader(rejected.headers, "X-Ran") == "no");
  BOOST_TEST(!FindHeader(rejected.headers, "Retry-After").empty());
  const auto unmarked = fixture.Call("/order/1").value();
  BOOST_TEST(unmarked.status == 502);
  BOOST_TEST(FindHeader(unmarked.headers, "X-Ran") == "unknown");
}

// Guards against a status that promises that nothing ran, passed on for an order that may have
// run: the upstream gave the status without the statement.
BOOST_AUTO_TEST_CASE(AStatusAloneNeverTellsACallerThatAnOrderDidNotRun) {
  for (const int status : {408, 421, 429, 503}) {
    EdgeFixture fixture;
    RawUpstream& upstream = fixture.AddUpstream({Sealed("ran", status)});
    const auto answer = fixture.Call("/order/1").value();
    BOOST_TEST(answer.status == 502, status);
    BOOST_TEST(FindHeader(answer.headers, "X-Ran") == "unknown");
    BOOST_TEST(upstream.requests.size() == 1U);
  }
}

// Guards against corrupted responses of a faulty upstream.
BOOST_AUTO_TEST_CASE(DamagedAnswersNeverLookLikeSuccess) {
  for (const std::string bytes :
       {"HTTP/1.1 200 OK\r\nX-Id: {id}\r\nContent-Length: 2\r\n\r\nok",
        "HTTP/1.1 200 OK\r\nX-Id: {id}\r\nX-Seal: s\r\nContent-Length: 20\r\n\r\nshort",
        "\x01\x02 garbage\r\n\r\n",
        "HTTP/1.1 200 OK\r\nX-Id: {id}\r\nX-Seal: s\r\n"
        "Transfer-Encoding: chunked\r\n\r\n5\r\nabc"}) {
    EdgeFixture fixture;
    fixture.AddUpstream({{bytes, Reply::Then::kClose}});
    BOOST_TEST(fixture.Call("/order/1").value().status == 502, bytes);
  }
}

// Guards against a short answer that looks whole: the upstream stops in the middle of its head
// and closes the connection, wherever that is.
BOOST_AUTO_TEST_CASE(AnAnswerThatEndsInItsHeadNeverLooksLikeSuccess) {
  for (const std::string framing :
       {"Content-Length: 5\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n", "\r\n"}) {
    const std::string head = "HTTP/1.1 200 OK\r\nX-Id: {id}\r\nX-Seal: s\r\n" + framing;
    for (const char* target : {"/order/1", "/stream/1"}) {
      for (std::size_t length = 1; length < head.size(); ++length) {
        EdgeFixture fixture;
        fixture.AddUpstream({{head.substr(0, length), Reply::Then::kClose}});
        BOOST_TEST(fixture.Call(target).value().status == 502, target << " " << length);
      }
    }
  }
}

// Guards against requests that end with the process: an upstream sends a chunk header or a
// trailer without end, in a plain answer or a stream. The request fails when the limit is
// reached, long before its time is up.
BOOST_AUTO_TEST_CASE(EndlessFramingBytesReachALimit) {
  const std::string head =
      "HTTP/1.1 200 OK\r\nX-Id: {id}\r\nX-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string fill(8192, 'z');
  for (const std::string start : {"1;a=", "0\r\nX-Fill: "}) {
    for (const std::string target : {"/order/1", "/stream/1"}) {
      EdgeFixture fixture;
      fixture.AddUpstream({{head + start, Reply::Then::kClose, false, fill}, Sealed("good")});
      BOOST_TEST(fixture.Call(target).value().status == 502, target << " " << start);
      BOOST_TEST(fixture.Call("/order/2").value().body == "good");
    }
  }
}

// An upstream sends endless bytes that never complete a response, in the head or the body,
// until the client closes the connection. The request fails once, the connection is closed,
// and the next request is served. A response without a length ends with its connection.
BOOST_AUTO_TEST_CASE(EndlessBytesEndInOneFailure) {
  const std::string sealed = "HTTP/1.1 200 OK\r\nX-Id: {id}\r\nX-Seal: s\r\n";
  const std::string fill(8192, 'x');
  struct Case {
    std::string target;
    Reply reply;
  };
  const std::vector<Case> cases{
      {"/order/1", {"HTTP/1.1 200 OK\r\n", Reply::Then::kClose, false, "X-Fill: y\r\n"}},
      {"/order/1", {"HTTP/1.1 200 OK\r\nX-Fill: ", Reply::Then::kClose, false, fill}},
      {"/order/1", {fill, Reply::Then::kClose, false, fill}},
      {"/order/1", {sealed + "\r\n", Reply::Then::kClose, false, fill}},
      {"/order/1",
       {sealed + "Transfer-Encoding: chunked\r\n\r\n", Reply::Then::kClose, false,
        "4\r\nabcd\r\n"}},
      {"/order/1",
       {"HTTP/1.1 200 OK\r\nX-Id: other\r\nX-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n",
        Reply::Then::kClose, false, "4\r\nabcd\r\n"}}};
  for (const Case& endless : cases) {
    EdgeFixture fixture;
    RawUpstream& upstream = fixture.AddUpstream({endless.reply, Sealed("good")});
    const int status = fixture.Call(endless.target).value().status;
    BOOST_TEST((status == 502 || status == 504), endless.reply.bytes << " " << status);
    fixture.RunFor(std::chrono::milliseconds(50));
    BOOST_TEST(fixture.Call("/order/2").value().body == "good");
    BOOST_TEST(upstream.requests.size() == 2U);
  }
}

// The same within a stream: endless bytes at full speed that never complete an event.
BOOST_AUTO_TEST_CASE(AnEndlessEventInterruptsTheStream) {
  const std::string head =
      "HTTP/1.1 200 OK\r\nX-Id: {id}\r\nX-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string chunk = "2000\r\n" + std::string(0x2000, 'x') + "\r\n";
  EdgeFixture fixture;
  fixture.AddUpstream({{head, Reply::Then::kClose, false, chunk}, Events(0, 3)});
  BOOST_TEST(fixture.Call("/stream/1").value().status == 502);
  BOOST_TEST(fixture.Call("/stream/2").value().status == 200);
}

// A stalled upstream sends single bytes at intervals. Bytes that complete no event are not
// progress, so a resumable stream fails over to another upstream.
BOOST_AUTO_TEST_CASE(AStreamWithoutCompleteEventsFailsOver) {
  EdgeFixture fixture;
  Reply drips = Events(0, 1, false);
  drips.then = Reply::Then::kClose;
  drips.endless = "1\r\nx\r\n";
  drips.pause = std::chrono::milliseconds(100);
  fixture.AddUpstream({drips});
  fixture.AddUpstream({Events(2, 4)});
  std::string body;
  // Either upstream may be chosen first; the stream of the second one alone has a gap.
  for (int call = 0; call < 6 && body.find("data: e4") == std::string::npos; ++call) {
    if (const auto answer = fixture.Call("/resume/1"); answer) {
      body = answer.value().body;
    }
  }
  BOOST_TEST(body.find("data: e0") != std::string::npos);
  BOOST_TEST(body.find("data: e4") != std::string::npos);
  BOOST_TEST(body.find('x') == std::string::npos);
}

// Guards against a sound stream that is cut while its caller still waits: callers of a route
// with a high latency goal wait longer than the pause goal alone tells.
BOOST_AUTO_TEST_CASE(AStreamMayPauseAsLongAsItsCallerWaits) {
  EdgeFixture fixture;
  Reply slow = Events(0, 0, false);
  slow.then = Reply::Then::kClose;
  slow.endless = "9\r\ndata: x\n\n\r\n";
  slow.pause = 2400ms;
  RawUpstream& upstream = fixture.AddUpstream({slow});
  bool has_ended = false;
  const auto call = [&]() -> boost::asio::awaitable<void> {
    transport::HttpConnectionPool pool(fixture.io.get_executor());
    transport::HttpRequest request("POST", "/stream/slow/1", {{"X-Id", "slow"}, {"X-Key", "key"}});
    std::ignore = co_await transport::Fetch(pool, fixture.caller_endpoints[0], std::move(request),
                                            transport::ExchangeTimeouts{}, 1 << 20);
    has_ended = true;
  };
  boost::asio::co_spawn(fixture.io, call(), boost::asio::detached);
  fixture.RunFor(2600ms);
  BOOST_TEST(upstream.requests.size() == 1U);
  BOOST_TEST(!has_ended);
}

BOOST_AUTO_TEST_CASE(AResponseWithoutALengthIsCompleteWhenTheConnectionCloses) {
  const std::string bytes = "HTTP/1.1 200 OK\r\nX-Id: {id}\r\nX-Seal: s\r\n\r\nwhole";
  EdgeFixture fixture;
  fixture.AddUpstream({{bytes, Reply::Then::kClose}});
  BOOST_TEST(fixture.Call("/order/1").value().body == "whole");
}

// Guards against a response that reaches the wrong caller: on a reused connection, a second
// response to the previous request arrives first.
BOOST_AUTO_TEST_CASE(ALateResponseToAnEarlierRequestIsSkipped) {
  const std::string stale =
      "HTTP/1.1 200 OK\r\nX-Id: other\r\nX-Seal: s\r\nContent-Length: 5\r\n\r\nstale";
  EdgeFixture fixture;
  fixture.AddUpstream({Sealed("first"), {stale + Sealed("second").bytes}});
  BOOST_TEST(fixture.Call("/lookup/1").value().body == "first");
  BOOST_TEST(fixture.Call("/lookup/2").value().body == "second");
}

// Guards against a stale refusal: on a reused connection an earlier refusal comes once more,
// without an id, before the answer of a request that runs. The caller must not be told that the
// request has not run, and no other upstream may get it.
BOOST_AUTO_TEST_CASE(ARefusalWithoutAnIdOnAReusedConnectionIsSkipped) {
  for (const std::string refusal :
       {"HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n"}) {
    EdgeFixture fixture;
    RawUpstream& upstream =
        fixture.AddUpstream({Sealed("first"), {refusal + Sealed("second").bytes}});
    BOOST_TEST(fixture.Call("/order/1").value().body == "first");
    RawUpstream& other = fixture.AddUpstream({Sealed("other")});
    for (int order = 0; order < 4 && upstream.requests.size() < 2; ++order) {
      const auto answer = fixture.Call("/order/2").value();
      BOOST_TEST(answer.status == 200);
      BOOST_TEST((answer.body == "second" || upstream.requests.size() < 2));
    }
    BOOST_TEST_REQUIRE(upstream.requests.size() == 2U);
    BOOST_TEST(upstream.connections == 1U);
    BOOST_TEST(other.requests.size() < 4U);
  }
}

// Bytes after a complete response belong to no request, so the connection is not reused.
BOOST_AUTO_TEST_CASE(AConnectionWithExtraBytesIsNotReused) {
  EdgeFixture fixture;
  Reply reply = Sealed("whole");
  reply.bytes += "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra";
  RawUpstream& upstream = fixture.AddUpstream({reply, Sealed("next")});
  BOOST_TEST(fixture.Call("/lookup/1").value().body == "whole");
  BOOST_TEST(fixture.Call("/lookup/2").value().body == "next");
  BOOST_TEST(upstream.connections == 2U);
}

BOOST_AUTO_TEST_CASE(AResponseOfAnotherUpstreamIsReportedAsNotRun) {
  EdgeFixture fixture;
  fixture.AddUpstream({{"HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n"}});
  BOOST_TEST(fixture.Call("/order/1").value().status == 503);
}

// Upstreams of a failure domain restarted with new ids at their old addresses. An order that
// one of them rejects as misdirected is sent to another upstream.
BOOST_AUTO_TEST_CASE(AMisdirectedOrderGoesToTheNextUpstream) {
  EdgeFixture fixture;
  const Reply misdirected{"HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n"};
  RawUpstream& replaced = fixture.AddUpstream({misdirected});
  fixture.AddUpstream({Sealed("whole")});
  for (int order = 0; order < 6; ++order) {
    BOOST_TEST(fixture.Call("/order/1").value().status == 200);
  }
  BOOST_TEST(replaced.requests.size() <= 1U);
}

// A failed connect has sent nothing, so even an order may be sent to another upstream.
BOOST_AUTO_TEST_CASE(AnOrderFailsOverAfterAFailedConnect) {
  EdgeFixture fixture;
  fixture.AddUpstream({Sealed("whole")});
  const std::uint64_t revision = fixture.revision + 1;
  fixture.edge->OnPublishedChanges({{"a-first", "127.0.0.1:1", revision}}, {0, revision});
  for (int order = 0; order < 4; ++order) {
    BOOST_TEST(fixture.Call("/order/1").value().status == 200);
  }
}

// Guards against a refusal beside an upstream that serves: many processes have ended and are still
// listed, and each refused connect takes about a millisecond.
BOOST_AUTO_TEST_CASE(ARequestPassesManyEndedProcesses) {
  EdgeFixture fixture;
  RawUpstream& live = fixture.AddUpstream({Events(1, 3)});
  const std::uint64_t revision = fixture.revision + 1;
  std::vector<dispatch::PublishedItem> ended;
  for (int index = 10; index < 30; ++index) {
    ended.push_back({"a" + std::to_string(index), "127.0.0.1:1", revision});
  }
  fixture.edge->OnPublishedChanges(std::move(ended), {0, revision});
  BOOST_TEST(fixture.Call("/stream/slow/1").value().status == 200);
  BOOST_TEST(live.requests.size() == 1U);
}

// Guards against the same where the addresses of the ended processes are in use again, and against
// sends beyond the retry budget.
BOOST_AUTO_TEST_CASE(ARequestPassesManyReplacedProcessesWithinTheRetryBudget) {
  for (const double slack : {100.0, 0.0}) {
    EdgeFixture fixture;
    EdgeSettings settings = fixture.settings;
    settings.retries.slack = slack;
    fixture.edge->Reload(settings);
    RawUpstream& other =
        fixture.AddUpstream({{"HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n"}});
    for (int listing = 0; listing < 4; ++listing) {
      fixture.AddListing(other);
    }
    fixture.AddUpstream({Events(1, 3)});
    const bool has_budget = slack > 0;
    BOOST_TEST(fixture.Call("/stream/slow/1").value().status == (has_budget ? 200 : 503));
    BOOST_TEST(other.requests.size() == (has_budget ? 5U : 1U));
  }
}

// An error response of an upstream keeps its status and seal.
BOOST_AUTO_TEST_CASE(AnErrorResponseOfTheUpstreamIsPassedOn) {
  EdgeFixture fixture;
  fixture.AddUpstream({Sealed("broken", 500)});
  const auto answer = fixture.Call("/order/1").value();
  BOOST_TEST(answer.status == 500);
  BOOST_TEST(FindHeader(answer.headers, "X-Seal") == "s");
}

// Guards against requests that are held beyond their deadline.
BOOST_AUTO_TEST_CASE(TheDeadlineEndsTheRequestAndItsWork) {
  EdgeFixture fixture;
  RawUpstream& upstream = fixture.AddUpstream({Silence()});
  const auto started = std::chrono::steady_clock::now();
  const auto answer = fixture.Call("/order/1", {{"X-Deadline-Ms", "150"}}).value();
  BOOST_TEST(answer.status == 504);
  BOOST_TEST(FindHeader(answer.headers, "X-Ran") == "unknown");
  BOOST_TEST((std::chrono::steady_clock::now() - started >= 150ms));
  fixture.RunFor(50ms);
  BOOST_TEST(upstream.closed_by_peer == 1U);
}

// A lookup doesn't wait for an unresponsive upstream until its deadline.
BOOST_AUTO_TEST_CASE(ALookupFailsOverFromAnUnresponsiveUpstream) {
  EdgeFixture fixture;
  RawUpstream& first = fixture.AddUpstream({Silence(), Sealed("whole")});
  RawUpstream& second = fixture.AddUpstream({Sealed("whole")});
  BOOST_TEST(fixture.Call("/lookup/1").value().status == 200);
  BOOST_TEST(first.requests.size() + second.requests.size() <= 2U);
}

BOOST_AUTO_TEST_CASE(AStreamIsPassedOnWhole) {
  EdgeFixture fixture;
  fixture.AddUpstream({Events(0, 4)});
  const auto answer = fixture.Call("/stream/1").value();
  BOOST_TEST(answer.status == 200);
  BOOST_TEST(answer.body.starts_with("id: 0\ndata: e0\n\n"));
  BOOST_TEST(answer.body.ends_with("id: 4\ndata: e4\n\n"));
}

// Guards against a broken stream that looks complete.
BOOST_AUTO_TEST_CASE(AnInterruptedStreamHasNoEnd) {
  EdgeFixture fixture;
  RawUpstream& upstream = fixture.AddUpstream({Events(0, 2, false)});
  BOOST_TEST(fixture.Call("/stream/1").has_error());
  BOOST_TEST(upstream.requests.size() == 1U);
}

// A resumable stream continues at the next event, and each event is delivered once.
BOOST_AUTO_TEST_CASE(AResumableStreamFailsOver) {
  EdgeFixture fixture;
  RawUpstream& first = fixture.AddUpstream({Events(0, 2, false), Events(2, 4)});
  RawUpstream& second = fixture.AddUpstream({Events(2, 4)});
  const auto answer = fixture.Call("/resume/1").value();
  std::string expected;
  for (int id = 0; id <= 4; ++id) {
    expected += "id: " + std::to_string(id) + "\ndata: e" + std::to_string(id) + "\n\n";
  }
  BOOST_TEST(answer.body == expected);
  BOOST_TEST(first.requests.size() + second.requests.size() == 2U);
  const std::string resumed =
      second.requests.empty() ? first.requests.back() : second.requests.back();
  BOOST_TEST(resumed.find("X-Resume-After: 2\r\n") != std::string::npos);
}

// Guards against an error of the next upstream in the middle of a caller's stream. The stream
// ends without its end marker.
BOOST_AUTO_TEST_CASE(AnErrorAfterAnInterruptedStreamIsNotPassedOn) {
  for (const int status : {400, 404, 500}) {
    EdgeFixture fixture;
    fixture.AddUpstream({Events(0, 2, false)});
    RawUpstream& second = fixture.AddUpstream({Sealed("problem", status)});
    const std::string request =
        "POST /resume/1 HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Id: r\r\nX-Key: key\r\n"
        "Content-Length: 0\r\n\r\n";
    std::string received;
    // Either upstream may be chosen first.
    for (int call = 0; call < 6 && received.find("data: e2") == std::string::npos; ++call) {
      received = fixture.CallRaw(request);
    }
    BOOST_TEST(received.find("data: e2") != std::string::npos);
    BOOST_TEST(!second.requests.empty());
    BOOST_TEST(received.find("problem") == std::string::npos);
    BOOST_TEST(received.find("HTTP/1.1", 1) == std::string::npos);
    BOOST_TEST(!received.ends_with("0\r\n\r\n"));
  }
}

// Guards against a gap in a stream: an event is missing.
BOOST_AUTO_TEST_CASE(AStreamWithAGapIsInterrupted) {
  EdgeFixture fixture;
  Reply gap = Events(0, 1, true);
  const auto second = gap.bytes.find("id: 1");
  gap.bytes.replace(second, 5, "id: 3");
  fixture.AddUpstream({gap});
  BOOST_TEST(fixture.Call("/stream/1").has_error());
}

// Guards against request smuggling.
BOOST_AUTO_TEST_CASE(AmbiguousFramingIsRefused) {
  EdgeFixture fixture;
  RawUpstream& upstream = fixture.AddUpstream({Sealed("whole")});
  const std::string head = "POST /order/1 HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Id: r\r\nX-Key: key\r\n";
  for (const std::string framing :
       {"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nPOST /order/2\r\n",
        "Content-Length: 5\r\nContent-Length: 6\r\n\r\nabcdef", "Content-Length: -1\r\n\r\n",
        "Content-Length: 5, 6\r\n\r\nabcdef", "Transfer-Encoding: chunked\r\n\r\nzz\r\n",
        "Bad Header\r\n\r\n", "X-A: a\nX-B : b\r\n\r\n"}) {
    const std::string answer = fixture.CallRaw(head + framing);
    BOOST_TEST(!answer.starts_with("HTTP/1.1 200"), framing);
  }
  BOOST_TEST(upstream.requests.empty());
}

BOOST_AUTO_TEST_CASE(OversizedHeadersAreRefused) {
  EdgeFixture fixture;
  RawUpstream& upstream = fixture.AddUpstream({Sealed("whole")});
  const std::string answer = fixture.CallRaw(
      "GET /order/1 HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Long: " + std::string(20'000, 'x') +
      "\r\n\r\n");
  BOOST_TEST(answer.starts_with("HTTP/1.1 431"));
  BOOST_TEST(upstream.requests.empty());
}

// Guards against work that continues after the caller has disconnected.
BOOST_AUTO_TEST_CASE(TheUpstreamRequestIsCancelledWhenTheCallerDisconnects) {
  EdgeFixture fixture;
  RawUpstream& upstream = fixture.AddUpstream({Silence()});
  fixture.CallRaw(
      "POST /order/1 HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Id: r\r\nX-Key: key\r\n"
      "Content-Length: 0\r\n\r\n");
  fixture.RunFor(100ms);
  BOOST_TEST(upstream.requests.size() == 1U);
  BOOST_TEST(upstream.closed_by_peer == 1U);
}

// A graceful stop interrupts no request and completes before the grace period ends.
BOOST_AUTO_TEST_CASE(AGracefulStopKeepsServingAndThenEnds) {
  EdgeFixture fixture;
  fixture.AddUpstream({Sealed("whole")});
  bool stopped = false;
  fixture.edge->Stop([&] { stopped = true; });
  const auto answer = fixture.Call("/order/1").value();
  BOOST_TEST(answer.status == 200);
  BOOST_TEST(FindHeader(answer.headers, "Connection") == "close");
  BOOST_TEST(!stopped);
  fixture.RunFor(3200ms);
  BOOST_TEST(stopped);
}

// Guards against an instance whose state can be seen only in its logs.
BOOST_AUTO_TEST_CASE(StatusAndExplainPagesShowTheState) {
  EdgeFixture fixture;
  fixture.AddUpstream({Sealed("whole")});
  const auto page = [&](const std::string& target) {
    return json::parse(fixture.Ask(target)).as_object();
  };
  const json::object status = page("/status");
  BOOST_TEST(status.at("state").as_string() == "ready");
  BOOST_TEST(status.at("config").to_number<std::uint64_t>() > 0U);
  BOOST_TEST_REQUIRE(status.at("upstreams").as_array().size() == 1U);
  BOOST_TEST(status.at("upstreams").at(0).at("takes_new_work").as_bool());
  const json::object plan = page("/explain?service=app");
  BOOST_TEST_REQUIRE(plan.at("candidates").as_array().size() == 1U);
  BOOST_TEST(plan.at("candidates").at(0).at("upstream").as_string() == "u1");
  BOOST_TEST(page("/explain?service=none").at("failure").as_string() == "no_upstream_listed");
}

// Guards against a request that is passed on late in a planned stop and is cut without an
// answer when the process ends. Its first bytes come in time, so the connection stays open.
BOOST_AUTO_TEST_CASE(ARequestThatMayOutlastAPlannedStopIsRefused) {
  EdgeFixture fixture;
  RawUpstream& upstream = fixture.AddUpstream({Silence()});
  boost::asio::ip::tcp::socket caller(fixture.io);
  caller.connect(
      {boost::asio::ip::make_address("127.0.0.1"), fixture.settings.caller_endpoint.port});
  const std::string request =
      "POST /resume/1 HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Id: late\r\nX-Key: key\r\n"
      "Content-Length: 0\r\n\r\n";
  boost::asio::write(caller, boost::asio::buffer(request.substr(0, 10)));
  fixture.RunFor(100ms);
  fixture.edge->Stop([] {});
  fixture.RunFor(2800ms);
  boost::asio::write(caller, boost::asio::buffer(request.substr(10)));
  fixture.RunFor(200ms);
  std::string answer(4096, '\0');
  answer.resize(caller.available() > 0 ? caller.read_some(boost::asio::buffer(answer)) : 0);
  BOOST_TEST(answer.starts_with("HTTP/1.1 503 "));
  BOOST_TEST(answer.find("X-Ran: no") != std::string::npos);
  BOOST_TEST(upstream.requests.empty());
}

// A snapshot of the store older than the current state changes nothing.
BOOST_AUTO_TEST_CASE(AnOlderSnapshotOfTheStoreIsIgnored) {
  EdgeFixture fixture;
  fixture.AddUpstream({Sealed("whole")});
  fixture.edge->OnPublishedState({}, {0, 1});
  BOOST_TEST(fixture.Call("/order/1").value().status == 200);
}

// Guards against requests to a removed upstream: a newly started instance mistook missing
// digests from store readers for a store outage and delayed removals.
BOOST_AUTO_TEST_CASE(ANewlyStartedInstanceUsesNoRemovedUpstream) {
  EdgeFixture fixture;
  RawUpstream& upstream = fixture.AddUpstream({Sealed("whole")});
  fixture.RunFor(300ms);
  fixture.edge->OnPublishedChanges({{"u1", "", fixture.revision + 1, true}},
                                   {0, fixture.revision + 1});
  BOOST_TEST(fixture.Call("/order/1").value().status == 503);
  BOOST_TEST(upstream.requests.empty());
}

// Guards against requests to an upstream that reported in a response that it is leaving:
// before it is listed as such, and after it is listed as ready again.
BOOST_AUTO_TEST_CASE(AnUpstreamThatReportsLeavingGetsNoFurtherRequest) {
  for (const auto& [target, reply] :
       {std::pair("/order/1", Sealed("whole")), std::pair("/order/1", Sealed("failed", 500)),
        std::pair("/order/1", NotRun()), std::pair("/stream/1", Events(0, 2)),
        std::pair("/stream/1", Events(0, 2, false))}) {
    EdgeFixture fixture;
    RawUpstream& upstream = fixture.AddUpstream({With(reply, "X-Leaving: 1")});
    std::ignore = fixture.Call(target);
    BOOST_TEST(upstream.requests.size() == 1U);
    BOOST_TEST(fixture.Call("/order/2").value().status == 503);
    fixture.edge->OnPublishedChanges({{"u1", upstream.Address(), fixture.revision + 1}},
                                     {0, fixture.revision + 1});
    BOOST_TEST(fixture.Call("/order/3").value().status == 503);
    BOOST_TEST(upstream.requests.size() == 1U);
  }
}

// Guards against excluding a healthy upstream because another process at its address
// reported that it is leaving.
BOOST_AUTO_TEST_CASE(AResponseOfAnotherProcessDoesNotAffectTheUpstream) {
  EdgeFixture fixture;
  RawUpstream& upstream =
      fixture.AddUpstream({{"HTTP/1.1 421 Misdirected\r\nX-Leaving: 1\r\nX-Id: "
                            "{id}\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"},
                           Sealed("whole")});
  BOOST_TEST(fixture.Call("/order/1").value().status == 503);
  BOOST_TEST(fixture.Call("/order/2").value().status == 200);
  BOOST_TEST(upstream.requests.size() == 2U);
}

// Guards against requests to an upstream that rejected one with Retry-After. Until that time
// has passed, requests go to other upstreams. If there is none, they are refused at once with
// the remaining time.
BOOST_AUTO_TEST_CASE(AnUpstreamGetsNoRequestsUntilItsRetryAfterHasPassed) {
  EdgeFixture fixture;
  RawUpstream& upstream =
      fixture.AddUpstream({With(NotRun(), "X-Pause-Ms: 1200"), Sealed("whole")});
  const TimePoint began_at = RuntimeClock::now();
  BOOST_TEST(fixture.Call("/order/1").value().status == 503);
  const TimePoint asked_at = RuntimeClock::now();
  const auto refused = fixture.Call("/order/2").value();
  const auto elapsed = std::chrono::ceil<std::chrono::milliseconds>(RuntimeClock::now() - began_at);
  BOOST_TEST(refused.status == 503);
  BOOST_TEST(transport::FindHeader(refused.headers, "X-Ran") == "no");
  const int retry_after =
      std::stoi(std::string(transport::FindHeader(refused.headers, "X-Retry-After-Ms")));
  // Spread by up to a quarter, and never before the pause is over.
  BOOST_TEST(retry_after >= 1199 - elapsed.count());
  BOOST_TEST(retry_after <= 1500);
  BOOST_TEST(upstream.requests.size() == 1U);
  RawUpstream& other = fixture.AddUpstream({Sealed("whole")});
  BOOST_TEST(fixture.Call("/order/3").value().status == 200);
  BOOST_TEST(other.requests.size() == 1U);
  BOOST_TEST(upstream.requests.size() == 1U);
  fixture.edge->OnPublishedChanges({{"u2", "", fixture.revision + 1, true}},
                                   {0, fixture.revision + 1});
  fixture.RunFor(
      std::chrono::ceil<std::chrono::milliseconds>(asked_at + 1200ms - RuntimeClock::now()));
  BOOST_TEST(fixture.Call("/order/4").value().status == 200);
  BOOST_TEST(upstream.requests.size() == 2U);
}

}  // namespace
}  // namespace geraniumspread::edge
