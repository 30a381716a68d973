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
// Number of leading bytes that determine the length of a frame.
inline constexpr std::size_t kFramePrefixBytes = 5;

// Returns the length of the frame at the start of `buffered`, or nothing if it holds
// fewer than kFramePrefixBytes. Errors: kTooLarge, kMalformed. After an error, frame
// boundaries are lost and the connection must be closed.
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

// Encodes and decodes the frames of one router. Sequence numbers increase over the
// lifetime of the process, and so within each connection.
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

  // Decodes one complete frame. Errors: kTooLarge, kMalformed, kBadMac,
  // kSelfSender, kStaleIncarnation, kReplayedSequence, and those of
  // DecodePayload. Only an accepted frame or one with an unknown method
  // advances the sender's last sequence number.
  Result<ReceivedMessage> DecodeFrame(std::string_view frame);

  // Encode and decode the JSON-RPC payload without a frame. Errors of DecodePayload: kMalformed,
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
