#include "dispatch/send_limits.h"

#include <algorithm>
#include <cmath>

namespace geraniumspread::dispatch {
namespace {

constexpr Duration kColdWindow = std::chrono::seconds(1);

}  // namespace

std::size_t AssumedInstances(const InstanceCount& count) {
  return std::max(count.floor, count.known);
}

std::size_t CountWithin(SlidingCount& count, Duration window, TimePoint now) {
  while (!count.times.empty() && count.times.front() + window <= now) {
    count.times.pop_front();
  }
  return count.times.size();
}

bool IsWithinColdLimit(const ColdLimitSettings& settings,
                       double upstream_rate,
                       std::size_t instances,
                       std::size_t own_rank,
                       SlidingCount& sent,
                       TimePoint now) {
  const double total =
      std::floor((upstream_rate * settings.factor + settings.slack) * settings.margin);
  const double share = std::floor(total / static_cast<double>(std::max<std::size_t>(instances, 1)));
  const bool fewer_units_than_instances = share < 1;
  if (fewer_units_than_instances && static_cast<double>(own_rank) >= total) {
    return false;
  }
  const auto allowed = static_cast<std::size_t>(fewer_units_than_instances ? 1 : share);
  return CountWithin(sent, kColdWindow, now) < allowed;
}

void RecordFirstSend(RetryBudgetShare& share, std::string_view service, TimePoint now) {
  ServiceRetries& retries = share.services[std::string(service)];
  CountWithin(retries.first_sends, share.settings.window, now);
  retries.first_sends.times.push_back(now);
}

bool TryTakeRetry(RetryBudgetShare& share,
                  std::string_view service,
                  std::size_t instances,
                  TimePoint now) {
  ServiceRetries& retries = share.services[std::string(service)];
  const auto first =
      static_cast<double>(CountWithin(retries.first_sends, share.settings.window, now));
  const auto used = static_cast<double>(CountWithin(retries.retries, share.settings.window, now));
  const double allowed =
      share.settings.margin *
      (share.settings.ratio * first +
       share.settings.slack / static_cast<double>(std::max<std::size_t>(instances, 1)));
  if (used + 1 > allowed) {
    return false;
  }
  retries.retries.times.push_back(now);
  return true;
}

}  // namespace geraniumspread::dispatch
