#include "dispatch/peer_table.h"

#include <algorithm>

#include "common/hash.h"

namespace geraniumspread::dispatch {
namespace {

// An announced address that sends no digest and that no peer announces again is removed after this
// time.
constexpr Duration kAnnouncedLifetime = std::chrono::seconds(10);

void AddLoads(UpstreamTable& upstreams, const Peer& peer) {
  for (const UpstreamLoad& load : peer.digest.loads) {
    RemoteLoad& total = upstreams.remote[load.upstream_key];
    total.running += load.running;
    total.pending_prefill_tokens += load.pending_prefill_tokens;
  }
}

void SubtractLoads(UpstreamTable& upstreams, const Peer& peer) {
  for (const UpstreamLoad& load : peer.digest.loads) {
    const auto total = upstreams.remote.find(load.upstream_key);
    if (total == upstreams.remote.end()) {
      continue;
    }
    total->second.running -= std::min(load.running, total->second.running);
    total->second.pending_prefill_tokens -=
        std::min(load.pending_prefill_tokens, total->second.pending_prefill_tokens);
    if (total->second.running == 0 && total->second.pending_prefill_tokens == 0) {
      upstreams.remote.erase(total);
    }
  }
}

// Keeps the newest report of each upstream, whichever instance received it.
void ApplyReports(UpstreamTable& upstreams, const PeerDigest& digest, TimePoint now) {
  for (const ReportedLoad& reported : digest.reports) {
    const auto row = upstreams.by_key.find(reported.upstream_key);
    if (row == upstreams.by_key.end()) {
      continue;
    }
    Upstream& upstream = *row->second;
    const TimePoint at = now - reported.age;
    if (!upstream.report || upstream.report->at < at) {
      upstream.report = LoadReport{reported.requests, 0, at, upstream.running, true};
    }
  }
}

PeerChange ClassifyChange(const Peer& peer, const PeerDigest& digest) {
  if (peer.digest.incarnation != digest.incarnation) {
    return peer.digest.incarnation == 0 ? PeerChange::kJoined : PeerChange::kRestarted;
  }
  if (digest.leaving && !peer.digest.leaving) {
    return PeerChange::kLeaving;
  }
  return peer.load_included ? PeerChange::kNone : PeerChange::kReturned;
}

void CountPeers(PeerTable& peers) {
  peers.own_domain_peers =
      static_cast<std::size_t>(std::ranges::count_if(peers.peers, [&](const auto& entry) {
        return entry.second.digest.failure_domain == peers.self_domain;
      }));
  peers.other_domain_peers = peers.peers.size() - peers.own_domain_peers;
}

// Returns the mean number of digests that a peer sends for each one that arrives
// here.
double IntervalsBetween(const PeerTable& peers, bool near, std::size_t targets) {
  return std::max(1.0,
                  static_cast<double>(near ? peers.own_domain_peers : peers.other_domain_peers) /
                      static_cast<double>(std::max<std::size_t>(targets, 1)));
}

// True if an instance that knows this many peers in other failure domains sends each
// digest to a random selection of them only.
bool SamplesTargets(const PeerTable& peers, std::size_t remote_peers) {
  return remote_peers > peers.settings.unsampled_remote_peers;
}

struct DomainDigests {
  // When the last digest arrived from the domain.
  TimePoint newest;
  std::size_t instances = 0;
  // Instances whose last digest arrived shortly before `newest`.
  std::size_t recent_senders = 0;
};

std::map<std::string, DomainDigests> DigestsOfOtherDomains(const PeerTable& peers) {
  // Allows for one lost digest of an instance that still sends.
  const Duration recent = 2 * peers.settings.interval;
  std::map<std::string, DomainDigests> by_domain;
  for (const auto& [address, peer] : peers.peers) {
    if (!peer.digest.leaving && peer.digest.failure_domain != peers.self_domain) {
      DomainDigests& digests = by_domain[peer.digest.failure_domain];
      digests.newest = std::max(digests.newest, peer.last_digest_at);
      ++digests.instances;
    }
  }
  for (const auto& [address, peer] : peers.peers) {
    const auto digests = by_domain.find(peer.digest.failure_domain);
    if (digests != by_domain.end() && !peer.digest.leaving &&
        peer.last_digest_at + recent >= digests->second.newest) {
      ++digests->second.recent_senders;
    }
  }
  return by_domain;
}

// Returns the time without a digest from a failure domain after which it is presumed
// partitioned.
Duration SilenceTime(const PeerTable& peers, const DomainDigests& digests) {
  const PeerSettings& settings = peers.settings;
  // Peers in other failure domains, as an instance of this domain counts them.
  const std::size_t remote_peers = peers.peers.size() + 1 - digests.instances;
  double intervals = 0;
  if (SamplesTargets(peers, remote_peers)) {
    const double digests_per_interval = static_cast<double>(digests.instances) *
                                        static_cast<double>(settings.remote_targets) /
                                        static_cast<double>(remote_peers);
    intervals = settings.sampled_silence_digests / digests_per_interval;
  } else {
    intervals = settings.silence_digests / static_cast<double>(digests.recent_senders);
  }
  const Duration silence(
      static_cast<Duration::rep>(static_cast<double>(settings.interval.count()) * intervals));
  return std::max(silence, settings.min_domain_silence);
}

void Shuffle(std::vector<std::string>& addresses, std::size_t count, std::mt19937_64& random) {
  std::ranges::shuffle(addresses, random);
  addresses.resize(std::min(addresses.size(), count));
}

}  // namespace

bool IsNewDigest(const PeerTable& peers, const PeerDigest& digest) {
  const auto known = peers.peers.find(digest.address);
  return known == peers.peers.end() || known->second.digest.incarnation != digest.incarnation ||
         digest.sequence > known->second.digest.sequence;
}

PeerChange ApplyDigest(PeerTable& peers,
                       UpstreamTable& upstreams,
                       const PeerDigest& digest,
                       TimePoint now) {
  if (digest.address == peers.self_address || digest.address.empty()) {
    return PeerChange::kNone;
  }
  if (!IsNewDigest(peers, digest)) {
    return PeerChange::kNone;
  }
  Peer& peer = peers.peers[digest.address];
  const PeerChange change = ClassifyChange(peer, digest);
  if (peer.load_included) {
    SubtractLoads(upstreams, peer);
  }
  std::vector<UpstreamLoad> last_loads;
  if (digest.is_brief && peer.digest.incarnation == digest.incarnation) {
    last_loads = std::move(peer.digest.loads);
  }
  const bool is_counted =
      peer.digest.incarnation != 0 && peer.digest.failure_domain == digest.failure_domain;
  peer.digest = digest;
  if (digest.is_brief) {
    peer.digest.loads = std::move(last_loads);
  }
  if (!is_counted) {
    peer.address_hash = StableHash(digest.address);
    CountPeers(peers);
  }
  peer.last_digest_at = now;
  peer.load_included = true;
  AddLoads(upstreams, peer);
  ApplyReports(upstreams, digest, now);
  const bool was_announced = peers.announced_addresses.erase(digest.address) > 0;
  bool is_discovery = !was_announced && change == PeerChange::kJoined;
  for (const std::string& address : digest.known_addresses) {
    if (address != peers.self_address && !peers.peers.contains(address)) {
      is_discovery =
          peers.announced_addresses.insert_or_assign(address, now).second || is_discovery;
    }
  }
  if (is_discovery) {
    peers.last_discovery = now;
  }
  return change;
}

std::vector<std::string> ExpirePeers(PeerTable& peers, UpstreamTable& upstreams, TimePoint now) {
  std::vector<std::string> silent;
  for (auto& [address, peer] : peers.peers) {
    if (peer.load_included && !IsLive(peers, peer, now)) {
      SubtractLoads(upstreams, peer);
      peer.load_included = false;
      silent.push_back(peer.digest.instance);
    }
  }
  std::erase_if(peers.peers, [&](const auto& entry) {
    return entry.second.last_digest_at + peers.settings.peer_retention < now;
  });
  CountPeers(peers);
  std::erase_if(peers.announced_addresses,
                [now](const auto& entry) { return entry.second + kAnnouncedLifetime < now; });
  return silent;
}

std::vector<std::string> UpdateDomainSilence(const PeerTable& peers,
                                             UpstreamTable& upstreams,
                                             TimePoint now) {
  std::vector<std::string> turned_silent;
  for (const auto& [domain, digests] : DigestsOfOtherDomains(peers)) {
    const bool is_silent = digests.newest + SilenceTime(peers, digests) < now;
    if (!is_silent) {
      upstreams.domains_silent.erase(domain);
    } else if (upstreams.domains_silent.insert(domain).second) {
      turned_silent.push_back(domain);
    }
  }
  return turned_silent;
}

std::vector<std::string> DigestTargets(const PeerTable& peers,
                                       bool reads_store,
                                       std::mt19937_64& random,
                                       TimePoint now) {
  std::vector<std::string> near;
  std::vector<std::string> far;
  // A random selection of these gets the digest. Holds the silent peers of the own failure
  // domain and the instances from which no digest came yet.
  std::vector<std::string> sampled;
  for (const auto& [address, peer] : peers.peers) {
    if (peer.digest.failure_domain != peers.self_domain) {
      far.push_back(address);
    } else {
      (IsLive(peers, peer, now) ? near : sampled).push_back(address);
    }
  }
  for (const auto& [address, announced_at] : peers.announced_addresses) {
    sampled.push_back(address);
  }
  if (!reads_store || near.size() > peers.settings.max_whole_domain) {
    Shuffle(near, peers.settings.own_domain_targets, random);
  }
  std::vector<std::string>& far_targets = SamplesTargets(peers, far.size()) ? sampled : near;
  far_targets.insert(far_targets.end(), far.begin(), far.end());
  Shuffle(sampled, peers.settings.remote_targets, random);
  near.insert(near.end(), sampled.begin(), sampled.end());
  return near;
}

std::vector<std::string> BriefDigestTargets(const PeerTable& peers,
                                            bool reads_store,
                                            std::span<const std::string> targets,
                                            TimePoint now) {
  std::vector<std::string> brief;
  if (!reads_store || peers.own_domain_peers <= peers.settings.max_whole_domain) {
    return brief;
  }
  for (const auto& [address, peer] : peers.peers) {
    if (peer.digest.failure_domain == peers.self_domain && IsLive(peers, peer, now) &&
        std::ranges::find(targets, address) == targets.end()) {
      brief.push_back(address);
    }
  }
  return brief;
}

std::vector<std::string> AddressesToShare(const PeerTable& peers,
                                          std::mt19937_64& random,
                                          TimePoint now) {
  std::vector<std::string> addresses;
  for (const auto& [address, peer] : peers.peers) {
    if (IsLive(peers, peer, now)) {
      addresses.push_back(address);
    }
  }
  Shuffle(addresses, peers.settings.shared_addresses, random);
  return addresses;
}

bool IsLive(const PeerTable& peers, const Peer& peer, TimePoint now) {
  const bool is_near = peer.digest.failure_domain == peers.self_domain;
  const std::size_t targets =
      is_near ? peers.settings.own_domain_targets : peers.settings.remote_targets;
  const double interval = static_cast<double>(peers.settings.interval.count()) *
                          IntervalsBetween(peers, is_near, targets);
  const Duration lifetime(static_cast<Duration::rep>(interval * peers.settings.lifetime_intervals));
  return peer.last_digest_at + std::max(lifetime, peers.settings.min_lifetime) >= now;
}

std::size_t KnownInstances(const PeerTable& peers) {
  return peers.peers.size() + peers.announced_addresses.size() + 1;
}

bool KnowsFleet(const PeerTable& peers, TimePoint now) {
  const PeerSettings& settings = peers.settings;
  const bool is_settled =
      peers.last_discovery && *peers.last_discovery + settings.discovery_pause <= now;
  return is_settled || peers.started_at + settings.max_discovery_time <= now;
}

std::vector<std::uint64_t> PeerHashes(const PeerTable& peers) {
  std::vector<std::uint64_t> hashes;
  hashes.reserve(peers.peers.size() + peers.announced_addresses.size());
  for (const auto& [address, peer] : peers.peers) {
    hashes.push_back(peer.address_hash);
  }
  for (const auto& [address, announced_at] : peers.announced_addresses) {
    hashes.push_back(StableHash(address));
  }
  return hashes;
}

const Peer* ChooseNewerPeer(const PeerTable& peers,
                            StorePosition position,
                            std::mt19937_64& random,
                            TimePoint now) {
  std::vector<const Peer*> best;
  const auto rank = [&](const Peer& peer) {
    return std::pair(peer.digest.failure_domain == peers.self_domain, peer.digest.published);
  };
  for (const auto& [address, peer] : peers.peers) {
    if (IsLive(peers, peer, now) && !peer.digest.leaving && peer.digest.published > position &&
        (best.empty() || rank(peer) >= rank(*best.front()))) {
      if (!best.empty() && rank(peer) > rank(*best.front())) {
        best.clear();
      }
      best.push_back(&peer);
    }
  }
  if (best.empty()) {
    return nullptr;
  }
  return best[std::uniform_int_distribution<std::size_t>(0, best.size() - 1)(random)];
}

const Peer* ChooseRetainingPeer(const PeerTable& peers,
                                StorePosition position,
                                std::uint8_t fingerprint,
                                const std::bitset<256>& merged,
                                TimePoint now) {
  for (const auto& [address, peer] : peers.peers) {
    const std::uint8_t other = peer.digest.retained_fingerprint;
    if (other != 0 && other != fingerprint && !merged.test(other) &&
        peer.digest.published == position && !peer.digest.leaving && IsLive(peers, peer, now)) {
      return &peer;
    }
  }
  return nullptr;
}

bool ShouldReadStore(const PeerTable& peers, TimePoint now) {
  const std::uint64_t own = StableHash(peers.self_address);
  const auto earlier_readers = std::ranges::count_if(peers.peers, [&](const auto& entry) {
    const auto& [address, peer] = entry;
    return peer.digest.failure_domain == peers.self_domain && peer.digest.reads_store &&
           !peer.digest.leaving && peer.last_digest_at + peers.settings.reader_lifetime >= now &&
           peer.address_hash < own;
  });
  return static_cast<std::size_t>(earlier_readers) < peers.settings.store_readers;
}

std::size_t StoreReaderRank(const PeerTable& peers, TimePoint now) {
  const std::uint64_t own = StableHash(peers.self_address);
  return static_cast<std::size_t>(std::ranges::count_if(peers.peers, [&](const auto& entry) {
    const auto& [address, peer] = entry;
    return peer.digest.failure_domain == peers.self_domain && !peer.digest.leaving &&
           IsLive(peers, peer, now) && peer.address_hash < own;
  }));
}

std::vector<ReportedLoad> OwnReports(const UpstreamTable& upstreams, TimePoint now) {
  std::vector<ReportedLoad> reports;
  for (const auto& [id, row] : upstreams.rows) {
    const Upstream& upstream = *row;
    if (!upstream.report) {
      continue;
    }
    const LoadReport& report = *upstream.report;
    if (!report.from_peer && report.at + kReportLifetime >= now) {
      reports.push_back({DigestKey(upstream), report.running + report.waiting, now - report.at});
    }
  }
  return reports;
}

std::vector<UpstreamLoad> OwnLoads(const UpstreamTable& upstreams) {
  std::vector<UpstreamLoad> loads;
  for (const auto& [id, row] : upstreams.rows) {
    if (row->running > 0) {
      loads.push_back({DigestKey(*row), row->running, row->pending_prefill_tokens});
    }
  }
  return loads;
}

}  // namespace geraniumspread::dispatch
