#include "edge/tests/path_fixture.h"

#include <sys/socket.h>

#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <charconv>

namespace geraniumspread::edge::test {
namespace {

namespace asio = boost::asio;
using namespace std::chrono_literals;
using asio::ip::tcp;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr int kBacklog = 128;
constexpr int kUpstreamsPerDomain = 2;

std::size_t CountOf(std::string_view text, std::string_view part) {
  std::size_t count = 0;
  for (auto at = text.find(part); at != std::string_view::npos; at = text.find(part, at + 1)) {
    ++count;
  }
  return count;
}

tcp::endpoint EndpointOf(std::string_view address) {
  std::uint16_t port = 0;
  std::from_chars(address.data() + address.rfind(':') + 1, address.data() + address.size(), port);
  return {asio::ip::make_address("127.0.0.1"), port};
}

void Reset(tcp::socket& socket) {
  boost::system::error_code ignored;
  socket.set_option(tcp::socket::linger(true, 0), ignored);
  socket.close(ignored);
}

bool StandsStill(PathFault fault) {
  return fault == PathFault::kHang || fault == PathFault::kStandStill;
}

}  // namespace

PathProxy::PathProxy(asio::io_context& context, const std::string& target_address)
    : io(context),
      listen_endpoint(asio::ip::make_address("127.0.0.1"), 0),
      target(EndpointOf(target_address)),
      acceptor(context) {
  this->Open();
}

std::string PathProxy::Address() const {
  return "127.0.0.1:" + std::to_string(this->listen_endpoint.port());
}

void PathProxy::Open() {
  this->acceptor.open(tcp::v4());
  this->acceptor.set_option(tcp::acceptor::reuse_address(true));
  this->acceptor.bind(this->listen_endpoint);
  this->acceptor.listen(kBacklog);
  this->listen_endpoint = this->acceptor.local_endpoint();
  asio::co_spawn(this->io, this->Accept(++this->round), asio::detached);
}

// The kernel drops further connects while the queue of a listening socket is full.
void PathProxy::FillQueue() {
  ++this->round;
  this->acceptor.cancel();
  ::listen(this->acceptor.native_handle(), 0);
  for (int count = 0; count < 3; ++count) {
    auto filler = std::make_shared<Socket>(this->io);
    filler->async_connect(this->listen_endpoint, [filler](const boost::system::error_code&) {});
    this->fillers.push_back(std::move(filler));
  }
}

void PathProxy::ResetLinks() {
  for (const auto& weak : this->links) {
    if (const auto link = weak.lock()) {
      Reset(link->instance);
      Reset(link->upstream);
    }
  }
  this->links.clear();
}

void PathProxy::SetFault(PathFault next) {
  this->fault = next;
  for (const auto& filler : this->fillers) {
    filler->close();
  }
  this->fillers.clear();
  ++this->round;
  this->acceptor.close();
  if (next == PathFault::kReset || next == PathFault::kResetOnOpen ||
      next == PathFault::kResetOnSend) {
    this->ResetLinks();
  }
  if (next != PathFault::kReset && next != PathFault::kRefuseNew) {
    this->Open();
  }
  if (next == PathFault::kHang) {
    this->FillQueue();
  }
}

asio::awaitable<void> PathProxy::Accept(int current_round) {
  while (this->round == current_round) {
    auto link = std::make_shared<Link>(this->io);
    if (const auto [error] = co_await this->acceptor.async_accept(link->instance, kAwait);
        error || this->round != current_round) {
      continue;
    }
    if (this->fault == PathFault::kResetOnOpen) {
      Reset(link->instance);
      continue;
    }
    boost::system::error_code error;
    link->upstream.connect(this->target, error);
    if (error) {
      continue;
    }
    this->links.push_back(link);
    asio::co_spawn(this->io, this->Relay(link, false), asio::detached);
    asio::co_spawn(this->io, this->Relay(std::move(link), true), asio::detached);
  }
}

asio::awaitable<void> PathProxy::Relay(std::shared_ptr<Link> link, bool answers) {
  Socket& from = answers ? link->upstream : link->instance;
  Socket& to = answers ? link->instance : link->upstream;
  std::array<char, 4096> chunk{};
  asio::steady_timer pause(this->io);
  boost::system::error_code error;
  while (!error) {
    std::size_t count = 0;
    std::tie(error, count) = co_await from.async_read_some(asio::buffer(chunk), kAwait);
    if (!error && this->fault == PathFault::kResetOnSend) {
      Reset(link->instance);
      Reset(link->upstream);
      co_return;
    }
    while (StandsStill(this->fault)) {
      pause.expires_after(5ms);
      co_await pause.async_wait(kAwait);
    }
    if (!error) {
      this->requests += answers ? 0 : CountOf({chunk.data(), count}, "X-Id: ");
      std::tie(error, count) =
          co_await asio::async_write(to, asio::buffer(chunk.data(), count), kAwait);
    }
  }
  boost::system::error_code ignored;
  from.close(ignored);
  to.close(ignored);
}

PathFixture::PathFixture() {
  this->AddInstance("127.0.0.2");
  for (const std::string failure_domain : {"a", "b"}) {
    for (int count = 0; count < kUpstreamsPerDomain; ++count) {
      this->AddUpstreamBehindProxy(failure_domain, {Events(1, 3)});
    }
  }
  // Instances exchange digests.
  this->RunFor(1s);
}

void PathFixture::AddUpstreamBehindProxy(const std::string& failure_domain,
                                         std::deque<Reply> replies) {
  this->upstreams.push_back(std::make_unique<RawUpstream>(this->io, std::move(replies)));
  const std::string address = this->upstreams.back()->Address();
  this->paths.push_back(std::make_unique<PathProxy>(this->io, address));
  ++this->revision;
  const auto publish = [&](Edge& instance, const std::string& listed) {
    instance.OnPublishedChanges({{"config", "", this->revision},
                                 {"u" + std::to_string(this->upstreams.size()),
                                  listed + " v1 " + failure_domain, this->revision + 1}},
                                {this->era, this->revision + 1});
  };
  publish(*this->edge, this->paths.back()->Address());
  publish(*this->other_instances[0], address);
  ++this->revision;
}

void PathFixture::SetFault(PathFault fault) {
  for (const auto& path : this->paths) {
    path->SetFault(fault);
  }
}

void PathFixture::Try(std::size_t instance, Tries& tries) {
  constexpr std::array<const char*, 3> kTargets = {"/order/", "/lookup/", "/stream/"};
  const std::string target = kTargets.at(static_cast<std::size_t>(tries.sent) % kTargets.size());
  const std::string id = "path-" + std::to_string(++this->last_id);
  this->current = instance;
  const auto answer = this->Call(target, {{"X-Id", id}});
  ++tries.sent;
  const bool is_served = answer && answer.value().status == 200 &&
                         answer.value().body.find("data: e3") != std::string::npos;
  tries.served += is_served ? 1 : 0;
  if (target != "/lookup/") {
    this->orders.push_back(
        {id, answer && transport::FindHeader(answer.value().headers, "X-Ran") == "no"});
  }
}

PathFixture::Tries PathFixture::Trickle(Duration time) {
  Tries tries;
  for (const TimePoint until = RuntimeClock::now() + time; RuntimeClock::now() < until;) {
    this->Try(0, tries);
    this->RunFor(50ms);
  }
  return tries;
}

std::size_t PathFixture::RunsOf(const std::string& request_id) const {
  std::size_t runs = 0;
  for (const auto& upstream : this->upstreams) {
    for (const std::string& request : upstream->requests) {
      runs += CountOf(request, "X-Id: " + request_id + "\r\n");
    }
  }
  return runs;
}

std::size_t PathFixture::Runs() const {
  std::size_t runs = 0;
  for (const auto& upstream : this->upstreams) {
    runs += upstream->requests.size();
  }
  return runs;
}

std::size_t PathFixture::DirectRequests() const {
  std::size_t requests = 0;
  for (const auto& path : this->paths) {
    requests += path->requests;
  }
  return requests;
}

std::vector<std::string> PathFixture::BrokenOrders() const {
  std::vector<std::string> broken;
  for (const Order& order : this->orders) {
    const std::size_t runs = this->RunsOf(order.id);
    if (runs > 1 || (runs > 0 && order.told_not_run)) {
      broken.push_back(order.id + " ran " + std::to_string(runs) + " times" +
                       (order.told_not_run ? " and was told not run" : ""));
    }
  }
  return broken;
}

}  // namespace geraniumspread::edge::test
