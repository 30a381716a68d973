#ifndef ADMISSION_RETRY_BUDGET_H_
#define ADMISSION_RETRY_BUDGET_H_

#include <cstdint>

#include "admission/admission_types.h"

namespace geraniumspread::admission {

struct RetryPolicy {
  // Tokens that each first attempt adds; a retry takes one token.
  double ratio = 0.1;
  // Maximum number of saved tokens. Bounds the burst of retries when an upstream or a failure
  // domain returns.
  double max_tokens = 20;
  // Tokens at the start, so that a router with little traffic can retry.
  double initial_tokens = 5;
  // Maximum number of attempts per request, the first included.
  std::uint32_t max_attempts = 3;
  // The delay before retry n is drawn from [0, min(max_delay, base_delay * 2^n)].
  Duration base_delay = std::chrono::milliseconds(25);
  Duration max_delay = std::chrono::seconds(2);
  bool enforce_budget = true;
};

// Token bucket of retries; one per router and pool.
struct RetryBudget {
  RetryPolicy policy;
  double tokens = 0;
};

struct RetryInput {
  RequestHandle request = 0;
  // Attempts made so far.
  std::uint32_t attempts = 1;
  bool idempotent = false;
  RunState ran = RunState::kUnknown;
  TimePoint deadline = TimePoint::max();
  // Minimum time until a response can be expected.
  Duration expected_run{0};
  // Seed of the jitter. The same seed, request and attempt give the same delay.
  std::uint64_t seed = 0;
};

enum class RetryVerdict : std::uint8_t {
  kRetry,
  kNotRepeatable,
  kAttemptsUsed,
  kDeadline,
  kBudgetEmpty,
};

struct RetryDecision {
  RetryVerdict verdict = RetryVerdict::kNotRepeatable;
  // Wait before the retry. Zero unless `verdict` is kRetry.
  Duration delay{0};
};

RetryBudget MakeRetryBudget(const RetryPolicy& policy);
// Records a first attempt, which adds to the budget.
void RecordFirstAttempt(RetryBudget& budget);
// Decides whether to retry, and takes a token if so. A request that is not idempotent is retried
// only if it is known not to have run.
RetryDecision DecideRetry(RetryBudget& budget, const RetryInput& input, TimePoint now);

}  // namespace geraniumspread::admission

#endif  // ADMISSION_RETRY_BUDGET_H_
