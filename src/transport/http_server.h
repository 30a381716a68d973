#ifndef TRANSPORT_HTTP_SERVER_H_
#define TRANSPORT_HTTP_SERVER_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <string_view>

#include "transport/transport_types.h"

namespace geraniumspread::transport {

namespace detail {
class ServerState;
}  // namespace detail

// Answers one request. Exactly one of Send or StartStream is called; a stream
// is then written in pieces and finished. The functions return false once the
// caller has gone.
class HttpResponder {
 public:
  HttpResponder() = default;
  HttpResponder(const HttpResponder&) = delete;
  HttpResponder& operator=(const HttpResponder&) = delete;
  virtual ~HttpResponder() = default;

  // Sends a whole answer with its length.
  virtual boost::asio::awaitable<bool> Send(HttpResponse response) = 0;
  // Starts a chunked answer.
  virtual boost::asio::awaitable<bool> StartStream(int status, HttpHeaders headers) = 0;
  virtual boost::asio::awaitable<bool> Write(std::string_view bytes) = 0;
  // Ends a chunked answer. A stream that is not finished is closed without its
  // last chunk, so that the caller sees that it is not whole.
  virtual boost::asio::awaitable<bool> Finish() = 0;

  // True once a status line was sent.
  virtual bool HasStarted() const = 0;
  // `callback` runs once when the caller closes its connection before the answer
  // is complete. An empty function removes it.
  virtual void OnDisconnect(std::function<void()> callback) = 0;
};

using HttpHandler =
    std::function<boost::asio::awaitable<void>(HttpRequest request, HttpResponder& responder)>;

// A request that could not be read and never reached the handler. `status` is the one of its
// answer; 0 when the connection was closed without one.
struct UnreadableRequest {
  int status = 0;
  std::string_view code;
  // Empty if the head was not read to its end.
  HttpHeaders headers;
};

// An HTTP/1.1 server for one listening address.
class HttpServer {
 public:
  HttpServer(boost::asio::any_io_executor executor, ServerLimits limits, HttpHandler handler);
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;
  // Closes every connection.
  ~HttpServer();

  // Starts to accept. Port 0 takes a free port; the port in use is returned.
  Result<std::uint16_t> Listen(const Endpoint& endpoint);
  // Calls `callback` for each request that can't be read.
  void OnUnreadable(std::function<void(const UnreadableRequest&)> callback);
  // Applies to requests that are read from now on.
  void SetLimits(const ServerLimits& limits);
  // Still accepts, and closes each connection after its next answer.
  void StopKeepAlive();
  // Closes the connections that wait for a request.
  void CloseIdle();
  // Accepts no new connections and closes each open one after its next answer.
  void BeginDrain();
  std::size_t OpenConnections() const;
  // Requests whose answers are not complete.
  std::size_t ActiveRequests() const;
  void CloseAll();

 private:
  std::shared_ptr<detail::ServerState> state;
};

}  // namespace geraniumspread::transport

#endif  // TRANSPORT_HTTP_SERVER_H_
