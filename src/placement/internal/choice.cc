#include "placement/internal/choice.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>

#include "placement/internal/segments.h"

namespace geraniumspread::placement {
namespace {

constexpr std::size_t kNone = std::numeric_limits<std::size_t>::max();

// The best candidate of one segment that has not been rejected yet.
struct Cursor {
  std::uint64_t hash;
  double score;
  UpstreamIndex upstream;
  DomainIndex domain;
};

// Cursors of all segments that the chat may use. Only the first `size` are set:
// clearing all of them would cost more than the choice.
struct Candidates {  // NOLINT(cppcoreguidelines-pro-type-member-init)
  std::array<Cursor, detail::kMaxSegments> cursors;
  std::array<const Segment*, detail::kMaxSegments> segments;
  std::size_t size = 0;
};

// Moves the cursor to the highest hash of the segment below `limit`.
void Advance(Cursor& cursor,
             const PoolRow& pool,
             const Segment& segment,
             ChatKey chat,
             std::uint64_t limit) {
  std::uint64_t best = 0;
  std::uint32_t best_position = segment.end;
  for (std::uint32_t position = segment.begin; position < segment.end; ++position) {
    const std::uint64_t hash = detail::RendezvousHash(chat, pool.hashes[position]);
    if (hash < limit && hash > best) {
      best = hash;
      best_position = position;
    }
  }
  const bool found = best_position != segment.end;
  cursor.hash = best;
  cursor.score = found ? detail::WeightedScore(best, segment.capacity) : -1.0;
  cursor.upstream = found ? pool.upstreams[best_position] : kNoUpstream;
  cursor.domain = segment.domain;
}

void CollectCandidates(Candidates& candidates,
                       const PlacementState& state,
                       const PoolRow& pool,
                       ChatKey chat,
                       TimePoint now) {
  for (const Segment& segment : pool.segments) {
    if (detail::ChatMayUse(state, segment.domain, chat, now)) {
      candidates.segments[candidates.size] = &segment;
      Advance(candidates.cursors[candidates.size], pool, segment, chat,
              std::numeric_limits<std::uint64_t>::max());
      ++candidates.size;
    }
  }
}

enum class Scope : std::uint8_t { kAll, kHomeOnly, kOthersOnly };

bool InScope(const Cursor& cursor, Scope scope, DomainIndex home) {
  return scope == Scope::kAll || (scope == Scope::kHomeOnly) == (cursor.domain == home);
}

std::size_t Best(const Candidates& candidates, Scope scope, DomainIndex home) {
  std::size_t best = kNone;
  for (std::size_t index = 0; index < candidates.size; ++index) {
    const Cursor& cursor = candidates.cursors[index];
    const bool eligible = cursor.upstream != kNoUpstream && InScope(cursor, scope, home);
    if (eligible && (best == kNone || cursor.score > candidates.cursors[best].score)) {
      best = index;
    }
  }
  return best;
}

// Returns the domain in which the request is placed first.
DomainIndex HomeDomain(const PlacementState& state,
                       const Candidates& candidates,
                       const PlacementRequest& request) {
  const bool near_entry =
      !request.has_history && state.settings.new_chat_home == NewChatHome::kEntryDomain;
  if (near_entry && Best(candidates, Scope::kHomeOnly, request.entry_domain) != kNone) {
    return request.entry_domain;
  }
  return candidates.cursors[Best(candidates, Scope::kAll, kNoDomain)].domain;
}

// Checks the candidates of the scope in rank order and returns the first available one, or
// kNoUpstream.
UpstreamIndex FirstAvailable(Candidates& candidates,
                             const PlacementState& state,
                             const PlacementRequest& request,
                             Scope scope,
                             DomainIndex home,
                             const detail::LoadCheck& check) {
  const PoolRow& pool = state.pools[request.pool];
  for (;;) {
    const std::size_t best = Best(candidates, scope, home);
    if (best == kNone) {
      return kNoUpstream;
    }
    Cursor& cursor = candidates.cursors[best];
    if (detail::CheckLoad(state, cursor.upstream, check) == Verdict::kAvailable) {
      return cursor.upstream;
    }
    Advance(cursor, pool, *candidates.segments[best], request.chat, cursor.hash);
  }
}

// Returns the upstream that the exceptions table names if the chat may be placed there now,
// otherwise kNoUpstream.
UpstreamIndex UsableException(const PlacementState& state,
                              const PlacementRequest& request,
                              const detail::LoadCheck& check) {
  const UpstreamIndex upstream =
      FindException(state.exceptions, request.chat, state.settings.exception_hold, check.now);
  if (upstream == kNoUpstream) {
    return kNoUpstream;
  }
  const UpstreamRow& row = state.upstreams[upstream];
  const bool usable = AcceptsNewWork(state, upstream) && row.pool == request.pool &&
                      detail::ChatMayUse(state, row.domain, request.chat, check.now) &&
                      detail::CheckLoad(state, upstream, check) == Verdict::kAvailable;
  return usable ? upstream : kNoUpstream;
}

PlacementChoice MakeChoice(const PlacementState& state,
                           UpstreamIndex upstream,
                           UpstreamIndex first_choice,
                           DomainIndex home,
                           ChoiceKind kind) {
  return {.upstream = upstream,
          .first_choice = first_choice,
          .home = home,
          .kind = kind,
          .cold_epoch = state.cold_start[upstream].epoch};
}

Result<PlacementChoice> ChooseWithin(const PlacementState& state,
                                     const PlacementRequest& request,
                                     double multiple,
                                     TimePoint now) {
  Candidates candidates;
  CollectCandidates(candidates, state, state.pools[request.pool], request.chat, now);
  const std::size_t top = Best(candidates, Scope::kAll, kNoDomain);
  if (top == kNone) {
    return PlacementError{PlacementErrorCode::kNoUsableUpstream,
                          "no upstream of the pool is listed and in service"};
  }
  const UpstreamIndex first_choice = candidates.cursors[top].upstream;
  const DomainIndex home = HomeDomain(state, candidates, request);
  const UpstreamIndex best_at_home =
      candidates.cursors[Best(candidates, Scope::kHomeOnly, home)].upstream;
  detail::LoadCheck check{.priority = request.priority, .multiple = multiple, .now = now};
  if (const UpstreamIndex named = UsableException(state, request, check); named != kNoUpstream) {
    return MakeChoice(state, named, first_choice, home, ChoiceKind::kException);
  }
  if (const UpstreamIndex local =
          FirstAvailable(candidates, state, request, Scope::kHomeOnly, home, check);
      local != kNoUpstream) {
    const ChoiceKind kind =
        local == best_at_home ? ChoiceKind::kFirstChoice : ChoiceKind::kHomeOverflow;
    return MakeChoice(state, local, first_choice, home, kind);
  }
  check.spill = true;
  if (const UpstreamIndex remote =
          FirstAvailable(candidates, state, request, Scope::kOthersOnly, home, check);
      remote != kNoUpstream) {
    return MakeChoice(state, remote, first_choice, home, ChoiceKind::kSpill);
  }
  return PlacementError{PlacementErrorCode::kAllAtLimit, "all upstreams of the pool are at limit"};
}

}  // namespace

namespace detail {

EffectiveLimit LimitOf(const PlacementState& state, UpstreamIndex upstream, double multiple) {
  const UpstreamRow& row = state.upstreams[upstream];
  const ColdStartState& cold_start = state.cold_start[upstream];
  const bool knows_cold_start = row.owned && row.kind == UpstreamKind::kModelEngine;
  if (knows_cold_start && cold_start.cold) {
    return {std::min(row.capacity, cold_start.limit), true};
  }
  if (!state.policy.load_bound) {
    return {row.capacity, false};
  }
  const PoolRow& pool = state.pools[row.pool];
  const std::int64_t elsewhere = std::max(pool.in_flight_elsewhere, pool.in_flight_not_owned);
  const auto total = static_cast<double>(pool.in_flight + elsewhere + 1);
  const double mean = total * row.capacity / std::max(pool.capacity, 1.0);
  const double bound = std::max(1.0, std::ceil(multiple * mean));
  return {static_cast<std::int32_t>(std::min<double>(row.capacity, bound)), false};
}

Verdict CheckLoad(const PlacementState& state, UpstreamIndex upstream, const LoadCheck& check) {
  const UpstreamRow& row = state.upstreams[upstream];
  if (row.refused_until > check.now) {
    return Verdict::kRefused;
  }
  const EffectiveLimit effective = LimitOf(state, upstream, check.multiple);
  if (row.in_flight >= effective.limit) {
    return effective.cold ? Verdict::kAtColdLimit : Verdict::kAtLimit;
  }
  const double share = state.settings.spill_share[static_cast<std::size_t>(check.priority)];
  const bool too_busy = check.spill && row.in_flight >= share * effective.limit;
  return too_busy ? Verdict::kSpillRefused : Verdict::kAvailable;
}

double MultipleFor(const PlacementState& state, PoolIndex pool, bool has_history) {
  const double multiple = BoundMultiple(state, pool);
  return has_history ? multiple : std::min(multiple, state.settings.new_chat_multiple);
}

}  // namespace detail

Result<PlacementChoice> ChooseUpstream(const PlacementState& state,
                                       const PlacementRequest& request,
                                       TimePoint now) {
  if (request.pool >= state.pools.size()) {
    return PlacementError{PlacementErrorCode::kUnknownPool, "the pool is unknown"};
  }
  const double multiple = detail::MultipleFor(state, request.pool, request.has_history);
  const auto choice = ChooseWithin(state, request, multiple, now);
  const bool all_at_lower_bound = !choice &&
                                  choice.error().code == PlacementErrorCode::kAllAtLimit &&
                                  multiple < BoundMultiple(state, request.pool);
  return all_at_lower_bound ? ChooseWithin(state, request, BoundMultiple(state, request.pool), now)
                            : choice;
}

}  // namespace geraniumspread::placement
