#include "outcomes/upstream_reachability.h"

#include <algorithm>

namespace geraniumspread::outcomes {
namespace {

// Keeps the shift in the probe backoff below the width of its type.
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

ReachabilityAction MarkDown(UpstreamReachability& reachability, TimePoint now) {
  reachability.state = Reachability::kDown;
  reachability.failed_probes = 0;
  reachability.next_probe_at = now + reachability.policy.probe_delay;
  return ReachabilityAction::kMarkDown;
}

}  // namespace

void RecordProgress(ProgressTimer& timer, ExchangePhase phase, TimePoint now) {
  timer.phase = phase;
  timer.last_progress = now;
}

TimePoint TimeoutAt(const ProgressTimer& timer, const ProgressPolicy& policy) {
  const std::optional<Duration> timeout = TimeoutOf(policy, timer.phase);
  return timeout ? timer.last_progress + *timeout : TimePoint::max();
}

bool HasTimedOut(const ProgressTimer& timer, const ProgressPolicy& policy, TimePoint now) {
  return now >= TimeoutAt(timer, policy);
}

ReachabilityAction OnConnectionLost(UpstreamReachability& reachability, TimePoint now) {
  if (reachability.state != Reachability::kUp) {
    return ReachabilityAction::kNone;
  }
  if (!reachability.policy.try_fresh_connection) {
    return MarkDown(reachability, now);
  }
  reachability.state = Reachability::kChecking;
  reachability.fresh_connection_pending = true;
  return ReachabilityAction::kTryFreshConnection;
}

ReachabilityAction OnFreshConnectionAnswered(UpstreamReachability& reachability) {
  const bool was_down = reachability.state == Reachability::kDown;
  reachability.state = Reachability::kUp;
  reachability.fresh_connection_pending = false;
  reachability.failed_probes = 0;
  return was_down ? ReachabilityAction::kMarkUp : ReachabilityAction::kNone;
}

ReachabilityAction OnFreshConnectionFailed(UpstreamReachability& reachability, TimePoint now) {
  if (!reachability.fresh_connection_pending) {
    return ReachabilityAction::kNone;
  }
  reachability.fresh_connection_pending = false;
  if (reachability.state == Reachability::kChecking) {
    return MarkDown(reachability, now);
  }
  reachability.failed_probes = std::min(reachability.failed_probes + 1, kMaxDoublings);
  reachability.next_probe_at =
      now + std::min(reachability.policy.max_probe_delay,
                     reachability.policy.probe_delay * (1U << reachability.failed_probes));
  return ReachabilityAction::kNone;
}

ReachabilityAction PollProbe(UpstreamReachability& reachability, TimePoint now) {
  if (reachability.state != Reachability::kDown || reachability.fresh_connection_pending ||
      now < reachability.next_probe_at) {
    return ReachabilityAction::kNone;
  }
  reachability.fresh_connection_pending = true;
  return ReachabilityAction::kTryFreshConnection;
}

}  // namespace geraniumspread::outcomes
