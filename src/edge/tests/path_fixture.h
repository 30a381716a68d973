#ifndef EDGE_TESTS_PATH_FIXTURE_H_
#define EDGE_TESTS_PATH_FIXTURE_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <string>
#include <vector>

#include "common/runtime_clock.h"
#include "edge/tests/edge_fixture.h"

namespace geraniumspread::edge::test {

enum class PathFault : std::uint8_t {
  kNone,
  kHang,         // connections stand still, new ones get no answer
  kReset,        // connections are reset, new ones are refused
  kResetOnOpen,  // connections are reset, new ones as soon as they are open
  kRefuseNew,    // connections live on, new ones are refused
  kStandStill,   // new connections open, but no bytes pass
  kResetOnSend,  // new connections open, and each is reset at the first byte sent on it
};

// The path of one instance to one upstream.
class PathProxy {
 public:
  PathProxy(boost::asio::io_context& context, const std::string& target_address);

  std::string Address() const;
  void SetFault(PathFault next);
  // Requests that passed.
  std::size_t requests = 0;

 private:
  using Socket = boost::asio::ip::tcp::socket;
  struct Link {
    explicit Link(boost::asio::io_context& context) : instance(context), upstream(context) {}
    Socket instance;
    Socket upstream;
  };

  void Open();
  void FillQueue();
  void ResetLinks();
  boost::asio::awaitable<void> Accept(int current_round);
  boost::asio::awaitable<void> Relay(std::shared_ptr<Link> link, bool answers);

  boost::asio::io_context& io;
  boost::asio::ip::tcp::endpoint listen_endpoint;
  boost::asio::ip::tcp::endpoint target;
  boost::asio::ip::tcp::acceptor acceptor;
  PathFault fault = PathFault::kNone;
  // Rises with each opening of the acceptor.
  int round = 0;
  std::vector<std::weak_ptr<Link>> links;
  // Connections of the proxy to itself that fill its queue.
  std::vector<std::shared_ptr<Socket>> fillers;
};

// Two instances and four upstreams in two failure domains. The first instance reaches the
// upstreams through proxies only.
class PathFixture : public EdgeFixture {
 public:
  PathFixture();

  struct Tries {
    int sent = 0;
    int served = 0;
  };

  void SetFault(PathFault fault);
  // Sends one of each kind of request in turn to an instance.
  void Try(std::size_t instance, Tries& tries);
  // Sends requests to the first instance for some time.
  Tries Trickle(Duration time);
  // Runs of a request at all upstreams.
  std::size_t RunsOf(const std::string& request_id) const;
  std::size_t Runs() const;
  // Requests of the first instance that passed its own paths.
  std::size_t DirectRequests() const;
  // Orders and streams that ran twice, or ran and were answered as not run.
  std::vector<std::string> BrokenOrders() const;

  std::vector<std::unique_ptr<PathProxy>> paths;

 private:
  struct Order {
    std::string id;
    bool told_not_run = false;
  };

  void AddUpstreamBehindProxy(const std::string& failure_domain, std::deque<Reply> replies);

  std::vector<Order> orders;
  int last_id = 0;
};

}  // namespace geraniumspread::edge::test

#endif  // EDGE_TESTS_PATH_FIXTURE_H_
