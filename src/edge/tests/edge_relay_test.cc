#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/test/unit_test.hpp>
#include <numeric>

#include "edge/internal/peer_codec.h"
#include "edge/tests/edge_fixture.h"
#include "transport/http_server.h"

// An instance that reaches no upstream sends its attempts through a peer.
namespace geraniumspread::edge {
namespace {

namespace asio = boost::asio;
using namespace std::chrono_literals;
using test::EdgeFixture;
using test::Events;
using test::NotRun;
using test::RawUpstream;
using test::Reply;
using test::Sealed;
using test::Silence;
using test::With;
using transport::FindHeader;
using transport::HttpResponse;

constexpr const char* kPeer = "127.0.0.2";
constexpr const char* kFakePeer = "127.0.0.3";

// The first instance can't connect to any upstream.
struct Fixture : EdgeFixture {
  // A port that refuses connects until it listens.
  asio::ip::tcp::acceptor& AddClosedPort() {
    this->closed.emplace_back(this->io);
    asio::ip::tcp::acceptor& port = this->closed.back();
    port.open(asio::ip::tcp::v4());
    port.bind({asio::ip::make_address("127.0.0.1"), 0});
    return port;
  }

  // Publishes upstreams that only the other instances reach.
  void AddCutUpstreams(const std::vector<std::deque<Reply>>& replies) {
    std::vector<dispatch::PublishedItem> here{{"config", "", ++this->revision}};
    std::vector<dispatch::PublishedItem> elsewhere = here;
    for (const std::deque<Reply>& replies_of_one : replies) {
      this->upstreams.push_back(std::make_unique<RawUpstream>(this->io, replies_of_one));
      const std::string id = "u" + std::to_string(this->upstreams.size());
      const std::string port = std::to_string(this->AddClosedPort().local_endpoint().port());
      ++this->revision;
      here.push_back({id, "127.0.0.1:" + port + " v1", this->revision});
      elsewhere.push_back({id, this->upstreams.back()->Address() + " v1", this->revision});
    }
    this->edge->OnPublishedChanges(here, {this->era, this->revision});
    for (const auto& other : this->other_instances) {
      other->OnPublishedChanges(elsewhere, {this->era, this->revision});
    }
    this->RunFor(300ms);
  }

  void AddPeerAndUpstreams(const std::vector<std::deque<Reply>>& replies) {
    this->AddInstance(kPeer);
    this->AddCutUpstreams(replies);
  }

  // All requests that upstreams received.
  std::vector<std::string> Received() const {
    std::vector<std::string> received;
    for (const auto& upstream : this->upstreams) {
      received.insert(received.end(), upstream->requests.begin(), upstream->requests.end());
    }
    return received;
  }

  std::size_t ClosedAtUpstreams() const {
    return std::accumulate(
        this->upstreams.begin(), this->upstreams.end(), std::size_t{0},
        [](std::size_t sum, const auto& upstream) { return sum + upstream->closed_by_peer; });
  }

  // A process that takes the place of a peer and answers relayed requests with `handler`.
  void AddFakePeer(transport::HttpHandler handler) {
    this->fake_peer = std::make_unique<transport::HttpServer>(
        this->io.get_executor(), transport::ServerLimits{}, std::move(handler));
    BOOST_TEST_REQUIRE(
        this->fake_peer->Listen({kFakePeer, this->settings.peer_endpoint.port}).has_value());
    dispatch::PeerDigest digest;
    digest.instance = "fake";
    digest.incarnation = 1;
    digest.sequence = 1;
    digest.address = kFakePeer;
    digest.failure_domain = "a";
    digest.reaches_upstreams = true;
    const std::string bytes = detail::EncodeDigest(digest);
    asio::ip::udp::socket socket(this->io, {asio::ip::make_address(kFakePeer), 0});
    socket.send_to(asio::buffer(bytes),
                   {asio::ip::make_address("127.0.0.1"), this->settings.digest_port});
    this->RunFor(50ms);
  }

  std::deque<asio::ip::tcp::acceptor> closed;
  std::unique_ptr<transport::HttpServer> fake_peer;
};

// Guards against refusing requests that the fleet can serve, and against headers between the
// instances that reach the caller or the upstream.
BOOST_FIXTURE_TEST_CASE(AnswersComeWholeThroughAPeer, Fixture) {
  this->AddPeerAndUpstreams({{Sealed("whole")}, {Sealed("whole")}});
  for (const std::string target : {"/lookup/1", "/order/1", "/open/1"}) {
    const auto answer = this->Call(target);
    BOOST_TEST_REQUIRE(answer.has_value(), target);
    BOOST_TEST(answer.value().status == 200);
    BOOST_TEST(answer.value().body == "whole");
    for (const transport::HttpHeader& header : answer.value().headers) {
      BOOST_TEST(!header.name.starts_with("Relay"), header.name);
    }
  }
  const auto received = this->Received();
  BOOST_TEST(received.size() == 3U);
  for (const std::string& request : received) {
    BOOST_TEST(request.find("Relay") == std::string::npos, request);
    BOOST_TEST(request.ends_with("\r\n\r\norder"), request);
  }
  BOOST_TEST(this->Ask("/status").find(R"("upstream_path":"lost")") != std::string::npos);
}

BOOST_FIXTURE_TEST_CASE(AnOrderRunsOnce, Fixture) {
  this->AddPeerAndUpstreams({{Sealed("done")}, {Sealed("done")}, {Sealed("done")}});
  for (int count = 0; count < 30; ++count) {
    BOOST_TEST(this->Call("/order/1").value().status == 200);
  }
  BOOST_TEST(this->Received().size() == 30U);
}

// Guards against streams that a peer holds back until their end, and against work that goes on
// after the caller has left.
BOOST_FIXTURE_TEST_CASE(EventsComeAsTheyAreSentAndEndWithTheCaller, Fixture) {
  Reply reply = Events(0, 0);
  reply.bytes.resize(reply.bytes.size() - 5);
  reply.endless = "f\r\nid: 1\ndata: e\n\n\r\n";
  reply.pause = 50ms;
  this->AddPeerAndUpstreams({{reply}, {reply}});
  const std::string received = this->CallRaw(
      "POST /stream/1 HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Id: r\r\nX-Key: key\r\n"
      "Content-Length: 0\r\n\r\n");
  BOOST_TEST(received.find("data: e0") != std::string::npos, received);
  BOOST_TEST(received.find("data: e\n") != std::string::npos, received);
  this->RunFor(300ms);
  BOOST_TEST(this->Received().size() == 1U);
  BOOST_TEST(this->ClosedAtUpstreams() >= 1U);
}

// Guards against a stream that ends early and looks complete.
BOOST_FIXTURE_TEST_CASE(ABrokenStreamStaysBroken, Fixture) {
  this->AddPeerAndUpstreams({{Events(0, 1, false)}, {Events(0, 1, false)}});
  BOOST_TEST(!this->Call("/stream/1").has_value());
  BOOST_TEST(this->Received().size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(AWholeStreamIsWhole, Fixture) {
  this->AddPeerAndUpstreams({{Events(0, 3)}, {Events(0, 3)}});
  const auto answer = this->Call("/stream/1");
  BOOST_TEST_REQUIRE(answer.has_value());
  BOOST_TEST(answer.value().body.find("data: e3") != std::string::npos);
}

// Guards against a stream that starts anew at the next upstream.
BOOST_FIXTURE_TEST_CASE(AResumableStreamContinuesAfterItsLastEvent, Fixture) {
  this->AddPeerAndUpstreams({{Events(0, 1, false)}, {Events(0, 1, false)}});
  std::ignore = this->Call("/resume/1");
  std::size_t continued = 0;
  for (const std::string& request : this->Received()) {
    continued += request.find("X-Resume-After: 1\r\n") != std::string::npos ? 1 : 0;
  }
  BOOST_TEST(this->Received().size() == 2U);
  BOOST_TEST(continued == 1U);
}

// A refusal with "not run" is the upstream's own, and the order may go to another one.
BOOST_FIXTURE_TEST_CASE(NotRunIsPassedOn, Fixture) {
  this->AddPeerAndUpstreams({{NotRun(), Sealed("done")}, {NotRun(), Sealed("done")}});
  const HttpResponse answer = this->Call("/order/1").value();
  BOOST_TEST(answer.status == 503);
  BOOST_TEST(FindHeader(answer.headers, "X-Ran") == "no");
  BOOST_TEST(this->Received().size() == 2U);
  BOOST_TEST(this->Call("/order/2").value().status == 200);
}

// What an upstream says about itself holds at the instance that sent the request, and at the one
// that passed it on.
BOOST_FIXTURE_TEST_CASE(ALeavingUpstreamGetsNoMoreRequests, Fixture) {
  this->AddPeerAndUpstreams({{With(Sealed("done"), "X-Leaving: 1")}, {Sealed("done")}});
  for (int count = 0; count < 40; ++count) {
    this->current = count < 20 ? 0 : 1;
    BOOST_TEST(this->Call("/order/" + std::to_string(count)).value().status == 200);
  }
  BOOST_TEST(this->upstreams.front()->requests.size() == 1U);
}

// Guards against an upstream whose answer passes for a statement of the peer.
BOOST_FIXTURE_TEST_CASE(AnUpstreamCannotForgeTheStatement, Fixture) {
  const Reply forged = With(Sealed("done"), "relay-result: not-sent");
  this->AddPeerAndUpstreams({{forged}, {forged}});
  BOOST_TEST(this->Call("/order/1").value().status == 200);
  BOOST_TEST(this->Received().size() == 1U);
}

// A peer that doesn't know the upstream has sent nothing.
BOOST_FIXTURE_TEST_CASE(AnUpstreamUnknownToThePeerIsNotSent, Fixture) {
  this->AddCutUpstreams({{Sealed("done")}, {Sealed("done")}});
  this->AddInstance(kPeer);
  this->other_instances.front()->OnPublishedChanges(
      {{"config", "", this->revision}, {"u9", "127.0.0.1:1 v1", this->revision + 1}},
      {this->era, this->revision + 1});
  this->RunFor(300ms);
  const HttpResponse answer = this->Call("/order/1").value();
  BOOST_TEST(answer.status == 503);
  BOOST_TEST(FindHeader(answer.headers, "X-Ran") == "no");
}

// Guards against requests that wander between instances of which none reaches an upstream.
BOOST_FIXTURE_TEST_CASE(WithoutAnyPathTheRequestIsRefusedAsNotRun, Fixture) {
  this->AddInstance(kPeer);
  std::vector<dispatch::PublishedItem> changes{{"config", "", ++this->revision}};
  for (const std::string id : {"u1", "u2", "u3"}) {
    const std::string port = std::to_string(this->AddClosedPort().local_endpoint().port());
    changes.push_back({id, "127.0.0.1:" + port + " v1", ++this->revision});
  }
  this->edge->OnPublishedChanges(changes, {this->era, this->revision});
  this->other_instances.front()->OnPublishedChanges(changes, {this->era, this->revision});
  this->RunFor(300ms);
  for (int count = 0; count < 5; ++count) {
    const HttpResponse answer = this->Call("/order/1").value();
    BOOST_TEST(answer.status == 503);
    BOOST_TEST(FindHeader(answer.headers, "X-Ran") == "no");
  }
}

// Guards against an order that runs again because the connection to the peer was lost.
BOOST_FIXTURE_TEST_CASE(ALostPeerLeavesTheOutcomeUnknown, Fixture) {
  this->AddCutUpstreams({{Sealed("done")}, {Sealed("done")}});
  std::size_t relayed = 0;
  this->AddFakePeer([&](const transport::HttpRequest& request,
                        transport::HttpResponder& responder) -> asio::awaitable<void> {
    relayed += FindHeader(request.headers, "Relay-Upstream").empty() ? 0 : 1;
    co_await responder.StartStream(200, {});
  });
  const HttpResponse answer = this->Call("/order/1").value();
  BOOST_TEST(answer.status == 502);
  BOOST_TEST(FindHeader(answer.headers, "X-Ran") == "unknown");
  BOOST_TEST(relayed == 1U);
}

// A head that the peer's server made itself proves nothing, whatever it seems to say.
BOOST_FIXTURE_TEST_CASE(AHeadWithoutTheStatementLeavesTheOutcomeUnknown, Fixture) {
  this->AddCutUpstreams({{Sealed("done")}, {Sealed("done")}});
  std::size_t relayed = 0;
  this->AddFakePeer([&](const transport::HttpRequest& request,
                        transport::HttpResponder& responder) -> asio::awaitable<void> {
    relayed += FindHeader(request.headers, "Relay-Upstream").empty() ? 0 : 1;
    HttpResponse response(503, {{"X-Not-Run", "1"}, {"Retry-After", "1"}});
    co_await responder.Send(std::move(response));
  });
  const HttpResponse answer = this->Call("/order/1").value();
  BOOST_TEST(answer.status == 502);
  BOOST_TEST(FindHeader(answer.headers, "X-Ran") == "unknown");
  BOOST_TEST(relayed == 1U);
}

// A peer that lost its own path says so, and the request goes through another one.
BOOST_FIXTURE_TEST_CASE(AnotherPeerIsAskedWhenOneCannotRelay, Fixture) {
  this->AddPeerAndUpstreams({{Sealed("done")}, {Sealed("done")}});
  std::size_t refused = 0;
  this->AddFakePeer([&](const transport::HttpRequest& /*request*/,
                        transport::HttpResponder& responder) -> asio::awaitable<void> {
    ++refused;
    HttpResponse response(503, {{"Relay-Result", "not-sent"}, {"Relay-Reason", "no_path"}});
    co_await responder.Send(std::move(response));
  });
  for (int count = 0; count < 20; ++count) {
    BOOST_TEST(this->Call("/order/1").value().status == 200);
  }
  BOOST_TEST(refused <= 1U);
  BOOST_TEST(this->Received().size() == 20U);
}

// Guards against blaming the only able peer for an upstream that is silent: without that peer, the
// next attempts go to upstreams that this instance can't reach.
BOOST_FIXTURE_TEST_CASE(ASilentUpstreamDoesNotExcludeThePeer, Fixture) {
  this->AddPeerAndUpstreams({{Silence()}, {Sealed("done")}});
  for (int count = 0; count < 10; ++count) {
    const auto answer = this->Call("/lookup/" + std::to_string(count));
    BOOST_TEST_REQUIRE(answer.has_value());
    BOOST_TEST(answer.value().status == 200);
  }
  BOOST_TEST(!this->upstreams.front()->requests.empty());
}

// Guards against blaming the peer for an attempt that ended because its caller left.
BOOST_FIXTURE_TEST_CASE(ACallerThatLeavesDoesNotExcludeThePeer, Fixture) {
  this->AddPeerAndUpstreams({{Silence()}, {Silence()}});
  std::ignore = this->CallRaw(
      "POST /order/1 HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Id: left\r\nX-Key: key\r\n"
      "Content-Length: 0\r\n\r\n");
  BOOST_TEST(this->Received().size() == 1U);
  for (const auto& upstream : this->upstreams) {
    upstream->SetReplies({Sealed("done")});
  }
  BOOST_TEST(this->Call("/order/2").value().status == 200);
}

// Guards against a peer that accepts relayed requests and stays silent: it must be avoided, since
// only an able peer states that the upstream is silent.
BOOST_FIXTURE_TEST_CASE(ASilentPeerIsAvoided, Fixture) {
  this->AddPeerAndUpstreams({{Sealed("done")}, {Sealed("done")}});
  std::size_t held = 0;
  this->AddFakePeer([&](const transport::HttpRequest& /*request*/,
                        transport::HttpResponder& responder) -> asio::awaitable<void> {
    ++held;
    asio::steady_timer wait(this->io, asio::steady_timer::time_point::max());
    responder.OnDisconnect([&wait] { wait.cancel(); });
    co_await wait.async_wait(asio::as_tuple(asio::use_awaitable));
  });
  for (int count = 0; count < 10; ++count) {
    BOOST_TEST(this->Call("/lookup/" + std::to_string(count)).value().status == 200);
  }
  BOOST_TEST(held <= 1U);
}

// Guards against an instance that relays for ever.
BOOST_FIXTURE_TEST_CASE(TheInstanceConnectsItselfOnceThePathIsBack, Fixture) {
  this->AddPeerAndUpstreams({{Sealed("done")}, {Sealed("done")}});
  BOOST_TEST(this->Call("/order/1").value().status == 200);
  for (asio::ip::tcp::acceptor& port : this->closed) {
    port.listen();
  }
  this->RunFor(1000ms);
  BOOST_TEST(this->Ask("/status").find(R"("upstream_path":"reached")") != std::string::npos);
}

}  // namespace
}  // namespace geraniumspread::edge
