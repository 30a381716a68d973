#ifndef FLEET_TESTS_FLEET_CHANNEL_H_
#define FLEET_TESTS_FLEET_CHANNEL_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "fleet/gossip.h"
#include "fleet/membership.h"
#include "fleet/peer_codec.h"

// In-memory network between the states of several routers, with a manual clock. Can
// drop and delay messages and partition the fleet. Also fakes the configuration
// service and the instance list.
namespace geraniumspread::fleet::testing {

struct ChannelSettings {
  std::size_t routers = 6;
  std::size_t domains = 3;
  std::uint64_t seed = 1;
  double drop = 0;
  Duration delay_min = std::chrono::milliseconds(1);
  Duration delay_max = std::chrono::milliseconds(5);
  Duration list_period = std::chrono::seconds(2);
  std::size_t shards = 4;
  std::size_t shard_bytes = 512;
  // Encodes and decodes every message with PeerCodec; otherwise only its size is counted.
  bool real_frames = false;
  GossipSettings gossip;
};

// Bytes of all configuration objects, shared by the stores of all routers.
using ObjectTable = std::map<std::string, std::string, std::less<>>;

// A config store that accepts exactly the higher versions.
struct FakeStore {
  const ObjectTable* objects = nullptr;
  ConfigVersion in_force;
  ConfigVersion pending;
  std::map<std::string, bool, std::less<>> held;
  std::vector<std::string> needed;

  OfferOutcome OfferManifest(std::string_view manifest);
  void Complete();
};

struct Node {
  std::string id;
  std::uint64_t incarnation = 1;
  bool up = true;
  bool lists_reachable = true;
  bool service_reachable = true;
  bool service_stale = false;  // its reads return version 1
  int group = 0;               // only routers of one group reach each other
  TimePoint paused_until;
  TimePoint next_list;
  Membership membership;
  Gossip gossip;
  FakeStore store;
  ConfigExchange exchange;
  std::unique_ptr<PeerCodec> codec;
  std::uint64_t highest_in_force = 0;  // of this incarnation
  PeerMessage last_heartbeat;
  std::size_t last_heartbeat_bytes = 0;
};

struct Delivery {
  std::string from;
  std::uint64_t from_incarnation = 0;
  std::size_t to = 0;
  PeerMessage message;
  std::string frame;
};

struct WaitingCall {
  std::size_t node = 0;
  std::uint64_t incarnation = 0;
  ServiceCall call;
  TimePoint deadline;
};

// Fake configuration service, limited to 2,000 calls a second including waiting watches.
struct FakeService {
  std::uint64_t version = 0;
  std::map<std::uint64_t, std::string> manifests;
  bool up = true;
  std::vector<WaitingCall> waiting;
  std::uint64_t second_calls = 0;
  std::int64_t second = -1;
  std::uint64_t peak_calls = 0;
  std::uint64_t refused = 0;
};

class FleetChannel {
 public:
  explicit FleetChannel(const ChannelSettings& channel_settings);

  // One tick of 50 ms, or as many as fit into `span`.
  void Step();
  void Run(Duration span);
  // Runs until every running router has `version` in force. Returns the time taken, or
  // nothing if it exceeds `limit`.
  std::optional<Duration> RunUntilInForce(std::uint64_t version, Duration limit);

  // Publishes and returns the next version, which changes one shard.
  std::uint64_t Publish();
  // Puts the current version in force on a router without any messages.
  void Preload(Node& node);
  void Restart(std::size_t index);
  void ResetMeters();
  void SendOne(std::size_t index, OutgoingMessage outgoing);

  std::size_t CountInForce(std::uint64_t version) const;
  bool IsReader(const Node& node) const;

  ChannelSettings settings;
  TimePoint now;
  std::mt19937_64 random;
  ObjectTable objects;
  FakeService service;
  std::vector<std::unique_ptr<Node>> nodes;
  std::uint64_t version_regressions = 0;
  std::uint64_t conflicts = 0;

 private:
  void StartNode(Node& node, std::size_t index);
  void ProcessOutput(std::size_t index, GossipOutput output);
  std::size_t PayloadBytes(Node& node, const PeerMessage& message);
  void Deliver(const Delivery& delivery);
  void StartCall(std::size_t index, const ServiceCall& call);
  void CompleteCalls();
  std::optional<ServiceResponse> MakeResponse(const WaitingCall& waiting) const;
  void ReadList(Node& node);
  bool IsRunning(const Node& node) const;

  std::map<std::string, std::size_t, std::less<>> index_of;
  std::multimap<TimePoint, Delivery> queue;
};

}  // namespace geraniumspread::fleet::testing

#endif  // FLEET_TESTS_FLEET_CHANNEL_H_
