#ifndef TRANSPORT_FRAME_CHANNEL_H_
#define TRANSPORT_FRAME_CHANNEL_H_

#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "transport/transport_types.h"

// Frames over TCP for the control channel between routers. The channel does
// not interpret frames; its users define their content and length.
namespace geraniumspread::transport {

namespace detail {
class FrameServerState;
class FrameSenderState;
}  // namespace detail

// The length of the frame at the start of the bytes, 0 if more bytes
// are needed, or nullopt if they are not a valid frame and the connection must be closed.
using FrameLengthFunction = std::function<std::optional<std::size_t>(std::string_view buffered)>;
using FrameHandler = std::function<void(std::string_view frame)>;

// Receives frames from any number of connections.
class FrameServer {
 public:
  FrameServer(boost::asio::any_io_executor executor,
              FrameLengthFunction frame_length,
              FrameHandler handler);
  FrameServer(const FrameServer&) = delete;
  FrameServer& operator=(const FrameServer&) = delete;
  ~FrameServer();

  Result<std::uint16_t> Listen(const Endpoint& endpoint);
  void Close();

 private:
  std::shared_ptr<detail::FrameServerState> state;
};

// Sends frames, with one connection per endpoint. Control messages are repeated
// by their protocols, so a frame that can't be sent is dropped.
class FrameSender {
 public:
  explicit FrameSender(boost::asio::any_io_executor executor);
  FrameSender(const FrameSender&) = delete;
  FrameSender& operator=(const FrameSender&) = delete;
  ~FrameSender();

  void Send(const Endpoint& endpoint, std::string frame);
  std::size_t DroppedFrames() const;
  void Close();

 private:
  std::shared_ptr<detail::FrameSenderState> state;
};

}  // namespace geraniumspread::transport

#endif  // TRANSPORT_FRAME_CHANNEL_H_
