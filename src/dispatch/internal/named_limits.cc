#include "dispatch/named_limits.h"

#include <algorithm>
#include <cmath>

namespace geraniumspread::dispatch {
namespace {

// A change goes into two messages, so that a lost datagram doesn't delay it.
constexpr std::uint32_t kSendsAfterChange = 2;
// An unchanged limit is told again when the last answer that peers know of is this old.
constexpr Duration kRefreshInterval = std::chrono::seconds(2);
// A row takes up to 16 bytes.
constexpr std::size_t kMaxSentNews = 8;
// Without an answer for this long, the assumed limit doubles each time it passes: the upstream
// may have gone back to normal, and the instances without a share can't find out.
constexpr Duration kBeliefLifetime = std::chrono::seconds(10);
// The least limit from which the assumed limit grows.
constexpr double kMinGrowingRate = 0.25;

double AssumedRate(const NamedLimit& limit, TimePoint now) {
  const double lifetimes = std::chrono::duration<double>(now - limit.heard_at) /
                           std::chrono::duration<double>(kBeliefLifetime);
  const double rate = limit.requests_per_second.value_or(0);
  return lifetimes < 1 ? rate : std::max(rate, kMinGrowingRate) * std::exp2(lifetimes - 1);
}

void Update(NamedLimit& limit, std::optional<double> requests_per_second, TimePoint heard_at) {
  const bool is_change = limit.requests_per_second != requests_per_second;
  limit.requests_per_second = requests_per_second;
  limit.heard_at = heard_at;
  if (is_change) {
    limit.sends_left = kSendsAfterChange;
    limit.told_at = heard_at;
  } else if (requests_per_second && limit.told_at + kRefreshInterval <= heard_at) {
    limit.sends_left = std::max(limit.sends_left, 1U);
    limit.told_at = heard_at;
  }
}

}  // namespace

bool RecordNamedLimit(Upstream& upstream,
                      std::optional<double> requests_per_second,
                      TimePoint sent_at,
                      TimePoint now) {
  NamedLimit& limit = upstream.limit;
  const auto before = limit.requests_per_second;
  if (requests_per_second || (before && sent_at >= limit.heard_at)) {
    Update(limit, requests_per_second, now);
  }
  return limit.requests_per_second != before;
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
  if (!limit.requests_per_second) {
    return true;
  }
  constexpr double kMaxInWindow = 1e6;
  const double seconds = std::chrono::duration<double>(kLimitWindow).count();
  const auto total =
      static_cast<std::size_t>(std::min(AssumedRate(limit, now) * seconds, kMaxInWindow));
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
    if (!row->limit.requests_per_second) {
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
  std::vector<Upstream*> due;
  for (auto& [id, row] : table.rows) {
    if (row->limit.sends_left > 0) {
      due.push_back(row.get());
    }
  }
  std::ranges::sort(due, std::ranges::greater(),
                    [](const Upstream* upstream) { return upstream->limit.heard_at; });
  due.resize(std::min(due.size(), kMaxSentNews));
  std::vector<LimitNews> news;
  for (Upstream* upstream : due) {
    NamedLimit& limit = upstream->limit;
    --limit.sends_left;
    news.push_back({DigestKey(*upstream), limit.requests_per_second, now - limit.heard_at});
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
    if (row == table.by_key.end() || heard_at <= row->second->limit.heard_at) {
      continue;
    }
    NamedLimit& limit = row->second->limit;
    const auto before = limit.requests_per_second;
    Update(limit, received.requests_per_second, heard_at);
    if (limit.requests_per_second != before) {
      changed.push_back(row->second);
    }
  }
  return changed;
}

}  // namespace geraniumspread::dispatch
