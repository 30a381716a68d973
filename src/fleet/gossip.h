#ifndef FLEET_GOSSIP_H_
#define FLEET_GOSSIP_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "common/runtime_clock.h"
#include "fleet/config_exchange.h"
#include "fleet/config_reader.h"
#include "fleet/fleet_types.h"
#include "fleet/membership.h"
#include "fleet/peer_messages.h"

namespace geraniumspread::fleet {

struct GossipSettings {
  Duration heartbeat_period = std::chrono::seconds(1);
  std::size_t random_peers = 3;  // besides domain peers, per heartbeat period
  std::size_t push_peers = 4;    // for a new configuration or quarantine entry
  // Heartbeats to domain peers are spread over several periods when they would
  // cost more than `heartbeat_bytes_per_second`, or when all control messages of
  // this router, averaged over `average_span`, would cost more than
  // `control_bytes_per_second`. That is below the 8 KB/s per node because parts
  // of shards come in bursts.
  std::uint64_t heartbeat_bytes_per_second = 4096;
  std::uint64_t control_bytes_per_second = 6800;
  Duration average_span = std::chrono::seconds(60);
  // A part that hasn't arrived after this is asked from another peer.
  Duration part_timeout = std::chrono::milliseconds(500);
  std::size_t parallel_pulls = 4;
  // A router gives an object at most `copies_per_window` times per window, so
  // that those who get a change first don't carry it to the whole fleet. Peers
  // that have no configuration yet are exempt.
  std::size_t copies_per_window = 2;
  Duration copy_window = std::chrono::seconds(10);
  // A pull older than this may turn to the service although peers announce the
  // version.
  Duration service_after = std::chrono::seconds(1);
  // Least time between two repairs (offer or quarantine set) to one peer.
  Duration repair_gap = std::chrono::seconds(1);
  // How long a new router puts its endpoint into its heartbeats.
  Duration announce_endpoint = std::chrono::seconds(30);
  // A new router serves only after this many peers have announced their
  // configuration, or after `ask_peers_for` when fewer answer.
  std::size_t ask_peers = 3;
  Duration ask_peers_for = std::chrono::seconds(2);
  std::uint64_t max_object_bytes = 1U << 20U;  // manifest or shard
};

// A message to put on the control channel of the router `to`.
struct OutgoingMessage {
  std::string to;
  PeerMessage message;
};

// What the caller has to carry out after a step of the state machine.
struct GossipOutput {
  std::vector<OutgoingMessage> messages;
  std::vector<ServiceCall> service_calls;
  // Set when another configuration came into force during this step.
  bool config_changed = false;
  // Peers that announce the version in force with another digest.
  std::vector<std::string> digest_conflicts;
};

// Control bytes sent and received, by index of PeerMessage.
struct ControlMeter {
  std::array<std::uint64_t, kMessageTypeCount> sent_bytes{};
  std::array<std::uint64_t, kMessageTypeCount> sent_messages{};
  std::array<std::uint64_t, kMessageTypeCount> received_bytes{};
  // Moving average of a heartbeat frame, for the bound on the fan-out.
  double heartbeat_bytes = 400;
  // Average of all other messages, and the total at its last update.
  double other_bytes_per_second = 0;
  std::uint64_t other_bytes_seen = 0;
};

// A manifest or shard that is being pulled.
struct Pull {
  bool is_manifest = false;
  std::string peer;  // asked last; empty while no known peer can give it
  TimePoint started_at;
  TimePoint asked_at;
  std::string received;
  std::set<std::string> failed_peers;
};

// How often an object was given to peers in the running window.
struct CopyCount {
  TimePoint window_start;
  std::size_t copies = 0;
};

struct QuarantineRecord {
  std::uint32_t deaths = 0;
  TimePoint expires_at;
};

struct Gossip {
  GossipSettings settings;
  std::mt19937_64 random;
  TimePoint started_at;
  // In-flight sums that the next heartbeats carry; set by the caller.
  std::vector<PoolLoad> pool_loads;
  ConfigReader reader;
  TimePoint next_heartbeat;
  std::size_t domain_cursor = 0;
  ConfigVersion announced;  // last version that was pushed
  // Highest version that a peer announced and this router hasn't got.
  ConfigVersion wanted;
  std::map<std::string, Pull, std::less<>> pulls;  // by digest
  std::set<std::string, std::less<>> refused_digests;
  std::map<std::string, CopyCount, std::less<>> copies;  // by digest
  // Last announcement of each peer, by heartbeat or offer.
  std::map<std::string, ConfigVersion, std::less<>> peer_config;
  std::map<std::string, TimePoint, std::less<>> last_offer;       // by peer
  std::map<std::string, TimePoint, std::less<>> last_quarantine;  // by peer
  std::map<std::string, QuarantineRecord, std::less<>> quarantine;
  std::vector<std::string> quarantine_news;  // fingerprints to push
  ControlMeter meter;
};

Gossip MakeGossip(const GossipSettings& settings,
                  const ConfigReaderSettings& reader_settings,
                  std::uint64_t seed,
                  TimePoint now);

// Advances timers. Call every 50 to 100 ms.
GossipOutput TickGossip(Gossip& gossip,
                        const Membership& membership,
                        const ConfigExchange& exchange,
                        TimePoint now);

// Handles a heartbeat, config_* or quarantine message; other messages are
// ignored. Call ApplyHeartbeat on the membership first and drop the message
// when that fails.
GossipOutput HandlePeerMessage(Gossip& gossip,
                               const Membership& membership,
                               const ConfigExchange& exchange,
                               std::string_view sender,
                               const PeerMessage& message,
                               TimePoint now);

// Hands over the answer to a call from `service_calls`.
GossipOutput HandleServiceAnswer(Gossip& gossip,
                                 const Membership& membership,
                                 const ConfigExchange& exchange,
                                 const ServiceAnswer& answer,
                                 TimePoint now);

// True once this router may serve: a configuration is in force and the peers were
// asked. For `ask_peers_for` it also waits for a higher version on its way.
bool MayServe(const Gossip& gossip,
              const Membership& membership,
              const ConfigExchange& exchange,
              TimePoint now);

// Starts or refreshes a quarantine found by this router. Spread with the next tick.
void AddQuarantine(Gossip& gossip, const QuarantineEntry& entry, TimePoint now);
bool IsQuarantined(const Gossip& gossip, std::string_view fingerprint, TimePoint now);

// Digest over the fingerprints and deaths in force; 0 when there is none.
std::uint64_t QuarantineDigest(const Gossip& gossip, TimePoint now);

// The caller reports the size of each frame, for metrics and the fan-out bound.
void NoteSentFrame(ControlMeter& meter, const PeerMessage& message, std::size_t frame_bytes);
void NoteReceivedFrame(ControlMeter& meter, const PeerMessage& message, std::size_t frame_bytes);

}  // namespace geraniumspread::fleet

#endif  // FLEET_GOSSIP_H_
