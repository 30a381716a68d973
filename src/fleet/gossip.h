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
  std::size_t random_peers = 3;  // of other domains, per heartbeat period
  std::size_t push_peers = 4;    // that receive a new configuration or quarantine entry
  // Heartbeats to domain peers are spread over several periods if they would exceed
  // `heartbeat_bytes_per_second`, or if all control messages of this router,
  // averaged over `averaging_window`, would exceed `control_bytes_per_second`. The
  // latter is below the budget of 8 KB/s per node because shard parts are sent in
  // bursts.
  std::uint64_t heartbeat_bytes_per_second = 4096;
  std::uint64_t control_bytes_per_second = 6800;
  Duration averaging_window = std::chrono::seconds(60);
  // A part that hasn't arrived after this time is requested from another peer.
  Duration part_timeout = std::chrono::milliseconds(500);
  std::size_t parallel_pulls = 4;
  // A router sends an object at most `copies_per_window` times per window, so that
  // the first routers to get a change don't upload it to the whole fleet. Requests
  // of peers without any configuration are exempt.
  std::size_t copies_per_window = 2;
  Duration copy_window = std::chrono::seconds(10);
  // A shard pull older than this may fall back to the configuration service even
  // though peers announce the version.
  Duration service_fallback_delay = std::chrono::seconds(1);
  // Minimum time between two repair offers to one peer whose version is older.
  Duration min_repair_interval = std::chrono::seconds(1);
  // Heartbeats carry this router's endpoint for this long after its start.
  Duration endpoint_announce_period = std::chrono::seconds(30);
  // A new router serves only after this many peers have announced their
  // configuration, or after `startup_peer_timeout` if fewer do.
  std::size_t startup_peers = 3;
  Duration startup_peer_timeout = std::chrono::seconds(2);
  std::uint64_t max_object_bytes = 1U << 20U;  // manifest or shard
};

// A message to send to the router `to`.
struct OutgoingMessage {
  std::string to;
  PeerMessage message;
};

// Actions for the caller after a step of the state machine.
struct GossipOutput {
  std::vector<OutgoingMessage> messages;
  std::vector<ServiceCall> service_calls;
  // True if another configuration came into force since the last step.
  bool config_changed = false;
  // Peers that announce the version in force with another digest.
  std::vector<std::string> digest_conflicts;
};

// Control bytes sent and received, by index of PeerMessage.
struct ControlMeter {
  std::array<std::uint64_t, kMessageTypeCount> sent_bytes{};
  std::array<std::uint64_t, kMessageTypeCount> sent_messages{};
  std::array<std::uint64_t, kMessageTypeCount> received_bytes{};
  // Moving average of the size of a heartbeat frame. Limits the heartbeat fan-out.
  double heartbeat_bytes = 400;
  // Average rate of all other messages, and their total at the last update.
  double other_bytes_per_second = 0;
  std::uint64_t other_bytes_seen = 0;
};

// A manifest or shard that is being pulled.
struct Pull {
  bool is_manifest = false;
  std::string peer;  // last peer asked; empty while no known peer can provide the object
  TimePoint started_at;
  TimePoint asked_at;
  std::string received;
  std::set<std::string> failed_peers;
};

// Number of times an object was sent to peers in the current window.
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
  // In-flight requests per pool for the next heartbeats; set by the caller.
  std::vector<PoolLoad> pool_loads;
  ConfigReader reader;
  TimePoint next_heartbeat;
  std::size_t domain_cursor = 0;
  ConfigVersion announced;  // last version pushed to peers
  // Highest version that a peer has announced and this router doesn't have.
  ConfigVersion wanted;
  std::map<std::string, Pull, std::less<>> pulls;  // by digest
  std::set<std::string, std::less<>> refused_digests;
  std::map<std::string, CopyCount, std::less<>> copies;  // by digest
  // Version that each peer last announced in a heartbeat or offer.
  std::map<std::string, ConfigVersion, std::less<>> peer_config;
  std::map<std::string, TimePoint, std::less<>> last_offer;       // by peer
  std::map<std::string, TimePoint, std::less<>> last_quarantine;  // by peer
  std::map<std::string, QuarantineRecord, std::less<>> quarantine;
  std::vector<std::string> unsent_quarantines;  // fingerprints to push
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

// Handles the response to a call from `service_calls`.
GossipOutput HandleServiceResponse(Gossip& gossip,
                                   const Membership& membership,
                                   const ConfigExchange& exchange,
                                   const ServiceResponse& answer,
                                   TimePoint now);

// True if a configuration is in force and either enough peers have announced theirs
// and none has a higher version, or `startup_peer_timeout` has passed.
bool IsReadyToServe(const Gossip& gossip,
                    const Membership& membership,
                    const ConfigExchange& exchange,
                    TimePoint now);

// Adds or updates a quarantine entry found by this router. The next tick sends it to
// peers.
void AddQuarantine(Gossip& gossip, const QuarantineEntry& entry, TimePoint now);
bool IsQuarantined(const Gossip& gossip, std::string_view fingerprint, TimePoint now);

// Digest over the fingerprints and deaths of the entries that are spread to peers; 0
// if there are none.
std::uint64_t QuarantineDigest(const Gossip& gossip, TimePoint now);

// Record the size of a frame, for metrics and the limit on the heartbeat fan-out.
void RecordSentFrame(ControlMeter& meter, const PeerMessage& message, std::size_t frame_bytes);
void RecordReceivedFrame(ControlMeter& meter, const PeerMessage& message, std::size_t frame_bytes);

}  // namespace geraniumspread::fleet

#endif  // FLEET_GOSSIP_H_
