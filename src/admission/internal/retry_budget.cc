#include "admission/retry_budget.h"

#include <algorithm>

#include "common/hash.h"

namespace geraniumspread::admission {
namespace {

constexpr double kTokensPerRetry = 1.0;
// Keeps the shift defined. 2^16 times any base delay exceeds every useful limit.
constexpr std::uint32_t kMaxDoublings = 16;

// Full jitter: callers that failed together are spread over the whole interval.
Duration BackoffOf(const RetryPolicy& policy, const RetryInput& input) {
  const std::uint32_t doublings = std::min(input.attempts, kMaxDoublings);
  const Duration longest = std::min(policy.max_delay, policy.base_delay * (1U << doublings));
  const std::uint64_t draw =
      MixHash(MixHash(input.seed, input.request), std::uint64_t{input.attempts});
  return Duration(static_cast<Duration::rep>(
      draw % (static_cast<std::uint64_t>(std::max<Duration::rep>(0, longest.count())) + 1)));
}

bool IsRepeatable(const RetryInput& input) {
  return input.idempotent || input.ran == RunState::kNotRun;
}

}  // namespace

RetryBudget MakeRetryBudget(const RetryPolicy& policy) {
  return {.policy = policy, .tokens = std::min(policy.initial_tokens, policy.max_tokens)};
}

void RecordFirstAttempt(RetryBudget& budget) {
  budget.tokens = std::min(budget.policy.max_tokens, budget.tokens + budget.policy.ratio);
}

RetryDecision DecideRetry(RetryBudget& budget, const RetryInput& input, TimePoint now) {
  if (!IsRepeatable(input)) {
    return {.verdict = RetryVerdict::kNotRepeatable};
  }
  if (input.attempts >= budget.policy.max_attempts) {
    return {.verdict = RetryVerdict::kAttemptsUsed};
  }
  const Duration delay = BackoffOf(budget.policy, input);
  if (input.deadline != TimePoint::max() && now + delay + input.expected_run >= input.deadline) {
    return {.verdict = RetryVerdict::kDeadline};
  }
  if (budget.policy.enforce_budget) {
    if (budget.tokens < kTokensPerRetry) {
      return {.verdict = RetryVerdict::kBudgetEmpty};
    }
    budget.tokens -= kTokensPerRetry;
  }
  return {.verdict = RetryVerdict::kRetry, .delay = delay};
}

}  // namespace geraniumspread::admission
