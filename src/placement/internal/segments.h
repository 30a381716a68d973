#ifndef PLACEMENT_INTERNAL_SEGMENTS_H_
#define PLACEMENT_INTERNAL_SEGMENTS_H_

#include <cstdint>

#include "placement/placement.h"

namespace geraniumspread::placement::detail {

// Maximum number of segments of a pool; bounds the cursors that a choice keeps on its stack.
inline constexpr std::size_t kMaxSegments = 256;

// Capacity rounded down to its two leading bits. Few distinct weights keep the
// segments large, and only one logarithm per segment is needed.
std::int32_t WeightClass(std::int32_t capacity);

// Hash of a chat and an upstream. Both are well mixed already, so one wide
// multiplication is enough; it is half the cost of MixHash on the hot path.
inline std::uint64_t RendezvousHash(ChatKey chat, std::uint64_t upstream_hash) {
  __extension__ using Wide = unsigned __int128;
  constexpr std::uint64_t kMultiplier = 0x9e3779b97f4a7c15ULL;
  const std::uint64_t mixed = static_cast<std::uint64_t>(chat) ^ upstream_hash;
  const Wide product = static_cast<Wide>(mixed) * kMultiplier;
  return static_cast<std::uint64_t>(product >> 64U) ^ static_cast<std::uint64_t>(product);
}

// Weighted rendezvous score; among equal weights it grows with the hash.
double WeightedScore(std::uint64_t hash, std::int32_t weight);

// Rebuilds the pool's list of usable upstreams: live ones in domains that are in service.
void RebuildPool(PlacementState& state, PoolIndex pool);

// Returns the share of a domain's chats that may be placed there: 0 while it is out of
// service, growing during the ramp, otherwise 1.
double ReturnedShare(const PlacementState& state, DomainIndex domain, TimePoint now);
// True if the chat may be placed in the domain.
bool ChatMayUse(const PlacementState& state, DomainIndex domain, ChatKey chat, TimePoint now);

// Frees the indexes of gone upstreams without requests in flight.
void FreeGoneUpstreams(PlacementState& state);

// Updates PoolRow::capacity of all pools.
void UpdateCapacity(PlacementState& state, TimePoint now);

}  // namespace geraniumspread::placement::detail

#endif  // PLACEMENT_INTERNAL_SEGMENTS_H_
