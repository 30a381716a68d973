#include <algorithm>

#include "common/hash.h"
#include "fleet/gossip.h"
#include "fleet/internal/gossip_internal.h"
#include "fleet/internal/random_choice.h"

namespace geraniumspread::fleet {
namespace {

// Upper bound on the remaining time of a new or updated entry.
constexpr Duration kMaxQuarantine = std::chrono::minutes(10);
// Entries that expire sooner are neither sent, accepted nor part of the digest.
// Otherwise two routers whose clocks differ slightly would keep sending an expiring
// entry to each other.
constexpr Duration kMinSpreadTime = std::chrono::seconds(10);
constexpr std::size_t kMaxRecords = 4096;
// Minimum time between two repairs to one peer. A message can take 16 KB.
constexpr Duration kMinQuarantineRepairInterval = std::chrono::seconds(5);

bool IsSpreadable(const QuarantineRecord& record, TimePoint now) {
  return record.expires_at - now > kMinSpreadTime;
}

QuarantineEntry ToEntry(const std::string& fingerprint,
                        const QuarantineRecord& record,
                        TimePoint now) {
  return {fingerprint, record.deaths,
          std::chrono::duration_cast<std::chrono::milliseconds>(record.expires_at - now)};
}

// Returns true if the entry is new or has more deaths than the known one. Only then
// does its expiry change, so that gossip alone can't extend an entry.
bool Merge(Gossip& gossip, const QuarantineEntry& entry, TimePoint now) {
  const Duration remaining = std::min<Duration>(entry.remaining, kMaxQuarantine);
  const auto known = gossip.quarantine.find(entry.fingerprint);
  if (known == gossip.quarantine.end()) {
    if (gossip.quarantine.size() >= kMaxRecords) {
      return false;
    }
    gossip.quarantine[entry.fingerprint] = {entry.deaths, now + remaining};
    return true;
  }
  if (entry.deaths <= known->second.deaths) {
    return false;
  }
  known->second.deaths = entry.deaths;
  known->second.expires_at = std::max(known->second.expires_at, now + remaining);
  return true;
}

}  // namespace

void AddQuarantine(Gossip& gossip, const QuarantineEntry& entry, TimePoint now) {
  std::erase_if(gossip.quarantine, [&](const auto& item) { return item.second.expires_at <= now; });
  if (Merge(gossip, entry, now)) {
    gossip.unsent_quarantines.push_back(entry.fingerprint);
  }
}

bool IsQuarantined(const Gossip& gossip, std::string_view fingerprint, TimePoint now) {
  const auto found = gossip.quarantine.find(fingerprint);
  return found != gossip.quarantine.end() && now < found->second.expires_at;
}

std::uint64_t QuarantineDigest(const Gossip& gossip, TimePoint now) {
  std::uint64_t digest = 0;
  for (const auto& [fingerprint, record] : gossip.quarantine) {
    if (IsSpreadable(record, now)) {
      digest ^= MixHash(StableHash(fingerprint), record.deaths);
    }
  }
  return digest;
}

namespace detail {

void MergeQuarantine(GossipStep& step, const Quarantine& message) {
  for (const QuarantineEntry& entry : message.entries) {
    if (entry.remaining > kMinSpreadTime && Merge(step.gossip, entry, step.now)) {
      step.gossip.unsent_quarantines.push_back(entry.fingerprint);
    }
  }
}

void RepairQuarantine(GossipStep& step, std::string_view peer, std::uint64_t peer_digest) {
  Gossip& gossip = step.gossip;
  if (gossip.quarantine.empty() || peer_digest == QuarantineDigest(gossip, step.now)) {
    return;
  }
  const auto last = gossip.last_quarantine.find(peer);
  if (last != gossip.last_quarantine.end() &&
      step.now - last->second < kMinQuarantineRepairInterval) {
    return;
  }
  Quarantine message;
  for (const auto& [fingerprint, record] : gossip.quarantine) {
    if (IsSpreadable(record, step.now)) {
      message.entries.push_back(ToEntry(fingerprint, record, step.now));
    }
  }
  KeepRandom(message.entries, kMaxQuarantineEntries, gossip.random);
  if (!message.entries.empty()) {
    gossip.last_quarantine[std::string(peer)] = step.now;
    Send(step, peer, std::move(message));
  }
}

void AdvanceQuarantine(GossipStep& step) {
  Gossip& gossip = step.gossip;
  std::erase_if(gossip.quarantine,
                [&](const auto& item) { return item.second.expires_at <= step.now; });
  if (gossip.unsent_quarantines.empty()) {
    return;
  }
  Quarantine message;
  for (const std::string& fingerprint : gossip.unsent_quarantines) {
    const auto found = gossip.quarantine.find(fingerprint);
    if (found != gossip.quarantine.end() && IsSpreadable(found->second, step.now) &&
        message.entries.size() < kMaxQuarantineEntries) {
      message.entries.push_back(ToEntry(fingerprint, found->second, step.now));
    }
  }
  gossip.unsent_quarantines.clear();
  if (message.entries.empty()) {
    return;
  }
  auto peers = ReachablePeers(step.membership);
  KeepRandom(peers, gossip.settings.push_peers, gossip.random);
  for (const std::string& peer : peers) {
    Send(step, peer, message);
  }
}

}  // namespace detail
}  // namespace geraniumspread::fleet
