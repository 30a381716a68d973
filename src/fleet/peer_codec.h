#ifndef FLEET_PEER_CODEC_H_
#define FLEET_PEER_CODEC_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "fleet/fleet_types.h"
#include "fleet/peer_messages.h"

namespace geraniumspread::fleet {

// Frame: payload length (4 bytes, big-endian) | length of the sender id (1) |
// sender id | incarnation (8) | sequence (8) | MAC (16) | JSON-RPC payload.
// The MAC is the truncated HMAC-SHA256 over all other bytes of the frame.
inline constexpr std::size_t kMaxFrameBytes = std::size_t{64} * 1024;
inline constexpr std::size_t kFrameMacBytes = 16;
// Bytes needed before the length of a frame is known.
inline constexpr std::size_t kFramePrefixBytes = 5;

// Length of the frame at the start of `buffered`, or nothing while fewer than
// kFramePrefixBytes are there. Errors: kTooLarge, kMalformed; the connection
// has then lost its framing and must be closed.
Result<std::optional<std::size_t>> FrameLength(std::string_view buffered);

struct ReceivedMessage {
  std::string sender;
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;
  PeerMessage message;
};

struct CodecCounters {
  std::array<std::uint64_t, kMessageTypeCount> received{};
  std::uint64_t bad_frames = 0;
  std::uint64_t replayed_frames = 0;
  std::uint64_t bad_messages = 0;
  std::uint64_t unknown_methods = 0;
};

// Builds and reads frames of one router. Sequence numbers grow over the life of
// the process, therefore also within each connection.
class PeerCodec {
 public:
  PeerCodec(std::string shared_key, std::string self_id, std::uint64_t incarnation);
  PeerCodec(const PeerCodec&) = delete;
  PeerCodec& operator=(const PeerCodec&) = delete;
  PeerCodec(PeerCodec&&) noexcept;
  PeerCodec& operator=(PeerCodec&&) noexcept;
  ~PeerCodec();

  // Errors: kTooLarge.
  Result<std::string> EncodeFrame(const PeerMessage& message);

  // Reads one complete frame. Errors: kTooLarge, kMalformed, kBadMac,
  // kSelfSender, kStaleIncarnation, kReplayedSequence, and those of
  // DecodePayload. Only a frame that is accepted or has an unknown method
  // advances the sender's sequence.
  Result<ReceivedMessage> DecodeFrame(std::string_view frame);

  // The JSON-RPC text alone. Errors of DecodePayload: kMalformed,
  // kInvalidField, kUnsupportedVersion, kUnknownMethod, kTooLarge.
  static std::string EncodePayload(const PeerMessage& message);
  Result<PeerMessage> DecodePayload(std::string_view payload);

  const CodecCounters& Counters() const;

 private:
  struct State;
  std::unique_ptr<State> state;
};

}  // namespace geraniumspread::fleet

#endif  // FLEET_PEER_CODEC_H_
