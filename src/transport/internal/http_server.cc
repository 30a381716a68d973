#include "transport/http_server.h"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <optional>
#include <unordered_set>

#include "transport/error_response.h"
#include "transport/internal/http_common.h"

namespace geraniumspread::transport {
namespace detail {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

// Time after a failed accept (for example no free file descriptor) before the next try.
constexpr Duration kAcceptRetryDelay = std::chrono::milliseconds(50);
// Long enough for a caller on a slow network to finish a request of some megabytes.
constexpr Duration kDiscardTime = std::chrono::seconds(1);
// Size of a connection's buffer as a multiple of the largest request header.
constexpr std::size_t kUnparsedHeaders = 2;
constexpr std::size_t kDiscardChunkBytes = std::size_t{4} * 1024;

struct RequestFailure {
  int status;
  std::string_view code;
  std::string_view message;
};

// The refusal that a request which can't be read gets, or empty when the
// connection simply ended.
std::optional<RequestFailure> DescribeReadFailure(const error_code& error) {
  if (error == http::error::header_limit || error == http::error::buffer_overflow) {
    return RequestFailure{431, "header_too_large",
                          "the request header, a chunk header or the trailer is larger than the "
                          "limit"};
  }
  if (error == http::error::body_limit) {
    return RequestFailure{413, "body_too_large", "the request body is larger than the limit"};
  }
  const bool is_parse_error =
      error.category() == make_error_code(http::error::bad_method).category();
  if (is_parse_error && error != http::error::end_of_stream &&
      error != http::error::partial_message) {
    return RequestFailure{400, "malformed_request", "the request is not valid HTTP/1.1"};
  }
  return std::nullopt;
}

template <typename Message>
void FillHead(Message& message, const HttpHeaders& headers, bool keep_alive) {
  for (const HttpHeader& header : headers) {
    if (!IsFramingHeader(header.name)) {
      message.insert(header.name, header.value);
    }
  }
  message.keep_alive(keep_alive);
}

}  // namespace

struct ServerSession;

class ServerState : public std::enable_shared_from_this<ServerState> {
 public:
  ServerState(asio::any_io_executor io_executor, ServerLimits server_limits, HttpHandler callback)
      : executor(std::move(io_executor)),
        limits(server_limits),
        handler(std::move(callback)),
        acceptor(executor) {}

  asio::any_io_executor executor;
  ServerLimits limits;
  HttpHandler handler;
  std::function<void(const UnreadableRequest&)> on_unreadable;
  Tcp::acceptor acceptor;
  std::unordered_set<ServerSession*> sessions;
  std::size_t active_requests = 0;
  std::uint64_t buffered_body_bytes = 0;
  bool draining = false;
};

struct ServerSession {
  ServerSession(std::shared_ptr<ServerState> server_state, Tcp::socket accepted)
      : server(std::move(server_state)),
        socket(std::move(accepted)),
        deadline(socket.get_executor(), socket),
        buffer(kUnparsedHeaders * server->limits.max_header_bytes) {
    this->server->sessions.insert(this);
  }
  ServerSession(const ServerSession&) = delete;
  ServerSession& operator=(const ServerSession&) = delete;
  ~ServerSession() {
    this->SetBufferedBodyBytes(0);
    this->server->sessions.erase(this);
  }

  // Counts the body of the request at hand among those of all connections.
  void SetBufferedBodyBytes(std::uint64_t bytes) {
    this->server->buffered_body_bytes += bytes - this->buffered_body_bytes;
    this->buffered_body_bytes = bytes;
  }

  std::shared_ptr<ServerState> server;
  Tcp::socket socket;
  Deadline deadline;
  // The parser limits only the header. Chunk headers and trailers are limited by the buffer.
  boost::beast::flat_buffer buffer;
  bool keep_alive = true;
  std::uint64_t buffered_body_bytes = 0;
  // No byte of a request has come since the last answer.
  bool is_idle = true;
};

namespace {

class SessionResponder final : public HttpResponder,
                               public std::enable_shared_from_this<SessionResponder> {
 public:
  SessionResponder(std::shared_ptr<ServerSession> owner, bool head_request)
      : session(std::move(owner)), is_head(head_request) {}

  asio::awaitable<bool> Send(HttpResponse response) override {
    this->started = true;
    http::response<http::string_body> message;
    message.result(static_cast<unsigned>(response.status));
    FillHead(message, response.headers, this->MayKeepAlive());
    message.body() = std::move(response.body);
    message.prepare_payload();
    http::response_serializer<http::string_body> serializer(message);
    serializer.split(this->is_head);
    this->session->deadline.Arm(this->session->server->limits.write_timeout);
    error_code error;
    if (this->is_head) {
      std::tie(error, std::ignore) =
          co_await http::async_write_header(this->session->socket, serializer, kAwaitTuple);
    } else {
      std::tie(error, std::ignore) =
          co_await http::async_write(this->session->socket, serializer, kAwaitTuple);
    }
    this->session->deadline.Disarm();
    co_return this->Complete(error);
  }

  asio::awaitable<bool> StartStream(int status, HttpHeaders headers) override {
    this->started = true;
    this->streaming = true;
    http::response<http::empty_body> message;
    message.result(static_cast<unsigned>(status));
    FillHead(message, headers, this->MayKeepAlive());
    message.chunked(true);
    http::response_serializer<http::empty_body> serializer(message);
    this->session->deadline.Arm(this->session->server->limits.write_timeout);
    const auto [error, bytes] =
        co_await http::async_write_header(this->session->socket, serializer, kAwaitTuple);
    this->session->deadline.Disarm();
    co_return !this->Failed(error);
  }

  asio::awaitable<bool> Write(std::string_view bytes) override {
    if (bytes.empty()) {
      co_return !this->disconnected;
    }
    co_return co_await this->WriteRaw(http::make_chunk(asio::buffer(bytes)), false);
  }

  asio::awaitable<bool> Finish() override {
    co_return co_await this->WriteRaw(http::make_chunk_last(), true);
  }

  bool HasStarted() const override { return this->started; }

  void OnDisconnect(std::function<void()> callback) override {
    this->on_disconnect = std::move(callback);
    if (this->on_disconnect && !this->watching) {
      this->watching = true;
      this->WatchSocket();
    }
  }

  // Ends the watch, so that the next request on this connection is not taken
  // for a sign that the caller has gone.
  void Detach() {
    this->on_disconnect = nullptr;
    this->detached = true;
    error_code ignored;
    if (this->watching && this->session->socket.is_open()) {
      this->session->socket.cancel(ignored);
    }
  }

  bool IsComplete() const { return this->complete; }

 private:
  bool MayKeepAlive() const {
    return this->session->keep_alive && !this->session->server->draining;
  }

  template <typename Buffers>
  asio::awaitable<bool> WriteRaw(Buffers buffers, bool last) {
    this->session->deadline.Arm(this->session->server->limits.write_timeout);
    const auto [error, bytes] =
        co_await asio::async_write(this->session->socket, buffers, kAwaitTuple);
    this->session->deadline.Disarm();
    co_return last ? this->Complete(error) : !this->Failed(error);
  }

  bool Complete(const error_code& error) {
    this->complete = !this->Failed(error);
    return this->complete;
  }

  bool Failed(const error_code& error) {
    if (error) {
      this->disconnected = true;
      this->session->keep_alive = false;
    }
    return this->disconnected;
  }

  void WatchSocket() {
    this->session->socket.async_wait(
        Tcp::socket::wait_read, [responder = this->shared_from_this()](const error_code& error) {
          responder->OnReadable(error);
        });
  }

  void OnReadable(const error_code& error) {
    if (this->detached || this->complete || error == asio::error::operation_aborted) {
      return;
    }
    char byte = 0;
    error_code peek_error;
    this->session->socket.non_blocking(true, peek_error);
    const std::size_t count = this->session->socket.receive(asio::buffer(&byte, 1),
                                                            Tcp::socket::message_peek, peek_error);
    if (!error && (count > 0 || peek_error == asio::error::would_block)) {
      // A pipelined request is waiting; a closed connection shows at the next write.
      return;
    }
    this->disconnected = true;
    this->session->keep_alive = false;
    if (auto callback = std::exchange(this->on_disconnect, nullptr); callback) {
      callback();
    }
  }

  std::shared_ptr<ServerSession> session;
  std::function<void()> on_disconnect;
  bool is_head = false;
  bool started = false;
  bool streaming = false;
  bool complete = false;
  bool disconnected = false;
  bool watching = false;
  bool detached = false;
};

class ActiveRequestCount {
 public:
  explicit ActiveRequestCount(ServerState& server_state) : server(server_state) {
    ++this->server.active_requests;
  }
  ActiveRequestCount(const ActiveRequestCount&) = delete;
  ActiveRequestCount& operator=(const ActiveRequestCount&) = delete;
  ~ActiveRequestCount() { --this->server.active_requests; }

 private:
  ServerState& server;
};

asio::awaitable<void> RunHandler(const std::shared_ptr<ServerSession>& session,
                                 HttpRequest request) {
  const ActiveRequestCount count(*session->server);
  auto responder = std::make_shared<SessionResponder>(session, request.method == "HEAD");
  // An exception (a failed allocation, a defect) ends this request and not the process.
  try {
    co_await session->server->handler(std::move(request), *responder);
  } catch (const std::exception&) {
    session->keep_alive = false;
  }
  if (!responder->HasStarted()) {
    co_await responder->Send(MakeErrorResponse({.status = 500,
                                                .code = "internal_error",
                                                .message = "the request could not be answered",
                                                .ran = RunState::kUnknown}));
  }
  responder->Detach();
  if (!responder->IsComplete()) {
    session->keep_alive = false;
  }
}

void ReportUnreadable(const ServerSession& session, const UnreadableRequest& request) {
  if (session.server->on_unreadable) {
    session.server->on_unreadable(request);
  }
}

using RequestParser = http::request_parser<http::string_body>;

HttpHeaders ReceivedHeaders(const RequestParser& parser) {
  return parser.is_header_done() ? CopyHeaders(parser.get()) : HttpHeaders();
}

asio::awaitable<void> RefuseRequest(const std::shared_ptr<ServerSession>& session,
                                    RequestFailure failure,
                                    const RequestParser& parser) {
  session->keep_alive = false;
  ReportUnreadable(
      *session,
      {.status = failure.status, .code = failure.code, .headers = ReceivedHeaders(parser)});
  SessionResponder responder(session, false);
  co_await responder.Send(MakeErrorResponse(
      {.status = failure.status, .code = failure.code, .message = failure.message}));
}

// Closing a connection with unread bytes resets it, and the caller may lose the
// answer. So the rest of a refused request is read for a while.
asio::awaitable<void> DiscardUnread(const std::shared_ptr<ServerSession>& session) {
  error_code error;
  session->socket.shutdown(Tcp::socket::shutdown_send, error);
  std::array<char, kDiscardChunkBytes> chunk{};
  session->deadline.Arm(kDiscardTime);
  while (!error) {
    std::tie(error, std::ignore) =
        co_await session->socket.async_read_some(asio::buffer(chunk), kAwaitTuple);
  }
  session->deadline.Disarm();
}

// Reads one request. Empty when the connection has ended or the request was refused.
asio::awaitable<std::optional<HttpRequest>> ReadRequest(
    const std::shared_ptr<ServerSession>& session) {
  const ServerLimits& limits = session->server->limits;
  RequestParser parser;
  parser.header_limit(limits.max_header_bytes);
  parser.body_limit(limits.max_body_bytes);
  const bool has_bytes = session->buffer.size() > 0;
  if (!has_bytes) {
    session->deadline.Arm(limits.idle_timeout);
    session->is_idle = true;
    co_await session->socket.async_wait(Tcp::socket::wait_read, kAwaitTuple);
  }
  session->is_idle = false;
  session->deadline.Arm(limits.read_timeout);
  auto [error, bytes] =
      co_await http::async_read_header(session->socket, session->buffer, parser, kAwaitTuple);
  if (!error && !parser.is_done()) {
    const std::uint64_t expected =
        parser.content_length() ? *parser.content_length() : limits.max_body_bytes;
    if (session->server->buffered_body_bytes + expected > limits.max_buffered_body_bytes) {
      const RequestFailure overloaded{503, "overloaded", "too many request bodies are held"};
      co_await RefuseRequest(session, overloaded, parser);
      co_await DiscardUnread(session);
      co_return std::nullopt;
    }
    session->SetBufferedBodyBytes(expected);
    std::tie(error, bytes) =
        co_await http::async_read(session->socket, session->buffer, parser, kAwaitTuple);
  }
  session->SetBufferedBodyBytes(error ? 0 : parser.get().body().size());
  const bool expired = session->deadline.Expired();
  session->deadline.Disarm();
  if (error) {
    if (const auto failure = DescribeReadFailure(error); failure && !expired) {
      co_await RefuseRequest(session, *failure, parser);
    } else if (expired && !session->is_idle) {
      ReportUnreadable(
          *session, {.status = 0, .code = "request_too_slow", .headers = ReceivedHeaders(parser)});
      co_await DiscardUnread(session);
    }
    co_return std::nullopt;
  }
  auto& message = parser.get();
  session->keep_alive = message.keep_alive();
  HttpRequest request;
  request.method = std::string(message.method_string());
  request.target = std::string(message.target());
  request.headers = CopyHeaders(message);
  request.body = std::move(message.body());
  co_return request;
}

asio::awaitable<void> RunSession(std::shared_ptr<ServerSession> session) {
  while (session->keep_alive && session->socket.is_open()) {
    std::optional<HttpRequest> request = co_await ReadRequest(session);
    if (!request) {
      break;
    }
    co_await RunHandler(session, std::move(*request));
    session->SetBufferedBodyBytes(0);
    if (session->server->draining) {
      break;
    }
  }
  error_code ignored;
  session->socket.shutdown(Tcp::socket::shutdown_both, ignored);
  session->socket.close(ignored);
}

asio::awaitable<void> RunAcceptor(std::shared_ptr<ServerState> server) {
  Timer pause(server->executor);
  while (server->acceptor.is_open()) {
    auto [error, socket] = co_await server->acceptor.async_accept(kAwaitTuple);
    if (error == asio::error::operation_aborted) {
      break;
    }
    if (error) {
      pause.expires_after(kAcceptRetryDelay);
      co_await pause.async_wait(kAwaitTuple);
      continue;
    }
    if (server->sessions.size() >= server->limits.max_connections) {
      continue;  // the socket closes here, before any request was read
    }
    socket.set_option(Tcp::no_delay(true), error);
    auto session = std::make_shared<ServerSession>(server, std::move(socket));
    asio::co_spawn(server->executor, RunSession(std::move(session)), asio::detached);
  }
}

}  // namespace
}  // namespace detail

HttpServer::HttpServer(boost::asio::any_io_executor executor,
                       ServerLimits limits,
                       HttpHandler handler)
    : state(
          std::make_shared<detail::ServerState>(std::move(executor), limits, std::move(handler))) {}

HttpServer::~HttpServer() {
  this->BeginDrain();
  this->CloseAll();
}

Result<std::uint16_t> HttpServer::Listen(const Endpoint& endpoint) {
  Result<std::uint16_t> port = detail::OpenAcceptor(this->state->acceptor, endpoint);
  if (port) {
    boost::asio::co_spawn(this->state->executor, detail::RunAcceptor(this->state),
                          boost::asio::detached);
  }
  return port;
}

void HttpServer::OnUnreadable(std::function<void(const UnreadableRequest&)> callback) {
  this->state->on_unreadable = std::move(callback);
}

void HttpServer::SetLimits(const ServerLimits& limits) {
  this->state->limits = limits;
}

void HttpServer::StopKeepAlive() {
  this->state->draining = true;
}

void HttpServer::CloseIdle() {
  for (detail::ServerSession* session : this->state->sessions) {
    boost::system::error_code error;
    if (session->is_idle && session->socket.is_open() && session->socket.available(error) == 0) {
      session->socket.close(error);
    }
  }
}

std::size_t HttpServer::OpenConnections() const {
  return this->state->sessions.size();
}

void HttpServer::BeginDrain() {
  this->StopKeepAlive();
  boost::system::error_code ignored;
  this->state->acceptor.close(ignored);
}

std::size_t HttpServer::ActiveRequests() const {
  return this->state->active_requests;
}

void HttpServer::CloseAll() {
  for (detail::ServerSession* session : this->state->sessions) {
    boost::system::error_code ignored;
    session->socket.close(ignored);
  }
}

}  // namespace geraniumspread::transport
