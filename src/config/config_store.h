#ifndef CONFIG_CONFIG_STORE_H_
#define CONFIG_CONFIG_STORE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "common/runtime_clock.h"
#include "config/config_error.h"
#include "config/config_types.h"
#include "config/manifest.h"

// Decides which configuration is in force on a router. A state machine without I/O:
// the router offers bytes from the configuration service and from peers, fetches the
// objects that the store reports as missing, and serves stored objects to peers.
namespace geraniumspread::config {

// Maximum number of manifests that wait for shards. More than one is needed because
// the shards of the highest version may never arrive while a lower version completes.
inline constexpr std::size_t kMaxPendingManifests = 3;
inline constexpr std::size_t kMaxRememberedRejections = 64;
inline constexpr std::size_t kMaxAlarms = 16;

struct ConfigStoreOptions {
  // A new process delays serving for up to this time if a peer reported a higher
  // version, or if the peers haven't all been queried yet.
  Duration startup_wait = std::chrono::seconds(10);
};

enum class OfferVerdict : std::uint8_t {
  kAccepted,      // the offer put a version in force
  kPending,       // stored; shards are still missing
  kKnown,         // already known
  kStale,         // version lower than the one in force
  kConflict,      // version in force, but another digest; an alarm is raised
  kRejected,      // invalid, now or at an earlier offer
  kUnreferenced,  // a shard that no pending manifest references
  kDropped,       // not stored: too many pending manifests, all with higher versions
};

// Outcome of one offer. `version` and `digest` name the manifest concerned; for
// a shard that completes no manifest they are 0 and the shard's digest. `error` is set
// for kRejected.
struct OfferOutcome {
  OfferVerdict verdict = OfferVerdict::kKnown;
  std::uint64_t version = 0;
  Digest digest;
  ConfigError error;
};

// A configuration rejected as invalid. The same bytes give the same entry on every
// router. `version` is 0 if the manifest can't be parsed.
struct Rejection {
  std::uint64_t version = 0;
  Digest digest;
  ConfigError error;

  bool operator==(const Rejection&) const = default;
};

enum class AlarmKind : std::uint8_t {
  kVersionConflict,  // one version exists with two digests
  kRejected,         // an invalid configuration was offered
};

struct ConfigAlarm {
  AlarmKind kind = AlarmKind::kVersionConflict;
  std::uint64_t version = 0;
  Digest digest;        // the refused manifest
  Digest other_digest;  // kVersionConflict: the digest that was known first
  std::string message;
  TimePoint first_seen;
  std::uint64_t count = 0;
};

// A shard and its parsed workspaces, cached so that a change of one shard doesn't
// require parsing all others again. Bytes of shards above kMaxShardBytes are not stored.
struct StoredShard {
  std::string bytes;
  ShardContent content;
};

using ShardTable = std::map<Digest, StoredShard, std::less<>>;

// A manifest that waits for its shards.
struct PendingManifest {
  Digest digest;
  std::string bytes;
  Manifest manifest;
};

struct VersionDigest {
  std::uint64_t version = 0;
  Digest digest;

  bool operator==(const VersionDigest&) const = default;
};

// All state of the store. Change it only through the functions below.
struct ConfigStore {
  ConfigStoreOptions options;
  TimePoint started_at;
  bool peers_queried = false;  // every peer queried at start has answered, or there is no peer
  bool serving = false;        // never becomes false again
  VersionDigest in_force;      // version 0: none
  std::string manifest_bytes;
  std::shared_ptr<const Configuration> configuration;
  VersionDigest highest_announced;                 // from peers
  std::vector<PendingManifest> pending_manifests;  // by version, highest first
  std::vector<Digest> shards_in_force;
  ShardTable shards;  // of the version in force and of the pending manifests
  std::vector<Rejection> rejections;
  std::vector<ConfigAlarm> alarms;
};

ConfigStore MakeConfigStore(const ConfigStoreOptions& options, TimePoint now);

// Offers manifest bytes from the configuration service or a peer.
OfferOutcome OfferManifest(ConfigStore& store, std::string bytes, TimePoint now);
// Offers the bytes of one shard. Shards are identified by their digest, so the order
// of offers doesn't matter.
OfferOutcome OfferShard(ConfigStore& store, std::string bytes, TimePoint now);

// Records the version that a peer announces in a heartbeat or offer. Returns true if
// the manifest with this digest should be fetched.
bool RecordPeerVersion(ConfigStore& store, const VersionDigest& announced, TimePoint now);
// Marks the query of peers at start as finished. Must also be called if there are no
// peers.
void MarkPeersQueried(ConfigStore& store);

// True if the router may serve with the version in force. False until there is one. A
// new process also waits until its peers were queried and it has the highest version
// that a peer announced, but no longer than `startup_wait`.
bool IsReadyToServe(ConfigStore& store, TimePoint now);

// Returns the digests of the shards that pending manifests lack, without duplicates,
// those of the highest version first.
std::vector<Digest> MissingShards(const ConfigStore& store);
// Returns the digest of the highest announced manifest if its version is above the one
// in force and it is neither stored nor rejected, else an empty digest.
Digest MissingManifest(const ConfigStore& store);

// Returns the bytes of a stored manifest or shard, or nullptr. Valid until the next
// change of the store.
const std::string* FindObjectBytes(const ConfigStore& store, std::string_view digest);

// Returns nullptr before the first version is in force. Callers may keep the pointer:
// configurations are immutable and a new version gets a new object.
std::shared_ptr<const Configuration> ConfigurationInForce(const ConfigStore& store);

// "accepted", "pending", "known", "stale", "conflict", "rejected", "unwanted", "dropped".
std::string_view ToString(OfferVerdict verdict);
// "version_conflict", "rejected".
std::string_view ToString(AlarmKind kind);

}  // namespace geraniumspread::config

#endif  // CONFIG_CONFIG_STORE_H_
