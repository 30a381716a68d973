#include <boost/test/unit_test.hpp>
#include <random>
#include <string>
#include <vector>

#include "fleet/peer_codec.h"

namespace geraniumspread::fleet {
namespace {

constexpr std::uint64_t kSeed = 20261204;
constexpr int kMutations = 20'000;

PeerCodec Codec(const std::string& id, std::uint64_t incarnation = 7) {
  return {"shared key", id, incarnation};
}

std::vector<PeerMessage> AllMessages() {
  const ConfigVersion config{42, std::string(64, 'a')};
  return {Heartbeat{7,
                    "zone-a",
                    RouterState::kDraining,
                    config,
                    {{"p1", 3}, {"p2", 0}},
                    99,
                    Endpoint{"127.0.0.1", 1, 2, 3}},
          LeaseRequest{1, 5, {"e1", "e2"}, 7, 3, true, {"v1"}},
          LeaseReply{1,
                     {"e1"},
                     {"e2"},
                     9,
                     8,
                     std::chrono::milliseconds(1500),
                     {{"r1", 3}},
                     true,
                     {{"r1", "r2"}}},
          LeaseRelease{2, {"e1"}, true},
          ConfigOffer{config, std::string("a\0manifest\xff", 11)},
          ConfigRequest{std::string(64, 'b'), 40960, true},
          ConfigPart{std::string(64, 'b'), 0, 5, "\xff\x01 no text"},
          ConfigPart{std::string(64, 'b'), 0, 5, "text of a \"shard\" with a long line\n"},
          Quarantine{{{"f1", 2, std::chrono::milliseconds(5000)}}},
          ShareRequest{
              .request_number = 9, .workspace = "8c1f00ee12ab34cd", .concurrent = 1, .tokens = 1},
          ShareGrant{
              .request_number = 9, .workspace = "8c1f00ee12ab34cd", .concurrent = 0, .tokens = 1},
          ShareReturn{.workspace = "8c1f00ee12ab34cd"}};
}

std::string Frame(PeerCodec& codec, const PeerMessage& message) {
  auto frame = codec.EncodeFrame(message);
  BOOST_REQUIRE(frame.has_value());
  return frame.value();
}

FleetErrorCode DecodeError(PeerCodec& codec, const std::string& frame) {
  const auto message = codec.DecodeFrame(frame);
  BOOST_REQUIRE(!message);
  return message.error().code;
}

FleetErrorCode PayloadError(PeerCodec& codec, const std::string& payload) {
  const auto message = codec.DecodePayload(payload);
  BOOST_REQUIRE_MESSAGE(!message, "accepted: " << payload.substr(0, 80));
  return message.error().code;
}

std::string Notification(const std::string& method, const std::string& parameters) {
  return R"({"jsonrpc": "2.0", "method": ")" + method + R"(", "params": )" + parameters + "}";
}

// Guards against a field that is encoded but not decoded.
BOOST_AUTO_TEST_CASE(EveryMessageRoundTripsThroughAFrame) {
  PeerCodec sender = Codec("r1");
  PeerCodec receiver = Codec("r2");
  for (const PeerMessage& message : AllMessages()) {
    const auto received = receiver.DecodeFrame(Frame(sender, message));
    BOOST_REQUIRE(received.has_value());
    BOOST_TEST((received.value().message == message), MethodName(message.index()));
    BOOST_TEST(received.value().sender == "r1");
    BOOST_TEST(received.value().incarnation == 7U);
  }
}

// Guards against a part, lease request or quarantine of maximum size that exceeds a frame.
BOOST_AUTO_TEST_CASE(LargestMessagesFitAFrame) {
  PeerCodec codec = Codec("r1");
  const std::string id(kMaxIdBytes, 'x');
  BOOST_TEST(codec.EncodeFrame(ConfigPart{id, 0, 1U << 20U, std::string(kMaxPartBytes, '\xff')})
                 .has_value());
  BOOST_TEST(codec.EncodeFrame(LeaseRequest{1, 1, std::vector<std::string>(kMaxLeaseUpstreams, id)})
                 .has_value());
  BOOST_TEST(codec
                 .EncodeFrame(Quarantine{std::vector<QuarantineEntry>(
                     kMaxQuarantineEntries, {id, 1, std::chrono::hours(1)})})
                 .has_value());
  const auto large = codec.EncodeFrame(LeaseRequest{1, 1, std::vector<std::string>(600, id)});
  BOOST_REQUIRE(!large);
  BOOST_TEST((large.error().code == FleetErrorCode::kTooLarge));
}

// Guards against forged, replayed and reordered frames, also on a new connection.
BOOST_AUTO_TEST_CASE(ForgedAndReplayedFramesAreRefused) {
  PeerCodec sender = Codec("r1");
  PeerCodec receiver = Codec("r2");
  const PeerMessage message = LeaseReply{1, {"e1"}, {}};
  const std::string first = Frame(sender, message);
  const std::string second = Frame(sender, message);
  BOOST_TEST(receiver.DecodeFrame(second).has_value());
  BOOST_TEST((DecodeError(receiver, second) == FleetErrorCode::kReplayedSequence));
  BOOST_TEST((DecodeError(receiver, first) == FleetErrorCode::kReplayedSequence));
  PeerCodec restarted = Codec("r1", 8);
  BOOST_TEST(receiver.DecodeFrame(Frame(restarted, message)).has_value());
  BOOST_TEST((DecodeError(receiver, Frame(sender, message)) == FleetErrorCode::kStaleIncarnation));
  PeerCodec stranger("another key", "r3", 1);
  BOOST_TEST((DecodeError(receiver, Frame(stranger, message)) == FleetErrorCode::kBadMac));
  PeerCodec self = Codec("r2");
  BOOST_TEST((DecodeError(receiver, Frame(self, message)) == FleetErrorCode::kSelfSender));
  BOOST_TEST(receiver.Counters().replayed_frames == 3U);
  BOOST_TEST(receiver.Counters().bad_frames == 2U);
}

// Guards against a receiver that waits for or allocates more than the frame limit.
BOOST_AUTO_TEST_CASE(FrameLengthIsLimited) {
  BOOST_TEST(!FrameLength("\0\0\0").value().has_value());
  BOOST_TEST((FrameLength(std::string("\x7f\xff\xff\xff\x02", 5)).error().code ==
              FleetErrorCode::kTooLarge));
  BOOST_TEST(
      (FrameLength(std::string("\0\0\0\x01\0", 5)).error().code == FleetErrorCode::kMalformed));
  BOOST_TEST(FrameLength(std::string("\0\0\0\x01\x02", 5)).value().value_or(0) ==
             5U + 2 + 16 + 16 + 1);
}

// Guards against a protocol that prevents rolling updates: version N+1 adds fields,
// values and methods, version N-1 omits optional fields.
BOOST_AUTO_TEST_CASE(AdjacentVersionsInteroperate) {
  PeerCodec codec = Codec("r2");
  const auto newer = codec.DecodePayload(
      Notification("heartbeat", R"({"v": 2, "incarnation": 1, "domain": "z", "state": "resting",
                       "later": [1, {"x": null}]})"));
  BOOST_REQUIRE(newer.has_value());
  BOOST_TEST((std::get<Heartbeat>(newer.value()).state == RouterState::kStarting));
  const auto older =
      codec.DecodePayload(Notification("heartbeat", R"({"incarnation": 1, "domain": "z"})"));
  BOOST_REQUIRE(older.has_value());
  BOOST_TEST(std::get<Heartbeat>(older.value()).config.version == 0U);
  BOOST_TEST(
      (PayloadError(codec, Notification("later_method", "{}")) == FleetErrorCode::kUnknownMethod));
  BOOST_TEST((PayloadError(codec, Notification("heartbeat", R"({"v": 0})")) ==
              FleetErrorCode::kUnsupportedVersion));
}

// Guards against payloads that aren't exactly one notification of this protocol.
BOOST_AUTO_TEST_CASE(MalformedPayloadsHaveTypedErrors) {
  PeerCodec codec = Codec("r2");
  const std::string valid = Notification("config_request", R"({"digest": "d"})");
  BOOST_TEST(codec.DecodePayload(valid).has_value());
  std::string batch = "[";
  batch.append(valid).append(",").append(valid).append("]");
  for (const std::string& payload :
       {std::string(), std::string("null"), std::string("[]"), batch, valid.substr(1),
        std::string(5000, '['),
        std::string(R"({"jsonrpc": "2.0", "id": 1, "method": "config_request", "params": {}})")}) {
    BOOST_TEST((PayloadError(codec, payload) == FleetErrorCode::kMalformed), payload.substr(0, 40));
  }
  for (const std::string parameters :
       {"{}", R"({"digest": 1})", R"({"digest": "a b"})", R"({"digest": "d", "offset": -1})",
        R"({"digest": "d", "offset": 1.5})", R"(["d", 0])"}) {
    BOOST_TEST((PayloadError(codec, Notification("config_request", parameters)) ==
                FleetErrorCode::kInvalidField),
               parameters);
  }
  BOOST_TEST(
      (PayloadError(
           codec, Notification("config_part", R"({"digest": "d", "total": 4, "bytes": "a=b="})")) ==
       FleetErrorCode::kInvalidField));
}

// Guards against a bad frame that is accepted, crashes the process or changes state.
// After each mutation, the receiver must still accept the next valid frame.
BOOST_AUTO_TEST_CASE(MutatedFramesAreRefusedWithoutStateChange) {
  std::mt19937_64 random(kSeed);
  PeerCodec sender = Codec("r1");
  PeerCodec receiver = Codec("r2");
  const auto messages = AllMessages();
  for (int round = 0; round < kMutations; ++round) {
    std::string frame = Frame(sender, messages[random() % messages.size()]);
    const std::string original = frame;
    if (random() % 4 == 0) {
      frame.resize(random() % frame.size());
    }
    for (std::uint64_t change = 0; change <= random() % 4 && !frame.empty(); ++change) {
      char& byte = frame[random() % frame.size()];
      byte = static_cast<char>(byte ^ static_cast<char>(1U << (random() % 8)));
    }
    if (frame != original) {
      BOOST_REQUIRE(!receiver.DecodeFrame(frame).has_value());
    }
    BOOST_REQUIRE(receiver.DecodeFrame(original).has_value());
  }
  BOOST_TEST(receiver.Counters().bad_messages == 0U);
}

// Guards against parser faults on authenticated frames: a faulty peer that has the key
// sends damaged payloads. Each one must be decoded or give a typed error.
BOOST_AUTO_TEST_CASE(MutatedPayloadsGiveAMessageOrATypedError) {
  std::mt19937_64 random(kSeed);
  PeerCodec codec = Codec("r2");
  int refused = 0;
  static constexpr std::string_view kTokens = "{}[]\",:0-9eE.\\u\xff\0n";
  for (int round = 0; round < kMutations; ++round) {
    const auto messages = AllMessages();
    std::string payload = PeerCodec::EncodePayload(messages[random() % messages.size()]);
    for (std::uint64_t change = 0; change <= random() % 6; ++change) {
      payload[random() % payload.size()] = kTokens[random() % kTokens.size()];
    }
    refused += codec.DecodePayload(payload) ? 0 : 1;
  }
  BOOST_TEST(refused > kMutations / 2);
}

}  // namespace
}  // namespace geraniumspread::fleet
