#ifndef PLACEMENT_INTERNAL_CHOICE_H_
#define PLACEMENT_INTERNAL_CHOICE_H_

#include "placement/placement.h"

namespace geraniumspread::placement::detail {

// The load bound or the cold limit of an upstream, and which of them it is.
struct EffectiveLimit {
  std::int32_t limit = 0;
  bool cold = false;
};
EffectiveLimit LimitOf(const PlacementState& state, UpstreamIndex upstream, double multiple);

// What the load check needs to know of a request. `multiple` is that of the load
// bound; `spill` says that the upstream is outside the request's home domain.
struct LoadCheck {
  PriorityClass priority = PriorityClass::kDraft;
  double multiple = 1.0;
  bool spill = false;
  TimePoint now;
};
Verdict CheckLoad(const PlacementState& state, UpstreamIndex upstream, const LoadCheck& check);

// The multiple of the load bound that holds for the request.
double MultipleFor(const PlacementState& state, PoolIndex pool, bool has_history);

}  // namespace geraniumspread::placement::detail

#endif  // PLACEMENT_INTERNAL_CHOICE_H_
