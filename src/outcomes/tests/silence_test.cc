#include "outcomes/silence.h"

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
    NoteProgress(timer, phase, kStart);
    const TimePoint end = TimesOutAt(timer, policy);
    BOOST_TEST((end <= kStart + seconds(10)));
    BOOST_TEST(!IsSilent(timer, policy, end - milliseconds(1)));
    BOOST_TEST(IsSilent(timer, policy, end));
    NoteProgress(timer, phase, end - milliseconds(1));
    BOOST_TEST(!IsSilent(timer, policy, end));
  }
  NoteProgress(timer, ExchangePhase::kComplete, kStart);
  BOOST_TEST(!IsSilent(timer, policy, kStart + seconds(1'000)));
}

// Guards against an upstream that is taken out because old connections went silent while new ones
// work.
BOOST_AUTO_TEST_CASE(SilentConnectionAloneDoesNotMarkDown) {
  UpstreamReach reach;
  BOOST_TEST((OnConnectionLost(reach, kStart) == ReachAction::kTryFreshConnection));
  BOOST_TEST((OnConnectionLost(reach, kStart) == ReachAction::kNone));
  BOOST_TEST((OnFreshAnswered(reach) == ReachAction::kNone));
  BOOST_TEST((reach.state == Reachability::kUp));
  UpstreamReach hasty;
  hasty.policy.try_fresh_connection = false;
  BOOST_TEST((OnConnectionLost(hasty, kStart) == ReachAction::kMarkDown));
}

// Guards against a dead upstream that stays in use, and one that is never tried again.
BOOST_AUTO_TEST_CASE(FailedFreshConnectionMarksDownUntilAProbeAnswers) {
  UpstreamReach reach;
  OnConnectionLost(reach, kStart);
  BOOST_TEST((OnFreshFailed(reach, kStart) == ReachAction::kMarkDown));
  BOOST_TEST((OnFreshFailed(reach, kStart) == ReachAction::kNone));
  TimePoint now = kStart;
  Duration last_wait{0};
  for (int probe = 0; probe < 10; ++probe) {
    BOOST_TEST((TickReach(reach, now) == ReachAction::kNone));
    const Duration wait = reach.next_probe_at - now;
    BOOST_TEST((wait >= last_wait));
    BOOST_TEST((wait <= seconds(8)));
    last_wait = wait;
    now = reach.next_probe_at;
    BOOST_TEST((TickReach(reach, now) == ReachAction::kTryFreshConnection));
    BOOST_TEST((TickReach(reach, now) == ReachAction::kNone));
    BOOST_TEST((OnFreshFailed(reach, now) == ReachAction::kNone));
  }
  BOOST_TEST((OnFreshAnswered(reach) == ReachAction::kMarkUp));
  BOOST_TEST((reach.state == Reachability::kUp));
}

}  // namespace
}  // namespace geraniumspread::outcomes
