#ifndef EDGE_TESTS_EDGE_FIXTURE_H_
#define EDGE_TESTS_EDGE_FIXTURE_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "edge/edge.h"
#include "transport/http_client.h"

namespace geraniumspread::edge::test {

// How a stand-in upstream handles one request.
struct Reply {
  // kEndHere ends only the upstream's direction, reads nothing more and closes a while later.
  enum class Then : std::uint8_t { kKeep, kClose, kReset, kEndHere };
  // "{id}" is replaced by the id of the request.
  std::string bytes;
  Then then = Then::kKeep;
  // Sends nothing and waits until the client closes the connection.
  bool is_silent = false;
  // Sent repeatedly after `bytes`, every `pause`, until the client closes the connection. Without
  // it, the pause comes before the end of the connection.
  std::string endless;
  std::chrono::milliseconds pause{0};
  // Sent once more when the next request has come on the connection: in one write with the
  // response to that request, or this long before it.
  std::string late_copy;
  std::chrono::milliseconds late_by{0};
};

Reply Sealed(const std::string& body, int status = 200);
Reply NotRun();
// Adds a header to the response.
Reply With(Reply reply, const std::string& header);
// A chunked stream of the events `first` to `last`. With `whole`, it also has its end.
Reply Events(int first, int last, bool whole = true);
Reply Silence();

// An upstream that sends the next reply to each request, and repeats the last one.
class RawUpstream {
 public:
  RawUpstream(boost::asio::io_context& io, std::deque<Reply> replies);

  std::string Address() const;
  // Replaces the replies that are left.
  void SetReplies(std::deque<Reply> replies);
  // Heads and bodies of the received requests, in order, without the health checks.
  std::vector<std::string> requests;
  std::size_t health_checks = 0;
  std::size_t connections = 0;
  std::size_t closed_by_peer = 0;
  // If set, a request that contains this text crashes the process: all connections are reset
  // and later connects are refused.
  std::string crashes_on;
  bool has_crashed = false;
  // From now on, replies come as soon as the head of a request is read. The rest of a large body
  // stays unread and fills the buffers of the connection.
  void ReplyEarly();

 private:
  bool replies_early = false;

  boost::asio::awaitable<void> Accept();
  boost::asio::awaitable<void> Serve(std::shared_ptr<boost::asio::ip::tcp::socket> socket);
  void Crash();

  std::vector<std::weak_ptr<boost::asio::ip::tcp::socket>> sockets;

  boost::asio::ip::tcp::acceptor acceptor;
  std::deque<Reply> pending;
};

// One instance with a route for each repeatability, on loopback.
class EdgeFixture {
 public:
  EdgeFixture();

  // Starts another instance of the fleet at this loopback address, with the same published
  // upstreams. Requests go to the instance that `current` selects.
  void AddInstance(const std::string& address);

  // Publishes an upstream of the service "app".
  RawUpstream& AddUpstream(std::deque<Reply> replies, const std::string& version = "v1");
  // Publishes one more upstream with this address.
  void AddListing(const RawUpstream& upstream, const std::string& version = "v1");
  // Sends one request and waits for the whole response.
  transport::Result<transport::HttpResponse> Call(const std::string& target,
                                                  transport::HttpHeaders headers = {},
                                                  std::string body = "order");
  // Sends one request. The response is set once it has arrived.
  std::shared_ptr<std::optional<transport::Result<transport::HttpResponse>>>
  Begin(const std::string& target, transport::HttpHeaders headers = {}, std::string body = "order");
  // Returns the body of an operators' page.
  std::string Ask(const std::string& target);
  // Sends `bytes` unchanged and returns everything received until the connection is idle or
  // closed.
  std::string CallRaw(const std::string& bytes);
  void RunFor(std::chrono::milliseconds time);

  boost::asio::io_context io;
  EdgeSettings settings;
  std::unique_ptr<Edge> edge;
  // Instances after the first, with the endpoints that callers use.
  std::vector<std::unique_ptr<Edge>> other_instances;
  std::vector<transport::Endpoint> caller_endpoints;
  // The instance that gets the requests: an index into `caller_endpoints`.
  std::size_t current = 0;
  std::vector<std::unique_ptr<RawUpstream>> upstreams;
  std::size_t listings = 0;
  // Added to the published value of each upstream: its failure domain, its slots and its service.
  std::string listing_details;
  std::uint64_t revision = 1;
  // Era of the store.
  std::uint64_t era = 0;
};

}  // namespace geraniumspread::edge::test

#endif  // EDGE_TESTS_EDGE_FIXTURE_H_
