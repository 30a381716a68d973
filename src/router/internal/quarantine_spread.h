#ifndef ROUTER_INTERNAL_QUARANTINE_SPREAD_H_
#define ROUTER_INTERNAL_QUARANTINE_SPREAD_H_

#include "router/router_state.h"

// Counts upstream deaths against the requests in flight, and shares the counts with peers.
namespace geraniumspread::router::detail {

// Takes over what a peer has counted.
void MergeQuarantine(RouterState& state, const fleet::ReceivedMessage& received, TimePoint now);
// The upstream of the row has died or restarted.
void NoteDeath(RouterState& state, DomainUpstreamRow& row, TimePoint now);

}  // namespace geraniumspread::router::detail

#endif  // ROUTER_INTERNAL_QUARANTINE_SPREAD_H_
