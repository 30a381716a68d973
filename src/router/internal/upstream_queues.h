#ifndef ROUTER_INTERNAL_UPSTREAM_QUEUES_H_
#define ROUTER_INTERNAL_UPSTREAM_QUEUES_H_

#include "router/router_state.h"

// The queues of the upstreams that this router owns.
namespace geraniumspread::router::detail {

// Hands free slots of one upstream to waiting requests. Without a lease they are
// refused, so that the entry router places them at the new owner.
void PumpQueue(RouterState& state, DomainUpstreamRow& row, TickOutput& output, TimePoint now);
// Ends queued requests whose time is up, and pumps all queues.
void TickQueues(RouterState& state, TickOutput& output, TimePoint now);

}  // namespace geraniumspread::router::detail

#endif  // ROUTER_INTERNAL_UPSTREAM_QUEUES_H_
