#include "outcomes/exchange.h"

#include <boost/test/unit_test.hpp>
#include <vector>

namespace geraniumspread::outcomes {
namespace {

using enum ExchangeEvent;

const std::vector<ExchangeEvent> kHealthy = {kConnectStarted, kConnected,       kWriteStarted,
                                             kRequestSent,    kResponseStarted, kBodyComplete};

Exchange After(std::size_t steps, ExchangeEvent last, const ExchangePolicy& policy = {}) {
  Exchange exchange;
  for (std::size_t step = 0; step < steps; ++step) {
    Apply(exchange, kHealthy[step], policy);
  }
  Apply(exchange, last, policy);
  return exchange;
}

// Guards against "not run" after the first write, and "unknown" before it, at every point.
BOOST_AUTO_TEST_CASE(RunStateAtEveryPointOfFailure) {
  for (const ExchangeEvent fault : {kClosed, kTimedOut, kDamaged}) {
    for (std::size_t steps = 0; steps < kHealthy.size(); ++steps) {
      const Exchange exchange = After(steps, fault);
      const bool written = steps >= 3;
      BOOST_TEST(Ended(exchange));
      BOOST_TEST((exchange.ran == (written ? RunState::kUnknown : RunState::kNotRun)));
      BOOST_TEST((DecideNextStep(exchange, RequestClass::kNonRepeatable, 0) ==
                  (written ? NextStep::kFail : NextStep::kRetry)));
      BOOST_TEST((DecideNextStep(exchange, RequestClass::kIdempotent, 0) == NextStep::kRetry));
      BOOST_TEST((DecideNextStep(exchange, RequestClass::kStream, 3) == NextStep::kResume));
      const OutcomeError error =
          ErrorOf(exchange, RequestClass::kNonRepeatable, RunState::kNotRun, Duration{1});
      BOOST_TEST((error.ran == exchange.ran));
      BOOST_TEST(error.retry == !written);
    }
  }
  const Exchange unchecked = After(3, kClosed, {.track_writes = false});
  BOOST_TEST((unchecked.ran == RunState::kNotRun));
}

// Guards against a run state that ignores what the answer proves.
BOOST_AUTO_TEST_CASE(CompleteAnswersDecideTheRunState) {
  const Exchange ran = After(5, kBodyComplete);
  BOOST_TEST((ran.ran == RunState::kRan));
  BOOST_TEST((DecideNextStep(ran, RequestClass::kNonRepeatable, 0) == NextStep::kDeliver));
  const Exchange refused = After(5, kRefusedNotRun);
  BOOST_TEST((refused.ran == RunState::kNotRun));
  BOOST_TEST((DecideNextStep(refused, RequestClass::kNonRepeatable, 0) == NextStep::kRetry));
  const Exchange failed = After(5, kOutcomeNotKnown);
  BOOST_TEST((failed.ran == RunState::kUnknown));
  BOOST_TEST((DecideNextStep(failed, RequestClass::kNonRepeatable, 0) == NextStep::kDeliver));
  BOOST_TEST((DecideNextStep(failed, RequestClass::kIdempotent, 0) == NextStep::kRetry));
}

// Guards against "not run" when only the last of several attempts did not run.
BOOST_AUTO_TEST_CASE(ErrorCoversAllAttempts) {
  const Exchange unreachable = After(1, kClosed);
  const auto ran_after = [&](RunState earlier) {
    return ErrorOf(unreachable, RequestClass::kIdempotent, earlier, Duration{1}).ran;
  };
  BOOST_TEST((ran_after(RunState::kNotRun) == RunState::kNotRun));
  BOOST_TEST((ran_after(RunState::kUnknown) == RunState::kUnknown));
  BOOST_TEST((CombineRunStates(RunState::kRan, RunState::kNotRun) == RunState::kRan));
}

// Guards against bytes of an earlier answer that are taken for the answer of a new request.
BOOST_AUTO_TEST_CASE(AnswerBeforeTheRequestIsDamage) {
  Exchange exchange;
  BOOST_TEST(Apply(exchange, kConnected));
  BOOST_TEST(!Apply(exchange, kResponseStarted));
  BOOST_TEST((exchange.failure == ExchangeFailure::kDamaged));
  BOOST_TEST((exchange.ran == RunState::kNotRun));
}

}  // namespace
}  // namespace geraniumspread::outcomes
