#ifndef FLEET_PEER_MESSAGES_H_
#define FLEET_PEER_MESSAGES_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "fleet/fleet_types.h"

// Control messages between routers (section "Router to router" of the design
// page). Every message is a JSON-RPC 2.0 notification with `"v": 1`. Receivers
// ignore unknown fields and give missing optional fields the defaults below.
namespace geraniumspread::fleet {

// In-flight requests on the upstreams of one pool that the sender owns.
struct PoolLoad {
  std::string pool;
  std::uint32_t in_flight = 0;

  bool operator==(const PoolLoad&) const = default;
};

struct Heartbeat {
  std::uint64_t incarnation = 0;
  std::string failure_domain;
  RouterState state = RouterState::kStarting;
  ConfigVersion config;
  std::vector<PoolLoad> pool_loads;
  std::uint64_t quarantine_digest = 0;
  // Sent while the router is new, for peers whose instance list lags.
  std::optional<Endpoint> endpoint;

  bool operator==(const Heartbeat&) const = default;
};

// The lease messages carry the protocol of the ownership module. Upstreams,
// routers and member lists are named by 64-bit keys in hexadecimal.
struct LeaseRequest {
  std::uint64_t request_number = 0;
  std::uint32_t member_count = 0;
  std::vector<std::string> upstreams;
  std::uint64_t acknowledged = 0;
  std::uint32_t reserve_divisor = 0;
  bool reserve_in_use = false;
  std::vector<std::string> views;

  bool operator==(const LeaseRequest&) const = default;
};

// A router that may be using its reserve.
struct SilentMember {
  std::string router;
  std::uint32_t divisor = 0;

  bool operator==(const SilentMember&) const = default;
};

struct LeaseReply {
  std::uint64_t request_number = 0;
  std::vector<std::string> granted;
  std::vector<std::string> refused;
  std::uint64_t owner_incarnation = 0;
  std::uint64_t view = 0;
  std::chrono::milliseconds accounted_for{0};
  std::vector<SilentMember> silent;
  bool records_complete = false;
  std::vector<std::vector<std::string>> missing_views;

  bool operator==(const LeaseReply&) const = default;
};

// Gives promises back before their term ends. Drops nothing when it is lost:
// the promises then end with their term.
struct LeaseRelease {
  std::uint64_t request_number = 0;
  std::vector<std::string> upstreams;
  bool leaving = false;

  bool operator==(const LeaseRelease&) const = default;
};

struct ConfigOffer {
  ConfigVersion config;
  // Absent when the manifest doesn't fit a frame; it is then pulled by digest.
  std::optional<std::string> manifest;

  bool operator==(const ConfigOffer&) const = default;
};

// Asks for the bytes of a manifest or shard from `offset` on.
struct ConfigRequest {
  std::string digest;
  std::uint64_t offset = 0;
  // The sender has no configuration in force.
  bool urgent = false;

  bool operator==(const ConfigRequest&) const = default;
};

// Part of a manifest or shard. `total` 0 means that the sender doesn't have it or
// has given it to enough peers for now.
struct ConfigPart {
  std::string digest;
  std::uint64_t offset = 0;
  std::uint64_t total = 0;
  std::string bytes;  // on the wire as text, or as base64 where that is shorter

  bool operator==(const ConfigPart&) const = default;
};

// One request fingerprint that crashes upstreams.
struct QuarantineEntry {
  std::string fingerprint;
  std::uint32_t deaths = 0;
  std::chrono::milliseconds remaining{0};

  bool operator==(const QuarantineEntry&) const = default;
};

struct Quarantine {
  std::vector<QuarantineEntry> entries;

  bool operator==(const Quarantine&) const = default;
};

// Asks a peer for an unused part of its share of a workspace's limits: room for
// requests in flight, and tokens of the rate.
struct ShareRequest {
  std::uint64_t request_number = 0;
  std::string workspace;  // key in hexadecimal
  std::uint32_t concurrent = 0;
  std::uint32_t tokens = 0;

  bool operator==(const ShareRequest&) const = default;
};

// Answers each ShareRequest, with zeros when nothing is left.
struct ShareGrant {
  std::uint64_t request_number = 0;
  std::string workspace;
  std::uint32_t concurrent = 0;
  std::uint32_t tokens = 0;

  bool operator==(const ShareGrant&) const = default;
};

// Gives one borrowed slot back when its request has ended. When it is lost, the
// loan ends with its term.
struct ShareReturn {
  std::string workspace;

  bool operator==(const ShareReturn&) const = default;
};

using PeerMessage = std::variant<Heartbeat,
                                 LeaseRequest,
                                 LeaseReply,
                                 LeaseRelease,
                                 ConfigOffer,
                                 ConfigRequest,
                                 ConfigPart,
                                 Quarantine,
                                 ShareRequest,
                                 ShareGrant,
                                 ShareReturn>;

inline constexpr std::size_t kMessageTypeCount = std::variant_size_v<PeerMessage>;

// JSON-RPC method of the alternative with this index of PeerMessage.
std::string_view MethodName(std::size_t type_index);

// Limits that both sides check.
inline constexpr std::size_t kMaxPoolLoads = 256;
inline constexpr std::size_t kMaxLeaseUpstreams = 400;
inline constexpr std::size_t kMaxLeaseViews = 16;
inline constexpr std::size_t kMaxViewMembers = 512;
inline constexpr std::size_t kMaxQuarantineEntries = 128;
// One request needs at most one slot and one token.
inline constexpr std::uint32_t kMaxShareParts = 1;
// Raw bytes of a part; with base64 and the envelope it stays below a frame.
inline constexpr std::size_t kMaxPartBytes = std::size_t{40} * 1024;
// A manifest up to this size travels inside its offer. A router gets about four
// offers of each change, so larger manifests are cheaper to pull once.
inline constexpr std::size_t kMaxOfferedManifestBytes = std::size_t{2} * 1024;

}  // namespace geraniumspread::fleet

#endif  // FLEET_PEER_MESSAGES_H_
