#ifndef EDGE_TESTS_EDGE_FIXTURE_H_
#define EDGE_TESTS_EDGE_FIXTURE_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "edge/edge.h"
#include "transport/http_client.h"

namespace geraniumspread::edge::test {

// What a stand-in upstream does with one request.
struct Reply {
  enum class Then : std::uint8_t { kKeep, kClose, kReset };
  // "{id}" becomes the id of the request.
  std::string bytes;
  Then then = Then::kKeep;
  // Without bytes, nothing is answered until the caller closes.
  bool is_silent = false;
  // Sent after `bytes` again and again, with this pause, until the caller closes.
  std::string endless;
  std::chrono::milliseconds pause{0};
};

Reply Sealed(const std::string& body, int status = 200);
Reply NotRun();
// Adds a header to the answer.
Reply With(Reply reply, const std::string& header);
// A chunked stream of the events `first` to `last`; it is whole when it ends.
Reply Events(int first, int last, bool whole = true);
Reply Silence();

// An upstream that answers each request with the next reply, and the last one again.
class RawUpstream {
 public:
  RawUpstream(boost::asio::io_context& io, std::deque<Reply> replies);

  std::string Address() const;
  // Heads and bodies of the requests that came, in order.
  std::vector<std::string> requests;
  std::size_t connections = 0;
  std::size_t closed_by_peer = 0;

 private:
  boost::asio::awaitable<void> Accept();
  boost::asio::awaitable<void> Serve(boost::asio::ip::tcp::socket socket);

  boost::asio::ip::tcp::acceptor acceptor;
  std::deque<Reply> pending;
};

// One instance with a route for each repeatability, on loopback.
class EdgeFixture {
 public:
  EdgeFixture();

  // Publishes an upstream of the service "app".
  RawUpstream& AddUpstream(std::deque<Reply> replies);
  // Sends one request and waits for its whole answer.
  transport::Result<transport::HttpResponse> Call(const std::string& target,
                                                  transport::HttpHeaders headers = {},
                                                  std::string body = "order");
  // Body of a page for operators.
  std::string Ask(const std::string& target);
  // Sends bytes as they are and returns all that comes back until the connection
  // is quiet or closed.
  std::string CallRaw(const std::string& bytes);
  void RunFor(std::chrono::milliseconds time);

  boost::asio::io_context io;
  EdgeSettings settings;
  std::unique_ptr<Edge> edge;
  std::vector<std::unique_ptr<RawUpstream>> upstreams;
  std::uint64_t revision = 1;
};

}  // namespace geraniumspread::edge::test

#endif  // EDGE_TESTS_EDGE_FIXTURE_H_
