#ifndef DISPATCH_SEND_LIMITS_H_
#define DISPATCH_SEND_LIMITS_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>

#include "common/runtime_clock.h"

// Fleet-wide rate limits without a coordinator. Each instance keeps to its own share,
// and the shares never add up to more than the limit, however the instances are
// partitioned.
namespace geraniumspread::dispatch {

// Number of instances among which a limit is divided. A silent instance may still
// work on the other side of a partition, so it keeps counting until it is removed
// from the peer table (`PeerSettings::peer_retention`).
struct InstanceCount {
  // Minimum that is assumed, because a new process knows no peers yet.
  std::size_t floor = 8;
  std::size_t known = 1;
};
std::size_t AssumedInstances(const InstanceCount& count);

// Times of the events within a sliding window.
struct SlidingCount {
  std::deque<TimePoint> times;
};
std::size_t CountWithin(SlidingCount& count, Duration window, TimePoint now);

struct ColdLimitSettings {
  // Requests per second to one cold upstream, summed over all instances.
  double factor = 1.0;
  double slack = 0;
  // Fraction of the limit that is used. The remainder covers requests that are
  // delayed in transit and arrive together.
  double margin = 0.8;
};

// True if this instance may send one more request to a cold upstream now. If there
// are more instances than requests per second, only the first instances in the
// rendezvous order of the upstream may send.
bool IsWithinColdLimit(const ColdLimitSettings& settings,
                       double upstream_rate,
                       std::size_t instances,
                       std::size_t own_rank,
                       SlidingCount& sent,
                       TimePoint now);

struct RetryBudgetSettings {
  // Retries per first request in the window, over all instances.
  double ratio = 0.2;
  // Additional retries per window, over all instances.
  double slack = 0;
  Duration window = std::chrono::seconds(10);
  double margin = 0.8;
};

struct ServiceRetries {
  SlidingCount first_sends;
  SlidingCount retries;
};

struct RetryBudgetShare {
  RetryBudgetSettings settings;
  std::unordered_map<std::string, ServiceRetries> services;
};

void RecordFirstSend(RetryBudgetShare& share, std::string_view service, TimePoint now);
// Consumes one retry from this instance's share. Returns false if the share is
// exhausted.
bool TryTakeRetry(RetryBudgetShare& share,
                  std::string_view service,
                  std::size_t instances,
                  TimePoint now);

}  // namespace geraniumspread::dispatch

#endif  // DISPATCH_SEND_LIMITS_H_
