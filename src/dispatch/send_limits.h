#ifndef DISPATCH_SEND_LIMITS_H_
#define DISPATCH_SEND_LIMITS_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>

#include "common/runtime_clock.h"

// Limits that are sums over all instances, held without a coordinator: each
// instance keeps to a share that can't add up to more than the limit, however
// the instances are cut off from each other.
namespace geraniumspread::dispatch {

// How many instances there may be. An instance that is no longer heard may still
// work behind a cut, so the count falls only after `kInstanceMemory`.
struct InstanceCount {
  // Until peers are heard, as many are assumed.
  std::size_t floor = 8;
  std::size_t known = 1;
};
std::size_t AssumedInstances(const InstanceCount& count);

// Events within a sliding window of time.
struct SlidingCount {
  std::deque<TimePoint> times;
};
std::size_t CountWithin(SlidingCount& count, Duration window, TimePoint now);

struct ColdLimitSettings {
  // Requests a second to one cold upstream, over all instances.
  double factor = 1.0;
  double slack = 0;
  // Part of the limit that is used. The rest covers requests that wait on the
  // way and arrive together.
  double margin = 0.8;
};

// Whether this instance may send one more request to a cold upstream now. With
// more instances than the limit has units, only the first in the rendezvous
// order of the upstream may send.
bool IsWithinColdLimit(const ColdLimitSettings& settings,
                       double upstream_rate,
                       std::size_t instances,
                       std::size_t own_rank,
                       SlidingCount& sent,
                       TimePoint now);

struct RetryBudgetSettings {
  // Retries for each first request in the window, over all instances.
  double ratio = 0.2;
  // Retries in the window on top, over all instances.
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
// Takes one retry from this instance's share. False when the share is used up.
bool TryTakeRetry(RetryBudgetShare& share,
                  std::string_view service,
                  std::size_t instances,
                  TimePoint now);

}  // namespace geraniumspread::dispatch

#endif  // DISPATCH_SEND_LIMITS_H_
