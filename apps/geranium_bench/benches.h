#ifndef APPS_GERANIUM_BENCH_BENCHES_H_
#define APPS_GERANIUM_BENCH_BENCHES_H_

#include <cstdint>

#include "common/runtime_clock.h"
#include "fleet.h"
#include "table.h"

// The benchmarks. All but times and heap sizes are exact functions of the seed.
namespace geraniumspread::bench {

// Cache reuse, load skew and cold overshoot of all choosers under churn.
Table MeasureReuse(const FleetSpec& spec, Duration span, std::uint64_t seed);

// Chats that move when runners or a domain leave and join, over the minimum.
Table MeasureMovedChats(const FleetSpec& spec, std::uint64_t seed);

// Median and p99 of the decision time, and state memory, over fleet sizes.
Table MeasureDecisions(int decisions, std::uint64_t seed);

// Lease control bytes of a node at several fleet sizes.
Table MeasureLeaseBytes();

// Heap, tick and heartbeat times of one router over upstreams, routers and workspaces.
Table MeasureRouterState(std::uint64_t seed);

// Heap and times of the workspace limits, configuration store, tickets and membership alone.
Table MeasureTables(std::uint64_t seed);

// Load of a cold upstream under local bounds, credits and ownership.
Table MeasureColdLimitSchemes(std::uint64_t seed);

}  // namespace geraniumspread::bench

#endif  // APPS_GERANIUM_BENCH_BENCHES_H_
