#include "placement/placement.h"

#include "common/hash.h"
#include "placement/internal/choice.h"
#include "placement/internal/segments.h"

namespace geraniumspread::placement {
namespace {

void ChangeInFlight(PlacementState& state, UpstreamIndex upstream, std::int32_t change) {
  UpstreamRow& row = state.upstreams[upstream];
  row.in_flight += change;
  PoolRow& pool = state.pools[row.pool];
  (row.owned ? pool.in_flight : pool.in_flight_not_owned) += change;
}

}  // namespace

void RecordPlacement(PlacementState& state,
                     const PlacementRequest& request,
                     const PlacementChoice& choice,
                     TimePoint now) {
  ChangeInFlight(state, choice.upstream, 1);
  if (choice.upstream == choice.first_choice) {
    EraseException(state.exceptions, request.chat);
  } else {
    PutException(state.exceptions, request.chat, choice.upstream, now);
  }
}

void RecordException(PlacementState& state, ChatKey chat, UpstreamIndex upstream, TimePoint now) {
  PutException(state.exceptions, chat, upstream, now);
}

UpstreamIndex FindOtherPlacement(const PlacementState& state,
                                 ChatKey chat,
                                 UpstreamIndex requested,
                                 TimePoint now) {
  const UpstreamIndex named =
      FindException(state.exceptions, chat, state.settings.exception_hold, now);
  const bool elsewhere = named != kNoUpstream && named != requested &&
                         AcceptsNewWork(state, named) &&
                         state.upstreams[named].pool == state.upstreams[requested].pool;
  return elsewhere ? named : kNoUpstream;
}

void RecordForwarded(PlacementState& state, UpstreamIndex upstream) {
  ChangeInFlight(state, upstream, 1);
}

void RecordCompletion(PlacementState& state, UpstreamIndex upstream) {
  ChangeInFlight(state, upstream, -1);
}

void RecordSuccess(PlacementState& state, UpstreamIndex upstream, std::uint32_t epoch) {
  RecordSuccess(state.cold_start[upstream], state.policy.cold_start, epoch);
}

void RecordRefusal(PlacementState& state, UpstreamIndex upstream, TimePoint now) {
  if (state.policy.remember_refusals) {
    state.upstreams[upstream].refused_until = now + state.settings.refusal_hold;
  }
}

std::int64_t OwnedInFlight(const PlacementState& state, PoolIndex pool) {
  return state.pools[pool].in_flight;
}

void SetInFlightElsewhere(PlacementState& state, PoolIndex pool, std::int64_t in_flight) {
  state.pools[pool].in_flight_elsewhere = in_flight;
}

void RecordReport(PlacementState& state,
                  UpstreamIndex upstream,
                  const ColdStartReport& report,
                  TimePoint requested_at) {
  ApplyReport(state.cold_start[upstream], state.settings.cold_start, report, requested_at);
}

void RecordCacheEvent(PlacementState& state,
                      UpstreamIndex upstream,
                      ChatKey chat,
                      CacheEventKind kind,
                      TimePoint now) {
  const UpstreamIndex named =
      FindException(state.exceptions, chat, state.settings.exception_hold, now);
  if (kind == CacheEventKind::kEvicted) {
    if (named == upstream) {
      EraseException(state.exceptions, chat);
    }
    return;
  }
  // A recorded placement takes precedence over a late event.
  if (named != kNoUpstream) {
    return;
  }
  const PlacementRequest request{.pool = state.upstreams[upstream].pool, .chat = chat};
  const auto choice = ChooseUpstream(state, request, now);
  if (choice && choice.value().first_choice != upstream) {
    PutException(state.exceptions, chat, upstream, now);
  }
}

void TickPlacement(PlacementState& state, TimePoint now) {
  state.ticked_at = now;
  for (UpstreamIndex upstream = 0; upstream < state.upstreams.size(); ++upstream) {
    if (state.upstreams[upstream].owned) {
      ExpireReport(state.cold_start[upstream], state.settings.cold_start, state.policy.cold_start,
                   now);
    }
  }
  detail::FreeGoneUpstreams(state);
  detail::UpdateCapacity(state, now);
}

std::int32_t UpstreamLimit(const PlacementState& state, UpstreamIndex upstream, bool has_history) {
  return detail::LimitOf(state, upstream,
                         detail::MultipleFor(state, state.upstreams[upstream].pool, has_history))
      .limit;
}

bool IsCold(const PlacementState& state, UpstreamIndex upstream) {
  return detail::LimitOf(state, upstream, BoundMultiple(state, state.upstreams[upstream].pool))
      .cold;
}

bool AcceptsNewWork(const PlacementState& state, UpstreamIndex upstream) {
  const UpstreamRow& row = state.upstreams[upstream];
  return row.state == UpstreamState::kLive && state.domains[row.domain].in_service;
}

}  // namespace geraniumspread::placement
