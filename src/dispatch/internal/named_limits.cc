#include "dispatch/named_limits.h"

#include <algorithm>
#include <cmath>

#include "dispatch/internal/stated_rate.h"

namespace geraniumspread::dispatch {
namespace {

// A row takes up to 16 bytes.
constexpr std::size_t kMaxSentNews = 8;
// Without an answer for this long, the assumed limit doubles each time it passes: the upstream
// may have gone back to normal, and the instances without a share can't find out.
constexpr Duration kBeliefLifetime = std::chrono::seconds(10);
// The least limit from which the assumed limit grows.
constexpr double kMinGrowingRate = 0.25;

double AssumedRate(const StatedRate& limit, TimePoint now) {
  const double lifetimes = std::chrono::duration<double>(now - limit.heard_at) /
                           std::chrono::duration<double>(kBeliefLifetime);
  const double rate = limit.per_second.value_or(0);
  return lifetimes < 1 ? rate : std::max(rate, kMinGrowingRate) * std::exp2(lifetimes - 1);
}

StatedRate& RateOf(Upstream& upstream) {
  return upstream.limit.requests;
}

}  // namespace

bool RecordNamedLimit(Upstream& upstream,
                      std::optional<double> requests_per_second,
                      TimePoint sent_at,
                      TimePoint now) {
  return detail::RecordStatedRate(upstream.limit.requests, requests_per_second, sent_at, now);
}

void RecordLimitedSend(Upstream& upstream, TimePoint now) {
  CountWithin(upstream.limit.sends, kLimitWindow, now);
  upstream.limit.sends.times.push_back(now);
}

bool IsWithinNamedLimit(Upstream& upstream,
                        std::size_t instances,
                        std::size_t own_rank,
                        TimePoint now) {
  NamedLimit& limit = upstream.limit;
  if (!limit.requests.per_second) {
    return true;
  }
  constexpr double kMaxInWindow = 1e6;
  const double seconds = std::chrono::duration<double>(kLimitWindow).count();
  const auto total =
      static_cast<std::size_t>(std::min(AssumedRate(limit.requests, now) * seconds, kMaxInWindow));
  const std::size_t sharers = std::max<std::size_t>(instances, 1);
  std::size_t share = total / sharers + (own_rank < total % sharers ? 1 : 0);
  // One instance always keeps asking, so that the end of the limit is noticed.
  if (own_rank == 0) {
    share = std::max<std::size_t>(share, 1);
  }
  return CountWithin(limit.sends, kLimitWindow, now) < share;
}

std::optional<TimePoint> EarliestLimitedSend(const UpstreamTable& table, std::string_view service) {
  const auto rows = table.by_service.find(std::string(service));
  std::optional<TimePoint> first;
  if (rows == table.by_service.end()) {
    return first;
  }
  for (const UpstreamRow& row : rows->second) {
    if (!TakesNewWork(table, *row)) {
      continue;
    }
    if (!row->limit.requests.per_second) {
      return std::nullopt;
    }
    if (!row->limit.sends.times.empty()) {
      const TimePoint frees_at = row->limit.sends.times.front() + kLimitWindow;
      first = std::min(first.value_or(frees_at), frees_at);
    }
  }
  return first;
}

std::vector<LimitNews> TakeLimitNews(UpstreamTable& table, TimePoint now) {
  std::vector<LimitNews> news;
  for (const Upstream* upstream : detail::TakeDueRates(table, RateOf, kMaxSentNews)) {
    const StatedRate& limit = upstream->limit.requests;
    news.push_back({DigestKey(*upstream), limit.per_second, now - limit.heard_at});
  }
  return news;
}

std::vector<UpstreamRow> MergeLimitNews(UpstreamTable& table,
                                        std::span<const LimitNews> news,
                                        TimePoint now) {
  std::vector<UpstreamRow> changed;
  for (const LimitNews& received : news) {
    const auto row = table.by_key.find(received.upstream_key);
    const TimePoint heard_at = now - received.age;
    if (row == table.by_key.end() || heard_at <= row->second->limit.requests.heard_at) {
      continue;
    }
    if (detail::SetStatedRate(row->second->limit.requests, received.requests_per_second,
                              heard_at)) {
      changed.push_back(row->second);
    }
  }
  return changed;
}

}  // namespace geraniumspread::dispatch
