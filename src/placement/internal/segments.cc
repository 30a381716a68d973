#include "placement/internal/segments.h"

#include <algorithm>
#include <bit>
#include <cmath>

#include "common/hash.h"

namespace geraniumspread::placement::detail {
namespace {

// Scale and shift that turn the upper 53 bits of a hash into a fraction in (0, 1).
constexpr double kFractionScale = 1.0 / 9007199254740992.0;
constexpr unsigned kFractionShift = 11;

double Fraction(std::uint64_t hash) {
  return (static_cast<double>(hash >> kFractionShift) + 0.5) * kFractionScale;
}

struct Member {
  DomainIndex domain;
  std::int32_t weight;
  UpstreamIndex upstream;
};

std::vector<Member> UsableMembers(const PlacementState& state, PoolIndex pool) {
  std::vector<Member> members;
  for (UpstreamIndex index = 0; index < state.upstreams.size(); ++index) {
    const UpstreamRow& row = state.upstreams[index];
    const bool usable = row.state == UpstreamState::kLive && row.pool == pool &&
                        state.domains[row.domain].in_service;
    if (usable) {
      members.push_back({row.domain, WeightClass(row.capacity), index});
    }
  }
  return members;
}

void SortMembers(std::vector<Member>& members) {
  std::sort(members.begin(), members.end(), [](const Member& left, const Member& right) {
    return std::tie(left.domain, left.weight, left.upstream) <
           std::tie(right.domain, right.weight, right.upstream);
  });
}

std::size_t CountSegments(const std::vector<Member>& members) {
  std::size_t count = 0;
  for (std::size_t index = 0; index < members.size(); ++index) {
    const bool starts = index == 0 || members[index].domain != members[index - 1].domain ||
                        members[index].weight != members[index - 1].weight;
    count += starts ? 1 : 0;
  }
  return count;
}

}  // namespace

std::int32_t WeightClass(std::int32_t capacity) {
  const auto value = static_cast<std::uint32_t>(std::max(capacity, 1));
  const auto width = static_cast<int>(std::bit_width(value));
  const int dropped = std::max(0, width - 2);
  return static_cast<std::int32_t>((value >> dropped) << dropped);
}

double WeightedScore(std::uint64_t hash, std::int32_t weight) {
  return static_cast<double>(weight) / -std::log(Fraction(hash));
}

void RebuildPool(PlacementState& state, PoolIndex pool) {
  PoolRow& row = state.pools[pool];
  std::vector<Member> members = UsableMembers(state, pool);
  SortMembers(members);
  if (CountSegments(members) > kMaxSegments) {
    // Without weights there is one segment per domain.
    std::for_each(members.begin(), members.end(), [](Member& member) { member.weight = 1; });
    SortMembers(members);
  }
  row.segments.clear();
  row.hashes.clear();
  row.upstreams.clear();
  for (const Member& member : members) {
    const auto position = static_cast<std::uint32_t>(row.hashes.size());
    if (row.segments.empty() || row.segments.back().domain != member.domain ||
        row.segments.back().capacity != member.weight) {
      row.segments.push_back({member.domain, member.weight, position, position});
    }
    row.segments.back().end = position + 1;
    row.hashes.push_back(state.upstreams[member.upstream].hash);
    row.upstreams.push_back(member.upstream);
  }
}

double ReturnedShare(const PlacementState& state, DomainIndex domain, TimePoint now) {
  const DomainRow& row = state.domains[domain];
  if (!row.in_service) {
    return 0.0;
  }
  const bool never_out = row.returned_at == TimePoint::min();
  if (never_out || !state.policy.ramped_return ||
      now - row.returned_at >= state.settings.return_ramp) {
    return 1.0;
  }
  return std::chrono::duration<double>(now - row.returned_at) /
         std::chrono::duration<double>(state.settings.return_ramp);
}

bool ChatMayUse(const PlacementState& state, DomainIndex domain, ChatKey chat, TimePoint now) {
  const double share = ReturnedShare(state, domain, now);
  if (share >= 1.0) {
    return true;
  }
  // Uses another hash than the rendezvous score, so that the chats that return first
  // are spread over all upstreams of the domain.
  return Fraction(MixHash(static_cast<std::uint64_t>(chat), 0x72616d70U + domain)) < share;
}

void UpdateCapacity(PlacementState& state, TimePoint now) {
  for (PoolRow& pool : state.pools) {
    pool.capacity = 0.0;
    for (const Segment& segment : pool.segments) {
      double sum = 0.0;
      for (std::uint32_t position = segment.begin; position < segment.end; ++position) {
        const UpstreamIndex upstream = pool.upstreams[position];
        const UpstreamRow& row = state.upstreams[upstream];
        const bool cold = row.owned && state.cold_start[upstream].cold;
        sum +=
            cold ? std::min(row.capacity, InFlightLimit(state.cold_start[upstream])) : row.capacity;
      }
      pool.capacity += sum * ReturnedShare(state, segment.domain, now);
    }
  }
}

}  // namespace geraniumspread::placement::detail
