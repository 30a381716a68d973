#include "dispatch/stream_origins.h"

#include <algorithm>

#include "common/hash.h"

namespace geraniumspread::dispatch {
namespace {

constexpr std::uint64_t kStreamSeed = 0x0f19;
// Longer than callers wait for a whole stream.
constexpr Duration kOriginLifetime = std::chrono::seconds(60);
// Bounds the memory during a flood of streams.
constexpr std::size_t kMaxOrigins = 20'000;
// All peers of a small fleet store each origin. In a larger one, this many make it unlikely
// that all of them are stopped or partitioned at once.
constexpr std::size_t kSmallFleet = 6;
constexpr std::size_t kHolders = 3;

}  // namespace

std::uint64_t StreamKey(std::string_view request_id) {
  return StableHash(request_id, kStreamSeed);
}

void RecordOrigin(StreamOrigins& origins,
                  std::uint64_t stream,
                  std::uint64_t version,
                  TimePoint now) {
  if (!origins.versions.try_emplace(stream, version).second) {
    return;
  }
  origins.recorded.emplace_back(now, stream);
  if (origins.recorded.size() > kMaxOrigins) {
    origins.versions.erase(origins.recorded.front().second);
    origins.recorded.pop_front();
  }
}

std::optional<std::uint64_t> FindOrigin(const StreamOrigins& origins, std::uint64_t stream) {
  const auto known = origins.versions.find(stream);
  return known == origins.versions.end() ? std::nullopt : std::optional(known->second);
}

void ExpireOrigins(StreamOrigins& origins, TimePoint now) {
  while (!origins.recorded.empty() && origins.recorded.front().first + kOriginLifetime < now) {
    origins.versions.erase(origins.recorded.front().second);
    origins.recorded.pop_front();
  }
}

std::vector<std::string> OriginHolders(const PeerTable& peers,
                                       std::uint64_t stream,
                                       TimePoint now) {
  std::vector<std::pair<std::uint64_t, std::string>> ranked;
  for (const auto& [address, peer] : peers.peers) {
    if (IsLive(peers, peer, now)) {
      ranked.emplace_back(MixHash(peer.address_hash, stream), address);
    }
  }
  std::ranges::sort(ranked);
  const std::size_t holders = peers.peers.size() <= kSmallFleet ? kSmallFleet : kHolders;
  std::vector<std::string> addresses;
  for (auto& [score, address] : ranked) {
    if (addresses.size() < holders) {
      addresses.push_back(std::move(address));
    }
  }
  return addresses;
}

std::optional<std::uint64_t> OnlyVersion(const UpstreamTable& table,
                                         std::string_view service,
                                         Duration window,
                                         TimePoint followed_since,
                                         TimePoint now) {
  const auto known = table.versions.find(std::string(service));
  if (followed_since + window > now || known == table.versions.end()) {
    return std::nullopt;
  }
  std::optional<std::uint64_t> only;
  for (const auto& [version, listing] : known->second) {
    if (listing.upstreams == 0 && listing.last_listed_at + window < now) {
      continue;
    }
    if (only) {
      return std::nullopt;
    }
    only = version;
  }
  return only;
}

}  // namespace geraniumspread::dispatch
