#ifndef ROUTER_INTERNAL_STATE_SYNC_H_
#define ROUTER_INTERNAL_STATE_SYNC_H_

#include "router/router_state.h"

// Copies the configuration in force and the membership into the other modules.
namespace geraniumspread::router::detail {

// Does nothing while the configuration is the same.
void ApplyConfiguration(RouterState& state, TimePoint now);
// Whether the router may be the owner of an upstream of its domain. Routers of
// other domains send heartbeats to few random members, so their silence for a
// few seconds says nothing; the platform's list tells when they are gone.
bool MayOwn(const RouterState& state, const fleet::RouterMember& router, TimePoint now);
// Does nothing between two periods while the membership is the same.
void SyncMembership(RouterState& state, TimePoint now);

}  // namespace geraniumspread::router::detail

#endif  // ROUTER_INTERNAL_STATE_SYNC_H_
