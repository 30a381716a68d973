#ifndef APPS_GERANIUM_BENCH_FLEET_H_
#define APPS_GERANIUM_BENCH_FLEET_H_

#include <cstdint>
#include <string>
#include <vector>

#include "lru_cache.h"
#include "placement/placement.h"

namespace geraniumspread::bench {

// Size of a deployment.
struct FleetSpec {
  std::string name;
  int routers = 8;
  int runners = 12;
  int domains = 3;
  int pools = 1;
  int workspaces = 10;
};

FleetSpec Crestline();
FleetSpec PecanBend();
FleetSpec DesignSize();
// The design size with another number of runners.
FleetSpec DesignSizeWith(int runners);

// Requests in flight at most, per runner: 1.6 M tokens/s over 2,900 runners at
// 70 ms a token are 39 streams each, and the engines have some room above that.
inline constexpr std::int32_t kRunnerCapacity = 64;
inline constexpr std::int32_t kColdLimit = 2;
// Chats in the prefix cache of one runner.
inline constexpr std::size_t kCacheChats = 200;

// What really happens at one runner, for every way of placing.
struct ModelRunner {
  int domain = 0;
  int pool = 0;
  bool usable = true;
  std::int32_t in_flight = 0;
  LruCache cache;
  // True state of the cold start; fed by successes whoever placed them.
  placement::ColdStartState cold_start;
  std::uint64_t incarnation = 1;
};

struct ModelFleet {
  FleetSpec spec;
  std::vector<ModelRunner> runners;
  std::vector<std::vector<std::uint32_t>> of_pool;  // usable runners by pool
};

ModelFleet MakeModelFleet(const FleetSpec& spec);
// Adds a runner that is cold, and returns its index.
std::uint32_t AddRunner(ModelFleet& fleet, int domain, int pool, TimePoint now);
void StartCold(ModelRunner& runner, TimePoint now);
void MakeWarm(placement::ColdStartState& state);
void ListUsable(ModelFleet& fleet);

// A placement state that owns every runner of the fleet, all warm. The index of
// a runner is the same in both.
placement::PlacementState MakeWarmPlacement(const FleetSpec& spec,
                                            const placement::PlacementSettings& settings,
                                            TimePoint now);
placement::UpstreamIndex AddToPlacement(placement::PlacementState& state,
                                        std::uint32_t runner,
                                        int domain,
                                        int pool);
placement::ColdStartReport ReportOf(std::uint64_t incarnation, std::uint64_t sequence);

}  // namespace geraniumspread::bench

#endif  // APPS_GERANIUM_BENCH_FLEET_H_
