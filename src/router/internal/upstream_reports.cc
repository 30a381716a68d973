#include "router/internal/upstream_reports.h"

#include <algorithm>
#include <string_view>
#include <unordered_map>
#include <utility>

#include "router/internal/quarantine_spread.h"
#include "router/internal/upstream_queues.h"

namespace geraniumspread::router {
namespace detail {
namespace {

constexpr std::uint32_t kFailedReportsOfDeadUpstream = 3;

// Plain services report no load. They count as warm with the concurrency that
// the configuration gives them.
void RefreshPlainService(RouterState& state, DomainUpstreamRow& row, TimePoint now) {
  const std::int32_t capacity = state.placement.upstreams[row.index].capacity;
  placement::RecordReport(
      state.placement, row.index,
      {.incarnation = 1, .sequence = ++row.service_sequence, .capacity = capacity}, now);
}

bool NeedsReports(const RouterState& state, const DomainUpstreamRow& row, TimePoint now) {
  const auto allowance = ownership::AllowedInFlight(state.ownership, row.key, 1, now);
  return allowance.basis != ownership::AllowanceBasis::kNoLease ||
         ownership::CandidateOwner(state.ownership, row.key) == state.ownership.self;
}

// An upstream that died and stays away sends no report with a new incarnation.
void NoteMissingReport(RouterState& state, DomainUpstreamRow& row, TimePoint now) {
  ++row.failed_reports;
  if (row.failed_reports == kFailedReportsOfDeadUpstream && !row.lost.empty()) {
    NoteDeath(state, row, now);
  }
}

// The lower of what the operators allow and what the upstream reports to bear.
std::int32_t ColdLimitOf(const RouterState& state,
                         const DomainUpstreamRow& row,
                         const engines::LoadReport& report) {
  const auto reported = static_cast<std::int32_t>(report.cold_limit);
  const fleet::UpstreamMember* member = fleet::FindUpstream(state.membership, row.id);
  const config::ModelPool* pool =
      member == nullptr ? nullptr : config::FindPool(*state.configuration, member->pool);
  if (pool == nullptr) {
    return reported;
  }
  const auto configured = static_cast<std::int32_t>(pool->cold_limit);
  return reported == 0 ? configured : std::min(configured, reported);
}

void ApplyReport(RouterState& state,
                 DomainUpstreamRow& row,
                 const engines::LoadReport& report,
                 TimePoint asked_at,
                 TimePoint now) {
  const bool had_report = row.load.report.has_value();
  const auto effect = engines::ApplyLoadReport(row.load, report);
  if (!effect) {
    return;
  }
  if (effect.value().new_incarnation && had_report) {
    row.ordered_state.reset();
    NoteDeath(state, row, now);
  }
  const auto running = static_cast<std::int32_t>(report.running + report.waiting);
  ownership::RecordLoadReport(state.ownership, row.key, asked_at, running, now);
  placement::RecordReport(
      state.placement, row.index,
      {.incarnation = report.incarnation,
       .sequence = report.sequence,
       .capacity = static_cast<std::int32_t>(report.capacity),
       .cold_limit = ColdLimitOf(state, row, report),
       .cold = report.cold,
       .first_token_ms = static_cast<std::uint32_t>(report.first_token.count())},
      asked_at);
}

}  // namespace

void PublishLoad(RouterState& state) {
  state.gossip.pool_loads.clear();
  std::unordered_map<std::string_view, std::int64_t> elsewhere;
  for (const fleet::RouterMember& router : state.membership.routers) {
    if (router.id == state.identity.id || !router.member) {
      continue;
    }
    for (const fleet::PoolLoad& load : router.pool_loads) {
      elsewhere[load.pool] += load.in_flight;
    }
  }
  for (std::size_t index = 0; index < state.placement.pools.size(); ++index) {
    const auto pool = static_cast<placement::PoolIndex>(index);
    const std::string& name = state.placement.pools[pool].name;
    placement::SetInFlightElsewhere(state.placement, pool, elsewhere[name]);
    if (const std::int64_t own = placement::OwnedInFlight(state.placement, pool); own > 0) {
      state.gossip.pool_loads.push_back({name, static_cast<std::uint32_t>(own)});
    }
  }
}

void RequestReports(RouterState& state, TickOutput& output, TimePoint now) {
  for (auto& [id, row] : state.upstreams) {
    if (row.index == placement::kNoUpstream) {
      continue;
    }
    const bool is_due = now >= row.next_report && !row.report_pending;
    if (!is_due || !NeedsReports(state, row, now)) {
      continue;
    }
    row.next_report = now + state.options.load_report_period;
    if (row.kind == UpstreamKind::kPlainService) {
      RefreshPlainService(state, row, now);
      continue;
    }
    row.report_pending = true;
    engines::RecordPollSent(row.load, now);
    ownership::RecordReportRequest(state.ownership, row.key);
    output.reports.push_back({id, row.endpoint});
  }
}

}  // namespace detail

TickOutput HandleLoadReport(RouterState& state,
                            const std::string& upstream,
                            TimePoint asked_at,
                            std::string_view body,
                            TimePoint now) {
  TickOutput output;
  const auto found = state.upstreams.find(upstream);
  if (found == state.upstreams.end()) {
    return output;
  }
  DomainUpstreamRow& row = found->second;
  row.report_pending = false;
  const auto report = engines::ParseLoadReport(body);
  if (!report) {
    detail::NoteMissingReport(state, row, now);
    return output;
  }
  row.failed_reports = 0;
  detail::ApplyReport(state, row, report.value(), asked_at, now);
  detail::PumpQueue(state, row, output, now);
  return output;
}

}  // namespace geraniumspread::router
