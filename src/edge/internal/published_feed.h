#ifndef EDGE_INTERNAL_PUBLISHED_FEED_H_
#define EDGE_INTERNAL_PUBLISHED_FEED_H_

#include <vector>

#include "dispatch/store_restore.h"
#include "edge/internal/edge_state.h"

namespace geraniumspread::edge::detail {

// Applies new published items to the configuration, the upstreams and the failure domains
// in service.
void ApplyPublished(EdgeState& edge, const std::vector<dispatch::PublishedItem>& changes);
// Replaces all published items and applies the changes. Logs a restore of the store.
void ReplacePublished(EdgeState& edge,
                      std::vector<dispatch::PublishedItem> items,
                      dispatch::StorePosition position);
// Applies lost changes that a peer retains and this instance lacks.
void MergeRetained(EdgeState& edge, std::vector<dispatch::RetainedCopy> copies);
// Ends retentions whose time is over.
void EndRetentions(EdgeState& edge);
// Removes upstreams whose delayed removal is due.
void ExpireHeldRemovals(EdgeState& edge);

}  // namespace geraniumspread::edge::detail

#endif  // EDGE_INTERNAL_PUBLISHED_FEED_H_
