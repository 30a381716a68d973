#include "outcomes/upstream_reachability.h"

#include <boost/test/unit_test.hpp>

namespace geraniumspread::outcomes {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(1'000)};

// Guards against a connection that stays silent for ever in some phase.
BOOST_AUTO_TEST_CASE(EveryWaitingPhaseTimesOut) {
  const ProgressPolicy policy;
  ProgressTimer timer;
  for (const ExchangePhase phase : {ExchangePhase::kConnecting, ExchangePhase::kWriting,
                                    ExchangePhase::kSent, ExchangePhase::kResponding}) {
    RecordProgress(timer, phase, kStart);
    const TimePoint end = TimeoutAt(timer, policy);
    BOOST_TEST((end <= kStart + seconds(10)));
    BOOST_TEST(!HasTimedOut(timer, policy, end - milliseconds(1)));
    BOOST_TEST(HasTimedOut(timer, policy, end));
    RecordProgress(timer, phase, end - milliseconds(1));
    BOOST_TEST(!HasTimedOut(timer, policy, end));
  }
  RecordProgress(timer, ExchangePhase::kComplete, kStart);
  BOOST_TEST(!HasTimedOut(timer, policy, kStart + seconds(1'000)));
}

// Guards against an upstream that is taken out because old connections went silent while new ones
// work.
BOOST_AUTO_TEST_CASE(SilentConnectionAloneDoesNotMarkDown) {
  UpstreamReachability reachability;
  BOOST_TEST((OnConnectionLost(reachability, kStart) == ReachabilityAction::kTryFreshConnection));
  BOOST_TEST((OnConnectionLost(reachability, kStart) == ReachabilityAction::kNone));
  BOOST_TEST((OnFreshConnectionAnswered(reachability) == ReachabilityAction::kNone));
  BOOST_TEST((reachability.state == Reachability::kUp));
  UpstreamReachability hasty;
  hasty.policy.try_fresh_connection = false;
  BOOST_TEST((OnConnectionLost(hasty, kStart) == ReachabilityAction::kMarkDown));
}

// Guards against a dead upstream that stays in use, and one that is never tried again.
BOOST_AUTO_TEST_CASE(FailedFreshConnectionMarksDownUntilAProbeAnswers) {
  UpstreamReachability reachability;
  OnConnectionLost(reachability, kStart);
  BOOST_TEST((OnFreshConnectionFailed(reachability, kStart) == ReachabilityAction::kMarkDown));
  BOOST_TEST((OnFreshConnectionFailed(reachability, kStart) == ReachabilityAction::kNone));
  TimePoint now = kStart;
  Duration last_wait{0};
  for (int probe = 0; probe < 10; ++probe) {
    BOOST_TEST((PollProbe(reachability, now) == ReachabilityAction::kNone));
    const Duration wait = reachability.next_probe_at - now;
    BOOST_TEST((wait >= last_wait));
    BOOST_TEST((wait <= seconds(8)));
    last_wait = wait;
    now = reachability.next_probe_at;
    BOOST_TEST((PollProbe(reachability, now) == ReachabilityAction::kTryFreshConnection));
    BOOST_TEST((PollProbe(reachability, now) == ReachabilityAction::kNone));
    BOOST_TEST((OnFreshConnectionFailed(reachability, now) == ReachabilityAction::kNone));
  }
  BOOST_TEST((OnFreshConnectionAnswered(reachability) == ReachabilityAction::kMarkUp));
  BOOST_TEST((reachability.state == Reachability::kUp));
}

}  // namespace
}  // namespace geraniumspread::outcomes
