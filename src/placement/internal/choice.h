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

// Parameters of the load check. `multiple` is the load bound; `spill` is true if the
// upstream is outside the request's home domain.
struct LoadCheck {
  PriorityClass priority = PriorityClass::kDraft;
  double multiple = 1.0;
  bool spill = false;
  TimePoint now;
};
Verdict CheckLoad(const PlacementState& state, UpstreamIndex upstream, const LoadCheck& check);

// Returns the load bound that applies to the request, as a multiple of the mean load.
double MultipleFor(const PlacementState& state, PoolIndex pool, bool has_history);

}  // namespace geraniumspread::placement::detail

#endif  // PLACEMENT_INTERNAL_CHOICE_H_
