#ifndef TRANSPORT_HTTP_CLIENT_H_
#define TRANSPORT_HTTP_CLIENT_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "transport/transport_types.h"

namespace geraniumspread::transport {

namespace detail {
struct PoolState;
struct Connection;
class BufferedBytes;
}  // namespace detail

// Whether an exchange may use a connection that has served another one before.
enum class ConnectionPolicy : std::uint8_t {
  kReuse,
  // For non-repeatable requests and after a silent connection: an idle
  // connection may have been closed by the other end while the request was on
  // its way, and then nobody knows whether it ran.
  kFresh,
};

// The connection of an exchange, as stated in log lines.
struct ConnectionUse {
  // Number of the connection in its pool; 0 if none was opened.
  std::uint64_t number = 0;
  // Exchanges on this connection so far, with this one.
  std::uint32_t exchanges = 0;
  // Answers that were skipped, as they belong to other requests.
  std::uint32_t skipped_answers = 0;
};

// Keeps idle connections by endpoint. A connection is kept only when its last
// answer was read to its end and nothing came after it. It remembers the requests
// that it carried without success, so that they are not sent on it again.
class HttpConnectionPool {
 public:
  explicit HttpConnectionPool(boost::asio::any_io_executor executor, ClientLimits limits = {});

  std::size_t IdleConnections() const;
  void CloseIdle();

 private:
  friend class HttpExchange;
  std::shared_ptr<detail::PoolState> state;
};

// Counts the memory of an answer against the limit of its pool while it is held.
using AnswerMemory = std::shared_ptr<detail::BufferedBytes>;

// One request and its answer on one connection.
class HttpExchange {
 public:
  HttpExchange(HttpConnectionPool& pool, Endpoint endpoint, ExchangeTimeouts timeouts);
  HttpExchange(const HttpExchange&) = delete;
  HttpExchange& operator=(const HttpExchange&) = delete;
  // An exchange that is not complete closes its connection.
  ~HttpExchange();

  // Sets a hash of the request's id, which must be the same each time that the request is sent.
  // A peer may send an answer twice, and the id of the second one doesn't tell which send of the
  // request it belongs to. So the request uses no connection that has carried it before, unless
  // the answer had a 2xx status.
  void IdentifyRequest(std::uint64_t key);
  // Reads and drops answers for which `matches` returns false: a late
  // answer to an earlier request may come first on a kept connection.
  void SkipUnmatchedAnswers(std::function<bool(const HttpResponse&)> matches);
  // Sends the request and reads the head of the answer (its body is empty). The
  // answer may come before the request is sent to its end. Interim heads (1xx) are skipped; another
  // status outside 200 to 599 is an error.
  boost::asio::awaitable<Result<HttpResponse>> Start(HttpRequest request, ConnectionPolicy policy);
  // The next piece of the body; empty at its end. A body that ends with its connection is an error
  // if the request was not written to its end, or if the connection was reset.
  boost::asio::awaitable<Result<std::string>> ReadSome();
  // The rest of the body, at most `max_bytes`.
  boost::asio::awaitable<Result<std::string>> ReadAll(std::size_t max_bytes);

  // Sets the size of the answer in memory. Returns false if this exceeds the limit of the pool.
  bool RecordBuffered(std::size_t bytes);
  // Keeps the answer counted after the end of the exchange.
  AnswerMemory Memory() const;

  // Closes the connection; a waiting call returns kCancelled.
  void Cancel();
  ExchangePhase Phase() const;
  bool UsedPooledConnection() const;
  ConnectionUse Use() const;
  // True if only the end of the connection marks the end of the answer's body.
  bool EndsWithConnection() const;
  // Returns nullopt for a reused connection or one that was not opened.
  std::optional<Duration> ConnectTime() const;

 private:
  std::shared_ptr<detail::Connection> connection;
};

// Opens a connection and closes it again after `hold_time`. Returns the error if that fails, also
// if the other end closes it before.
boost::asio::awaitable<std::optional<TransportErrorCode>> TryConnect(
    boost::asio::any_io_executor executor,
    Endpoint endpoint,
    Duration timeout,
    Duration hold_time = Duration{0});

// Sends a request and reads the whole answer.
boost::asio::awaitable<Result<HttpResponse>> Fetch(HttpConnectionPool& pool,
                                                   Endpoint endpoint,
                                                   HttpRequest request,
                                                   ExchangeTimeouts timeouts,
                                                   std::size_t max_body_bytes);

}  // namespace geraniumspread::transport

#endif  // TRANSPORT_HTTP_CLIENT_H_
