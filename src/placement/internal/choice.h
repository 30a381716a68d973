#ifndef PLACEMENT_INTERNAL_CHOICE_H_
#define PLACEMENT_INTERNAL_CHOICE_H_

#include "placement/placement.h"

namespace geraniumspread::placement::detail {

// The load bound or the cold limit of an upstream, and which of them it is.
struct EffectiveLimit {
  std::int32_t limit = 0;
  bool cold = false;
};
EffectiveLimit LimitOf(const PlacementState& state, UpstreamIndex upstream);

// Compares one usable upstream with a request. `spill` says that the upstream
// is outside the request's home domain.
Verdict CheckLoad(const PlacementState& state,
                  UpstreamIndex upstream,
                  PriorityClass priority,
                  bool spill,
                  TimePoint now);

}  // namespace geraniumspread::placement::detail

#endif  // PLACEMENT_INTERNAL_CHOICE_H_
