#include "router/internal/upstream_queues.h"

#include <algorithm>
#include <utility>

namespace geraniumspread::router {
namespace detail {
namespace {

void AppendShed(TickOutput& output,
                const std::string& upstream,
                const std::vector<admission::ShedRequest>& shed) {
  for (const admission::ShedRequest& entry : shed) {
    output.queue_results.push_back(
        {.request = entry.request.request, .upstream = upstream, .refusal = entry.refusal});
  }
}

// The limit of an upstream that may have restarted is its cold limit: requests
// that waited for its slots would otherwise all reach the new process.
std::int32_t LimitNow(const RouterState& state, const DomainUpstreamRow& row) {
  const std::int32_t limit = placement::UpstreamLimit(state.placement, row.index);
  const bool is_confirmed = row.kind == UpstreamKind::kPlainService ||
                            row.connection_lost_at == TimePoint::min() ||
                            row.load.report_requested_at > row.connection_lost_at;
  return is_confirmed ? limit : std::min(limit, state.placement.cold_start[row.index].base_limit);
}

std::int32_t FreeSlots(const RouterState& state, const DomainUpstreamRow& row, TimePoint now) {
  const std::int32_t limit = LimitNow(state, row);
  const auto allowance = ownership::AllowedInFlight(state.ownership, row.key, limit, now);
  return allowance.limit - ownership::InFlight(state.ownership, row.key);
}

// Whether the router may queue requests at the upstream: it holds the lease or
// may use its reserve.
bool MayQueue(const RouterState& state, const DomainUpstreamRow& row, TimePoint now) {
  using ownership::AllowanceBasis;
  const AllowanceBasis basis = ownership::AllowedInFlight(state.ownership, row.key, 1, now).basis;
  return basis != AllowanceBasis::kNoLease && basis != AllowanceBasis::kReleasing &&
         basis != AllowanceBasis::kUnknownUpstream;
}

// A router on its reserve needs the cold limit as well. What the limit grew to
// under a lease is not kept for the reserve, nor the other way round: the
// lease may be at another router, where the upstream starts cold.
void UpdateOwned(RouterState& state, DomainUpstreamRow& row, TimePoint now) {
  const bool has_lease = ownership::HoldsLease(state.ownership, row.key, now);
  const bool on_reserve = !has_lease && MayQueue(state, row, now);
  if (on_reserve != row.on_reserve) {
    placement::SetOwned(state.placement, row.index, false);
  }
  row.on_reserve = on_reserve;
  placement::SetOwned(state.placement, row.index, has_lease || on_reserve);
}

}  // namespace

void PumpQueue(RouterState& state, DomainUpstreamRow& row, TickOutput& output, TimePoint now) {
  if (row.queue.waiting.empty()) {
    return;
  }
  UpdateOwned(state, row, now);
  if (!placement::AcceptsNewWork(state.placement, row.index)) {
    AppendShed(output, row.id,
               admission::RefuseAll(row.queue, admission::RefusalCode::kDomainOutOfService));
    return;
  }
  if (!MayQueue(state, row, now)) {
    AppendShed(output, row.id, admission::RefuseAll(row.queue, admission::RefusalCode::kNotOwner));
    return;
  }
  for (std::int32_t free = FreeSlots(state, row, now); free > 0; --free) {
    const admission::DispatchDecision decision = admission::NextToDispatch(row.queue, now);
    AppendShed(output, row.id, decision.shed);
    if (!decision.request) {
      return;
    }
    output.queue_results.push_back(
        {.request = decision.request->request,
         .upstream = row.id,
         .granted = true,
         .token = ownership::RecordDispatch(state.ownership, row.key, now),
         .cold_epoch = state.placement.cold_start[row.index].epoch});
  }
}

void TickQueues(RouterState& state, TickOutput& output, TimePoint now) {
  for (auto& [id, row] : state.upstreams) {
    if (row.index == placement::kNoUpstream) {
      continue;
    }
    UpdateOwned(state, row, now);
    const std::int32_t limit = placement::UpstreamLimit(state.placement, row.index);
    admission::SetSlots(row.queue, static_cast<std::uint32_t>(std::max(limit, 1)));
    AppendShed(output, id, admission::ExpireQueued(row.queue, now));
    PumpQueue(state, row, output, now);
  }
}

}  // namespace detail

TickOutput EnqueueDispatch(RouterState& state, const DispatchRequest& request, TimePoint now) {
  TickOutput output;
  const auto refuse = [&](admission::RefusalCode code) {
    output.queue_results.push_back({.request = request.queued.request,
                                    .upstream = request.upstream,
                                    .refusal = admission::MakeRefusal(
                                        code, admission::kMinRetryAfter, request.queued.request)});
  };
  const auto found = state.upstreams.find(request.upstream);
  if (found == state.upstreams.end() || found->second.index == placement::kNoUpstream) {
    refuse(admission::RefusalCode::kNotOwner);
    return output;
  }
  DomainUpstreamRow& row = found->second;
  if (!detail::MayQueue(state, row, now)) {
    refuse(admission::RefusalCode::kNotOwner);
    return output;
  }
  if (!placement::AcceptsNewWork(state.placement, row.index)) {
    refuse(admission::RefusalCode::kDomainOutOfService);
    return output;
  }
  if (!request.may_wait && !row.queue.waiting.empty() && detail::FreeSlots(state, row, now) <= 0) {
    refuse(admission::RefusalCode::kUpstreamAtLimit);
    return output;
  }
  const admission::EnqueueDecision decision = admission::Enqueue(row.queue, request.queued, now);
  if (decision.shed) {
    detail::AppendShed(output, row.id, {*decision.shed});
  }
  if (decision.refusal) {
    output.queue_results.push_back(
        {.request = request.queued.request, .upstream = row.id, .refusal = *decision.refusal});
    return output;
  }
  detail::PumpQueue(state, row, output, now);
  return output;
}

void CancelDispatch(RouterState& state,
                    const std::string& upstream,
                    admission::RequestHandle request) {
  if (const auto found = state.upstreams.find(upstream); found != state.upstreams.end()) {
    admission::CancelQueued(found->second.queue, request);
  }
}

void NoteDispatched(RouterState& state,
                    const std::string& upstream,
                    const outcomes::Fingerprint& fingerprint) {
  if (const auto found = state.upstreams.find(upstream); found != state.upstreams.end()) {
    found->second.in_flight.push_back(fingerprint);
  }
}

TickOutput FinishDispatch(RouterState& state,
                          const std::string& upstream,
                          const DispatchEnd& end,
                          TimePoint now) {
  TickOutput output;
  ownership::RecordCompletion(state.ownership, end.token);
  const auto found = state.upstreams.find(upstream);
  if (found == state.upstreams.end()) {
    return output;
  }
  DomainUpstreamRow& row = found->second;
  if (const auto fingerprint = std::ranges::find(row.in_flight, end.fingerprint);
      fingerprint != row.in_flight.end()) {
    row.in_flight.erase(fingerprint);
  }
  if (end.connection_lost) {
    row.lost.push_back({end.fingerprint, now});
    row.connection_lost_at = now;
    row.next_report = now;
  }
  if (end.succeeded) {
    admission::RecordRunTime(row.queue, end.priority, end.run_time);
    if (!end.token.on_reserve) {
      placement::RecordSuccess(state.placement, row.index, end.cold_epoch);
    }
    outcomes::RecordCompletion(state.quarantine, end.fingerprint);
  }
  detail::PumpQueue(state, row, output, now);
  return output;
}

}  // namespace geraniumspread::router
