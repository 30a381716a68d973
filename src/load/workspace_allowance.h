#ifndef LOAD_WORKSPACE_ALLOWANCE_H_
#define LOAD_WORKSPACE_ALLOWANCE_H_

#include <cstddef>

#include "common/runtime_clock.h"

namespace geraniumspread::load {

// The limits of one workspace as one router that serves all callers alone would keep them: a
// request that it would admit must not be refused by a fleet.
struct WorkspaceAllowance {
  double requests_per_second = 0;
  std::size_t max_concurrent = 0;
  // At most one second's worth of requests; full at the start.
  double tokens = 0;
  std::size_t open = 0;
  TimePoint refilled_at;
};

WorkspaceAllowance MakeWorkspaceAllowance(double requests_per_second,
                                          std::size_t max_concurrent,
                                          TimePoint now);

// Whether a request that starts now is within the limits. Only such a request uses a token.
bool StartWithin(WorkspaceAllowance& allowance, TimePoint now);
// Call for each request that was within the limits.
void EndWithin(WorkspaceAllowance& allowance);

}  // namespace geraniumspread::load

#endif  // LOAD_WORKSPACE_ALLOWANCE_H_
