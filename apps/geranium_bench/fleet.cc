#include "fleet.h"

namespace geraniumspread::bench {
namespace {

using placement::ColdStartState;
using placement::PlacementState;

std::string Numbered(const char* prefix, std::uint64_t number) {
  return prefix + std::to_string(number);
}

}  // namespace

FleetSpec Crestline() {
  return {.name = "Crestline", .routers = 8, .runners = 12, .domains = 3};
}

FleetSpec PecanBend() {
  return {.name = "Pecan Bend", .routers = 8, .runners = 20, .domains = 3};
}

FleetSpec DesignSizeWith(int runners) {
  return {.name = "design size",
          .routers = 410,
          .runners = runners,
          .domains = 8,
          .pools = 14,
          .workspaces = 23000};
}

FleetSpec DesignSize() {
  return DesignSizeWith(2900);
}

placement::ColdStartReport ReportOf(std::uint64_t incarnation, std::uint64_t sequence) {
  return {.incarnation = incarnation,
          .sequence = sequence,
          .capacity = kRunnerCapacity,
          .cold_limit = kColdLimit};
}

void MakeWarm(ColdStartState& state) {
  while (state.cold) {
    placement::RecordSuccess(state, placement::ColdStartPolicy{}, state.epoch);
  }
}

void StartCold(ModelRunner& runner, TimePoint now) {
  ++runner.incarnation;
  placement::ApplyReport(runner.cold_start, placement::ColdStartSettings{},
                         ReportOf(runner.incarnation, 1), now);
}

ModelFleet MakeModelFleet(const FleetSpec& spec) {
  ModelFleet fleet;
  fleet.spec = spec;
  for (int runner = 0; runner < spec.runners; ++runner) {
    // Pools cycle through domains, so that each pool is in each domain.
    const std::uint32_t added =
        AddRunner(fleet, (runner / spec.pools) % spec.domains, runner % spec.pools, TimePoint{});
    MakeWarm(fleet.runners[added].cold_start);
  }
  ListUsable(fleet);
  return fleet;
}

std::uint32_t AddRunner(ModelFleet& fleet, int domain, int pool, TimePoint now) {
  ModelRunner& runner = fleet.runners.emplace_back();
  runner.domain = domain;
  runner.pool = pool;
  runner.cache.capacity = kCacheChats;
  runner.incarnation = 0;
  StartCold(runner, now);
  return static_cast<std::uint32_t>(fleet.runners.size() - 1);
}

void ListUsable(ModelFleet& fleet) {
  fleet.of_pool.assign(static_cast<std::size_t>(fleet.spec.pools), {});
  for (std::uint32_t index = 0; index < fleet.runners.size(); ++index) {
    if (const ModelRunner& runner = fleet.runners[index]; runner.usable) {
      fleet.of_pool[static_cast<std::size_t>(runner.pool)].push_back(index);
    }
  }
}

placement::UpstreamIndex AddToPlacement(PlacementState& state,
                                        std::uint32_t runner,
                                        int domain,
                                        int pool) {
  const std::string name = Numbered("runner-", runner);
  const std::string pool_name = Numbered("pool-", static_cast<std::uint64_t>(pool));
  const std::string domain_name = Numbered("zone-", static_cast<std::uint64_t>(domain));
  const auto upstream = placement::UpsertUpstream(
      state, {.name = name, .pool = pool_name, .domain = domain_name, .capacity = kRunnerCapacity});
  placement::SetOwned(state, upstream, true);
  return upstream;
}

PlacementState MakeWarmPlacement(const FleetSpec& spec,
                                 const placement::PlacementSettings& settings,
                                 TimePoint now) {
  PlacementState state = placement::MakePlacementState(settings, now);
  for (int runner = 0; runner < spec.runners; ++runner) {
    const auto upstream = AddToPlacement(state, static_cast<std::uint32_t>(runner),
                                         (runner / spec.pools) % spec.domains, runner % spec.pools);
    placement::RecordReport(state, upstream, ReportOf(1, 1), now);
    MakeWarm(state.cold_start[upstream]);
  }
  placement::TickPlacement(state, now);
  return state;
}

}  // namespace geraniumspread::bench
