#include "fleet/tests/fleet_channel.h"

#include <algorithm>
#include <sstream>
#include <utility>

#include "common/secure_bytes.h"

namespace geraniumspread::fleet::testing {
namespace {

constexpr Duration kTick = std::chrono::milliseconds(50);
constexpr Duration kServiceDelay = std::chrono::milliseconds(5);
constexpr std::uint64_t kServiceRate = 2000;
constexpr std::size_t kFrameOverhead = kFramePrefixBytes + 16 + kFrameMacBytes;

struct ParsedManifest {
  std::uint64_t version = 0;
  std::vector<std::string> digests;
};

ParsedManifest ParseManifest(std::string_view text) {
  std::istringstream stream{std::string(text)};
  ParsedManifest manifest;
  stream >> manifest.version;
  for (std::string digest; stream >> digest;) {
    manifest.digests.push_back(digest);
  }
  return manifest;
}

std::string ShardText(std::size_t shard, std::uint64_t version, std::size_t bytes) {
  std::string text =
      "shard " + std::to_string(shard) + " version " + std::to_string(version) + "\n";
  for (std::size_t line = 0; text.size() < bytes; ++line) {
    text += "{\"workspace\":\"ws-" + std::to_string(shard * 1000 + line) +
            "\",\"pool\":\"wording\",\"weight\":3,\"in_flight\":12,\"per_second\":40.5}\n";
  }
  return text;
}

}  // namespace

OfferOutcome FakeStore::OfferManifest(std::string_view manifest) {
  const ParsedManifest parsed = ParseManifest(manifest);
  if (parsed.version <= std::max(this->in_force.version, this->pending.version)) {
    return OfferOutcome::kIgnored;
  }
  const std::string digest = Sha256Hex(manifest);
  this->pending = {parsed.version, digest};
  this->held[digest] = true;
  this->needed = parsed.digests;
  this->Complete();
  return OfferOutcome::kStored;
}

void FakeStore::Complete() {
  std::erase_if(this->needed,
                [&](const std::string& digest) { return this->held.contains(digest); });
  if (this->needed.empty() && this->pending.version != 0) {
    this->in_force = std::exchange(this->pending, {});
  }
}

namespace {

ConfigExchange MakeExchange(FakeStore& store) {
  ConfigExchange exchange;
  exchange.in_force = [&store] { return store.in_force; };
  exchange.pending = [&store] { return store.pending; };
  exchange.missing_digests = [&store] { return store.needed; };
  exchange.bytes = [&store](std::string_view digest) {
    return store.held.contains(digest) ? std::string_view(store.objects->find(digest)->second)
                                       : std::string_view();
  };
  exchange.offer_manifest = [&store](std::string_view text) { return store.OfferManifest(text); };
  exchange.offer_shard = [&store](std::string_view digest, std::string_view) {
    store.held[std::string(digest)] = true;
    store.Complete();
    return OfferOutcome::kStored;
  };
  return exchange;
}

}  // namespace

FleetChannel::FleetChannel(const ChannelSettings& channel_settings)
    : settings(channel_settings), now(std::chrono::seconds(1000)), random(channel_settings.seed) {
  this->Publish();
  for (std::size_t index = 0; index < this->settings.routers; ++index) {
    auto& node = *this->nodes.emplace_back(std::make_unique<Node>());
    node.id = "router-" + std::to_string(index);
    this->index_of[node.id] = index;
    this->StartNode(node, index);
    this->Preload(node);
  }
}

void FleetChannel::StartNode(Node& node, std::size_t index) {
  const std::string domain = "zone-" + std::to_string(index % this->settings.domains);
  node.membership =
      MakeMembership({}, node.id, domain, node.incarnation,
                     {"10.1.0." + std::to_string(index), 8080, 8081, 8082}, this->now);
  node.gossip = MakeGossip(this->settings.gossip, {}, this->random(), this->now);
  node.store = FakeStore();
  node.store.objects = &this->objects;
  node.exchange = MakeExchange(node.store);
  node.codec = std::make_unique<PeerCodec>("key", node.id, node.incarnation);
  node.highest_in_force = 0;
  node.last_heartbeat = LeaseRelease();
  node.next_list = this->now;
}

void FleetChannel::Preload(Node& node) {
  const std::string& manifest = this->service.manifests[this->service.version];
  for (const std::string& digest : ParseManifest(manifest).digests) {
    node.store.held[digest] = true;
  }
  node.store.OfferManifest(manifest);
  node.gossip.announced = node.store.in_force;
}

void FleetChannel::Restart(std::size_t index) {
  Node& node = *this->nodes[index];
  ++node.incarnation;
  this->StartNode(node, index);
}

std::uint64_t FleetChannel::Publish() {
  const std::uint64_t version = ++this->service.version;
  std::string manifest = std::to_string(version);
  for (std::size_t shard = 0; shard < this->settings.shards; ++shard) {
    // Version v changes the shard v modulo the number of shards.
    const std::uint64_t age = (version + this->settings.shards - shard) % this->settings.shards;
    const std::string text =
        ShardText(shard, age < version ? version - age : 0, this->settings.shard_bytes);
    const std::string digest = Sha256Hex(text);
    this->objects[digest] = text;
    manifest += "\n" + digest;
  }
  this->objects[Sha256Hex(manifest)] = manifest;
  this->service.manifests[version] = manifest;
  return version;
}

bool FleetChannel::IsRunning(const Node& node) const {
  return node.up && node.paused_until <= this->now;
}

void FleetChannel::ReadList(Node& node) {
  if (!node.lists_reachable || this->now < node.next_list) {
    return;
  }
  node.next_list = this->now + this->settings.list_period;
  InstanceList list;
  list.revision = static_cast<std::uint64_t>(this->now.time_since_epoch() / kTick);
  for (const auto& other : this->nodes) {
    const RouterMember& self = *FindRouter(other->membership, other->id);
    list.instances.push_back({other->id, InstanceKind::kRouter, "", self.failure_domain,
                              self.endpoint, other->incarnation, false});
  }
  std::ranges::sort(list.instances, {}, &ListedInstance::id);
  (void)ApplyInstanceList(node.membership, list, this->now);
}

void FleetChannel::Step() {
  this->now += kTick;
  while (!this->queue.empty() && this->queue.begin()->first <= this->now) {
    const Delivery delivery = std::move(this->queue.begin()->second);
    this->queue.erase(this->queue.begin());
    this->Deliver(delivery);
  }
  this->CompleteCalls();
  for (std::size_t index = 0; index < this->nodes.size(); ++index) {
    Node& node = *this->nodes[index];
    if (!this->IsRunning(node)) {
      continue;
    }
    this->ReadList(node);
    if (this->now.time_since_epoch() % std::chrono::seconds(1) == Duration(0)) {
      ExpireMembers(node.membership, this->now);
    }
    if (FindRouter(node.membership, node.id)->state != RouterState::kServing &&
        IsReadyToServe(node.gossip, node.membership, node.exchange, this->now)) {
      SetSelfState(node.membership, RouterState::kServing);
    }
    this->ProcessOutput(index, TickGossip(node.gossip, node.membership, node.exchange, this->now));
  }
}

void FleetChannel::Run(Duration span) {
  for (const TimePoint end = this->now + span; this->now < end;) {
    this->Step();
  }
}

std::optional<Duration> FleetChannel::RunUntilInForce(std::uint64_t version, Duration limit) {
  const TimePoint start = this->now;
  while (this->CountInForce(version) < this->nodes.size()) {
    if (this->now - start >= limit) {
      return std::nullopt;
    }
    this->Step();
  }
  return this->now - start;
}

std::size_t FleetChannel::CountInForce(std::uint64_t version) const {
  return static_cast<std::size_t>(std::ranges::count_if(this->nodes, [&](const auto& node) {
    return !node->up || node->store.in_force.version >= version;
  }));
}

bool FleetChannel::IsReader(const Node& node) const {
  return IsConfigReader(node.gossip.reader.settings, node.membership);
}

void FleetChannel::ResetMeters() {
  for (const auto& node : this->nodes) {
    ControlMeter& meter = node->gossip.meter;
    meter.sent_bytes.fill(0);
    meter.sent_messages.fill(0);
    meter.other_bytes_seen = 0;
  }
  this->service.peak_calls = 0;
  this->service.refused = 0;
}

void FleetChannel::ProcessOutput(std::size_t index, GossipOutput output) {
  Node& node = *this->nodes[index];
  const std::uint64_t version = node.store.in_force.version;
  this->version_regressions += version < node.highest_in_force ? 1 : 0;
  node.highest_in_force = std::max(node.highest_in_force, version);
  this->conflicts += output.digest_conflicts.size();
  for (OutgoingMessage& outgoing : output.messages) {
    this->SendOne(index, std::move(outgoing));
  }
  for (const ServiceCall& call : output.service_calls) {
    this->StartCall(index, call);
  }
}

// Caches the size of the last heartbeat, which a router sends to many peers.
std::size_t FleetChannel::PayloadBytes(Node& node, const PeerMessage& message) {
  if (!std::holds_alternative<Heartbeat>(message)) {
    return PeerCodec::EncodePayload(message).size();
  }
  if (message != node.last_heartbeat) {
    node.last_heartbeat = message;
    node.last_heartbeat_bytes = PeerCodec::EncodePayload(message).size();
  }
  return node.last_heartbeat_bytes;
}

void FleetChannel::SendOne(std::size_t index, OutgoingMessage outgoing) {
  Node& node = *this->nodes[index];
  const std::size_t to = this->index_of.find(outgoing.to)->second;
  Delivery delivery{node.id, node.incarnation, to, std::move(outgoing.message), {}};
  std::size_t bytes = 0;
  if (this->settings.real_frames) {
    delivery.frame = node.codec->EncodeFrame(delivery.message).value();
    bytes = delivery.frame.size();
  } else {
    bytes = this->PayloadBytes(node, delivery.message) + kFrameOverhead + node.id.size();
  }
  RecordSentFrame(node.gossip.meter, delivery.message, bytes);
  const auto unit = static_cast<double>(this->random() % 1'000'000) / 1e6;
  const auto delay =
      this->settings.delay_min +
      Duration(static_cast<Duration::rep>(
          this->random() % static_cast<std::uint64_t>(
                               (this->settings.delay_max - this->settings.delay_min).count() + 1)));
  if (unit >= this->settings.drop && node.group == this->nodes[to]->group) {
    this->queue.emplace(this->now + delay, std::move(delivery));
  }
}

void FleetChannel::Deliver(const Delivery& delivery) {
  Node& node = *this->nodes[delivery.to];
  if (!node.up) {
    return;
  }
  if (!this->IsRunning(node)) {  // delivered once the paused process resumes
    this->queue.emplace(node.paused_until, delivery);
    return;
  }
  PeerMessage message = delivery.message;
  if (this->settings.real_frames) {
    auto received = node.codec->DecodeFrame(delivery.frame);
    if (!received) {
      return;  // rejected: reordered by the random delay, or of an older incarnation
    }
    message = std::move(received.value().message);
  }
  if (const auto* heartbeat = std::get_if<Heartbeat>(&message)) {
    if (!ApplyHeartbeat(node.membership, delivery.from, *heartbeat, this->now)) {
      return;
    }
  } else {
    RecordPeerContact(node.membership, delivery.from, delivery.from_incarnation, this->now);
  }
  this->ProcessOutput(delivery.to, HandlePeerMessage(node.gossip, node.membership, node.exchange,
                                                     delivery.from, message, this->now));
}

void FleetChannel::StartCall(std::size_t index, const ServiceCall& call) {
  Node& node = *this->nodes[index];
  if (!this->service.up || !node.service_reachable) {
    return;  // no response; the reader's timeout ends the call
  }
  const auto second =
      std::chrono::floor<std::chrono::seconds>(this->now).time_since_epoch().count();
  if (second != this->service.second) {
    this->service.second = second;
    this->service.second_calls = this->service.waiting.size();
  }
  ++this->service.second_calls;
  this->service.peak_calls = std::max(this->service.peak_calls, this->service.second_calls);
  if (this->service.second_calls > kServiceRate) {
    ++this->service.refused;
    this->ProcessOutput(index,
                        HandleServiceResponse(node.gossip, node.membership, node.exchange,
                                              {call.call_id, ServiceStatus::kBusy, {}}, this->now));
    return;
  }
  this->service.waiting.push_back(
      {index, node.incarnation, call, this->now + std::max<Duration>(call.wait, kServiceDelay)});
}

std::optional<ServiceResponse> FleetChannel::MakeResponse(const WaitingCall& waiting) const {
  const FakeService& from = this->service;
  const std::uint64_t version = this->nodes[waiting.node]->service_stale ? 1 : from.version;
  if (waiting.call.key != "manifest") {
    const auto found = this->objects.find(waiting.call.key.substr(6));
    return found == this->objects.end()
               ? ServiceResponse{waiting.call.call_id, ServiceStatus::kNotFound, {}}
               : ServiceResponse{waiting.call.call_id, ServiceStatus::kValue, found->second};
  }
  if (version > waiting.call.after_version) {
    return ServiceResponse{waiting.call.call_id, ServiceStatus::kValue, from.manifests.at(version)};
  }
  if (this->now >= waiting.deadline) {
    return ServiceResponse{waiting.call.call_id, ServiceStatus::kNotModified, {}};
  }
  return std::nullopt;
}

void FleetChannel::CompleteCalls() {
  std::vector<WaitingCall> calls = std::exchange(this->service.waiting, {});
  for (WaitingCall& waiting : calls) {
    Node& node = *this->nodes[waiting.node];
    if (!this->service.up || !node.service_reachable || !node.up ||
        node.incarnation != waiting.incarnation) {
      continue;  // the connection is closed
    }
    const auto answer = this->IsRunning(node) ? this->MakeResponse(waiting) : std::nullopt;
    if (!answer) {
      this->service.waiting.push_back(std::move(waiting));
      continue;
    }
    this->ProcessOutput(waiting.node, HandleServiceResponse(node.gossip, node.membership,
                                                            node.exchange, *answer, this->now));
  }
}

}  // namespace geraniumspread::fleet::testing
