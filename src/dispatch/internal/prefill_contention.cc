#include "dispatch/prefill_contention.h"

#include <algorithm>

namespace geraniumspread::dispatch {
namespace {

// Eight such prompts ahead of a request use up its goal.
constexpr double kLongShare = 1.0 / 8;
// The other half of a goal is for prompts that other instances sent and that aren't known yet.
constexpr double kSafeShare = 0.5;
// Cost of a response that comes a whole latency goal late; as much as a failed attempt.
constexpr double kLateMs = 1500;
// Prefill is interleaved with the steps of the running requests: a prompt delays each of them by a
// part of its own time only.
constexpr double kDelayedShare = 0.1;
// Of the subjects that this instance hasn't sent to their home. Without it, a new subject counted
// as its own tokens there, and the home as nearly idle while it prefilled 8,620 tokens.
constexpr double kHomeMissShare = 0.3;

double Milliseconds(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

bool HasGoals(const ContentionGoals& goals) {
  return goals.own > Duration{0} && goals.tightest > Duration{0};
}

}  // namespace

bool IsLongPrefill(double prefill_ms, const ContentionGoals& goals) {
  return HasGoals(goals) && prefill_ms > kLongShare * Milliseconds(goals.tightest);
}

ContentionCosts ContentionCostsMs(const ContentionGoals& goals, const ExpectedPrefill& expected) {
  ContentionCosts costs;
  if (!HasGoals(goals)) {
    return costs;
  }
  const double goal_ms = Milliseconds(goals.own);
  const double used = (expected.waiting_ms + expected.own_ms) / goal_ms;
  const bool is_behind_long = IsLongPrefill(expected.waiting_ms, goals);
  if (is_behind_long) {
    costs.goal_at_stake = std::max(0.0, used - kSafeShare) * kLateMs;
  }
  if (IsLongPrefill(expected.own_ms, goals)) {
    costs.delays_others = kDelayedShare * expected.own_ms * expected.running;
    costs.long_queue = is_behind_long && expected.own_ms < goal_ms ? expected.own_ms : 0;
  }
  return costs;
}

std::uint32_t ExpectedUncachedAtHome(const ContentionGoals& goals,
                                     std::uint32_t own_tokens,
                                     std::uint32_t unsent_shared_tokens) {
  return own_tokens +
         (HasGoals(goals) ? static_cast<std::uint32_t>(kHomeMissShare * unsent_shared_tokens) : 0);
}

}  // namespace geraniumspread::dispatch
