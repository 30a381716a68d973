#include "fleet/peer_codec.h"

#include <map>
#include <utility>

#include "common/secure_bytes.h"
#include "fleet/internal/json_rpc_client.h"
#include "fleet/internal/json_rpc_server.h"
#include "fleet/internal/message_json.h"

namespace geraniumspread::fleet {
namespace {

constexpr std::size_t kLengthBytes = 4;
constexpr std::size_t kNumberBytes = 8;

void AppendBigEndian(std::string& bytes, std::uint64_t number, std::size_t count) {
  for (std::size_t index = count; index > 0; --index) {
    bytes.push_back(static_cast<char>((number >> ((index - 1) * 8)) & 0xffU));
  }
}

std::uint64_t ReadBigEndian(std::string_view bytes) {
  std::uint64_t number = 0;
  for (const char byte : bytes) {
    number = (number << 8U) | static_cast<unsigned char>(byte);
  }
  return number;
}

// Parts of a frame whose length has been checked.
struct FrameView {
  std::string_view header;  // everything before the MAC
  std::string_view sender;
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;
  std::string_view mac;
  std::string_view payload;
};

FrameView SplitFrame(std::string_view frame) {
  const std::size_t id_bytes = static_cast<unsigned char>(frame[kLengthBytes]);
  const std::size_t header_bytes = kFramePrefixBytes + id_bytes + 2 * kNumberBytes;
  FrameView view;
  view.header = frame.substr(0, header_bytes);
  view.sender = frame.substr(kFramePrefixBytes, id_bytes);
  view.incarnation = ReadBigEndian(frame.substr(kFramePrefixBytes + id_bytes, kNumberBytes));
  view.sequence = ReadBigEndian(frame.substr(header_bytes - kNumberBytes, kNumberBytes));
  view.mac = frame.substr(header_bytes, kFrameMacBytes);
  view.payload = frame.substr(header_bytes + kFrameMacBytes);
  return view;
}

int HexDigit(char digit) {
  return digit <= '9' ? digit - '0' : digit - 'a' + 10;
}

std::string FrameMac(std::string_view key, std::string_view header, std::string_view payload) {
  std::string covered(header);
  covered.append(payload);
  const std::string hex = HmacSha256Hex(key, covered);
  std::string mac;
  for (std::size_t index = 0; index < kFrameMacBytes; ++index) {
    mac.push_back(static_cast<char>(HexDigit(hex[2 * index]) * 16 + HexDigit(hex[2 * index + 1])));
  }
  return mac;
}

// Newest incarnation of a sender and its highest sequence number.
struct SenderPosition {
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;
};

}  // namespace

// `senders` outlives connections, so a captured frame can't be replayed on a new
// connection.
struct PeerCodec::State {
  std::string key;
  std::string self_id;
  std::uint64_t incarnation = 0;
  std::uint64_t next_sequence = 1;
  detail::NotificationReader reader;
  std::map<std::string, SenderPosition, std::less<>> senders;
  CodecCounters counters;

  Result<FrameView> CheckFrame(std::string_view frame) const;
  Result<PeerMessage> CheckMessage(const FrameView& view);
};

Result<FrameView> PeerCodec::State::CheckFrame(std::string_view frame) const {
  const auto length = FrameLength(frame);
  if (!length) {
    return length.error();
  }
  if (frame.empty() || length.value().value_or(0) != frame.size()) {
    return FleetError{FleetErrorCode::kMalformed, "the frame's length doesn't match its bytes"};
  }
  const FrameView view = SplitFrame(frame);
  if (!ConstantTimeEquals(FrameMac(this->key, view.header, view.payload), view.mac)) {
    return FleetError{FleetErrorCode::kBadMac, "the frame's MAC doesn't match"};
  }
  if (!IsValidId(view.sender)) {
    return FleetError{FleetErrorCode::kMalformed, "the frame's sender is no valid id"};
  }
  if (view.sender == this->self_id) {
    return FleetError{FleetErrorCode::kSelfSender, "the frame names this router as its sender"};
  }
  const auto known = this->senders.find(view.sender);
  if (known == this->senders.end() || view.incarnation > known->second.incarnation) {
    return view;
  }
  if (view.incarnation < known->second.incarnation) {
    return FleetError{FleetErrorCode::kStaleIncarnation,
                      "frame of an older incarnation of " + std::string(view.sender)};
  }
  if (view.sequence <= known->second.sequence) {
    return FleetError{FleetErrorCode::kReplayedSequence,
                      "the sequence of " + std::string(view.sender) + " didn't grow"};
  }
  return view;
}

Result<PeerMessage> PeerCodec::State::CheckMessage(const FrameView& view) {
  auto message = this->reader.Read(std::string(view.payload));
  if (!message) {
    return message;
  }
  const auto* heartbeat = std::get_if<Heartbeat>(&message.value());
  if (heartbeat != nullptr && heartbeat->incarnation != view.incarnation) {
    return FleetError{FleetErrorCode::kInvalidField,
                      "incarnation: differs between heartbeat and frame"};
  }
  return message;
}

Result<std::optional<std::size_t>> FrameLength(std::string_view buffered) {
  if (buffered.size() < kFramePrefixBytes) {
    return std::optional<std::size_t>();
  }
  const auto payload = static_cast<std::size_t>(ReadBigEndian(buffered.substr(0, kLengthBytes)));
  const std::size_t id_bytes = static_cast<unsigned char>(buffered[kLengthBytes]);
  if (id_bytes == 0 || id_bytes > kMaxIdBytes) {
    return FleetError{FleetErrorCode::kMalformed, "the frame's sender id has a bad length"};
  }
  const std::size_t length =
      kFramePrefixBytes + id_bytes + 2 * kNumberBytes + kFrameMacBytes + payload;
  if (length > kMaxFrameBytes) {
    return FleetError{FleetErrorCode::kTooLarge, "the frame is above 64 KB"};
  }
  return std::optional<std::size_t>(length);
}

PeerCodec::PeerCodec(std::string shared_key, std::string self_id, std::uint64_t incarnation)
    : state(std::make_unique<State>()) {
  this->state->key = std::move(shared_key);
  this->state->self_id = std::move(self_id);
  this->state->incarnation = incarnation;
}

PeerCodec::PeerCodec(PeerCodec&&) noexcept = default;
PeerCodec& PeerCodec::operator=(PeerCodec&&) noexcept = default;
PeerCodec::~PeerCodec() = default;

Result<std::string> PeerCodec::EncodeFrame(const PeerMessage& message) {
  const std::string payload = EncodePayload(message);
  const std::string& id = this->state->self_id;
  std::string frame;
  frame.reserve(kFramePrefixBytes + id.size() + 2 * kNumberBytes + kFrameMacBytes + payload.size());
  AppendBigEndian(frame, payload.size(), kLengthBytes);
  AppendBigEndian(frame, id.size(), 1);
  frame.append(id);
  AppendBigEndian(frame, this->state->incarnation, kNumberBytes);
  AppendBigEndian(frame, this->state->next_sequence, kNumberBytes);
  if (frame.size() + kFrameMacBytes + payload.size() > kMaxFrameBytes) {
    return FleetError{FleetErrorCode::kTooLarge,
                      std::string(MethodName(message.index())) + " is above 64 KB"};
  }
  ++this->state->next_sequence;
  frame.append(FrameMac(this->state->key, frame, payload));
  frame.append(payload);
  return frame;
}

Result<ReceivedMessage> PeerCodec::DecodeFrame(std::string_view frame) {
  CodecCounters& counters = this->state->counters;
  const auto view = this->state->CheckFrame(frame);
  if (!view) {
    const bool replayed = view.error().code == FleetErrorCode::kReplayedSequence ||
                          view.error().code == FleetErrorCode::kStaleIncarnation;
    ++(replayed ? counters.replayed_frames : counters.bad_frames);
    return view.error();
  }
  const FrameView& parts = view.value();
  auto message = this->state->CheckMessage(parts);
  const bool unknown = !message && message.error().code == FleetErrorCode::kUnknownMethod;
  if (message || unknown) {
    this->state->senders[std::string(parts.sender)] = {parts.incarnation, parts.sequence};
  }
  if (!message) {
    ++(unknown ? counters.unknown_methods : counters.bad_messages);
    return message.error();
  }
  ++counters.received.at(message.value().index());
  return ReceivedMessage{std::string(parts.sender), parts.incarnation, parts.sequence,
                         std::move(message).value()};
}

std::string PeerCodec::EncodePayload(const PeerMessage& message) {
  return detail::BuildNotification(std::string(MethodName(message.index())),
                                   detail::ToParameters(message));
}

Result<PeerMessage> PeerCodec::DecodePayload(std::string_view payload) {
  if (payload.size() > kMaxFrameBytes) {
    return FleetError{FleetErrorCode::kTooLarge, "the payload is above 64 KB"};
  }
  return this->state->reader.Read(std::string(payload));
}

const CodecCounters& PeerCodec::Counters() const {
  return this->state->counters;
}

}  // namespace geraniumspread::fleet
