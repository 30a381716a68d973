#ifndef STANDIN_INTERNAL_LISTENER_H_
#define STANDIN_INTERNAL_LISTENER_H_

#include <boost/asio/any_io_executor.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "standin/internal/http_util.h"
#include "transport/http_server.h"

namespace geraniumspread::standin::detail {

// The connections that were accepted between two faults of a listener.
struct ConnectionGroup {
  std::unique_ptr<transport::HttpServer> server;
  bool silent = false;
};

// Answers the requests of a listener. An interface and not std::function: the
// analyzer of clang-tidy 19 misreads coroutines that it can inline into a lambda.
class RequestHandler {
 public:
  RequestHandler() = default;
  RequestHandler(const RequestHandler&) = delete;
  RequestHandler& operator=(const RequestHandler&) = delete;
  virtual ~RequestHandler() = default;

  // Returns whether a whole answer was sent. A handler that only sends one
  // returns Send of the responder: clang-tidy 19 misreads very short coroutines.
  virtual boost::asio::awaitable<bool> Handle(transport::HttpRequest request,
                                              transport::HttpResponder& responder) = 0;
};

// A listening address whose connections can be made to fail.
class Listener {
 public:
  Listener(boost::asio::any_io_executor io_executor,
           transport::Endpoint listen_endpoint,
           RequestHandler& request_handler);

  // Accepts connections. Returns the reason when the port can't be opened.
  std::optional<std::string> Open();
  // Closes the port and all connections.
  void Close();
  // Open connections never answer again; new connections work.
  void Silence();
  // Refuses new connections; open connections end after their answers.
  void Refuse();
  bool IsOpen() const { return this->current != nullptr; }

 private:
  boost::asio::awaitable<void> Dispatch(std::shared_ptr<ConnectionGroup> group,
                                        transport::HttpRequest request,
                                        transport::HttpResponder& responder);

  boost::asio::any_io_executor executor;
  transport::Endpoint endpoint;
  RequestHandler& handler;
  std::shared_ptr<ConnectionGroup> current;
  std::vector<std::shared_ptr<ConnectionGroup>> former;
};

}  // namespace geraniumspread::standin::detail

#endif  // STANDIN_INTERNAL_LISTENER_H_
