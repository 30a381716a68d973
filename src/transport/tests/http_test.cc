#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <set>

#include "transport/error_response.h"
#include "transport/http_client.h"
#include "transport/http_server.h"
#include "transport/internal/http_common.h"

namespace geraniumspread::transport {
namespace {

namespace asio = boost::asio;

constexpr std::size_t kMaxBody = 1 << 20;

// One server and one client on one event loop.
struct Fixture {
  asio::io_context io;
  HttpConnectionPool pool{io.get_executor()};
  Endpoint endpoint{"127.0.0.1", 0};
  std::optional<HttpServer> server;

  void Serve(HttpHandler handler, ServerLimits limits = {}) {
    this->server.emplace(this->io.get_executor(), limits, std::move(handler));
    this->endpoint.port = this->server->Listen(this->endpoint).value();
  }

  void Run(asio::awaitable<void> client) {
    asio::co_spawn(this->io, std::move(client), [this](const std::exception_ptr& error) {
      this->io.stop();
      if (error) {
        std::rethrow_exception(error);
      }
    });
    this->io.run();
  }
};

asio::awaitable<void> Echo(HttpRequest request, HttpResponder& responder) {
  HttpResponse response;
  SetHeader(response.headers, "X-Target", request.target);
  response.body = std::move(request.body);
  co_await responder.Send(std::move(response));
}

// Answers every connection with fixed bytes, then closes it.
asio::awaitable<void> ServeBytes(asio::ip::tcp::acceptor& acceptor, std::string bytes) {
  while (true) {
    auto [error, socket] = co_await acceptor.async_accept(detail::kAwaitTuple);
    if (error) {
      co_return;
    }
    std::array<char, 4096> request{};
    co_await socket.async_read_some(asio::buffer(request), detail::kAwaitTuple);
    co_await asio::async_write(socket, asio::buffer(bytes), detail::kAwaitTuple);
  }
}

// Answers with a head and then one byte after the other, without end.
asio::awaitable<void> ServeDrips(asio::ip::tcp::acceptor& acceptor) {
  auto [error, socket] = co_await acceptor.async_accept(detail::kAwaitTuple);
  std::string bytes = "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n";
  asio::steady_timer pause(acceptor.get_executor());
  while (!error) {
    std::size_t count = 0;
    std::tie(error, count) =
        co_await asio::async_write(socket, asio::buffer(bytes), detail::kAwaitTuple);
    bytes = "x";
    pause.expires_after(std::chrono::milliseconds(20));
    co_await pause.async_wait(detail::kAwaitTuple);
  }
}

// Answers with `start` and then with `fill` until the client closes the connection.
asio::awaitable<void> ServeEndless(asio::ip::tcp::acceptor& acceptor,
                                   std::string start,
                                   std::string fill) {
  auto [error, socket] = co_await acceptor.async_accept(detail::kAwaitTuple);
  std::size_t count = 0;
  std::tie(error, count) =
      co_await asio::async_write(socket, asio::buffer(start), detail::kAwaitTuple);
  while (!error) {
    std::tie(error, count) =
        co_await asio::async_write(socket, asio::buffer(fill), detail::kAwaitTuple);
  }
}

// Guards against an upstream whose bytes are kept until the process is out of memory: parts of
// an answer that the parser passes on only when they are complete must have a limit.
BOOST_FIXTURE_TEST_CASE(EndlessPartsOfAnAnswerReachALimit, Fixture) {
  const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string zeros(std::size_t{64} * 1024, '0');
  const std::string letters(std::size_t{64} * 1024, 'z');
  struct Case {
    std::string start;
    std::string fill;
  };
  const std::vector<Case> cases{
      {chunked + "1\r\na\r\n1;a=", letters},                  // chunk extension
      {chunked + "1\r\na\r\n", zeros},                        // chunk size
      {chunked + "0\r\nX-Fill: ", letters},                   // line of the trailer
      {chunked + "0\r\n", "X-Fill: y\r\n"},                   // lines of the trailer
      {"HTTP/1.1 200 ", letters},                             // status line
      {"HTTP/1.1 103 Early Hints\r\nX-Fill: ", letters},      // interim head
      {"", "HTTP/1.1 103 Early Hints\r\nX-Fill: y\r\n\r\n"},  // interim heads
      {"HTTP/1.1 200 OK\r\nX-Late: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
       "10000\r\n" + letters + "\r\n"},  // unmatched body
  };
  this->Run([](const std::vector<Case>& parts, Fixture& fixture) -> asio::awaitable<void> {
    for (const Case& part : parts) {
      asio::ip::tcp::acceptor acceptor(fixture.io, {asio::ip::make_address("127.0.0.1"), 0});
      const Endpoint upstream("127.0.0.1", acceptor.local_endpoint().port());
      asio::co_spawn(fixture.io, ServeEndless(acceptor, part.start, part.fill), asio::detached);
      ExchangeTimeouts timeouts;
      timeouts.total = std::chrono::seconds(2);
      HttpExchange exchange(fixture.pool, upstream, timeouts);
      exchange.SkipUnmatchedAnswers([](const HttpResponse& head) {
        return head.status == 200 && FindHeader(head.headers, "X-Late").empty();
      });
      const auto head = co_await exchange.Start(HttpRequest("GET", "/"), ConnectionPolicy::kFresh);
      std::optional<TransportError> failure;
      if (!head) {
        failure = head.error();
      } else if (const auto body = co_await exchange.ReadAll(kMaxBody); !body) {
        failure = body.error();
      }
      BOOST_REQUIRE(failure.has_value());
      BOOST_TEST((failure->code != TransportErrorCode::kTimedOut),
                 part.start << ": " << failure->message);
    }
  }(cases, *this));
}

// Sends a request that the server answers with the status in its target. Returns the number of
// its connection.
asio::awaitable<std::uint64_t> ConnectionOf(Fixture& fixture,
                                            std::uint64_t request_key,
                                            int status) {
  HttpExchange exchange(fixture.pool, fixture.endpoint, {});
  exchange.IdentifyRequest(request_key);
  HttpRequest request("GET", "/" + std::to_string(status));
  const auto head = co_await exchange.Start(std::move(request), ConnectionPolicy::kReuse);
  BOOST_REQUIRE(head.has_value());
  co_await exchange.ReadAll(kMaxBody);
  co_return exchange.Use().number;
}

asio::awaitable<void> AnswerWithStatus(HttpRequest request, HttpResponder& responder) {
  HttpResponse response(std::stoi(request.target.substr(1)));
  response.body = "text";
  co_await responder.Send(std::move(response));
}

// Guards against a request that is sent again on a connection that has carried it: a second copy
// of the first answer has the same id as the answer that is due.
BOOST_FIXTURE_TEST_CASE(ARequestIsNotSentAgainOnItsConnection, Fixture) {
  this->Serve(AnswerWithStatus);
  this->Run([](Fixture& fixture) -> asio::awaitable<void> {
    for (const int status : {302, 400, 404, 421, 429, 500, 503}) {
      fixture.pool.CloseIdle();
      const std::uint64_t first = co_await ConnectionOf(fixture, 1, status);
      BOOST_TEST(co_await ConnectionOf(fixture, 2, status) == first);
      const std::uint64_t second = co_await ConnectionOf(fixture, 1, status);
      BOOST_TEST(second != first);
      BOOST_TEST(co_await ConnectionOf(fixture, 3, 200) == second);
      BOOST_TEST(co_await ConnectionOf(fixture, 2, 200) == second);
      const std::uint64_t third = co_await ConnectionOf(fixture, 1, status);
      BOOST_TEST(third != first);
      BOOST_TEST(third != second);
    }
  }(*this));
}

// Guards against a connection that remembers requests without limit, and against one that is
// closed although its requests succeed.
BOOST_FIXTURE_TEST_CASE(AConnectionRemembersAFewRequests, Fixture) {
  this->Serve(AnswerWithStatus);
  this->Run([](Fixture& fixture) -> asio::awaitable<void> {
    std::uint64_t key = 0;
    const std::uint64_t first = co_await ConnectionOf(fixture, ++key, 200);
    for (int request = 0; request < 100; ++request) {
      BOOST_TEST(co_await ConnectionOf(fixture, ++key, 200) == first);
    }
    std::set<std::uint64_t> connections;
    for (int request = 0; request < 100; ++request) {
      connections.insert(co_await ConnectionOf(fixture, ++key, 503));
    }
    BOOST_TEST(connections.size() >= 5U);
    BOOST_TEST(connections.size() <= 10U);
  }(*this));
}

// Guards against an answer whose status comes from a part of another one before it.
BOOST_FIXTURE_TEST_CASE(AStatusLineWithinAnotherIsMalformed, Fixture) {
  this->Run([](Fixture& fixture) -> asio::awaitable<void> {
    for (const std::string part : {"HTTP/1.1 421 ", "HTTP/1.1 421 Misdirected"}) {
      asio::ip::tcp::acceptor acceptor(fixture.io, {asio::ip::make_address("127.0.0.1"), 0});
      const Endpoint upstream("127.0.0.1", acceptor.local_endpoint().port());
      std::string bytes = part + "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
      asio::co_spawn(fixture.io, ServeBytes(acceptor, std::move(bytes)), asio::detached);
      HttpExchange exchange(fixture.pool, upstream, {});
      const auto head = co_await exchange.Start(HttpRequest("GET", "/"), ConnectionPolicy::kFresh);
      BOOST_TEST_REQUIRE(head.has_error());
      BOOST_TEST((head.error().code == TransportErrorCode::kMalformedMessage));
    }
  }(*this));
}

// Guards against many answers below the limit of one that together exhaust the memory of the
// process. Small answers are still read.
BOOST_FIXTURE_TEST_CASE(LargeAnswersTogetherReachTheLimitOfThePool, Fixture) {
  constexpr std::size_t kLarge = 200'000;
  constexpr int kAnswers = 10;
  this->pool = HttpConnectionPool(this->io.get_executor(),
                                  {.max_buffered_bytes = 5 * kLarge, .min_counted_bytes = 10'000});
  this->Serve([](HttpRequest request, HttpResponder& responder) -> asio::awaitable<void> {
    HttpResponse response;
    response.body.assign(request.target == "/small" ? 5'000 : kLarge, 'x');
    co_await responder.Send(std::move(response));
  });
  this->Run([](Fixture& fixture) -> asio::awaitable<void> {
    std::vector<std::unique_ptr<HttpExchange>> held;
    int whole = 0;
    for (int index = 0; index < kAnswers; ++index) {
      held.push_back(
          std::make_unique<HttpExchange>(fixture.pool, fixture.endpoint, ExchangeTimeouts{}));
      const auto head =
          co_await held.back()->Start(HttpRequest("GET", "/large"), ConnectionPolicy::kReuse);
      BOOST_REQUIRE(head.has_value());
      const auto body = co_await held.back()->ReadAll(kMaxBody);
      whole += body ? 1 : 0;
      BOOST_TEST((body || body.error().code == TransportErrorCode::kMessageTooLarge));
    }
    BOOST_TEST(whole > 0);
    BOOST_TEST(whole <= 5);
    const auto small = co_await Fetch(fixture.pool, fixture.endpoint, HttpRequest("GET", "/small"),
                                      ExchangeTimeouts{}, kMaxBody);
    BOOST_TEST(small.has_value());
    held.clear();
    const auto large = co_await Fetch(fixture.pool, fixture.endpoint, HttpRequest("GET", "/large"),
                                      ExchangeTimeouts{}, kMaxBody);
    BOOST_TEST(large.has_value());
  }(*this));
}

// The same for a caller: a chunk header and a trailer without end are refused.
BOOST_FIXTURE_TEST_CASE(EndlessPartsOfARequestAreRefused, Fixture) {
  this->Serve(Echo, {.max_header_bytes = 2048, .max_body_bytes = 1024});
  this->Run([](Fixture& fixture) -> asio::awaitable<void> {
    static constexpr std::array<std::string_view, 2> kStarts{"1;a=", "0\r\nX-Fill: "};
    for (const std::string_view start : kStarts) {
      asio::ip::tcp::socket socket(fixture.io);
      co_await socket.async_connect({asio::ip::make_address("127.0.0.1"), fixture.endpoint.port},
                                    detail::kAwaitTuple);
      std::string bytes = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
      bytes.append(start).append(16'000, 'z');
      co_await asio::async_write(socket, asio::buffer(bytes), detail::kAwaitTuple);
      detail::Deadline deadline(fixture.io.get_executor(), socket);
      deadline.Arm(std::chrono::seconds(2));
      std::array<char, 12> status{};
      const auto [error, count] =
          co_await asio::async_read(socket, asio::buffer(status), detail::kAwaitTuple);
      deadline.Disarm();
      BOOST_TEST(!error);
      BOOST_TEST(std::string_view(status.data(), status.size()) == "HTTP/1.1 431");
    }
  }(*this));
}

// Guards against a store or a peer that holds its caller by a byte now and then.
BOOST_FIXTURE_TEST_CASE(AnAnswerThatOnlyDripsEndsAtTheWholeLimit, Fixture) {
  asio::ip::tcp::acceptor acceptor(this->io, {asio::ip::make_address("127.0.0.1"), 0});
  this->endpoint.port = acceptor.local_endpoint().port();
  asio::co_spawn(this->io, ServeDrips(acceptor), asio::detached);
  this->Run([](Fixture& fixture) -> asio::awaitable<void> {
    ExchangeTimeouts timeouts;
    timeouts.total = std::chrono::milliseconds(300);
    const auto response =
        co_await Fetch(fixture.pool, fixture.endpoint, HttpRequest("GET", "/"), timeouts, kMaxBody);
    BOOST_REQUIRE(!response.has_value());
    BOOST_CHECK(response.error().code == TransportErrorCode::kTimedOut);
    BOOST_TEST(fixture.pool.IdleConnections() == 0U);
  }(*this));
}

// Guards against answers that reach the wrong exchange or lose bytes on a reused connection.
BOOST_FIXTURE_TEST_CASE(ReusesConnectionAndMatchesAnswers, Fixture) {
  this->Serve(Echo);
  this->Run([](Fixture& fixture) -> asio::awaitable<void> {
    for (int index = 0; index < 20; ++index) {
      const std::string body(static_cast<std::size_t>(index) * 1000, 'x');
      const auto response =
          co_await Fetch(fixture.pool, fixture.endpoint,
                         HttpRequest("POST", "/" + std::to_string(index), HttpHeaders{}, body),
                         ExchangeTimeouts{}, kMaxBody);
      BOOST_REQUIRE(response.has_value());
      BOOST_TEST(response.value().body == body);
      BOOST_TEST(FindHeader(response.value().headers, "x-target") == "/" + std::to_string(index));
      BOOST_TEST(fixture.pool.IdleConnections() == 1U);
    }
  }(*this));
}

// Guards against a stream whose end is lost being taken for a whole answer.
BOOST_FIXTURE_TEST_CASE(UnfinishedStreamIsAnError, Fixture) {
  this->Serve([](HttpRequest request, HttpResponder& responder) -> asio::awaitable<void> {
    co_await responder.StartStream(200, HttpHeaders{});
    co_await responder.Write("part");
    if (request.target == "/whole") {
      co_await responder.Finish();
    }
  });
  this->Run([](Fixture& fixture) -> asio::awaitable<void> {
    const auto whole = co_await Fetch(fixture.pool, fixture.endpoint, HttpRequest("GET", "/whole"),
                                      ExchangeTimeouts{}, kMaxBody);
    BOOST_REQUIRE(whole.has_value());
    BOOST_TEST(whole.value().body == "part");
    const auto cut = co_await Fetch(fixture.pool, fixture.endpoint, HttpRequest("GET", "/cut"),
                                    ExchangeTimeouts{}, kMaxBody);
    BOOST_REQUIRE(!cut.has_value());
    BOOST_TEST((cut.error().code == TransportErrorCode::kConnectionClosed));
    BOOST_TEST((cut.error().phase == ExchangePhase::kReadingBody));
  }(*this));
}

// Guards against a short body passed on as complete, and against reuse of a
// connection with bytes left over from an earlier answer.
BOOST_FIXTURE_TEST_CASE(ShortAndOverlongAnswersAreDetected, Fixture) {
  asio::ip::tcp::acceptor acceptor(this->io, {asio::ip::make_address("127.0.0.1"), 0});
  this->endpoint.port = acceptor.local_endpoint().port();
  const auto fetch = [this](asio::ip::tcp::acceptor& listener,
                            std::string bytes) -> asio::awaitable<Result<HttpResponse>> {
    asio::co_spawn(this->io, ServeBytes(listener, std::move(bytes)), asio::detached);
    auto response =
        co_await Fetch(this->pool, this->endpoint, HttpRequest{}, ExchangeTimeouts{}, kMaxBody);
    listener.cancel();
    co_return response;
  };
  this->Run([](auto& fetch_bytes, auto& listener, Fixture& fixture) -> asio::awaitable<void> {
    const auto cut =
        co_await fetch_bytes(listener, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
    BOOST_TEST(!cut.has_value());
    const auto extra =
        co_await fetch_bytes(listener, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfourEXTRA");
    BOOST_REQUIRE(extra.has_value());
    BOOST_TEST(extra.value().body == "four");
    BOOST_TEST(fixture.pool.IdleConnections() == 0U);
    const auto garbage = co_await fetch_bytes(listener, "not http at all\r\n\r\n");
    BOOST_REQUIRE(!garbage.has_value());
    BOOST_TEST((garbage.error().code == TransportErrorCode::kMalformedMessage));
  }(fetch, acceptor, *this));
}

// Guards against a refusal that claims "not run" after bytes have left: a failed
// connect and a silent peer must be told apart by the phase.
BOOST_FIXTURE_TEST_CASE(PhaseTellsWhetherBytesLeft, Fixture) {
  this->Serve([](HttpRequest, HttpResponder& responder) -> asio::awaitable<void> {
    detail::Timer timer(co_await asio::this_coro::executor);
    timer.expires_after(std::chrono::seconds(30));
    bool gone = false;
    responder.OnDisconnect([&] {
      gone = true;
      timer.cancel();
    });
    co_await timer.async_wait(detail::kAwaitTuple);
    BOOST_TEST(gone);
  });
  this->Run([](Fixture& fixture) -> asio::awaitable<void> {
    const ExchangeTimeouts timeouts{.first_byte = std::chrono::milliseconds(50)};
    const auto silent =
        co_await Fetch(fixture.pool, fixture.endpoint, HttpRequest{}, timeouts, kMaxBody);
    BOOST_REQUIRE(!silent.has_value());
    BOOST_TEST((silent.error().code == TransportErrorCode::kTimedOut));
    BOOST_TEST((silent.error().phase == ExchangePhase::kWaitingForResponse));
    const Endpoint closed{"127.0.0.1", 1};
    const auto refused = co_await Fetch(fixture.pool, closed, HttpRequest{}, timeouts, kMaxBody);
    BOOST_REQUIRE(!refused.has_value());
    BOOST_TEST((refused.error().code == TransportErrorCode::kConnectFailed));
    BOOST_TEST((refused.error().phase == ExchangePhase::kConnecting));
    BOOST_TEST(refused.error().is_refused);
    BOOST_TEST(!silent.error().is_refused);
  }(*this));
}

// Guards against unbounded memory: oversized and malformed requests get a clear error.
BOOST_FIXTURE_TEST_CASE(OversizedRequestsAreRefused, Fixture) {
  this->Serve(Echo, {.max_header_bytes = 2048, .max_body_bytes = 1024});
  this->Run([](Fixture& fixture) -> asio::awaitable<void> {
    const auto large_body =
        co_await Fetch(fixture.pool, fixture.endpoint,
                       HttpRequest("POST", "/", HttpHeaders{}, std::string(2000, 'x')),
                       ExchangeTimeouts{}, kMaxBody);
    BOOST_REQUIRE(large_body.has_value());
    BOOST_TEST(large_body.value().status == 413);
    BOOST_TEST(FindHeader(large_body.value().headers, "X-Ran") == "no");
    HttpRequest header_request = HttpRequest("GET", "/");
    SetHeader(header_request.headers, "X-Large", std::string(4000, 'x'));
    const auto large_header = co_await Fetch(fixture.pool, fixture.endpoint, header_request,
                                             ExchangeTimeouts{}, kMaxBody);
    BOOST_REQUIRE(large_header.has_value());
    BOOST_TEST(large_header.value().status == 431);
  }(*this));
}

// How an upstream ends a connection after its bytes.
enum class Ending : std::uint8_t { kClose, kReset, kEndHere, kEndThenReset };

// Reads a part or all of one request, answers with fixed bytes and ends the connection. With
// kEndHere it ends only its own direction and reads nothing more for a while.
asio::awaitable<void> ServeEnding(asio::ip::tcp::acceptor& acceptor,
                                  std::string bytes,
                                  bool reads_request,
                                  Ending ending) {
  auto [error, socket] = co_await acceptor.async_accept(detail::kAwaitTuple);
  std::string request(std::size_t{64} * 1024, ' ');
  std::size_t received = 0;
  do {
    const auto [failure, count] =
        co_await socket.async_read_some(asio::buffer(request), detail::kAwaitTuple);
    received += count;
    if (failure) {
      co_return;
    }
  } while (reads_request && !std::string_view(request).substr(0, received).ends_with("END"));
  co_await asio::async_write(socket, asio::buffer(bytes), detail::kAwaitTuple);
  detail::Timer hold(acceptor.get_executor());
  if (ending == Ending::kEndHere || ending == Ending::kEndThenReset) {
    socket.shutdown(asio::ip::tcp::socket::shutdown_send);
  }
  if (ending == Ending::kEndHere || ending == Ending::kReset) {
    // The client then waits both to write and to read.
    hold.expires_after(std::chrono::milliseconds(ending == Ending::kReset ? 10 : 200));
    co_await hold.async_wait(detail::kAwaitTuple);
  }
  if (ending == Ending::kReset || ending == Ending::kEndThenReset) {
    socket.set_option(asio::ip::tcp::socket::linger(true, 0));
  }
  // The destructor would clear the linger option.
  socket.close();
}

asio::awaitable<Result<HttpResponse>> PostTo(Fixture& fixture,
                                             std::string bytes,
                                             std::string body,
                                             bool reads_request,
                                             Ending ending) {
  asio::ip::tcp::acceptor acceptor(fixture.io, {asio::ip::make_address("127.0.0.1"), 0});
  // A large upload must not fit into the buffers of the connection.
  acceptor.set_option(asio::ip::tcp::acceptor::receive_buffer_size(16 * 1024));
  Endpoint upstream("127.0.0.1", acceptor.local_endpoint().port());
  asio::co_spawn(fixture.io, ServeEnding(acceptor, std::move(bytes), reads_request, ending),
                 asio::detached);
  HttpRequest request("POST", "/", {}, std::move(body));
  co_return co_await Fetch(fixture.pool, std::move(upstream), std::move(request), {}, kMaxBody);
}

// Guards against a status that no response to a request has: it was passed on to callers.
BOOST_FIXTURE_TEST_CASE(AStatusOutsideItsRangeIsMalformed, Fixture) {
  this->Run([](Fixture& fixture) -> asio::awaitable<void> {
    for (const std::string status : {"000", "099", "101", "199", "600", "999"}) {
      std::string bytes = "HTTP/1.1 " + status + " Odd\r\nContent-Length: 0\r\n\r\n";
      const auto response = co_await PostTo(fixture, bytes, "END", true, Ending::kClose);
      BOOST_TEST(response.has_error(), status);
    }
    for (const int status : {200, 304, 404, 599}) {
      std::string bytes =
          "HTTP/1.1 " + std::to_string(status) + " Fine\r\nContent-Length: 0\r\n\r\n";
      const auto response = co_await PostTo(fixture, bytes, "END", true, Ending::kClose);
      BOOST_TEST_REQUIRE(response.has_value());
      BOOST_TEST(response.value().status == status);
    }
  }(*this));
}

// Guards against an interim head that is taken for the response: the response after it would be
// read as the answer to the next request.
BOOST_FIXTURE_TEST_CASE(InterimHeadsAreSkipped, Fixture) {
  this->Run([](Fixture& fixture) -> asio::awaitable<void> {
    const std::string interim =
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: <a>\r\n\r\n";
    const std::string real = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole";
    const auto response = co_await PostTo(fixture, interim + real, "END", true, Ending::kClose);
    BOOST_TEST_REQUIRE(response.has_value());
    BOOST_TEST(response.value().status == 200);
    BOOST_TEST(response.value().body == "whole");
    BOOST_TEST(FindHeader(response.value().headers, "Link").empty());
    const auto only = co_await PostTo(fixture, interim, "END", true, Ending::kClose);
    BOOST_TEST(only.has_error());
  }(*this));
}

// Guards against a part of a body without a length that passes for the whole. The write may take
// the error of a reset, and the read then sees a plain end.
BOOST_FIXTURE_TEST_CASE(AnUnfinishedUploadOrAResetLeavesTheBodyIncomplete, Fixture) {
  this->Run([](Fixture& fixture) -> asio::awaitable<void> {
    const std::string part = "HTTP/1.1 200 OK\r\n\r\npart";
    const std::string large(std::size_t{16} << 20U, 'x');
    const auto whole = co_await PostTo(fixture, part, "END", true, Ending::kClose);
    BOOST_TEST_REQUIRE(whole.has_value());
    BOOST_TEST(whole.value().body == "part");
    const auto early_end = co_await PostTo(fixture, part, large, false, Ending::kEndHere);
    BOOST_TEST(early_end.has_error());
    const auto late_reset = co_await PostTo(fixture, part, "END", true, Ending::kEndThenReset);
    BOOST_TEST(late_reset.has_error());
    int taken_for_whole = 0;
    for (int call = 0; call < 50; ++call) {
      const auto cut = co_await PostTo(fixture, part, large, false, Ending::kReset);
      taken_for_whole += cut ? 1 : 0;
    }
    BOOST_TEST(taken_for_whole == 0, taken_for_whole << " of 50");
  }(*this));
}

// Guards against a second process that silently shares a port.
BOOST_FIXTURE_TEST_CASE(ListenOnTakenPortFails, Fixture) {
  this->Serve(Echo);
  HttpServer second(this->io.get_executor(), {}, Echo);
  const auto port = second.Listen(this->endpoint);
  BOOST_REQUIRE(!port.has_value());
  BOOST_TEST((port.error().code == TransportErrorCode::kAddressInUse));
}

// Guards against callers that make the process hold bodies without bound: the
// sum of all bodies has a limit, and room is free again after an answer.
BOOST_FIXTURE_TEST_CASE(TheBodiesOfAllConnectionsHaveALimit, Fixture) {
  constexpr std::size_t kBodyBytes = 600;
  std::vector<int> statuses;
  RuntimeTimer held(this->io);
  ServerLimits limits;
  limits.max_buffered_body_bytes = 1000;
  this->Serve(
      [&held](HttpRequest request, HttpResponder& responder) -> asio::awaitable<void> {
        if (request.target == "/slow") {
          held.expires_after(std::chrono::milliseconds(100));
          co_await held.async_wait(detail::kAwaitTuple);
        }
        HttpResponse response(200);
        co_await responder.Send(std::move(response));
      },
      limits);
  const auto post = [&](std::string target) -> asio::awaitable<void> {
    HttpRequest request("POST", std::move(target), {}, std::string(kBodyBytes, 'x'));
    auto response = co_await Fetch(this->pool, this->endpoint, std::move(request),
                                   ExchangeTimeouts{}, kMaxBody);
    statuses.push_back(response ? response.value().status : 0);
  };
  asio::co_spawn(this->io, post("/slow"), asio::detached);
  const auto second = [&]() -> asio::awaitable<void> {
    RuntimeTimer pause(this->io);
    pause.expires_after(std::chrono::milliseconds(30));
    co_await pause.async_wait(detail::kAwaitTuple);
    co_await post("/fast");
    pause.expires_after(std::chrono::milliseconds(150));
    co_await pause.async_wait(detail::kAwaitTuple);
    co_await post("/fast");
  };
  this->Run(second());
  const std::vector<int> expected{503, 200, 200};
  BOOST_TEST(statuses == expected, boost::test_tools::per_element());
}

}  // namespace
}  // namespace geraniumspread::transport
