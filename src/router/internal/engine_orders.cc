#include "router/internal/engine_orders.h"

#include <algorithm>

namespace geraniumspread::router::detail {
namespace {

using std::chrono::system_clock;

constexpr Duration kOrderPeriod = std::chrono::seconds(1);
constexpr auto kSequenceUnit = std::chrono::seconds(3);
constexpr std::chrono::sys_days kSequenceEpoch =
    std::chrono::year(2026) / std::chrono::January / std::chrono::day(1);

// The lease sequence of a fencing token: units of wall-clock time, so it grows
// across owners and restarts without shared state. This is safe because the
// lease, not the token, excludes two owners at a time; the token only has to
// grow, so that an engine can refuse an order that an earlier owner sent and
// that arrives late. A new owner whose clock is behind is refused until its
// clock has passed the earlier token, and then tries again. Two owners within
// one unit can have equal tokens; if a late order of the first takes effect
// then, the second reads the state back and corrects it.
std::uint64_t NextLeaseSequence(std::uint64_t last, system_clock::time_point wall_time) {
  const auto units = (wall_time - kSequenceEpoch) / kSequenceUnit;
  return std::max(last, static_cast<std::uint64_t>(std::max<std::int64_t>(units, 0)));
}

// Pools with the same model and other roles are separate pools to the platform:
// the instance list assigns engines to them, and each has one role.
std::vector<engines::PoolSpec> PoolSpecs(const config::Configuration& configuration) {
  std::vector<engines::PoolSpec> pools;
  pools.reserve(configuration.pools.size());
  for (const config::ModelPool& pool : configuration.pools) {
    pools.push_back({.pool = pool.name,
                     .model = pool.model,
                     .adapter = pool.adapter,
                     .version = pool.version,
                     .roles = {{.role = pool.role}}});
  }
  return pools;
}

// The whole live list, so that every router computes the same desired states.
std::vector<engines::LiveEngine> LiveEngines(const fleet::Membership& membership) {
  std::vector<engines::LiveEngine> live;
  for (const fleet::UpstreamMember& member : membership.upstreams) {
    if (member.kind == UpstreamKind::kModelEngine && member.listed && !member.leaving) {
      live.push_back({member.id, member.pool});
    }
  }
  return live;
}

std::uint32_t MemberCount(const fleet::Membership& membership) {
  return static_cast<std::uint32_t>(
      std::ranges::count_if(membership.routers, &fleet::RouterMember::member));
}

// Views of the engines of the own domain; this router can own no others.
std::vector<engines::EngineView> EngineViews(const RouterState& state, TimePoint now) {
  std::vector<engines::EngineView> views;
  for (engines::DesiredEngine& desired :
       engines::DesiredStates(PoolSpecs(*state.configuration), LiveEngines(state.membership))) {
    const auto found = state.upstreams.find(desired.id);
    if (found == state.upstreams.end()) {
      continue;
    }
    const DomainUpstreamRow& row = found->second;
    const auto expiry = ownership::LeaseExpiry(state.ownership, row.key, now);
    views.push_back({.desired = std::move(desired),
                     .lease = {.held = expiry.has_value(),
                               .sequence = state.engine_orders.lease_sequence,
                               .expires_at = expiry.value_or(now)},
                     .load = &row.load});
  }
  return views;
}

// An engine that loads other weights turns cold. Its reports say so only later, so
// its limit falls when the order goes out. A repeated order loads nothing again.
void HoldAtColdLimit(RouterState& state, const engines::EngineCommand& command) {
  const auto found = state.upstreams.find(command.engine);
  if (found == state.upstreams.end() || found->second.index == placement::kNoUpstream) {
    return;
  }
  DomainUpstreamRow& row = found->second;
  if (row.ordered_state == command.state) {
    return;
  }
  row.ordered_state = command.state;
  placement::ResetColdStart(state.placement.cold_start[row.index],
                            placement::ColdReason::kNewIncarnation);
}

}  // namespace

std::uint64_t HighestKnownVersion(const RouterState& state) {
  std::uint64_t highest =
      std::max(state.store.in_force.version, state.store.highest_announced.version);
  if (!state.store.pending_manifests.empty()) {
    highest = std::max(highest, state.store.pending_manifests.front().manifest.version);
  }
  return highest;
}

std::vector<engines::EngineCommand> TickEngineOrders(RouterState& state,
                                                     TimePoint now,
                                                     system_clock::time_point wall_time) {
  EngineOrders& orders = state.engine_orders;
  if (!state.configuration || state.draining || now < orders.next_tick) {
    return {};
  }
  orders.next_tick = now + kOrderPeriod;
  orders.lease_sequence = NextLeaseSequence(orders.lease_sequence, wall_time);
  std::erase_if(orders.table.engines,
                [&](const auto& entry) { return !state.upstreams.contains(entry.first); });
  const engines::CommandInputs inputs = {.config_version = state.configuration->version,
                                         .highest_known_version = HighestKnownVersion(state),
                                         .router_count = MemberCount(state.membership),
                                         .engines = EngineViews(state, now)};
  std::vector<engines::EngineCommand> commands = engines::PlanCommands(orders.table, inputs, now);
  for (const engines::EngineCommand& command : commands) {
    HoldAtColdLimit(state, command);
  }
  return commands;
}

bool MayWriteOrder(const RouterState& state, const engines::EngineCommand& command, TimePoint now) {
  const auto found = state.upstreams.find(command.engine);
  return found != state.upstreams.end() &&
         ownership::LeaseExpiry(state.ownership, found->second.key, now).has_value() &&
         engines::IsStillValid(command, HighestKnownVersion(state), now);
}

}  // namespace geraniumspread::router::detail
