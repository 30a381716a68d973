#include "standin/rate_limit.h"

#include <chrono>
#include <numeric>

namespace geraniumspread::standin {
namespace {

void DropOldCalls(RateLimit& limit, TimePoint now) {
  const auto steps = (now - limit.step_start) / RateLimit::kStepTime;
  if (steps >= static_cast<std::int64_t>(RateLimit::kSteps)) {
    limit.calls.fill(0);
    limit.step_start = now;
    return;
  }
  for (std::int64_t index = 0; index < steps; ++index) {
    limit.step = (limit.step + 1) % RateLimit::kSteps;
    limit.calls.at(limit.step) = 0;
    limit.step_start += RateLimit::kStepTime;
  }
}

}  // namespace

bool TryCall(RateLimit& limit, int waiting, TimePoint now) {
  DropOldCalls(limit, now);
  const int recent = std::accumulate(limit.calls.begin(), limit.calls.end(), 0);
  if (recent + waiting >= limit.calls_per_second) {
    return false;
  }
  ++limit.calls.at(limit.step);
  return true;
}

}  // namespace geraniumspread::standin
