#ifndef DISPATCH_UPSTREAM_PACE_H_
#define DISPATCH_UPSTREAM_PACE_H_

#include "common/runtime_clock.h"

// Belief of how long work takes at an upstream now, as a factor of its usual time.
namespace geraniumspread::dispatch {

struct UpstreamPace {};

// Returns the factor that applies to work that starts now: 1 as usual, 2 for twice as long.
double ExpectedPace(const UpstreamPace& pace, TimePoint now);

}  // namespace geraniumspread::dispatch

#endif  // DISPATCH_UPSTREAM_PACE_H_
