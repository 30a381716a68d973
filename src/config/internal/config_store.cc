#include "config/config_store.h"

#include <algorithm>
#include <array>
#include <optional>
#include <set>
#include <utility>

#include "common/secure_bytes.h"

namespace geraniumspread::config {
namespace {

const Rejection* FindRejection(const ConfigStore& store, std::string_view digest) {
  const auto found = std::ranges::find(store.rejections, digest, &Rejection::digest);
  return found == store.rejections.end() ? nullptr : &*found;
}

const PendingManifest* FindPendingManifest(const ConfigStore& store, std::string_view digest) {
  const auto found = std::ranges::find(store.pending_manifests, digest, &PendingManifest::digest);
  return found == store.pending_manifests.end() ? nullptr : &*found;
}

void RaiseAlarm(ConfigStore& store, ConfigAlarm alarm) {
  const auto same = std::ranges::find_if(store.alarms, [&alarm](const ConfigAlarm& known) {
    return known.kind == alarm.kind && known.digest == alarm.digest;
  });
  if (same != store.alarms.end()) {
    ++same->count;
    return;
  }
  alarm.count = 1;
  store.alarms.push_back(std::move(alarm));
  if (store.alarms.size() > kMaxAlarms) {
    store.alarms.erase(std::ranges::min_element(store.alarms, {}, &ConfigAlarm::version));
  }
}

void RaiseConflict(ConfigStore& store,
                   const VersionDigest& refused,
                   const Digest& known,
                   TimePoint now) {
  RaiseAlarm(store, {.kind = AlarmKind::kVersionConflict,
                     .version = refused.version,
                     .digest = refused.digest,
                     .other_digest = known,
                     .message = "version " + std::to_string(refused.version) +
                                " exists with two digests; compile the sheet again with a higher "
                                "version",
                     .first_seen = now});
}

void Reject(ConfigStore& store, const VersionDigest& refused, ConfigError error, TimePoint now) {
  RaiseAlarm(store, {.kind = AlarmKind::kRejected,
                     .version = refused.version,
                     .digest = refused.digest,
                     .other_digest = {},
                     .message = std::string(ToString(error.code)) + ": " + error.message,
                     .first_seen = now});
  store.rejections.push_back({refused.version, refused.digest, std::move(error)});
  if (store.rejections.size() > kMaxRememberedRejections) {
    store.rejections.erase(store.rejections.begin());
  }
}

// Removes shards that neither the version in force nor a pending manifest references.
void DropUnusedShards(ConfigStore& store) {
  std::set<std::string_view> used(store.shards_in_force.begin(), store.shards_in_force.end());
  for (const PendingManifest& pending : store.pending_manifests) {
    for (const ShardReference& shard : pending.manifest.shards) {
      used.insert(shard.digest);
    }
  }
  std::erase_if(store.shards, [&used](const auto& entry) { return !used.contains(entry.first); });
}

bool IsComplete(const ConfigStore& store, const PendingManifest& pending) {
  return std::ranges::all_of(pending.manifest.shards, [&store](const ShardReference& shard) {
    return store.shards.contains(shard.digest);
  });
}

ConfigResult<Configuration> Assemble(const ConfigStore& store, const PendingManifest& pending) {
  std::vector<const ShardContent*> shards;
  shards.reserve(pending.manifest.shards.size());
  for (const ShardReference& reference : pending.manifest.shards) {
    shards.push_back(&store.shards.find(reference.digest)->second.content);
  }
  return JoinShards(pending.manifest, shards);
}

// Removes alarms about versions below the one in force, which need no action any more.
// An unreadable manifest has version 0, so its alarm is removed as well.
void EraseOutdatedAlarms(ConfigStore& store) {
  std::erase_if(store.alarms, [&store](const ConfigAlarm& alarm) {
    return alarm.version < store.in_force.version;
  });
}

void PutInForce(ConfigStore& store, PendingManifest pending, Configuration configuration) {
  store.in_force = {pending.manifest.version, std::move(pending.digest)};
  store.manifest_bytes = std::move(pending.bytes);
  store.configuration = std::make_shared<const Configuration>(std::move(configuration));
  store.shards_in_force.clear();
  for (const ShardReference& shard : pending.manifest.shards) {
    store.shards_in_force.push_back(shard.digest);
  }
  std::erase_if(store.pending_manifests, [&store](const PendingManifest& other) {
    return other.manifest.version <= store.in_force.version;
  });
  EraseOutdatedAlarms(store);
}

// Result of ActivateCompleteManifest.
struct ActivationResult {
  bool is_accepted = false;
  std::optional<Rejection> rejection;  // the last one
};

// Puts the highest complete and valid pending manifest in force and rejects complete
// invalid ones above it.
ActivationResult ActivateCompleteManifest(ConfigStore& store, TimePoint now) {
  ActivationResult result;
  while (!result.is_accepted) {
    const auto complete = std::ranges::find_if(
        store.pending_manifests,
        [&store](const PendingManifest& entry) { return IsComplete(store, entry); });
    if (complete == store.pending_manifests.end()) {
      break;
    }
    PendingManifest pending = std::move(*complete);
    store.pending_manifests.erase(complete);
    auto configuration = Assemble(store, pending);
    if (configuration) {
      PutInForce(store, std::move(pending), std::move(configuration.value()));
      result.is_accepted = true;
    } else {
      const VersionDigest refused{pending.manifest.version, pending.digest};
      Reject(store, refused, configuration.error(), now);
      result.rejection = store.rejections.back();
    }
  }
  DropUnusedShards(store);
  return result;
}

OfferOutcome RejectedOutcome(const Rejection& rejection) {
  return {OfferVerdict::kRejected, rejection.version, rejection.digest, rejection.error};
}

// Inserts by version, highest first, and by digest among equal versions, so that
// the order doesn't depend on the order of offers.
void InsertPendingManifest(ConfigStore& store, PendingManifest pending, TimePoint now) {
  const VersionDigest added{pending.manifest.version, pending.digest};
  for (const PendingManifest& other : store.pending_manifests) {
    if (other.manifest.version == added.version) {
      RaiseConflict(store, added, other.digest, now);
    }
  }
  const auto precedes = [](const PendingManifest& left, const PendingManifest& right) {
    return left.manifest.version != right.manifest.version
               ? left.manifest.version > right.manifest.version
               : left.digest < right.digest;
  };
  const auto position = std::ranges::upper_bound(store.pending_manifests, pending, precedes);
  store.pending_manifests.insert(position, std::move(pending));
  if (store.pending_manifests.size() > kMaxPendingManifests) {
    store.pending_manifests.pop_back();
  }
}

// Handles an offered manifest that is valid and neither known nor rejected.
OfferOutcome EvaluateManifest(ConfigStore& store, PendingManifest pending, TimePoint now) {
  const VersionDigest offered{pending.manifest.version, pending.digest};
  OfferOutcome outcome{OfferVerdict::kPending, offered.version, offered.digest, {}};
  if (offered.version < store.in_force.version) {
    outcome.verdict = OfferVerdict::kStale;
    return outcome;
  }
  if (offered.version == store.in_force.version) {
    RaiseConflict(store, offered, store.in_force.digest, now);
    outcome.verdict = OfferVerdict::kConflict;
    return outcome;
  }
  InsertPendingManifest(store, std::move(pending), now);
  ActivateCompleteManifest(store, now);
  if (store.in_force == offered) {
    outcome.verdict = OfferVerdict::kAccepted;
  } else if (const Rejection* rejection = FindRejection(store, offered.digest)) {
    return RejectedOutcome(*rejection);
  } else if (FindPendingManifest(store, offered.digest) == nullptr) {
    outcome.verdict = OfferVerdict::kDropped;
  }
  return outcome;
}

bool IsReferenced(const ConfigStore& store, std::string_view digest) {
  return std::ranges::any_of(store.pending_manifests, [digest](const PendingManifest& pending) {
    return std::ranges::find(pending.manifest.shards, digest, &ShardReference::digest) !=
           pending.manifest.shards.end();
  });
}

bool ShouldFetch(const ConfigStore& store, const VersionDigest& announced) {
  return announced.version > store.in_force.version &&
         !FindPendingManifest(store, announced.digest) && !FindRejection(store, announced.digest);
}

// Raises an alarm if the announced version is known with another digest, from a peer or
// as the version in force.
void CheckAnnouncedConflict(ConfigStore& store, const VersionDigest& announced, TimePoint now) {
  if (FindRejection(store, announced.digest) != nullptr) {
    return;
  }
  for (const VersionDigest& known : {store.in_force, store.highest_announced}) {
    if (known.version == announced.version && known.digest != announced.digest &&
        FindRejection(store, known.digest) == nullptr) {
      RaiseConflict(store, announced, known.digest, now);
      return;
    }
  }
}

}  // namespace

ConfigStore MakeConfigStore(const ConfigStoreOptions& options, TimePoint now) {
  ConfigStore store;
  store.options = options;
  store.started_at = now;
  return store;
}

OfferOutcome OfferManifest(ConfigStore& store, std::string bytes, TimePoint now) {
  Digest digest = Sha256Hex(bytes);
  if (digest == store.in_force.digest) {
    return {OfferVerdict::kKnown, store.in_force.version, digest, {}};
  }
  if (const PendingManifest* known = FindPendingManifest(store, digest)) {
    return {OfferVerdict::kKnown, known->manifest.version, digest, {}};
  }
  if (const Rejection* rejection = FindRejection(store, digest)) {
    return RejectedOutcome(*rejection);
  }
  auto manifest = ParseManifest(bytes);
  if (!manifest) {
    Reject(store, {0, digest}, manifest.error(), now);
    return RejectedOutcome(store.rejections.back());
  }
  return EvaluateManifest(store, {std::move(digest), std::move(bytes), std::move(manifest.value())},
                          now);
}

OfferOutcome OfferShard(ConfigStore& store, std::string bytes, TimePoint now) {
  const Digest digest = Sha256Hex(bytes);
  if (store.shards.contains(digest)) {
    return {OfferVerdict::kKnown, 0, digest, {}};
  }
  if (!IsReferenced(store, digest)) {
    return {OfferVerdict::kUnreferenced, 0, digest, {}};
  }
  ShardContent content = ReadShard(bytes);
  store.shards.emplace(digest,
                       StoredShard{bytes.size() > kMaxShardBytes ? std::string() : std::move(bytes),
                                   std::move(content)});
  const ActivationResult result = ActivateCompleteManifest(store, now);
  if (result.is_accepted) {
    return {OfferVerdict::kAccepted, store.in_force.version, store.in_force.digest, {}};
  }
  return result.rejection ? RejectedOutcome(*result.rejection)
                          : OfferOutcome{OfferVerdict::kPending, 0, digest, {}};
}

bool RecordPeerVersion(ConfigStore& store, const VersionDigest& announced, TimePoint now) {
  if (announced.version == 0 || announced.version > kMaxVersion || !IsDigest(announced.digest)) {
    return false;
  }
  CheckAnnouncedConflict(store, announced, now);
  if (FindRejection(store, announced.digest) != nullptr) {
    return false;
  }
  if (announced.version > store.highest_announced.version ||
      FindRejection(store, store.highest_announced.digest) != nullptr) {
    store.highest_announced = announced;
  }
  return ShouldFetch(store, announced);
}

void MarkPeersQueried(ConfigStore& store) {
  store.peers_queried = true;
}

bool IsReadyToServe(ConfigStore& store, TimePoint now) {
  if (store.serving || !store.configuration) {
    return store.serving;
  }
  const bool has_waited = now - store.started_at >= store.options.startup_wait;
  const bool is_current = store.in_force.version >= store.highest_announced.version ||
                          FindRejection(store, store.highest_announced.digest) != nullptr;
  store.serving = has_waited || (store.peers_queried && is_current);
  return store.serving;
}

std::vector<Digest> MissingShards(const ConfigStore& store) {
  std::vector<Digest> missing;
  std::set<std::string_view> listed;
  for (const PendingManifest& pending : store.pending_manifests) {
    for (const ShardReference& shard : pending.manifest.shards) {
      if (!store.shards.contains(shard.digest) && listed.insert(shard.digest).second) {
        missing.push_back(shard.digest);
      }
    }
  }
  return missing;
}

Digest MissingManifest(const ConfigStore& store) {
  return ShouldFetch(store, store.highest_announced) ? store.highest_announced.digest : Digest();
}

const std::string* FindObjectBytes(const ConfigStore& store, std::string_view digest) {
  if (!store.manifest_bytes.empty() && digest == store.in_force.digest) {
    return &store.manifest_bytes;
  }
  if (const PendingManifest* pending = FindPendingManifest(store, digest)) {
    return &pending->bytes;
  }
  const auto shard = store.shards.find(digest);
  const bool is_held = shard != store.shards.end() && !shard->second.bytes.empty();
  return is_held ? &shard->second.bytes : nullptr;
}

std::shared_ptr<const Configuration> ConfigurationInForce(const ConfigStore& store) {
  return store.configuration;
}

std::string_view ToString(OfferVerdict verdict) {
  static constexpr std::array<std::string_view, 8> kNames = {
      "accepted", "pending", "known", "stale", "conflict", "rejected", "unwanted", "dropped"};
  return kNames[static_cast<std::size_t>(verdict)];
}

std::string_view ToString(AlarmKind kind) {
  return kind == AlarmKind::kVersionConflict ? "version_conflict" : "rejected";
}

}  // namespace geraniumspread::config
