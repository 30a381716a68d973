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

const Candidate* FindCandidate(const ConfigStore& store, std::string_view digest) {
  const auto found = std::ranges::find(store.candidates, digest, &Candidate::digest);
  return found == store.candidates.end() ? nullptr : &*found;
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

// Drops shards that neither the version in force nor a candidate names.
void DropUnusedShards(ConfigStore& store) {
  std::set<std::string_view> used(store.shards_in_force.begin(), store.shards_in_force.end());
  for (const Candidate& candidate : store.candidates) {
    for (const ShardReference& shard : candidate.manifest.shards) {
      used.insert(shard.digest);
    }
  }
  std::erase_if(store.shards, [&used](const auto& entry) { return !used.contains(entry.first); });
}

bool IsComplete(const ConfigStore& store, const Candidate& candidate) {
  return std::ranges::all_of(candidate.manifest.shards, [&store](const ShardReference& shard) {
    return store.shards.contains(shard.digest);
  });
}

ConfigResult<Configuration> Assemble(const ConfigStore& store, const Candidate& candidate) {
  std::vector<const ShardContent*> shards;
  shards.reserve(candidate.manifest.shards.size());
  for (const ShardReference& reference : candidate.manifest.shards) {
    shards.push_back(&store.shards.find(reference.digest)->second.content);
  }
  return JoinShards(candidate.manifest, shards);
}

// Alarms about versions that are no longer current would only distract. An
// unreadable manifest has version 0, so its alarm also ends here.
void EndOldAlarms(ConfigStore& store) {
  std::erase_if(store.alarms, [&store](const ConfigAlarm& alarm) {
    return alarm.version < store.in_force.version;
  });
}

void PutInForce(ConfigStore& store, Candidate candidate, Configuration configuration) {
  store.in_force = {candidate.manifest.version, std::move(candidate.digest)};
  store.manifest_bytes = std::move(candidate.bytes);
  store.configuration = std::make_shared<const Configuration>(std::move(configuration));
  store.shards_in_force.clear();
  for (const ShardReference& shard : candidate.manifest.shards) {
    store.shards_in_force.push_back(shard.digest);
  }
  std::erase_if(store.candidates, [&store](const Candidate& other) {
    return other.manifest.version <= store.in_force.version;
  });
  EndOldAlarms(store);
}

// Result of looking at the complete candidates.
struct Settled {
  bool is_accepted = false;
  std::optional<Rejection> rejection;  // the last one
};

// Puts the highest complete and valid candidate in force and rejects complete
// invalid ones above it.
Settled SettleCandidates(ConfigStore& store, TimePoint now) {
  Settled settled;
  while (!settled.is_accepted) {
    const auto complete = std::ranges::find_if(
        store.candidates, [&store](const Candidate& entry) { return IsComplete(store, entry); });
    if (complete == store.candidates.end()) {
      break;
    }
    Candidate candidate = std::move(*complete);
    store.candidates.erase(complete);
    auto configuration = Assemble(store, candidate);
    if (configuration) {
      PutInForce(store, std::move(candidate), std::move(configuration.value()));
      settled.is_accepted = true;
    } else {
      const VersionDigest refused{candidate.manifest.version, candidate.digest};
      Reject(store, refused, configuration.error(), now);
      settled.rejection = store.rejections.back();
    }
  }
  DropUnusedShards(store);
  return settled;
}

OfferOutcome RejectedOutcome(const Rejection& rejection) {
  return {OfferVerdict::kRejected, rejection.version, rejection.digest, rejection.error};
}

// Inserts by version, highest first, and by digest among equal versions, so that
// the order doesn't depend on the order of offers.
void InsertCandidate(ConfigStore& store, Candidate candidate, TimePoint now) {
  const VersionDigest added{candidate.manifest.version, candidate.digest};
  for (const Candidate& other : store.candidates) {
    if (other.manifest.version == added.version) {
      RaiseConflict(store, added, other.digest, now);
    }
  }
  const auto stands_before = [](const Candidate& left, const Candidate& right) {
    return left.manifest.version != right.manifest.version
               ? left.manifest.version > right.manifest.version
               : left.digest < right.digest;
  };
  const auto position = std::ranges::upper_bound(store.candidates, candidate, stands_before);
  store.candidates.insert(position, std::move(candidate));
  if (store.candidates.size() > kMaxCandidates) {
    store.candidates.pop_back();
  }
}

// The verdict on a readable manifest that is neither known nor rejected.
OfferOutcome ConsiderManifest(ConfigStore& store, Candidate candidate, TimePoint now) {
  const VersionDigest offered{candidate.manifest.version, candidate.digest};
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
  InsertCandidate(store, std::move(candidate), now);
  SettleCandidates(store, now);
  if (store.in_force == offered) {
    outcome.verdict = OfferVerdict::kAccepted;
  } else if (const Rejection* rejection = FindRejection(store, offered.digest)) {
    return RejectedOutcome(*rejection);
  } else if (FindCandidate(store, offered.digest) == nullptr) {
    outcome.verdict = OfferVerdict::kDropped;
  }
  return outcome;
}

bool IsWanted(const ConfigStore& store, std::string_view digest) {
  return std::ranges::any_of(store.candidates, [digest](const Candidate& candidate) {
    return std::ranges::find(candidate.manifest.shards, digest, &ShardReference::digest) !=
           candidate.manifest.shards.end();
  });
}

bool IsNewAndUnheld(const ConfigStore& store, const VersionDigest& heard) {
  return heard.version > store.in_force.version && !FindCandidate(store, heard.digest) &&
         !FindRejection(store, heard.digest);
}

// Two peers, or a peer and this router, that name one version differently.
void CheckHeardConflict(ConfigStore& store, const VersionDigest& heard, TimePoint now) {
  if (FindRejection(store, heard.digest) != nullptr) {
    return;
  }
  for (const VersionDigest& known : {store.in_force, store.highest_heard}) {
    if (known.version == heard.version && known.digest != heard.digest &&
        FindRejection(store, known.digest) == nullptr) {
      RaiseConflict(store, heard, known.digest, now);
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
  if (const Candidate* known = FindCandidate(store, digest)) {
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
  return ConsiderManifest(store, {std::move(digest), std::move(bytes), std::move(manifest.value())},
                          now);
}

OfferOutcome OfferShard(ConfigStore& store, std::string bytes, TimePoint now) {
  const Digest digest = Sha256Hex(bytes);
  if (store.shards.contains(digest)) {
    return {OfferVerdict::kKnown, 0, digest, {}};
  }
  if (!IsWanted(store, digest)) {
    return {OfferVerdict::kUnwanted, 0, digest, {}};
  }
  ShardContent content = ReadShard(bytes);
  store.shards.emplace(digest,
                       StoredShard{bytes.size() > kMaxShardBytes ? std::string() : std::move(bytes),
                                   std::move(content)});
  const Settled settled = SettleCandidates(store, now);
  if (settled.is_accepted) {
    return {OfferVerdict::kAccepted, store.in_force.version, store.in_force.digest, {}};
  }
  return settled.rejection ? RejectedOutcome(*settled.rejection)
                           : OfferOutcome{OfferVerdict::kPending, 0, digest, {}};
}

bool NotePeerVersion(ConfigStore& store, const VersionDigest& heard, TimePoint now) {
  if (heard.version == 0 || heard.version > kMaxVersion || !IsDigest(heard.digest)) {
    return false;
  }
  CheckHeardConflict(store, heard, now);
  if (FindRejection(store, heard.digest) != nullptr) {
    return false;
  }
  if (heard.version > store.highest_heard.version ||
      FindRejection(store, store.highest_heard.digest) != nullptr) {
    store.highest_heard = heard;
  }
  return IsNewAndUnheld(store, heard);
}

void MarkPeersAsked(ConfigStore& store) {
  store.peers_asked = true;
}

bool IsReadyToServe(ConfigStore& store, TimePoint now) {
  if (store.serving || !store.configuration) {
    return store.serving;
  }
  const bool has_waited = now - store.started_at >= store.options.start_wait;
  const bool is_current = store.in_force.version >= store.highest_heard.version ||
                          FindRejection(store, store.highest_heard.digest) != nullptr;
  store.serving = has_waited || (store.peers_asked && is_current);
  return store.serving;
}

std::vector<Digest> MissingShards(const ConfigStore& store) {
  std::vector<Digest> missing;
  std::set<std::string_view> listed;
  for (const Candidate& candidate : store.candidates) {
    for (const ShardReference& shard : candidate.manifest.shards) {
      if (!store.shards.contains(shard.digest) && listed.insert(shard.digest).second) {
        missing.push_back(shard.digest);
      }
    }
  }
  return missing;
}

Digest MissingManifest(const ConfigStore& store) {
  return IsNewAndUnheld(store, store.highest_heard) ? store.highest_heard.digest : Digest();
}

const std::string* FindPart(const ConfigStore& store, std::string_view digest) {
  if (!store.manifest_bytes.empty() && digest == store.in_force.digest) {
    return &store.manifest_bytes;
  }
  if (const Candidate* candidate = FindCandidate(store, digest)) {
    return &candidate->bytes;
  }
  const auto shard = store.shards.find(digest);
  const bool is_held = shard != store.shards.end() && !shard->second.bytes.empty();
  return is_held ? &shard->second.bytes : nullptr;
}

std::shared_ptr<const Configuration> InForce(const ConfigStore& store) {
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
