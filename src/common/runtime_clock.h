#ifndef COMMON_RUNTIME_CLOCK_H_
#define COMMON_RUNTIME_CLOCK_H_

#include <chrono>

namespace geraniumspread {

// The process-wide monotonic clock of the runtime. It satisfies the standard
// Clock requirements, so Asio timers can run on it. Tests pause and advance it.
// Not thread-safe while paused: each process runs one event loop.
class RuntimeClock {
 public:
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<RuntimeClock, duration>;
  static constexpr bool is_steady = true;

  // Lower-case name required by the standard Clock requirements.
  static time_point now() noexcept;

  // Stops the clock at its current value.
  static void Pause();
  static bool IsPaused() noexcept;
  // Moves a paused clock forward. `step` must not be negative.
  static void Advance(duration step);
  // Lets the clock run on from the value at which it was paused.
  static void Resume();
};

using TimePoint = RuntimeClock::time_point;
using Duration = RuntimeClock::duration;

// Pauses the clock for the lifetime of the object.
class ScopedPausedClock {
 public:
  ScopedPausedClock() { RuntimeClock::Pause(); }
  ScopedPausedClock(const ScopedPausedClock&) = delete;
  ScopedPausedClock& operator=(const ScopedPausedClock&) = delete;
  ~ScopedPausedClock() { RuntimeClock::Resume(); }
};

}  // namespace geraniumspread

#endif  // COMMON_RUNTIME_CLOCK_H_
