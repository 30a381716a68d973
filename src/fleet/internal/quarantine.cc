#include <algorithm>

#include "common/hash.h"
#include "fleet/gossip.h"
#include "fleet/internal/gossip_internal.h"
#include "fleet/internal/random_choice.h"

namespace geraniumspread::fleet {
namespace {

// Longest quarantine that is taken over from a peer.
constexpr Duration kMaxQuarantine = std::chrono::minutes(10);
// Entries near their end are neither sent nor taken nor part of the digest.
// Otherwise two routers whose clocks differ slightly would hand an expiring
// entry back and forth for ever.
constexpr Duration kSpreadFloor = std::chrono::seconds(10);
constexpr std::size_t kMaxRecords = 4096;
// Least time between two repairs to one peer; a set can take 16 KB.
constexpr Duration kQuarantineRepairGap = std::chrono::seconds(5);

bool IsSpread(const QuarantineRecord& record, TimePoint now) {
  return record.expires_at - now > kSpreadFloor;
}

QuarantineEntry ToEntry(const std::string& fingerprint,
                        const QuarantineRecord& record,
                        TimePoint now) {
  return {fingerprint, record.deaths,
          std::chrono::duration_cast<std::chrono::milliseconds>(record.expires_at - now)};
}

// Returns true when the entry is new or has more deaths than known. Only then
// its end moves, so that an entry isn't prolonged by being handed around.
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
    gossip.quarantine_news.push_back(entry.fingerprint);
  }
}

bool IsQuarantined(const Gossip& gossip, std::string_view fingerprint, TimePoint now) {
  const auto found = gossip.quarantine.find(fingerprint);
  return found != gossip.quarantine.end() && now < found->second.expires_at;
}

std::uint64_t QuarantineDigest(const Gossip& gossip, TimePoint now) {
  std::uint64_t digest = 0;
  for (const auto& [fingerprint, record] : gossip.quarantine) {
    if (IsSpread(record, now)) {
      digest ^= MixHash(StableHash(fingerprint), record.deaths);
    }
  }
  return digest;
}

namespace detail {

void MergeQuarantine(GossipStep& step, const Quarantine& message) {
  for (const QuarantineEntry& entry : message.entries) {
    if (entry.remaining > kSpreadFloor && Merge(step.gossip, entry, step.now)) {
      step.gossip.quarantine_news.push_back(entry.fingerprint);
    }
  }
}

void RepairQuarantine(GossipStep& step, std::string_view peer, std::uint64_t peer_digest) {
  Gossip& gossip = step.gossip;
  if (gossip.quarantine.empty() || peer_digest == QuarantineDigest(gossip, step.now)) {
    return;
  }
  const auto last = gossip.last_quarantine.find(peer);
  if (last != gossip.last_quarantine.end() && step.now - last->second < kQuarantineRepairGap) {
    return;
  }
  Quarantine message;
  for (const auto& [fingerprint, record] : gossip.quarantine) {
    if (IsSpread(record, step.now)) {
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
  if (gossip.quarantine_news.empty()) {
    return;
  }
  Quarantine message;
  for (const std::string& fingerprint : gossip.quarantine_news) {
    const auto found = gossip.quarantine.find(fingerprint);
    if (found != gossip.quarantine.end() && IsSpread(found->second, step.now) &&
        message.entries.size() < kMaxQuarantineEntries) {
      message.entries.push_back(ToEntry(fingerprint, found->second, step.now));
    }
  }
  gossip.quarantine_news.clear();
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
