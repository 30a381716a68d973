#ifndef OUTCOMES_UPSTREAM_REACHABILITY_H_
#define OUTCOMES_UPSTREAM_REACHABILITY_H_

#include <cstdint>
#include <optional>

#include "outcomes/exchange.h"

namespace geraniumspread::outcomes {

// Longest time without progress, per phase of an exchange.
struct ProgressPolicy {
  Duration connect = std::chrono::milliseconds(500);
  Duration write = std::chrono::seconds(2);
  // Includes queueing in the engine and the first token. An answer that is not streamed sends its
  // first byte after the whole run, so it needs its own policy.
  Duration first_byte = std::chrono::seconds(10);
  Duration between_bytes = std::chrono::seconds(3);
  // Wait before the first probe of a down upstream; doubles up to max_probe_delay.
  Duration probe_delay = std::chrono::milliseconds(500);
  Duration max_probe_delay = std::chrono::seconds(8);
  // Off only in tests: a lost or timed-out connection then marks the upstream down at once.
  bool try_fresh_connection = true;
};

// Progress of one exchange.
struct ProgressTimer {
  TimePoint last_progress;
  ExchangePhase phase = ExchangePhase::kNew;
};

// Call on every phase change and on every byte read or written.
void RecordProgress(ProgressTimer& timer, ExchangePhase phase, TimePoint now);
// Returns when the exchange times out without further progress, or TimePoint::max() in phases that
// have no timeout.
TimePoint TimeoutAt(const ProgressTimer& timer, const ProgressPolicy& policy);
bool HasTimedOut(const ProgressTimer& timer, const ProgressPolicy& policy, TimePoint now);

enum class Reachability : std::uint8_t { kUp, kChecking, kDown };

// Reachability of one upstream.
struct UpstreamReachability {
  ProgressPolicy policy;
  Reachability state = Reachability::kUp;
  // True while a fresh connection is being tried.
  bool fresh_connection_pending = false;
  std::uint32_t failed_probes = 0;
  TimePoint next_probe_at;
};

enum class ReachabilityAction : std::uint8_t {
  kNone,
  // Open a new connection and send a GET (or an idempotent request) on it. The idle connections of
  // the upstream must not be used for this, as they may not respond either.
  kTryFreshConnection,
  kMarkDown,
  kMarkUp,
};

// Call when an exchange with this upstream timed out or lost its connection.
ReachabilityAction OnConnectionLost(UpstreamReachability& reachability, TimePoint now);
// Call when the fresh connection received the first byte of an answer within its timeouts.
ReachabilityAction OnFreshConnectionAnswered(UpstreamReachability& reachability);
// Call when the fresh connection could not be opened or timed out.
ReachabilityAction OnFreshConnectionFailed(UpstreamReachability& reachability, TimePoint now);
// Returns kTryFreshConnection if the next probe of a down upstream is due.
ReachabilityAction PollProbe(UpstreamReachability& reachability, TimePoint now);

}  // namespace geraniumspread::outcomes

#endif  // OUTCOMES_UPSTREAM_REACHABILITY_H_
