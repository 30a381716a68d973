#ifndef ROUTER_INTERNAL_UPSTREAM_REPORTS_H_
#define ROUTER_INTERNAL_UPSTREAM_REPORTS_H_

#include "router/router_state.h"

// What the upstreams report of their load, and what this router publishes of it.
namespace geraniumspread::router::detail {

// Takes over the sums of peers, and sets those that the next heartbeats carry.
void PublishLoad(RouterState& state);
// Asks for the load reports that are due.
void RequestReports(RouterState& state, TickOutput& output, TimePoint now);

}  // namespace geraniumspread::router::detail

#endif  // ROUTER_INTERNAL_UPSTREAM_REPORTS_H_
