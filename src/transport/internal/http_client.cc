#include "transport/http_client.h"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <charconv>
#include <optional>

#include "transport/internal/http_common.h"

namespace geraniumspread::transport {
namespace detail {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr std::size_t kReadChunkBytes = std::size_t{16} * 1024;
constexpr std::uint32_t kMaxResponseHeaderBytes = 32 * 1024;
// Limit on bytes that the parser can't process yet. The parser limits only the head; a chunk
// header or a trailer is buffered until it is complete.
constexpr std::size_t kMaxUnparsedBytes = std::size_t{64} * 1024;
// Shorter than the idle timeout of usual servers, so that they rarely close first.
constexpr Duration kMaxIdleTime = std::chrono::seconds(20);
constexpr std::size_t kMaxIdlePerEndpoint = 64;

// Upstreams close idle connections after the time they state, at the latest. A
// request that crosses the close is lost, so the connection is dropped earlier.
constexpr double kKeepAliveFraction = 0.6;
// Maximum number of unmatched answers skipped on one connection.
constexpr std::uint32_t kMaxUnmatchedAnswers = 3;
constexpr std::size_t kMaxUnmatchedBytes = std::size_t{4} << 20U;
// Servers send one or two interim heads before a response.
constexpr int kMaxInterimHeads = 8;
constexpr unsigned kMinStatus = 200;
constexpr unsigned kMaxStatus = 599;
constexpr unsigned kSwitchingProtocols = 101;
// A connection that carried more requests without success is closed rather than kept.
constexpr std::size_t kMaxRememberedRequests = 16;

// What is known about a connection, for as long as it is open.
struct ConnectionHistory {
  std::uint64_t number = 0;
  std::uint32_t exchanges = 0;
  // Keys of the requests whose answers were no success.
  std::vector<std::uint64_t> unsuccessful;

  bool HasCarried(std::optional<std::uint64_t> request_key) const {
    return request_key &&
           std::ranges::find(this->unsuccessful, *request_key) != this->unsuccessful.end();
  }
};

struct IdleConnection {
  Endpoint endpoint;
  Tcp::socket socket;
  ConnectionHistory history;
  TimePoint expires_at;
};

// The idle time that the other end allows, from "Keep-Alive: timeout=N".
Duration KeepAliveTime(std::string_view header) {
  constexpr std::string_view kName = "timeout=";
  const auto start = header.find(kName);
  int seconds = 0;
  if (start == std::string_view::npos) {
    return kMaxIdleTime;
  }
  const std::string_view digits = header.substr(start + kName.size());
  std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
  return std::min(kMaxIdleTime, std::chrono::duration_cast<Duration>(std::chrono::seconds(seconds) *
                                                                     kKeepAliveFraction));
}

// True if the connection is open and has no bytes to read.
bool IsReusable(Tcp::socket& socket) {
  char byte = 0;
  error_code error;
  socket.non_blocking(true, error);
  socket.receive(asio::buffer(&byte, 1), Tcp::socket::message_peek, error);
  return error == asio::error::would_block;
}

}  // namespace

struct PoolState {
  PoolState(asio::any_io_executor io_executor, ClientLimits client_limits)
      : executor(std::move(io_executor)), limits(client_limits) {}

  asio::any_io_executor executor;
  ClientLimits limits;
  std::vector<IdleConnection> idle;
  std::uint64_t buffered_bytes = 0;
  std::uint64_t opened_connections = 0;

  // Returns an idle connection that has not carried the request.
  std::optional<IdleConnection> Take(const Endpoint& endpoint,
                                     std::optional<std::uint64_t> request_key) {
    const TimePoint now = RuntimeClock::now();
    std::erase_if(this->idle,
                  [now](const IdleConnection& connection) { return now >= connection.expires_at; });
    for (std::size_t index = this->idle.size(); index-- > 0;) {
      if (this->idle[index].endpoint != endpoint ||
          this->idle[index].history.HasCarried(request_key)) {
        continue;
      }
      IdleConnection connection = std::move(this->idle[index]);
      this->idle.erase(this->idle.begin() + static_cast<std::ptrdiff_t>(index));
      if (IsReusable(connection.socket)) {
        return connection;
      }
    }
    return std::nullopt;
  }

  void Put(IdleConnection connection) {
    const auto same_endpoint = std::ranges::count_if(this->idle, [&](const IdleConnection& other) {
      return other.endpoint == connection.endpoint;
    });
    if (static_cast<std::size_t>(same_endpoint) < kMaxIdlePerEndpoint &&
        IsReusable(connection.socket)) {
      this->idle.push_back(std::move(connection));
    }
  }
};

class BufferedBytes {
 public:
  explicit BufferedBytes(std::shared_ptr<PoolState> pool_state) : pool(std::move(pool_state)) {}
  BufferedBytes(const BufferedBytes&) = delete;
  BufferedBytes& operator=(const BufferedBytes&) = delete;
  ~BufferedBytes() { this->pool->buffered_bytes -= this->counted; }

  // Returns false if all answers together exceed the limit. Small answers are always accepted.
  bool Set(std::uint64_t bytes) {
    const std::uint64_t previous = this->counted;
    this->counted = bytes < this->pool->limits.min_counted_bytes ? 0 : bytes;
    this->pool->buffered_bytes += this->counted - previous;
    return this->counted <= previous ||
           this->pool->buffered_bytes <= this->pool->limits.max_buffered_bytes;
  }

 private:
  std::shared_ptr<PoolState> pool;
  std::uint64_t counted = 0;
};

struct Connection {
  Connection(std::shared_ptr<PoolState> pool_state, Endpoint peer, ExchangeTimeouts phase_timeouts)
      : pool(std::move(pool_state)),
        endpoint(std::move(peer)),
        timeouts(phase_timeouts),
        socket(pool->executor),
        buffered(std::make_shared<BufferedBytes>(pool)),
        deadline(pool->executor, socket),
        total_deadline(pool->executor, socket) {}

  std::shared_ptr<PoolState> pool;
  Endpoint endpoint;
  ExchangeTimeouts timeouts;
  Tcp::socket socket;
  AnswerMemory buffered;
  Deadline deadline;
  Deadline total_deadline;
  boost::beast::flat_buffer buffer{kMaxUnparsedBytes};
  std::unique_ptr<http::response_parser<http::buffer_body>> parser;
  ExchangePhase phase = ExchangePhase::kNotStarted;
  bool pooled = false;
  ConnectionHistory history;
  std::optional<std::uint64_t> request_key;
  std::uint32_t skipped_answers = 0;
  bool cancelled = false;
  bool is_head = false;
  bool request_written = false;
  error_code write_error;
  std::optional<Duration> connect_time;
  std::function<bool(const HttpResponse&)> matches;

  void Close() {
    error_code ignored;
    this->socket.close(ignored);
  }

  void DisarmDeadlines() {
    this->deadline.Disarm();
    this->total_deadline.Disarm();
  }

  TransportError Failure(const error_code& error) {
    const ExchangePhase failed_phase = this->phase;
    const bool expired = this->deadline.Expired() || this->total_deadline.Expired();
    this->DisarmDeadlines();
    this->Close();
    TransportErrorCode code = TransportErrorCode::kConnectionClosed;
    if (this->cancelled) {
      code = TransportErrorCode::kCancelled;
    } else if (expired) {
      code = TransportErrorCode::kTimedOut;
    } else if (failed_phase == ExchangePhase::kConnecting) {
      code = TransportErrorCode::kConnectFailed;
    } else if (error == http::error::header_limit || error == http::error::body_limit ||
               error == http::error::buffer_overflow) {
      code = TransportErrorCode::kMessageTooLarge;
    } else if (error.category() == make_error_code(http::error::bad_method).category() &&
               error != http::error::end_of_stream && error != http::error::partial_message) {
      code = TransportErrorCode::kMalformedMessage;
    }
    return {code, failed_phase,
            ToString(this->endpoint) + ": " + std::string(ToString(code)) + " while " +
                std::string(ToString(failed_phase)) + " (" + error.message() + ")",
            code == TransportErrorCode::kConnectFailed &&
                error == boost::asio::error::connection_refused};
  }

  void RememberRequest() {
    const bool is_success =
        http::to_status_class(this->parser->get().result_int()) == http::status_class::successful;
    if (this->request_key && !is_success) {
      this->history.unsuccessful.push_back(*this->request_key);
    }
  }

  bool MayKeep() const {
    // A second copy of an answer to HEAD can't be skipped: its length is that of a body which it
    // doesn't have.
    return this->parser->get().keep_alive() && this->request_written && this->buffer.size() == 0 &&
           this->socket.is_open() && !this->is_head &&
           this->history.unsuccessful.size() <= kMaxRememberedRequests;
  }

  // Keeps the connection for another exchange when nothing is left on it.
  void Release() {
    this->phase = ExchangePhase::kComplete;
    this->DisarmDeadlines();
    this->RememberRequest();
    if (this->MayKeep()) {
      this->pool->Put({this->endpoint, std::move(this->socket), this->history,
                       RuntimeClock::now() + KeepAliveTime(this->parser->get()["Keep-Alive"])});
    } else {
      this->Close();
    }
  }
};

namespace {

asio::awaitable<std::optional<TransportError>> Connect(std::shared_ptr<Connection> connection,
                                                       ConnectionPolicy policy) {
  connection->phase = ExchangePhase::kConnecting;
  if (policy == ConnectionPolicy::kReuse) {
    if (auto idle = connection->pool->Take(connection->endpoint, connection->request_key); idle) {
      connection->socket = std::move(idle->socket);
      connection->history = std::move(idle->history);
      ++connection->history.exchanges;
      connection->pooled = true;
      co_return std::nullopt;
    }
  }
  error_code error;
  TimePoint started_at;
  const auto address = asio::ip::make_address(connection->endpoint.address, error);
  if (!error) {
    connection->deadline.Arm(connection->timeouts.connect);
    started_at = RuntimeClock::now();
    std::tie(error) = co_await connection->socket.async_connect(
        Tcp::endpoint(address, connection->endpoint.port), kAwaitTuple);
  }
  if (error || connection->cancelled || connection->deadline.Expired() ||
      connection->total_deadline.Expired()) {
    co_return connection->Failure(error);
  }
  connection->deadline.Disarm();
  connection->connect_time = RuntimeClock::now() - started_at;
  connection->history = {++connection->pool->opened_connections, 1, {}};
  connection->socket.set_option(Tcp::no_delay(true), error);
  co_return std::nullopt;
}

http::request<http::string_body> BuildMessage(const Endpoint& endpoint, HttpRequest request) {
  http::request<http::string_body> message;
  const bool has_host = !FindHeader(request.headers, "Host").empty();
  message.method_string(request.method);
  message.target(request.target);
  if (!has_host) {
    message.set(http::field::host, ToString(endpoint));
  }
  for (const HttpHeader& header : request.headers) {
    if (!IsFramingHeader(header.name)) {
      message.insert(header.name, header.value);
    }
  }
  message.body() = std::move(request.body);
  message.keep_alive(true);
  message.prepare_payload();
  return message;
}

// Runs concurrently with reading the answer. The reader reports a failed write, since it
// may still receive an answer that was sent earlier.
void StartWrite(const std::shared_ptr<Connection>& connection,
                http::request<http::string_body> request) {
  const auto message = std::make_shared<http::request<http::string_body>>(std::move(request));
  http::async_write(connection->socket, *message,
                    [connection, message](const error_code& error, std::size_t /*bytes*/) {
                      if (error) {
                        connection->write_error = error;
                        return;
                      }
                      connection->request_written = true;
                      if (connection->phase == ExchangePhase::kWritingRequest) {
                        connection->phase = ExchangePhase::kWaitingForResponse;
                        connection->deadline.Arm(connection->timeouts.first_byte);
                      }
                    });
}

asio::awaitable<error_code> ReadOneHead(std::shared_ptr<Connection> connection) {
  connection->parser = std::make_unique<http::response_parser<http::buffer_body>>();
  connection->parser->header_limit(kMaxResponseHeaderBytes);
  connection->parser->body_limit(boost::none);
  connection->parser->skip(connection->is_head);
  const auto [error, bytes] = co_await http::async_read_header(
      connection->socket, connection->buffer, *connection->parser, kAwaitTuple);
  co_return error;
}

// True if the status line holds another one: it was cut off, and the head of the next answer
// follows, to which the status doesn't belong.
bool HasJoinedStatusLine(const http::response_header<>& head) {
  return head.reason().find("HTTP/1.") != boost::beast::string_view::npos;
}

// True for a head that comes before that of the response. No request asks for another protocol.
bool IsInterim(unsigned status) {
  constexpr unsigned kFirst = 100;
  return status >= kFirst && status < kMinStatus && status != kSwitchingProtocols;
}

// Reads the head of the next response. A status outside its range is an error.
asio::awaitable<error_code> ReadHead(std::shared_ptr<Connection> connection) {
  for (int interim = 0; interim <= kMaxInterimHeads; ++interim) {
    if (const auto error = co_await ReadOneHead(connection); error) {
      co_return error;
    }
    const auto& head = connection->parser->get();
    if (HasJoinedStatusLine(head)) {
      co_return http::error::bad_reason;
    }
    if (!IsInterim(head.result_int())) {
      const bool is_valid = head.result_int() >= kMinStatus && head.result_int() <= kMaxStatus;
      co_return is_valid ? error_code() : http::error::bad_status;
    }
  }
  co_return http::error::bad_status;
}

// Returns why a body that ended with its connection may be incomplete. The write may have taken the
// error of a reset, so that the read saw a plain end.
asio::awaitable<error_code> CheckEndOfConnection(std::shared_ptr<Connection> connection) {
  if (!connection->request_written && !connection->write_error) {
    // The handler of a write that has finished may be queued behind that of the read.
    co_await asio::post(connection->socket.get_executor(), asio::use_awaitable);
  }
  if (connection->write_error) {
    co_return connection->write_error;
  }
  if (!connection->request_written || !connection->socket.is_open()) {
    co_return http::error::partial_message;
  }
  // A reset after the end of the other direction doesn't fail the read.
  int pending = 0;
  socklen_t size = sizeof(pending);
  ::getsockopt(connection->socket.native_handle(), SOL_SOCKET, SO_ERROR, &pending, &size);
  co_return error_code(pending, boost::system::system_category());
}

// Reads and drops the body of an unmatched answer. A body without a length
// fails, since it can't be separated from the next answer.
asio::awaitable<error_code> SkipBody(std::shared_ptr<Connection> connection) {
  if (connection->parser->need_eof()) {
    co_return asio::error::operation_aborted;
  }
  std::array<char, kReadChunkBytes> chunk{};
  std::size_t skipped = 0;
  while (!connection->parser->is_done()) {
    auto& body = connection->parser->get().body();
    body.data = chunk.data();
    body.size = chunk.size();
    body.more = true;
    const auto [error, bytes] = co_await http::async_read_some(
        connection->socket, connection->buffer, *connection->parser, kAwaitTuple);
    if (error && error != http::error::need_buffer) {
      co_return error;
    }
    skipped += bytes;
    if (skipped > kMaxUnmatchedBytes) {
      co_return http::error::body_limit;
    }
  }
  co_return error_code();
}

}  // namespace
}  // namespace detail

namespace {
namespace http = boost::beast::http;
}  // namespace

HttpConnectionPool::HttpConnectionPool(boost::asio::any_io_executor executor, ClientLimits limits)
    : state(std::make_shared<detail::PoolState>(std::move(executor), limits)) {}

std::size_t HttpConnectionPool::IdleConnections() const {
  return this->state->idle.size();
}

void HttpConnectionPool::CloseIdle() {
  this->state->idle.clear();
}

HttpExchange::HttpExchange(HttpConnectionPool& pool, Endpoint endpoint, ExchangeTimeouts timeouts)
    : connection(std::make_shared<detail::Connection>(pool.state, std::move(endpoint), timeouts)) {}

HttpExchange::~HttpExchange() {
  this->Cancel();
}

void HttpExchange::Cancel() {
  if (this->connection->phase != ExchangePhase::kComplete) {
    this->connection->cancelled = true;
    this->connection->DisarmDeadlines();
    this->connection->Close();
  }
}

void HttpExchange::IdentifyRequest(std::uint64_t key) {
  this->connection->request_key = key;
}

void HttpExchange::SkipUnmatchedAnswers(std::function<bool(const HttpResponse&)> matches) {
  this->connection->matches = std::move(matches);
}

ExchangePhase HttpExchange::Phase() const {
  return this->connection->phase;
}

std::optional<Duration> HttpExchange::ConnectTime() const {
  return this->connection->connect_time;
}

bool HttpExchange::EndsWithConnection() const {
  return this->connection->parser != nullptr && this->connection->parser->need_eof();
}

bool HttpExchange::RecordBuffered(std::size_t bytes) {
  return this->connection->buffered->Set(bytes);
}

AnswerMemory HttpExchange::Memory() const {
  return this->connection->buffered;
}

bool HttpExchange::UsedPooledConnection() const {
  return this->connection->pooled;
}

ConnectionUse HttpExchange::Use() const {
  return {this->connection->history.number, this->connection->history.exchanges,
          this->connection->skipped_answers};
}

boost::asio::awaitable<Result<HttpResponse>> HttpExchange::Start(HttpRequest request,
                                                                 ConnectionPolicy policy) {
  // The coroutine keeps the connection, since Cancel may come from the destructor.
  const std::shared_ptr<detail::Connection> current = this->connection;
  current->is_head = request.method == "HEAD";
  if (current->timeouts.total > Duration{0}) {
    current->total_deadline.Arm(current->timeouts.total);
  }
  if (auto failure = co_await detail::Connect(current, policy); failure) {
    co_return std::move(*failure);
  }
  current->phase = ExchangePhase::kWritingRequest;
  current->deadline.Arm(current->timeouts.write);
  detail::StartWrite(current, detail::BuildMessage(current->endpoint, std::move(request)));
  while (current->skipped_answers <= detail::kMaxUnmatchedAnswers) {
    if (const auto read_error = co_await detail::ReadHead(current); read_error) {
      const bool is_malformed =
          read_error == http::error::bad_status || read_error == http::error::bad_reason;
      co_return current->Failure(current->write_error && !is_malformed ? current->write_error
                                                                       : read_error);
    }
    HttpResponse response;
    response.status = static_cast<int>(current->parser->get().result_int());
    response.headers = detail::CopyHeaders(current->parser->get());
    if (!current->matches || current->matches(response)) {
      current->deadline.Disarm();
      current->phase = ExchangePhase::kReadingBody;
      if (current->parser->is_done()) {
        current->Release();
      }
      co_return response;
    }
    if (const auto error = co_await detail::SkipBody(current); error) {
      co_return current->Failure(error);
    }
    ++current->skipped_answers;
  }
  co_return current->Failure(boost::asio::error::operation_aborted);
}

boost::asio::awaitable<Result<std::string>> HttpExchange::ReadSome() {
  const std::shared_ptr<detail::Connection> current = this->connection;
  std::string chunk;
  while (current->phase == ExchangePhase::kReadingBody && chunk.empty()) {
    chunk.resize(detail::kReadChunkBytes);
    auto& body = current->parser->get().body();
    body.data = chunk.data();
    body.size = chunk.size();
    body.more = true;
    current->deadline.Arm(current->timeouts.between_bytes);
    auto [error, bytes] = co_await http::async_read_some(current->socket, current->buffer,
                                                         *current->parser, detail::kAwaitTuple);
    if (error == http::error::need_buffer) {
      error = {};
    }
    if (error) {
      co_return current->Failure(error);
    }
    current->deadline.Disarm();
    chunk.resize(detail::kReadChunkBytes - current->parser->get().body().size);
    if (current->parser->is_done()) {
      if (current->parser->need_eof()) {
        error = co_await detail::CheckEndOfConnection(current);
      }
      if (error) {
        co_return current->Failure(error);
      }
      current->Release();
    }
  }
  if (current->phase != ExchangePhase::kComplete && chunk.empty()) {
    co_return current->Failure(boost::asio::error::operation_aborted);
  }
  co_return chunk;
}

boost::asio::awaitable<Result<std::string>> HttpExchange::ReadAll(std::size_t max_bytes) {
  std::string body;
  while (true) {
    Result<std::string> chunk = co_await this->ReadSome();
    if (!chunk) {
      co_return std::move(chunk).error();
    }
    if (chunk.value().empty()) {
      co_return body;
    }
    body += chunk.value();
    const bool is_too_large = body.size() > max_bytes;
    if (is_too_large || !this->RecordBuffered(body.capacity())) {
      this->Cancel();
      co_return TransportError{TransportErrorCode::kMessageTooLarge, ExchangePhase::kReadingBody,
                               is_too_large ? "the answer is larger than the limit"
                                            : "all answers in memory are larger than the limit"};
    }
  }
}

boost::asio::awaitable<std::optional<TransportErrorCode>> TryConnect(
    boost::asio::any_io_executor executor,
    Endpoint endpoint,
    Duration timeout,
    Duration hold_time) {
  detail::Tcp::socket socket(executor);
  detail::Deadline deadline(executor, socket);
  boost::system::error_code error;
  const auto address = boost::asio::ip::make_address(endpoint.address, error);
  if (error) {
    co_return TransportErrorCode::kConnectFailed;
  }
  deadline.Arm(timeout);
  std::tie(error) = co_await socket.async_connect(detail::Tcp::endpoint(address, endpoint.port),
                                                  detail::kAwaitTuple);
  if (deadline.Expired()) {
    co_return TransportErrorCode::kTimedOut;
  }
  if (error) {
    co_return TransportErrorCode::kConnectFailed;
  }
  if (hold_time > Duration{0}) {
    char byte = 0;
    deadline.Arm(hold_time);
    std::tie(error, std::ignore) =
        co_await socket.async_read_some(boost::asio::buffer(&byte, 1), detail::kAwaitTuple);
    if (error && !deadline.Expired()) {
      co_return TransportErrorCode::kConnectionClosed;
    }
  }
  co_return std::nullopt;
}

boost::asio::awaitable<Result<HttpResponse>> Fetch(HttpConnectionPool& pool,
                                                   Endpoint endpoint,
                                                   HttpRequest request,
                                                   ExchangeTimeouts timeouts,
                                                   std::size_t max_body_bytes) {
  HttpExchange exchange(pool, std::move(endpoint), timeouts);
  Result<HttpResponse> response =
      co_await exchange.Start(std::move(request), ConnectionPolicy::kReuse);
  if (!response) {
    co_return response;
  }
  Result<std::string> body = co_await exchange.ReadAll(max_body_bytes);
  if (!body) {
    co_return std::move(body).error();
  }
  response.value().body = std::move(body).value();
  co_return response;
}

}  // namespace geraniumspread::transport
