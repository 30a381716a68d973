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

// Control messages between routers. Every message is a JSON-RPC 2.0 notification with `"v": 1`.
// Receivers ignore unknown fields and give missing optional fields the defaults below.
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
  // Sent for a while after a start, for peers whose instance list is still stale.
  std::optional<Endpoint> endpoint;

  bool operator==(const Heartbeat&) const = default;
};

// Lease messages carry the protocol of the ownership module. Upstreams, routers and
// member lists (views) are identified by 64-bit keys in hexadecimal.
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

// Releases granted leases before they expire. If the message is lost, the leases
// expire at the end of their term.
struct LeaseRelease {
  std::uint64_t request_number = 0;
  std::vector<std::string> upstreams;
  bool leaving = false;

  bool operator==(const LeaseRelease&) const = default;
};

struct ConfigOffer {
  ConfigVersion config;
  // Absent if the manifest is larger than kMaxOfferedManifestBytes, or if the offer
  // answers a peer with an older version. The peer then pulls it by its digest.
  std::optional<std::string> manifest;

  bool operator==(const ConfigOffer&) const = default;
};

// Requests the bytes of a manifest or shard, starting at `offset`.
struct ConfigRequest {
  std::string digest;
  std::uint64_t offset = 0;
  // The sender has no configuration in force.
  bool urgent = false;

  bool operator==(const ConfigRequest&) const = default;
};

// Part of a manifest or shard. `total` is 0 if the sender doesn't have the object,
// or has reached its limit of copies for the current window.
struct ConfigPart {
  std::string digest;
  std::uint64_t offset = 0;
  std::uint64_t total = 0;
  std::string bytes;  // sent as text, or as base64 if that is shorter

  bool operator==(const ConfigPart&) const = default;
};

// Fingerprint of a request that crashes upstreams.
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

// Requests an unused part of the peer's share of a workspace's limits: slots for
// in-flight requests, and tokens of the rate limit.
struct ShareRequest {
  std::uint64_t request_number = 0;
  std::string workspace;  // key in hexadecimal
  std::uint32_t concurrent = 0;
  std::uint32_t tokens = 0;

  bool operator==(const ShareRequest&) const = default;
};

// Response to each ShareRequest. Zeros mean that the peer has nothing to lend.
struct ShareGrant {
  std::uint64_t request_number = 0;
  std::string workspace;
  std::uint32_t concurrent = 0;
  std::uint32_t tokens = 0;

  bool operator==(const ShareGrant&) const = default;
};

// Returns one borrowed slot after its request has ended. If the message is lost,
// the loan expires at the end of its term.
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

// JSON-RPC method of the PeerMessage alternative with index `type_index`.
std::string_view MethodName(std::size_t type_index);

// Limits that the sender keeps and the receiver checks.
inline constexpr std::size_t kMaxPoolLoads = 256;
inline constexpr std::size_t kMaxLeaseUpstreams = 400;
inline constexpr std::size_t kMaxLeaseViews = 16;
inline constexpr std::size_t kMaxViewMembers = 512;
inline constexpr std::size_t kMaxQuarantineEntries = 128;
// One request needs at most one slot and one token.
inline constexpr std::uint32_t kMaxShareParts = 1;
// Raw bytes of a part. Encoded as base64 and with the envelope, it fits a frame.
inline constexpr std::size_t kMaxPartBytes = std::size_t{40} * 1024;
// Manifests up to this size are sent inside the offer. A router receives about four
// offers of each change, so pulling a larger manifest once takes fewer bytes.
inline constexpr std::size_t kMaxOfferedManifestBytes = std::size_t{2} * 1024;

}  // namespace geraniumspread::fleet

#endif  // FLEET_PEER_MESSAGES_H_
