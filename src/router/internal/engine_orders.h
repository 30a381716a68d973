#ifndef ROUTER_INTERNAL_ENGINE_ORDERS_H_
#define ROUTER_INTERNAL_ENGINE_ORDERS_H_

#include <chrono>
#include <cstdint>
#include <vector>

#include "router/router_state.h"

// Orders to the engines of the own failure domain, made from the state of the
// router. Part of the deterministic core.
namespace geraniumspread::router::detail {

// Orders to send now. Works once a second and returns nothing in between, while
// the router drains, and before a configuration is in force.
std::vector<engines::EngineCommand> TickEngineOrders(
    RouterState& state,
    TimePoint now,
    std::chrono::system_clock::time_point wall_time);

// The highest configuration version that this router has heard of, in force or not.
std::uint64_t HighestKnownVersion(const RouterState& state);

// Whether the order may be written to the engine now. Also checks the lease
// itself: a hand-over may have ended it before the time in the command.
bool MayWriteOrder(const RouterState& state, const engines::EngineCommand& command, TimePoint now);

}  // namespace geraniumspread::router::detail

#endif  // ROUTER_INTERNAL_ENGINE_ORDERS_H_
