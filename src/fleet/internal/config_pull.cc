#include <algorithm>

#include "common/secure_bytes.h"
#include "fleet/internal/gossip_internal.h"
#include "fleet/internal/random_choice.h"

namespace geraniumspread::fleet::detail {
namespace {

// After this many peers failed to give a shard, the service is asked as well.
constexpr std::size_t kPeerFailuresBeforeService = 2;
constexpr std::size_t kMaxRefusedDigests = 64;

std::uint64_t KnownVersion(const ConfigExchange& exchange) {
  return std::max(exchange.in_force().version, exchange.pending().version);
}

void Refuse(Gossip& gossip, const std::string& digest) {
  if (gossip.refused_digests.size() >= kMaxRefusedDigests) {
    gossip.refused_digests.clear();
  }
  gossip.refused_digests.insert(digest);
}

void GiveManifest(GossipStep& step, const std::string& digest, std::string_view manifest) {
  if (step.exchange.offer_manifest(manifest) == OfferOutcome::kRefused) {
    Refuse(step.gossip, digest);
  }
}

// Peers that can be asked for an object: those that announce a version from
// `least` on. A router without any configuration also asks peers that are
// behind, because most shards stay the same from version to version.
std::vector<std::string> Holders(const GossipStep& step, std::uint64_t least, const Pull& pull) {
  const bool take_any = !pull.is_manifest && step.exchange.in_force().version == 0;
  std::vector<std::string> holders;
  for (const auto& [peer, config] : step.gossip.peer_config) {
    const bool may_hold = config.version >= least || (take_any && config.version != 0);
    if (may_hold && !pull.failed_peers.contains(peer) &&
        FindRouter(step.membership, peer) != nullptr) {
      holders.push_back(peer);
    }
  }
  return holders;
}

void AskNextPeer(GossipStep& step, const std::string& digest, Pull& pull) {
  const std::uint64_t least =
      pull.is_manifest ? step.gossip.wanted.version : step.exchange.pending().version;
  const auto holders = Holders(step, least, pull);
  pull.asked_at = step.now;
  pull.received.clear();
  if (holders.empty()) {
    pull.peer.clear();
    return;
  }
  pull.peer = holders[RandomIndex(step.gossip.random, holders.size())];
  Send(step, pull.peer, ConfigRequest{digest, 0});
}

// Ends a failed attempt; the next peer is asked at once. A peer that doesn't
// give the manifest it announced may be gone, so its announcement is dropped
// until its next heartbeat; a lower version of other peers is then wanted.
void FailPeer(GossipStep& step, const std::string& digest, Pull& pull) {
  pull.failed_peers.insert(pull.peer);
  if (pull.is_manifest) {
    step.gossip.peer_config.erase(pull.peer);
  }
  AskNextPeer(step, digest, pull);
}

void StartPull(GossipStep& step, const std::string& digest, bool is_manifest) {
  if (step.gossip.pulls.contains(digest) || step.gossip.refused_digests.contains(digest)) {
    return;
  }
  Pull& pull = step.gossip.pulls[digest];
  pull.is_manifest = is_manifest;
  AskNextPeer(step, digest, pull);
}

// The highest version that a peer announces beyond what this router has.
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

// Drops pulls that nobody needs any more and retries those that got stuck.
void MaintainPulls(GossipStep& step, const std::vector<std::string>& missing) {
  Gossip& gossip = step.gossip;
  std::erase_if(gossip.pulls, [&](const auto& item) {
    return item.second.is_manifest ? item.first != gossip.wanted.digest
                                   : std::ranges::find(missing, item.first) == missing.end();
  });
  for (auto& [digest, pull] : gossip.pulls) {
    if (step.now - pull.asked_at < gossip.settings.part_timeout) {
      continue;
    }
    if (!pull.peer.empty()) {
      FailPeer(step, digest, pull);
      continue;
    }
    // Every known holder failed; others may have announced the version since.
    AskNextPeer(step, digest, pull);
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

void FinishPull(GossipStep& step, const std::string& digest) {
  const auto found = step.gossip.pulls.find(digest);
  if (Sha256Hex(found->second.received) != digest) {
    FailPeer(step, digest, found->second);
    return;
  }
  const Pull pull = std::move(found->second);
  step.gossip.pulls.erase(found);
  if (pull.is_manifest) {
    GiveManifest(step, digest, pull.received);
    return;
  }
  step.exchange.offer_shard(digest, pull.received);
}

}  // namespace

void NoteAnnouncement(GossipStep& step, std::string_view sender, const ConfigVersion& config) {
  Gossip& gossip = step.gossip;
  gossip.peer_config[std::string(sender)] = config;
  const ConfigVersion own = step.exchange.in_force();
  if (config.version >= KnownVersion(step.exchange)) {
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
  if (last == gossip.last_offer.end() || step.now - last->second >= gossip.settings.repair_gap) {
    gossip.last_offer[std::string(sender)] = step.now;
    Send(step, sender, ConfigOffer{own, std::nullopt});
  }
}

void HandleOffer(GossipStep& step, std::string_view sender, const ConfigOffer& offer) {
  if (offer.manifest && offer.config.version > KnownVersion(step.exchange) &&
      !step.gossip.refused_digests.contains(offer.config.digest) &&
      Sha256Hex(*offer.manifest) == offer.config.digest) {
    GiveManifest(step, offer.config.digest, *offer.manifest);
  }
  NoteAnnouncement(step, sender, offer.config);
}

void HandleRequest(GossipStep& step, std::string_view sender, const ConfigRequest& request) {
  const std::string_view bytes = step.exchange.bytes(request.digest);
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
    FailPeer(step, part.digest, pull);
    return;
  }
  pull.received += part.bytes;
  pull.asked_at = step.now;
  if (pull.received.size() < part.total) {
    Send(step, sender, ConfigRequest{part.digest, pull.received.size()});
    return;
  }
  FinishPull(step, part.digest);
}

void TakeServiceValue(GossipStep& step, const std::string& key, const std::string& value) {
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
  GiveManifest(step, Sha256Hex(value), value);
}

void AdvanceConfig(GossipStep& step) {
  Gossip& gossip = step.gossip;
  gossip.wanted = WantedVersion(step);
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

std::string ShardForService(const Gossip& gossip, const ConfigExchange& exchange) {
  for (const std::string& digest : exchange.missing_digests()) {
    const auto found = gossip.pulls.find(digest);
    if (found != gossip.pulls.end() &&
        (found->second.peer.empty() ||
         found->second.failed_peers.size() >= kPeerFailuresBeforeService)) {
      return digest;
    }
  }
  return {};
}

}  // namespace geraniumspread::fleet::detail
