#include <algorithm>

#include "common/secure_bytes.h"
#include "fleet/internal/gossip_internal.h"
#include "fleet/internal/random_choice.h"

namespace geraniumspread::fleet::detail {
namespace {

// After this many peers failed to provide a shard, the service may be read as well.
constexpr std::size_t kPeerFailuresBeforeService = 2;
constexpr std::size_t kMaxRefusedDigests = 64;

std::uint64_t KnownVersion(const ConfigExchange& exchange) {
  return std::max(exchange.in_force().version, exchange.pending().version);
}

void AddRefusedDigest(Gossip& gossip, const std::string& digest) {
  if (gossip.refused_digests.size() >= kMaxRefusedDigests) {
    gossip.refused_digests.clear();
  }
  gossip.refused_digests.insert(digest);
}

void OfferManifestToStore(GossipStep& step, const std::string& digest, std::string_view manifest) {
  if (step.exchange.offer_manifest(manifest) == OfferOutcome::kRefused) {
    AddRefusedDigest(step.gossip, digest);
  }
}

// Returns peers that can be asked for an object: those that announce at least
// `min_version`. For shards, a router without any configuration also asks peers with
// lower versions, because most shards don't change between versions.
std::vector<std::string> FindHolders(const GossipStep& step,
                                     std::uint64_t min_version,
                                     const Pull& pull) {
  const bool take_any = !pull.is_manifest && step.exchange.in_force().version == 0;
  std::vector<std::string> holders;
  for (const auto& [peer, config] : step.gossip.peer_config) {
    const bool may_hold = config.version >= min_version || (take_any && config.version != 0);
    if (may_hold && !pull.failed_peers.contains(peer) &&
        FindRouter(step.membership, peer) != nullptr) {
      holders.push_back(peer);
    }
  }
  return holders;
}

ConfigRequest MakeRequest(const GossipStep& step, const std::string& digest, std::uint64_t offset) {
  return {digest, offset, step.exchange.in_force().version == 0};
}

void RequestFromNextPeer(GossipStep& step, const std::string& digest, Pull& pull) {
  const std::uint64_t min_version =
      pull.is_manifest ? step.gossip.wanted.version : step.exchange.pending().version;
  const auto holders = FindHolders(step, min_version, pull);
  pull.asked_at = step.now;
  if (holders.empty()) {
    pull.peer.clear();
    return;
  }
  pull.peer = holders[RandomIndex(step.gossip.random, holders.size())];
  // Parts from different peers can be joined: equal digests mean equal bytes.
  Send(step, pull.peer, MakeRequest(step, digest, pull.received.size()));
}

// Returns the highest version that a peer announces, if it is above all that this
// router has.
ConfigVersion WantedVersion(const GossipStep& step) {
  ConfigVersion wanted;
  wanted.version = KnownVersion(step.exchange);
  for (const auto& [peer, config] : step.gossip.peer_config) {
    if (config.version > wanted.version && !step.gossip.refused_digests.contains(config.digest)) {
      wanted = config;
    }
  }
  return wanted.digest.empty() ? ConfigVersion() : wanted;
}

// Ends a failed attempt and asks another peer at once. A peer that doesn't provide
// the manifest it announced may have crashed, so its announcement is dropped until
// its next heartbeat. Until then, a lower version of other peers may be pulled.
void RetryWithNextPeer(GossipStep& step, const std::string& digest, Pull& pull) {
  pull.failed_peers.insert(pull.peer);
  if (pull.is_manifest) {
    step.gossip.peer_config.erase(pull.peer);
    step.gossip.wanted = WantedVersion(step);
  }
  RequestFromNextPeer(step, digest, pull);
}

void StartPull(GossipStep& step, const std::string& digest, bool is_manifest) {
  if (step.gossip.pulls.contains(digest) || step.gossip.refused_digests.contains(digest)) {
    return;
  }
  Pull& pull = step.gossip.pulls[digest];
  pull.is_manifest = is_manifest;
  pull.started_at = step.now;
  RequestFromNextPeer(step, digest, pull);
}

// Drops pulls that are no longer needed and retries those that timed out.
void MaintainPulls(GossipStep& step, const std::vector<std::string>& missing) {
  Gossip& gossip = step.gossip;
  std::erase_if(gossip.pulls, [&](const auto& item) {
    return item.second.is_manifest ? item.first != gossip.wanted.digest
                                   : std::ranges::find(missing, item.first) == missing.end();
  });
  for (auto& [digest, pull] : gossip.pulls) {
    if (pull.peer.empty()) {
      // Another holder may have announced the version since.
      RequestFromNextPeer(step, digest, pull);
    } else if (step.now - pull.asked_at >= gossip.settings.part_timeout) {
      RetryWithNextPeer(step, digest, pull);
    }
  }
}

void PushConfig(GossipStep& step, const ConfigVersion& config) {
  auto peers = ReachablePeers(step.membership);
  std::erase_if(peers, [&](const std::string& peer) {
    const auto known = step.gossip.peer_config.find(peer);
    return known != step.gossip.peer_config.end() && known->second.version >= config.version;
  });
  KeepRandom(peers, step.gossip.settings.push_peers, step.gossip.random);
  ConfigOffer offer{config, std::nullopt};
  const std::string_view manifest = step.exchange.bytes(config.digest);
  if (!manifest.empty() && manifest.size() <= kMaxOfferedManifestBytes) {
    offer.manifest = std::string(manifest);
  }
  for (const std::string& peer : peers) {
    Send(step, peer, offer);
  }
}

// Counts a copy sent to a peer. Returns false if the limit of this window is reached.
bool TryCountCopy(GossipStep& step, const std::string& digest) {
  const GossipSettings& settings = step.gossip.settings;
  std::erase_if(step.gossip.copies, [&](const auto& item) {
    return step.now - item.second.window_start >= settings.copy_window;
  });
  CopyCount& count = step.gossip.copies.try_emplace(digest, CopyCount{step.now, 0}).first->second;
  if (count.copies >= settings.copies_per_window) {
    return false;
  }
  ++count.copies;
  return true;
}

void FinishPull(GossipStep& step, const std::string& digest) {
  const auto found = step.gossip.pulls.find(digest);
  if (Sha256Hex(found->second.received) != digest) {
    found->second.received.clear();
    RetryWithNextPeer(step, digest, found->second);
    return;
  }
  const Pull pull = std::move(found->second);
  step.gossip.pulls.erase(found);
  if (pull.is_manifest) {
    OfferManifestToStore(step, digest, pull.received);
    return;
  }
  step.exchange.offer_shard(digest, pull.received);
}

}  // namespace

void HandleAnnouncement(GossipStep& step, std::string_view sender, const ConfigVersion& config) {
  Gossip& gossip = step.gossip;
  gossip.peer_config[std::string(sender)] = config;
  const ConfigVersion own = step.exchange.in_force();
  const std::uint64_t known_version = KnownVersion(step.exchange);
  if (config.version > std::max(known_version, gossip.wanted.version) &&
      !gossip.refused_digests.contains(config.digest)) {
    gossip.wanted = config;
  }
  if (config.version >= known_version) {
    for (auto& [digest, pull] : gossip.pulls) {
      pull.failed_peers.erase(std::string(sender));
    }
  }
  if (config.version == own.version && config.digest != own.digest) {
    step.output.digest_conflicts.emplace_back(sender);
  }
  if (config.version >= own.version) {
    return;
  }
  const auto last = gossip.last_offer.find(sender);
  if (last == gossip.last_offer.end() ||
      step.now - last->second >= gossip.settings.min_repair_interval) {
    gossip.last_offer[std::string(sender)] = step.now;
    Send(step, sender, ConfigOffer{own, std::nullopt});
  }
}

void HandleOffer(GossipStep& step, std::string_view sender, const ConfigOffer& offer) {
  if (offer.manifest && offer.config.version > KnownVersion(step.exchange) &&
      !step.gossip.refused_digests.contains(offer.config.digest) &&
      Sha256Hex(*offer.manifest) == offer.config.digest) {
    OfferManifestToStore(step, offer.config.digest, *offer.manifest);
  }
  HandleAnnouncement(step, sender, offer.config);
}

void HandleRequest(GossipStep& step, std::string_view sender, const ConfigRequest& request) {
  std::string_view bytes = step.exchange.bytes(request.digest);
  if (request.offset == 0 && !request.urgent && !bytes.empty() &&
      !TryCountCopy(step, request.digest)) {
    bytes = {};
  }
  ConfigPart part{request.digest, request.offset, 0, {}};
  if (request.offset < bytes.size()) {
    part.total = bytes.size();
    part.bytes = bytes.substr(request.offset, kMaxPartBytes);
  }
  Send(step, sender, std::move(part));
}

void HandlePart(GossipStep& step, std::string_view sender, const ConfigPart& part) {
  const auto found = step.gossip.pulls.find(part.digest);
  if (found == step.gossip.pulls.end() || found->second.peer != sender ||
      part.offset != found->second.received.size()) {
    return;
  }
  Pull& pull = found->second;
  if (part.bytes.empty() || part.total > step.gossip.settings.max_object_bytes ||
      part.offset + part.bytes.size() > part.total) {
    RetryWithNextPeer(step, part.digest, pull);
    return;
  }
  pull.received += part.bytes;
  pull.asked_at = step.now;
  if (pull.received.size() < part.total) {
    Send(step, sender, MakeRequest(step, part.digest, pull.received.size()));
    return;
  }
  FinishPull(step, part.digest);
}

void HandleServiceValue(GossipStep& step, const std::string& key, const std::string& value) {
  static constexpr std::string_view kShardPrefix = "shard/";
  if (value.size() > step.gossip.settings.max_object_bytes) {
    return;
  }
  if (key.starts_with(kShardPrefix)) {
    const std::string digest = key.substr(kShardPrefix.size());
    if (Sha256Hex(value) == digest) {
      step.exchange.offer_shard(digest, value);
    }
    return;
  }
  OfferManifestToStore(step, Sha256Hex(value), value);
}

void AdvanceConfig(GossipStep& step) {
  Gossip& gossip = step.gossip;
  if (gossip.wanted.version != 0 && gossip.wanted.version <= KnownVersion(step.exchange)) {
    gossip.wanted = WantedVersion(step);
  }
  const auto missing = step.exchange.missing_digests();
  MaintainPulls(step, missing);
  if (gossip.wanted.version != 0) {
    StartPull(step, gossip.wanted.digest, true);
  }
  for (const std::string& digest : missing) {
    if (gossip.pulls.size() >= gossip.settings.parallel_pulls) {
      break;
    }
    StartPull(step, digest, false);
  }
  const ConfigVersion in_force = step.exchange.in_force();
  if (in_force == gossip.announced) {
    return;
  }
  gossip.announced = in_force;
  step.output.config_changed = true;
  PushConfig(step, in_force);
}

std::string ShardForService(const GossipStep& step) {
  const Gossip& gossip = step.gossip;
  const std::uint64_t version = step.exchange.pending().version;
  const bool is_announced = std::ranges::any_of(
      gossip.peer_config, [&](const auto& item) { return item.second.version >= version; });
  for (const std::string& digest : step.exchange.missing_digests()) {
    const auto found = gossip.pulls.find(digest);
    if (found == gossip.pulls.end()) {
      continue;
    }
    const Pull& pull = found->second;
    const bool peers_fail =
        pull.peer.empty() || pull.failed_peers.size() >= kPeerFailuresBeforeService;
    if (peers_fail &&
        (!is_announced || step.now - pull.started_at >= gossip.settings.service_fallback_delay)) {
      return digest;
    }
  }
  return {};
}

}  // namespace geraniumspread::fleet::detail
