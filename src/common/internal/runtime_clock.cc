#include "common/runtime_clock.h"

#include <optional>

namespace geraniumspread {
namespace {

struct ClockState {
  std::optional<RuntimeClock::time_point> paused_at;
  // Added to the steady clock once a paused clock has resumed.
  RuntimeClock::duration offset{0};
};

ClockState& State() {
  static ClockState state;
  return state;
}

RuntimeClock::time_point SteadyNow() {
  return RuntimeClock::time_point(std::chrono::duration_cast<RuntimeClock::duration>(
      std::chrono::steady_clock::now().time_since_epoch()));
}

}  // namespace

RuntimeClock::time_point RuntimeClock::now() noexcept {
  const ClockState& state = State();
  return state.paused_at ? *state.paused_at : SteadyNow() + state.offset;
}

void RuntimeClock::Pause() {
  State().paused_at = now();
}

bool RuntimeClock::IsPaused() noexcept {
  return State().paused_at.has_value();
}

void RuntimeClock::Advance(duration step) {
  if (ClockState& state = State(); state.paused_at) {
    *state.paused_at += step;
  }
}

void RuntimeClock::Resume() {
  ClockState& state = State();
  if (!state.paused_at) {
    return;
  }
  state.offset = *state.paused_at - SteadyNow();
  state.paused_at.reset();
}

}  // namespace geraniumspread
