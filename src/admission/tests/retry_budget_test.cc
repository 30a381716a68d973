#include "admission/retry_budget.h"

#include <boost/test/unit_test.hpp>
#include <set>

namespace geraniumspread::admission {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(1'000)};
constexpr std::uint64_t kSeed = 7;

RetryInput MakeInput(RequestHandle request) {
  return {.request = request, .idempotent = true, .seed = kSeed};
}

// Returns the number of retries permitted while all of `requests` first attempts fail.
int RetriesInOutage(bool enforce, int requests) {
  RetryBudget budget = MakeRetryBudget({.enforce_budget = enforce});
  int retries = 0;
  for (int request = 0; request < requests; ++request) {
    RecordFirstAttempt(budget);
    RetryInput input = MakeInput(static_cast<RequestHandle>(request));
    while (DecideRetry(budget, input, kStart).verdict == RetryVerdict::kRetry) {
      input.attempts += 1;
      retries += 1;
    }
  }
  return retries;
}

// Guards against retries that multiply the load on an overloaded or failing upstream.
BOOST_AUTO_TEST_CASE(OutageCausesAtMostATenthMoreLoad) {
  BOOST_TEST(RetriesInOutage(true, 1'000) <= 105);
  BOOST_TEST(RetriesInOutage(true, 1'000) >= 100);
  BOOST_TEST(RetriesInOutage(false, 1'000) == 2'000);
}

// Guards against a burst of saved retries when an upstream returns after a time of low traffic.
BOOST_AUTO_TEST_CASE(SavedRetriesAreBounded) {
  RetryBudget budget = MakeRetryBudget({});
  for (int request = 0; request < 100'000; ++request) {
    RecordFirstAttempt(budget);
  }
  int granted = 0;
  for (RequestHandle request = 0; request < 1'000; ++request) {
    granted += DecideRetry(budget, MakeInput(request), kStart).verdict == RetryVerdict::kRetry;
  }
  BOOST_TEST(granted == 20);
}

// Guards against synchronized retries.
BOOST_AUTO_TEST_CASE(DelaysAreJitteredAndGrow) {
  RetryBudget budget = MakeRetryBudget({.max_attempts = 12, .enforce_budget = false});
  std::set<Duration> delays;
  for (RequestHandle request = 0; request < 200; ++request) {
    const RetryDecision decision = DecideRetry(budget, MakeInput(request), kStart);
    BOOST_TEST((decision.delay <= milliseconds(50)));
    BOOST_TEST((decision.delay == DecideRetry(budget, MakeInput(request), kStart).delay));
    delays.insert(decision.delay);
  }
  BOOST_TEST(delays.size() > 190U);
  RetryInput late = MakeInput(1);
  late.attempts = 11;
  BOOST_TEST((DecideRetry(budget, late, kStart).delay <= seconds(2)));
}

// Guards against running work again that may have run and is not idempotent.
BOOST_AUTO_TEST_CASE(OnlyRepeatableWorkIsRetried) {
  RetryBudget budget = MakeRetryBudget({});
  RetryInput order = MakeInput(1);
  order.idempotent = false;
  BOOST_TEST((DecideRetry(budget, order, kStart).verdict == RetryVerdict::kNotRepeatable));
  order.ran = RunState::kNotRun;
  BOOST_TEST((DecideRetry(budget, order, kStart).verdict == RetryVerdict::kRetry));
}

// Guards against a retry whose response can't arrive before the deadline.
BOOST_AUTO_TEST_CASE(DeadlineStopsRetries) {
  RetryBudget budget = MakeRetryBudget({});
  RetryInput input = MakeInput(1);
  input.deadline = kStart + milliseconds(100);
  input.expected_run = milliseconds(100);
  const double tokens = budget.tokens;
  BOOST_TEST((DecideRetry(budget, input, kStart).verdict == RetryVerdict::kDeadline));
  BOOST_TEST(budget.tokens == tokens);
}

}  // namespace
}  // namespace geraniumspread::admission
