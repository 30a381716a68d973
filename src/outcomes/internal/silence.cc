#include "outcomes/silence.h"

#include <algorithm>

namespace geraniumspread::outcomes {
namespace {

// Keeps the shift of the probe delay defined.
constexpr std::uint32_t kMaxDoublings = 16;

std::optional<Duration> TimeoutOf(const ProgressPolicy& policy, ExchangePhase phase) {
  switch (phase) {
    case ExchangePhase::kConnecting:
      return policy.connect;
    case ExchangePhase::kWriting:
      return policy.write;
    case ExchangePhase::kSent:
      return policy.first_byte;
    case ExchangePhase::kResponding:
      return policy.between_bytes;
    default:
      return std::nullopt;
  }
}

ReachAction MarkDown(UpstreamReach& reach, TimePoint now) {
  reach.state = Reachability::kDown;
  reach.failed_probes = 0;
  reach.next_probe_at = now + reach.policy.probe_delay;
  return ReachAction::kMarkDown;
}

}  // namespace

void NoteProgress(ProgressTimer& timer, ExchangePhase phase, TimePoint now) {
  timer.phase = phase;
  timer.last_progress = now;
}

TimePoint TimesOutAt(const ProgressTimer& timer, const ProgressPolicy& policy) {
  const std::optional<Duration> timeout = TimeoutOf(policy, timer.phase);
  return timeout ? timer.last_progress + *timeout : TimePoint::max();
}

bool IsSilent(const ProgressTimer& timer, const ProgressPolicy& policy, TimePoint now) {
  return now >= TimesOutAt(timer, policy);
}

ReachAction OnConnectionLost(UpstreamReach& reach, TimePoint now) {
  if (reach.state != Reachability::kUp) {
    return ReachAction::kNone;
  }
  if (!reach.policy.try_fresh_connection) {
    return MarkDown(reach, now);
  }
  reach.state = Reachability::kChecking;
  reach.fresh_pending = true;
  return ReachAction::kTryFreshConnection;
}

ReachAction OnFreshAnswered(UpstreamReach& reach) {
  const bool was_down = reach.state == Reachability::kDown;
  reach.state = Reachability::kUp;
  reach.fresh_pending = false;
  reach.failed_probes = 0;
  return was_down ? ReachAction::kMarkUp : ReachAction::kNone;
}

ReachAction OnFreshFailed(UpstreamReach& reach, TimePoint now) {
  if (!reach.fresh_pending) {
    return ReachAction::kNone;
  }
  reach.fresh_pending = false;
  if (reach.state == Reachability::kChecking) {
    return MarkDown(reach, now);
  }
  reach.failed_probes = std::min(reach.failed_probes + 1, kMaxDoublings);
  reach.next_probe_at = now + std::min(reach.policy.max_probe_delay,
                                       reach.policy.probe_delay * (1U << reach.failed_probes));
  return ReachAction::kNone;
}

ReachAction TickReach(UpstreamReach& reach, TimePoint now) {
  if (reach.state != Reachability::kDown || reach.fresh_pending || now < reach.next_probe_at) {
    return ReachAction::kNone;
  }
  reach.fresh_pending = true;
  return ReachAction::kTryFreshConnection;
}

}  // namespace geraniumspread::outcomes
