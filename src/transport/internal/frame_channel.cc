#include "transport/frame_channel.h"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>
#include <deque>
#include <list>
#include <map>
#include <unordered_set>

#include "transport/internal/http_common.h"

namespace geraniumspread::transport {
namespace detail {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

constexpr std::size_t kReadBytes = std::size_t{16} * 1024;
constexpr std::size_t kMaxBufferedBytes = std::size_t{128} * 1024;
constexpr std::size_t kMaxConnections = 2048;
// A silent peer connection is replaced after this; heartbeats come every second.
constexpr Duration kReceiveTimeout = std::chrono::seconds(15);
constexpr Duration kConnectTimeout = std::chrono::milliseconds(500);
constexpr Duration kWriteTimeout = std::chrono::seconds(2);
// A connection that lost its path looks open to its sender for minutes. The
// receiver sends nothing back, so the sender renews it after this time.
constexpr Duration kConnectionLifetime = std::chrono::seconds(10);
constexpr std::size_t kMaxQueuedFrames = 256;

}  // namespace

class FrameServerState : public std::enable_shared_from_this<FrameServerState> {
 public:
  FrameServerState(asio::any_io_executor io_executor,
                   FrameLengthFunction length,
                   FrameHandler frame_handler)
      : executor(std::move(io_executor)),
        frame_length(std::move(length)),
        handler(std::move(frame_handler)),
        acceptor(executor) {}

  asio::any_io_executor executor;
  FrameLengthFunction frame_length;
  FrameHandler handler;
  Tcp::acceptor acceptor;
  std::unordered_set<Tcp::socket*> sockets;
  bool closed = false;
};

namespace {

// Hands the complete frames at the start of `buffered` on. False when the bytes are no frame.
bool ConsumeFrames(FrameServerState& server, std::string& buffered) {
  std::size_t consumed = 0;
  while (true) {
    const std::string_view rest = std::string_view(buffered).substr(consumed);
    const std::optional<std::size_t> length = server.frame_length(rest);
    if (!length) {
      return false;
    }
    if (*length == 0 || rest.size() < *length) {
      break;
    }
    server.handler(rest.substr(0, *length));
    consumed += *length;
  }
  buffered.erase(0, consumed);
  return buffered.size() < kMaxBufferedBytes;
}

asio::awaitable<void> ReceiveFrames(std::shared_ptr<FrameServerState> server, Tcp::socket socket) {
  server->sockets.insert(&socket);
  Deadline deadline(server->executor, socket);
  std::string buffered;
  std::array<char, kReadBytes> chunk{};
  while (!server->closed) {
    deadline.Arm(kReceiveTimeout);
    const auto [error, count] = co_await socket.async_read_some(asio::buffer(chunk), kAwaitTuple);
    deadline.Disarm();
    if (error || server->closed) {
      break;
    }
    buffered.append(chunk.data(), count);
    if (!ConsumeFrames(*server, buffered)) {
      break;
    }
  }
  server->sockets.erase(&socket);
}

asio::awaitable<void> AcceptConnections(std::shared_ptr<FrameServerState> server) {
  while (server->acceptor.is_open()) {
    auto [error, socket] = co_await server->acceptor.async_accept(kAwaitTuple);
    if (error || server->sockets.size() >= kMaxConnections) {
      continue;
    }
    asio::co_spawn(server->executor, ReceiveFrames(server, std::move(socket)), asio::detached);
  }
}

struct FrameConnection {
  FrameConnection(const asio::any_io_executor& executor, Endpoint peer)
      : endpoint(std::move(peer)), socket(executor) {}

  Endpoint endpoint;
  Tcp::socket socket;
  std::deque<std::string> queue;
  TimePoint connected_at;
  bool running = false;
};

}  // namespace

class FrameSenderState : public std::enable_shared_from_this<FrameSenderState> {
 public:
  explicit FrameSenderState(asio::any_io_executor io_executor) : executor(std::move(io_executor)) {}

  asio::any_io_executor executor;
  std::map<std::string, std::shared_ptr<FrameConnection>> connections;
  std::size_t dropped = 0;
  bool closed = false;
};

namespace {

asio::awaitable<bool> OpenConnection(std::shared_ptr<FrameSenderState> sender,
                                     std::shared_ptr<FrameConnection> connection) {
  error_code error;
  if (connection->socket.is_open()) {
    connection->socket.close(error);
  }
  const auto address = asio::ip::make_address(connection->endpoint.address, error);
  if (error) {
    co_return false;
  }
  Deadline deadline(sender->executor, connection->socket);
  deadline.Arm(kConnectTimeout);
  std::tie(error) = co_await connection->socket.async_connect(
      Tcp::endpoint(address, connection->endpoint.port), kAwaitTuple);
  if (error || deadline.Expired()) {
    connection->socket.close(error);
    co_return false;
  }
  connection->socket.set_option(Tcp::no_delay(true), error);
  connection->connected_at = RuntimeClock::now();
  co_return true;
}

bool NeedsConnection(const FrameConnection& connection) {
  return !connection.socket.is_open() ||
         RuntimeClock::now() - connection.connected_at > kConnectionLifetime;
}

asio::awaitable<bool> SendFrame(std::shared_ptr<FrameSenderState> sender,
                                std::shared_ptr<FrameConnection> connection,
                                std::string frame) {
  if (NeedsConnection(*connection) && !co_await OpenConnection(sender, connection)) {
    co_return false;
  }
  Deadline deadline(sender->executor, connection->socket);
  deadline.Arm(kWriteTimeout);
  const auto [error, count] =
      co_await asio::async_write(connection->socket, asio::buffer(frame), kAwaitTuple);
  if (error) {
    error_code ignored;
    connection->socket.close(ignored);
    co_return false;
  }
  co_return true;
}

asio::awaitable<void> RunSendQueue(std::shared_ptr<FrameSenderState> sender,
                                   std::shared_ptr<FrameConnection> connection) {
  while (!connection->queue.empty() && !sender->closed) {
    std::string frame = std::move(connection->queue.front());
    connection->queue.pop_front();
    if (!co_await SendFrame(sender, connection, std::move(frame))) {
      sender->dropped += 1 + connection->queue.size();
      connection->queue.clear();
    }
  }
  connection->running = false;
  // Endpoints change as instances are replaced, so connections that don't work are not kept.
  if (!connection->socket.is_open()) {
    sender->connections.erase(ToString(connection->endpoint));
  }
}

}  // namespace
}  // namespace detail

FrameServer::FrameServer(boost::asio::any_io_executor executor,
                         FrameLengthFunction frame_length,
                         FrameHandler handler)
    : state(std::make_shared<detail::FrameServerState>(std::move(executor),
                                                       std::move(frame_length),
                                                       std::move(handler))) {}

FrameServer::~FrameServer() {
  this->Close();
}

Result<std::uint16_t> FrameServer::Listen(const Endpoint& endpoint) {
  Result<std::uint16_t> port = detail::OpenAcceptor(this->state->acceptor, endpoint);
  if (port) {
    boost::asio::co_spawn(this->state->executor, detail::AcceptConnections(this->state),
                          boost::asio::detached);
  }
  return port;
}

void FrameServer::Close() {
  this->state->closed = true;
  boost::system::error_code ignored;
  this->state->acceptor.close(ignored);
  for (detail::Tcp::socket* socket : this->state->sockets) {
    socket->close(ignored);
  }
}

FrameSender::FrameSender(boost::asio::any_io_executor executor)
    : state(std::make_shared<detail::FrameSenderState>(std::move(executor))) {}

FrameSender::~FrameSender() {
  this->Close();
}

void FrameSender::Send(const Endpoint& endpoint, std::string frame) {
  std::shared_ptr<detail::FrameConnection>& connection =
      this->state->connections[ToString(endpoint)];
  if (!connection) {
    connection = std::make_shared<detail::FrameConnection>(this->state->executor, endpoint);
  }
  if (connection->queue.size() >= detail::kMaxQueuedFrames || this->state->closed) {
    ++this->state->dropped;
    return;
  }
  connection->queue.push_back(std::move(frame));
  if (!connection->running) {
    connection->running = true;
    boost::asio::co_spawn(this->state->executor, detail::RunSendQueue(this->state, connection),
                          boost::asio::detached);
  }
}

std::size_t FrameSender::DroppedFrames() const {
  return this->state->dropped;
}

void FrameSender::Close() {
  this->state->closed = true;
  for (auto& [name, connection] : this->state->connections) {
    boost::system::error_code ignored;
    connection->socket.close(ignored);
  }
}

}  // namespace geraniumspread::transport
