#include "load/workspace_allowance.h"

#include <algorithm>
#include <chrono>

namespace geraniumspread::load {
namespace {

// The sheet's limit allows one second's worth at once, and one request at least.
double BurstOf(double requests_per_second) {
  return std::max(requests_per_second, 1.0);
}

}  // namespace

WorkspaceAllowance MakeWorkspaceAllowance(double requests_per_second,
                                          std::size_t max_concurrent,
                                          TimePoint now) {
  return {.requests_per_second = requests_per_second,
          .max_concurrent = max_concurrent,
          .tokens = BurstOf(requests_per_second),
          .refilled_at = now};
}

bool StartWithin(WorkspaceAllowance& allowance, TimePoint now) {
  const std::chrono::duration<double> since = now - allowance.refilled_at;
  allowance.refilled_at = now;
  allowance.tokens = std::min(allowance.tokens + since.count() * allowance.requests_per_second,
                              BurstOf(allowance.requests_per_second));
  if (allowance.tokens < 1 || allowance.open >= allowance.max_concurrent) {
    return false;
  }
  allowance.tokens -= 1;
  ++allowance.open;
  return true;
}

void EndWithin(WorkspaceAllowance& allowance) {
  --allowance.open;
}

}  // namespace geraniumspread::load
