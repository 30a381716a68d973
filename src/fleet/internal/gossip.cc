#include "fleet/gossip.h"

#include <algorithm>
#include <type_traits>
#include <utility>

#include "fleet/internal/gossip_internal.h"
#include "fleet/internal/random_choice.h"

namespace geraniumspread::fleet {
namespace detail {

bool IsReachablePeer(const Membership& membership, const RouterMember& router) {
  return router.member && router.id != membership.self_id && !router.endpoint.address.empty();
}

std::vector<std::string> ReachablePeers(const Membership& membership) {
  std::vector<std::string> peers;
  for (const RouterMember& router : membership.routers) {
    if (IsReachablePeer(membership, router)) {
      peers.push_back(router.id);
    }
  }
  return peers;
}

void Send(GossipStep& step, std::string_view to, PeerMessage message) {
  step.output.messages.push_back({std::string(to), std::move(message)});
}

}  // namespace detail

namespace {

using detail::GossipStep;

// Minimum number of domain peers per heartbeat period, even if their heartbeats
// exceed the budget.
constexpr std::size_t kMinDomainPeers = 3;
// Weight of the newest frame in the average heartbeat size.
constexpr double kSizeWeight = 0.1;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

// Called once per heartbeat period.
void UpdateAverage(Gossip& gossip) {
  ControlMeter& meter = gossip.meter;
  std::uint64_t other = 0;
  for (std::size_t type = 0; type < kMessageTypeCount; ++type) {
    other += type == PeerMessage(Heartbeat()).index() ? 0 : meter.sent_bytes.at(type);
  }
  const double period = Seconds(gossip.settings.heartbeat_period);
  const double rate = static_cast<double>(other - meter.other_bytes_seen) / period;
  meter.other_bytes_seen = other;
  meter.other_bytes_per_second +=
      (rate - meter.other_bytes_per_second) * period / Seconds(gossip.settings.averaging_window);
}

struct HeartbeatPeers {
  std::vector<std::string> domain;
  std::vector<std::string> others;
};

HeartbeatPeers SplitPeers(const Membership& membership) {
  HeartbeatPeers peers;
  for (std::string& id : detail::ReachablePeers(membership)) {
    const bool same_domain = FindRouter(membership, id)->failure_domain == membership.self_domain;
    (same_domain ? peers.domain : peers.others).push_back(std::move(id));
  }
  return peers;
}

// Returns the domain peers for this period: all of them, or as many as the budget
// allows, in round-robin order.
std::vector<std::string> SelectDomainPeers(Gossip& gossip, std::vector<std::string> peers) {
  const GossipSettings& settings = gossip.settings;
  const double period = Seconds(settings.heartbeat_period);
  const double left =
      static_cast<double>(settings.control_bytes_per_second) - gossip.meter.other_bytes_per_second;
  const double budget =
      std::clamp(left, 0.0, static_cast<double>(settings.heartbeat_bytes_per_second));
  const auto affordable = static_cast<std::size_t>(budget * period / gossip.meter.heartbeat_bytes);
  const std::size_t count =
      std::max(kMinDomainPeers, affordable - std::min(affordable, settings.random_peers));
  if (peers.size() <= count) {
    return peers;
  }
  std::vector<std::string> taken;
  taken.reserve(count);
  for (std::size_t index = 0; index < count; ++index) {
    taken.push_back(std::move(peers[(gossip.domain_cursor + index) % peers.size()]));
  }
  gossip.domain_cursor = (gossip.domain_cursor + count) % peers.size();
  return taken;
}

Heartbeat MakeHeartbeat(const GossipStep& step) {
  const RouterMember& self = *FindRouter(step.membership, step.membership.self_id);
  Heartbeat heartbeat;
  heartbeat.incarnation = self.incarnation;
  heartbeat.failure_domain = self.failure_domain;
  heartbeat.state = self.state;
  heartbeat.config = step.exchange.in_force();
  heartbeat.pool_loads = step.gossip.pool_loads;
  heartbeat.quarantine_digest = QuarantineDigest(step.gossip, step.now);
  if (step.now - step.gossip.started_at < step.gossip.settings.endpoint_announce_period &&
      !self.endpoint.address.empty()) {
    heartbeat.endpoint = self.endpoint;
  }
  return heartbeat;
}

void EraseRemovedPeers(GossipStep& step) {
  const auto gone = [&](const auto& item) {
    const RouterMember* router = FindRouter(step.membership, item.first);
    return router == nullptr || !router->member;
  };
  std::erase_if(step.gossip.peer_config, gone);
  std::erase_if(step.gossip.last_offer, gone);
  std::erase_if(step.gossip.last_quarantine, gone);
}

std::size_t CountReachablePeers(const Membership& membership) {
  return static_cast<std::size_t>(std::ranges::count_if(
      membership.routers,
      [&](const RouterMember& router) { return detail::IsReachablePeer(membership, router); }));
}

void SendHeartbeats(GossipStep& step) {
  Gossip& gossip = step.gossip;
  if (step.now < gossip.next_heartbeat) {
    return;
  }
  EraseRemovedPeers(step);
  UpdateAverage(gossip);
  const Duration period = gossip.settings.heartbeat_period;
  // Periods missed while the process was paused are skipped.
  gossip.next_heartbeat = std::max(gossip.next_heartbeat + period, step.now + period / 2);
  HeartbeatPeers peers = SplitPeers(step.membership);
  detail::KeepRandom(peers.others, gossip.settings.random_peers, gossip.random);
  const Heartbeat heartbeat = MakeHeartbeat(step);
  for (const std::string& peer : SelectDomainPeers(gossip, std::move(peers.domain))) {
    detail::Send(step, peer, heartbeat);
  }
  for (const std::string& peer : peers.others) {
    detail::Send(step, peer, heartbeat);
  }
}

void CallService(GossipStep& step) {
  Gossip& gossip = step.gossip;
  const std::uint64_t known =
      std::max(step.exchange.in_force().version, step.exchange.pending().version);
  auto call = NextServiceCall(gossip.reader, step.membership, known, detail::ShardForService(step),
                              gossip.random, step.now);
  if (call) {
    step.output.service_calls.push_back(std::move(*call));
  }
}

void Dispatch(GossipStep& step, std::string_view sender, const PeerMessage& message) {
  std::visit(
      [&](const auto& typed) {
        using Message = std::decay_t<decltype(typed)>;
        if constexpr (std::is_same_v<Message, Heartbeat>) {
          detail::HandleAnnouncement(step, sender, typed.config);
          detail::RepairQuarantine(step, sender, typed.quarantine_digest);
        } else if constexpr (std::is_same_v<Message, ConfigOffer>) {
          detail::HandleOffer(step, sender, typed);
        } else if constexpr (std::is_same_v<Message, ConfigRequest>) {
          detail::HandleRequest(step, sender, typed);
        } else if constexpr (std::is_same_v<Message, ConfigPart>) {
          detail::HandlePart(step, sender, typed);
        } else if constexpr (std::is_same_v<Message, Quarantine>) {
          detail::MergeQuarantine(step, typed);
        }
      },
      message);
}

}  // namespace

Gossip MakeGossip(const GossipSettings& settings,
                  const ConfigReaderSettings& reader_settings,
                  std::uint64_t seed,
                  TimePoint now) {
  Gossip gossip;
  gossip.settings = settings;
  gossip.random.seed(seed);
  gossip.started_at = now;
  gossip.reader = MakeConfigReader(reader_settings, gossip.random, now);
  // The first heartbeats make peers answer with newer configurations, so they are
  // sent with the first tick.
  gossip.next_heartbeat = now;
  gossip.domain_cursor = static_cast<std::size_t>(gossip.random() % 1024);
  return gossip;
}

GossipOutput TickGossip(Gossip& gossip,
                        const Membership& membership,
                        const ConfigExchange& exchange,
                        TimePoint now) {
  GossipOutput output;
  GossipStep step{gossip, membership, exchange, now, output};
  SendHeartbeats(step);
  detail::AdvanceQuarantine(step);
  detail::AdvanceConfig(step);
  CallService(step);
  return output;
}

GossipOutput HandlePeerMessage(Gossip& gossip,
                               const Membership& membership,
                               const ConfigExchange& exchange,
                               std::string_view sender,
                               const PeerMessage& message,
                               TimePoint now) {
  GossipOutput output;
  GossipStep step{gossip, membership, exchange, now, output};
  Dispatch(step, sender, message);
  detail::AdvanceConfig(step);
  return output;
}

GossipOutput HandleServiceResponse(Gossip& gossip,
                                   const Membership& membership,
                                   const ConfigExchange& exchange,
                                   const ServiceResponse& answer,
                                   TimePoint now) {
  GossipOutput output;
  GossipStep step{gossip, membership, exchange, now, output};
  const auto call = FinishServiceCall(gossip.reader, membership, answer, gossip.random, now);
  if (call && answer.status == ServiceStatus::kValue) {
    detail::HandleServiceValue(step, call->key, answer.value);
  }
  detail::AdvanceConfig(step);
  return output;
}

bool IsReadyToServe(const Gossip& gossip,
                    const Membership& membership,
                    const ConfigExchange& exchange,
                    TimePoint now) {
  const bool behind = gossip.wanted.version != 0 || exchange.pending().version != 0;
  const bool waited = now - gossip.started_at >= gossip.settings.startup_peer_timeout;
  const std::size_t enough =
      std::min(gossip.settings.startup_peers, CountReachablePeers(membership));
  const bool asked = membership.list_revision != 0 && gossip.peer_config.size() >= enough;
  return exchange.in_force().version != 0 && (waited || (asked && !behind));
}

void RecordSentFrame(ControlMeter& meter, const PeerMessage& message, std::size_t frame_bytes) {
  meter.sent_bytes.at(message.index()) += frame_bytes;
  ++meter.sent_messages.at(message.index());
  if (std::holds_alternative<Heartbeat>(message)) {
    meter.heartbeat_bytes +=
        kSizeWeight * (static_cast<double>(frame_bytes) - meter.heartbeat_bytes);
  }
}

void RecordReceivedFrame(ControlMeter& meter, const PeerMessage& message, std::size_t frame_bytes) {
  meter.received_bytes.at(message.index()) += frame_bytes;
}

}  // namespace geraniumspread::fleet
