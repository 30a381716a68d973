#ifndef EDGE_INTERNAL_PUBLISHED_FEED_H_
#define EDGE_INTERNAL_PUBLISHED_FEED_H_

#include <vector>

#include "edge/internal/edge_state.h"

namespace geraniumspread::edge::detail {

// Applies new published items to the configuration, the upstreams and the failure domains
// in service.
void ApplyPublished(EdgeState& edge, const std::vector<dispatch::PublishedItem>& changes);
// Replaces all published items and applies the changes. Logs a restore of the store.
void ReplacePublished(EdgeState& edge,
                      std::vector<dispatch::PublishedItem> items,
                      dispatch::StorePosition position);
// Removes upstreams whose delayed removal is due.
void ExpireHeldRemovals(EdgeState& edge);

}  // namespace geraniumspread::edge::detail

#endif  // EDGE_INTERNAL_PUBLISHED_FEED_H_
