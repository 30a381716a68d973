#ifndef DISPATCH_PREFILL_CONTENTION_H_
#define DISPATCH_PREFILL_CONTENTION_H_

#include <cstdint>

#include "common/runtime_clock.h"

// Costs of prefill that short and long prompts share. An engine prefills in the order of admission,
// so that one long prompt delays the first output of all that follow, and the next events of those
// that run.
namespace geraniumspread::dispatch {

struct ContentionGoals {
  // Latency goal of the request, and the tightest one of its service. 0 if unset.
  Duration own{0};
  Duration tightest{0};
};

// What is expected at an engine if the request goes there, at the engine's current pace.
struct ExpectedPrefill {
  // Of the prompts that wait there, and of the request.
  double waiting_ms = 0;
  double own_ms = 0;
  std::uint32_t running = 0;
};

// In milliseconds.
struct ContentionCosts {
  // A long prompt delays the requests that run there.
  double delays_others = 0;
  // The prompts that wait there use up much of the request's own goal.
  double goal_at_stake = 0;
  // A long prompt queues behind another one.
  double long_queue = 0;
};

// True if prefill of this duration uses up a large part of the tightest goal.
bool IsLongPrefill(double prefill_ms, const ContentionGoals& goals);

// Returns the tokens that the home of a prompt probably has to prefill: those of its own part, and
// a share of the shared parts that this instance hasn't sent there, since other instances may not
// have sent them either.
std::uint32_t ExpectedUncachedAtHome(const ContentionGoals& goals,
                                     std::uint32_t own_tokens,
                                     std::uint32_t unsent_shared_tokens);

// All are 0 for a service without goals.
ContentionCosts ContentionCostsMs(const ContentionGoals& goals, const ExpectedPrefill& expected);

}  // namespace geraniumspread::dispatch

#endif  // DISPATCH_PREFILL_CONTENTION_H_
