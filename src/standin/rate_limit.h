#ifndef STANDIN_RATE_LIMIT_H_
#define STANDIN_RATE_LIMIT_H_

#include <array>
#include <cstddef>

#include "common/runtime_clock.h"

namespace geraniumspread::standin {

// Counts the calls of the last second in steps. The steps cover a little more
// than a second, so that no second has more calls than the limit.
struct RateLimit {
  static constexpr std::size_t kSteps = 11;
  static constexpr Duration kStepTime = std::chrono::milliseconds(100);

  int calls_per_second = 0;
  std::array<int, kSteps> calls{};
  TimePoint step_start;
  std::size_t step = 0;
};

// Counts a call and returns true, or returns false when the calls of the last
// second and the `waiting` watches have used up the rate. Refused calls don't count.
bool TryCall(RateLimit& limit, int waiting, TimePoint now);

}  // namespace geraniumspread::standin

#endif  // STANDIN_RATE_LIMIT_H_
