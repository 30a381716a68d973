#include "router/internal/state_sync.h"

#include <algorithm>

#include "common/hash.h"

namespace geraniumspread::router::detail {
namespace {

// Membership is copied into the other modules when it changes, and at least
// this often because silence and damping depend on time.
constexpr Duration kSyncPeriod = std::chrono::seconds(1);
constexpr std::size_t kLargeDomainMembers = 12;
constexpr Duration kSilentAfter = std::chrono::seconds(3);
constexpr Duration kSilentAfterInLargeDomain = std::chrono::seconds(10);
constexpr std::uint32_t kDefaultEngineCapacity = 8;

std::int32_t CapacityOf(const config::Configuration& configuration,
                        const fleet::UpstreamMember& member) {
  if (member.kind == UpstreamKind::kPlainService) {
    const config::Service* service = config::FindService(configuration, member.pool);
    return service == nullptr ? 1 : static_cast<std::int32_t>(service->concurrency_per_upstream);
  }
  const config::ModelPool* pool = config::FindPool(configuration, member.pool);
  return static_cast<std::int32_t>(pool == nullptr ? kDefaultEngineCapacity : pool->capacity);
}

void ApplyWorkspaceLimits(RouterState& state, TimePoint now) {
  std::vector<admission::WorkspaceLimit> limits;
  limits.reserve(state.configuration->workspaces.size());
  for (const config::Workspace& workspace : state.configuration->workspaces) {
    const auto rate = static_cast<float>(workspace.requests_per_second);
    // One second's worth may arrive at once.
    limits.push_back({.workspace = StableHash(workspace.name),
                      .max_concurrent = workspace.concurrency_limit,
                      .requests_per_second = rate,
                      .burst = std::max(rate, 1.0F)});
  }
  admission::SetWorkspaceLimits(state.limits, limits, now);
}

void SyncRouters(RouterState& state, TimePoint now) {
  std::vector<ownership::RouterKey> members;
  std::vector<ownership::RouterKey> candidates;
  std::vector<admission::RouterKey> live;
  for (const fleet::RouterMember& router : state.membership.routers) {
    const ownership::RouterKey key = ownership::MakeRouterKey(router.id);
    state.router_ids.insert_or_assign(static_cast<std::uint64_t>(key), router.id);
    if (!router.member) {
      continue;
    }
    live.push_back(StableHash(router.id));
    if (router.failure_domain != state.identity.failure_domain) {
      continue;
    }
    members.push_back(key);
    if (MayOwn(state, router, now)) {
      candidates.push_back(key);
    }
  }
  // In a large domain the bound on heartbeat bytes makes peers hear each other
  // only every 5 to 7 s.
  state.membership.settings.contact_timeout =
      members.size() > kLargeDomainMembers ? kSilentAfterInLargeDomain : kSilentAfter;
  ownership::SetMembers(state.ownership, members, candidates, now);
  admission::SetLiveRouters(state.limits, StableHash(state.identity.id), live, now);
}

DomainUpstreamRow& UpsertRow(RouterState& state, const fleet::UpstreamMember& member) {
  auto [entry, added] = state.upstreams.try_emplace(member.id);
  DomainUpstreamRow& row = entry->second;
  if (added) {
    row.id = member.id;
    row.key = ownership::MakeUpstreamKey(member.id);
    row.kind = member.kind;
    row.queue = admission::MakeOwnerQueue({});
    row.load.upstream = member.id;
  }
  row.endpoint = {member.endpoint.address, member.endpoint.port};
  return row;
}

void SyncUpstream(RouterState& state, const fleet::UpstreamMember& member, TimePoint now) {
  const placement::UpstreamIndex index = placement::UpsertUpstream(
      state.placement, {.name = member.id,
                        .pool = member.pool,
                        .domain = member.failure_domain,
                        .kind = member.kind,
                        .capacity = CapacityOf(*state.configuration, member)});
  if (!fleet::IsUsable(member, now)) {
    placement::SetUpstreamState(
        state.placement, index,
        member.listed ? placement::UpstreamState::kLeaving : placement::UpstreamState::kGone);
  }
  if (member.failure_domain == state.identity.failure_domain) {
    UpsertRow(state, member).index = index;
  }
}

void SyncUpstreams(RouterState& state, TimePoint now) {
  for (const fleet::UpstreamMember& member : state.membership.upstreams) {
    SyncUpstream(state, member, now);
  }
  std::vector<ownership::DomainUpstream> domain_upstreams;
  for (auto entry = state.upstreams.begin(); entry != state.upstreams.end();) {
    const DomainUpstreamRow& row = entry->second;
    const bool is_idle = row.in_flight.empty() && row.queue.waiting.empty();
    if (fleet::FindUpstream(state.membership, row.id) == nullptr && is_idle) {
      placement::SetUpstreamState(state.placement, row.index, placement::UpstreamState::kGone);
      entry = state.upstreams.erase(entry);
      continue;
    }
    domain_upstreams.push_back(
        {.upstream = row.key, .reports_load = row.kind == UpstreamKind::kModelEngine});
    ++entry;
  }
  ownership::SetUpstreams(state.ownership, domain_upstreams, now);
}

}  // namespace

void ApplyConfiguration(RouterState& state, TimePoint now) {
  const auto in_force = config::ConfigurationInForce(state.store);
  if (in_force == state.configuration) {
    return;
  }
  state.configuration = in_force;
  const config::FleetSettings& settings = in_force->settings;
  state.placement.settings.return_ramp = settings.return_ramp;
  for (const config::ModelPool& pool : in_force->pools) {
    placement::SetPoolBound(state.placement, pool.name, pool.load_multiple);
  }
  state.ownership.settings.lease_term = settings.lease_term;
  state.retries.policy.ratio = settings.retry_budget_percent / 100.0;
  state.quarantine.policy.deaths_to_quarantine = settings.quarantine_deaths;
  state.quarantine.policy.quarantine_time = settings.quarantine_time;
  state.tickets.policy.lifetime = settings.ticket_expiry;
  for (const config::FailureDomain& domain : in_force->failure_domains) {
    placement::SetDomainInService(state.placement,
                                  placement::InternDomain(state.placement, domain.name),
                                  domain.in_service, now);
  }
  ApplyWorkspaceLimits(state, now);
  state.membership_changed = true;
}

bool MayOwn(const RouterState& state, const fleet::RouterMember& router, TimePoint now) {
  if (router.id == state.identity.id) {
    return !state.draining;
  }
  if (router.failure_domain == state.identity.failure_domain) {
    return fleet::IsCandidate(state.membership, router, now);
  }
  const bool may_serve = !router.last_contact || router.state == fleet::RouterState::kServing;
  return router.member && !router.leaving && may_serve && now >= router.flaps.damped_until;
}

void SyncMembership(RouterState& state, TimePoint now) {
  if (!state.configuration || (!state.membership_changed && now < state.next_sync)) {
    return;
  }
  state.membership_changed = false;
  state.next_sync = now + kSyncPeriod;
  SyncRouters(state, now);
  SyncUpstreams(state, now);
}

}  // namespace geraniumspread::router::detail
