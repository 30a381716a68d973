#include "dispatch/upstream_path.h"

#include <algorithm>
#include <tuple>

namespace geraniumspread::dispatch {
namespace {

// One upstream that fails is not the path, unless no other is listed.
constexpr std::size_t kMinFailures = 2;

bool IsSameRegion(const RelayRules& rules, const std::string& first, const std::string& second) {
  if (rules.regions.empty() || first == second) {
    return true;
  }
  const auto first_region = rules.regions.find(first);
  const auto second_region = rules.regions.find(second);
  return first_region != rules.regions.end() && second_region != rules.regions.end() &&
         first_region->second == second_region->second;
}

bool IsAvoided(const RelayRules& rules, const std::string& address, TimePoint now) {
  const auto avoided = rules.avoided.find(address);
  return avoided != rules.avoided.end() && now < avoided->second;
}

}  // namespace

bool RecordPathFailure(UpstreamPath& path,
                       std::string_view upstream,
                       std::size_t listed,
                       TimePoint now,
                       PathSign sign) {
  path.needs_answer = path.needs_answer || sign == PathSign::kUnanswered;
  std::erase_if(path.failures, [&](const UnreachedUpstream& failure) {
    const bool is_old =
        path.state == PathState::kReached && failure.at + path.settings.failure_window < now;
    return is_old || failure.id == upstream;
  });
  path.failures.push_back({std::string(upstream), now});
  return path.failures.size() >= std::min(kMinFailures, listed) && SuspectPath(path, now);
}

bool SuspectPath(UpstreamPath& path, TimePoint now) {
  if (path.state != PathState::kReached || now < path.no_check_before) {
    return false;
  }
  path.state = PathState::kSuspected;
  path.changed_at = now;
  return true;
}

bool RecordPathReached(UpstreamPath& path, TimePoint connected_at, TimePoint now) {
  path.last_bytes_at = now;
  if (path.state == PathState::kReached) {
    std::erase_if(path.failures, [connected_at](const UnreachedUpstream& failure) {
      return failure.at <= connected_at;
    });
    path.needs_answer = path.needs_answer && !path.failures.empty();
    return false;
  }
  if (connected_at < path.changed_at) {
    return false;
  }
  const bool was_lost = path.state == PathState::kLost;
  path.state = PathState::kReached;
  path.changed_at = now;
  path.failures.clear();
  path.needs_answer = false;
  path.no_check_before = now + path.settings.check_pause;
  return was_lost;
}

bool RecordPathUnreached(UpstreamPath& path, TimePoint now) {
  if (path.state != PathState::kSuspected) {
    return false;
  }
  path.state = PathState::kLost;
  path.changed_at = now;
  path.next_probe_at = now + path.settings.probe_interval;
  return true;
}

void RecordPathUnchecked(UpstreamPath& path, TimePoint now) {
  if (path.state == PathState::kSuspected) {
    path.state = PathState::kReached;
    path.changed_at = now;
    path.failures.clear();
    path.needs_answer = false;
  }
}

void RecordPathStandstill(UpstreamPath& path, TimePoint now) {
  path.last_bytes_at = now;
  if (path.state == PathState::kReached) {
    path.failures.clear();
    path.needs_answer = false;
  }
}

bool TakeSilenceProbe(UpstreamPath& path, TimePoint waiting_since, TimePoint now) {
  const TimePoint silent_since = std::max(waiting_since, path.last_bytes_at);
  if (path.state != PathState::kReached || now < path.no_silence_probe_before ||
      now < path.no_check_before || now - silent_since < path.settings.max_silence) {
    return false;
  }
  path.no_silence_probe_before = now + path.settings.silence_pause;
  path.needs_answer = true;
  return true;
}

bool TakeRecoveryProbe(UpstreamPath& path, TimePoint now) {
  if (path.state != PathState::kLost || now < path.next_probe_at) {
    return false;
  }
  path.next_probe_at = now + path.settings.probe_interval;
  return true;
}

std::vector<UpstreamRow> ChooseProbedUpstreams(const UpstreamTable& upstreams,
                                               std::size_t count,
                                               std::mt19937_64& random) {
  std::vector<UpstreamRow> rows;
  rows.reserve(upstreams.rows.size());
  for (const auto& [id, row] : upstreams.rows) {
    if (IsConfigured(upstreams, *row)) {
      rows.push_back(row);
    }
  }
  std::ranges::shuffle(rows, random);
  std::vector<UpstreamRow> chosen;
  std::map<std::string, std::size_t> uses;
  while (!rows.empty() && chosen.size() < count) {
    const auto rank = [&](const UpstreamRow& row) {
      return std::tuple(
          IsInSilentDomain(upstreams, *row),
          uses["service " + row->listing.service] + uses["domain " + row->listing.failure_domain]);
    };
    const auto best = std::ranges::min_element(rows, {}, rank);
    ++uses["service " + (*best)->listing.service];
    ++uses["domain " + (*best)->listing.failure_domain];
    chosen.push_back(*best);
    rows.erase(best);
  }
  return chosen;
}

void ForgetPathFailures(const UpstreamPath& path, UpstreamTable& upstreams) {
  for (const UnreachedUpstream& failure : path.failures) {
    if (const auto row = upstreams.rows.find(failure.id); row != upstreams.rows.end()) {
      row->second->health = {};
      row->second->ended = {};
    }
  }
}

const Peer* ChooseRelayPeer(const PeerTable& peers,
                            const RelayRules& rules,
                            std::mt19937_64& random,
                            TimePoint now) {
  std::vector<const Peer*> near;
  std::vector<const Peer*> all;
  // Instances of the own failure domain that need a relay: at least this one.
  std::size_t near_unable = 1;
  for (const auto& [address, peer] : peers.peers) {
    const bool is_near = peer.digest.failure_domain == peers.self_domain;
    if (peer.digest.leaving || !IsLive(peers, peer, now) ||
        !IsSameRegion(rules, peers.self_domain, peer.digest.failure_domain)) {
      continue;
    }
    if (!peer.digest.reaches_upstreams || IsAvoided(rules, address, now)) {
      near_unable += is_near ? 1 : 0;
      continue;
    }
    all.push_back(&peer);
    if (is_near) {
      near.push_back(&peer);
    }
  }
  const std::vector<const Peer*>& able = near.size() >= near_unable ? near : all;
  if (able.empty()) {
    return nullptr;
  }
  return able[std::uniform_int_distribution<std::size_t>(0, able.size() - 1)(random)];
}

}  // namespace geraniumspread::dispatch
