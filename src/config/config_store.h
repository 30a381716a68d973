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

// Decides which configuration is in force on a router. A state machine without
// I/O: the router offers bytes from the configuration service and from peers,
// fetches what the store says it misses, and hands its parts to peers.
namespace geraniumspread::config {

// Manifests that wait for shards at the same time. More than one is needed: the
// shards of the highest version may never arrive, while a lower one completes.
inline constexpr std::size_t kMaxCandidates = 3;
inline constexpr std::size_t kMaxRememberedRejections = 64;
inline constexpr std::size_t kMaxAlarms = 16;

struct ConfigStoreOptions {
  // How long a new process holds back a configuration that is older than one a
  // peer reported, or that no peer has confirmed yet.
  Duration start_wait = std::chrono::seconds(10);
};

enum class OfferVerdict : std::uint8_t {
  kAccepted,  // the offer put a version in force
  kPending,   // kept; shards are still missing
  kKnown,     // nothing new
  kStale,     // version lower than the one in force
  kConflict,  // version in force, but another digest; an alarm is raised
  kRejected,  // invalid, now or at an earlier offer
  kUnwanted,  // a shard that no waiting manifest names
  kDropped,   // too many manifests wait, all with higher versions
};

// Outcome of one offer. `version` and `digest` name the manifest concerned; for
// a shard that completes none they are 0 and the shard's digest. `error` is set
// for kRejected.
struct OfferOutcome {
  OfferVerdict verdict = OfferVerdict::kKnown;
  std::uint64_t version = 0;
  Digest digest;
  ConfigError error;
};

// A configuration that was refused as invalid. The same bytes give the same
// entry on every router. `version` is 0 when the manifest can't be read.
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
  Digest other_digest;  // kVersionConflict: the digest known before
  std::string message;
  TimePoint first_seen;
  std::uint64_t count = 0;
};

// A shard with its workspaces, which are kept so that a change of one shard
// doesn't parse all others again. Bytes beyond kMaxShardBytes are not kept.
struct StoredShard {
  std::string bytes;
  ShardContent content;
};

using ShardTable = std::map<Digest, StoredShard, std::less<>>;

// A manifest that waits for its shards.
struct Candidate {
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
  bool peers_asked = false;  // every peer asked at start has answered, or there is none
  bool serving = false;      // never turns false again
  VersionDigest in_force;    // version 0: none
  std::string manifest_bytes;
  std::shared_ptr<const Configuration> configuration;
  VersionDigest highest_heard;        // from peers
  std::vector<Candidate> candidates;  // by version, highest first
  std::vector<Digest> shards_in_force;
  ShardTable shards;  // of the version in force and of the candidates
  std::vector<Rejection> rejections;
  std::vector<ConfigAlarm> alarms;
};

ConfigStore MakeConfigStore(const ConfigStoreOptions& options, TimePoint now);

// Offers manifest bytes from the configuration service or a peer.
OfferOutcome OfferManifest(ConfigStore& store, std::string bytes, TimePoint now);
// Offers the bytes of one shard. They are found by their digest, so the order
// of offers doesn't matter.
OfferOutcome OfferShard(ConfigStore& store, std::string bytes, TimePoint now);

// Records what a peer says it has in force (heartbeat or offer). Returns true
// when the manifest with this digest should be fetched.
bool NotePeerVersion(ConfigStore& store, const VersionDigest& heard, TimePoint now);
// Ends the question to the peers at start. Also to be called without peers.
void MarkPeersAsked(ConfigStore& store);

// Whether the router may serve with the version in force. False until there is
// one. A new process also waits until its peers were asked and it has the
// highest version it heard of, but no longer than `start_wait`.
bool IsReadyToServe(ConfigStore& store, TimePoint now);

// Digests of the shards that waiting manifests still need, without duplicates,
// those of the highest version first.
std::vector<Digest> MissingShards(const ConfigStore& store);
// Digest of a manifest that a peer reported with a higher version and that is
// neither held nor rejected; empty if there is none.
Digest MissingManifest(const ConfigStore& store);

// Bytes of a manifest or shard for a peer, or nullptr. Valid until the next
// change of the store.
const std::string* FindPart(const ConfigStore& store, std::string_view digest);

// Nullptr before the first version is in force. Readers may keep the pointer;
// a new version replaces it as a whole.
std::shared_ptr<const Configuration> InForce(const ConfigStore& store);

// "accepted", "pending", "known", "stale", "conflict", "rejected", "unwanted", "dropped".
std::string_view ToString(OfferVerdict verdict);
// "version_conflict", "rejected".
std::string_view ToString(AlarmKind kind);

}  // namespace geraniumspread::config

#endif  // CONFIG_CONFIG_STORE_H_
