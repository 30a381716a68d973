#include "dispatch/upstream_news.h"

#include <algorithm>

namespace geraniumspread::dispatch {
namespace {

// A row takes up to 21 bytes.
constexpr std::size_t kMaxSentNews = 32;
// Older observations are of no use: an upstream may have been replaced since.
constexpr Duration kMaxNewsAge = std::chrono::seconds(1);
// A sign is told in this many messages: one may be lost, and in a large fleet each goes to few.
constexpr std::uint32_t kSignSends = 4;
// A refused connect shows an ended process, unlike one that timed out. The avoidance outlasts the
// time in which peers are told; of 64 instances that learn of it, 300 ms spare few a connect.
constexpr Duration kRefusedBackoff = std::chrono::seconds(2);
// The same observation, told again, seems to differ by the delay of its datagram.
constexpr Duration kSameObservation = std::chrono::milliseconds(100);

bool IsSignDue(const Upstream& upstream, TimePoint now) {
  const TimePoint observed_at = upstream.ended.own.observed_at;
  return upstream.ended.sends_left > 0 && observed_at + kMaxNewsAge >= now &&
         observed_at > upstream.health.succeeded_at;
}

void AvoidRefusing(UpstreamHealth& health, TimePoint observed_at) {
  health.avoid_until = std::max(health.avoid_until, observed_at + kRefusedBackoff);
}

bool IsDue(const Upstream& upstream, TimePoint now) {
  return IsSignDue(upstream, now) || HasPaceToTell(upstream.pace, now);
}

TimePoint NewestOwn(const Upstream& upstream) {
  return std::max(
      {upstream.ended.own.observed_at, upstream.pace.own.at, upstream.pace.own_measured.at});
}

// Returns true if the sign is new.
bool MergeSign(Upstream& upstream, Duration age, bool is_replaced, TimePoint now) {
  const TimePoint observed_at = now - age;
  EndedProcessSign& known = upstream.ended.newest;
  const bool is_stronger = is_replaced && !known.is_replaced;
  const bool is_newer = observed_at > known.observed_at + kSameObservation;
  if (age > kMaxNewsAge || observed_at <= upstream.health.succeeded_at ||
      (!is_newer && !is_stronger)) {
    return false;
  }
  const TimePoint avoid_until = upstream.health.avoid_until;
  if (is_replaced) {
    RecordReplacement(upstream.health, observed_at);
  } else {
    RecordConnectFailure(upstream.health, observed_at);
    AvoidRefusing(upstream.health, observed_at);
  }
  upstream.health.avoid_until = std::max(upstream.health.avoid_until, avoid_until);
  known = {std::max(known.observed_at, observed_at), is_replaced};
  return true;
}

UpstreamNews MakeNews(Upstream& upstream, TimePoint now) {
  UpstreamNews news;
  news.upstream_key = DigestKey(upstream);
  news.process = ProcessKey(upstream);
  if (IsSignDue(upstream, now)) {
    news.ended_age = now - upstream.ended.own.observed_at;
    news.is_replaced = upstream.ended.own.is_replaced;
    --upstream.ended.sends_left;
  }
  if (const auto pace = TakePaceToTell(upstream.pace, now); pace) {
    news.pace = pace->factor;
    news.pace_age = now - pace->at;
    news.is_measured = pace->is_measured;
  }
  return news;
}

}  // namespace

std::uint32_t ProcessKey(const Upstream& upstream) {
  return static_cast<std::uint32_t>(upstream.listing.started_at_ms);
}

void RecordEndedProcess(Upstream& upstream, EndedProcess sign, TimePoint now) {
  const EndedProcessSign own{now, sign == EndedProcess::kReplaced};
  upstream.ended = {own, own, kSignSends};
  if (sign == EndedProcess::kRefusesConnects) {
    AvoidRefusing(upstream.health, now);
  }
}

std::vector<UpstreamNews> TakeUpstreamNews(UpstreamTable& table, PathState path, TimePoint now) {
  if (path != PathState::kReached) {
    return {};
  }
  std::vector<Upstream*> due;
  for (const auto& [id, row] : table.rows) {
    if (IsDue(*row, now)) {
      due.push_back(row.get());
    }
  }
  std::ranges::sort(due, std::ranges::greater(),
                    [](const Upstream* upstream) { return NewestOwn(*upstream); });
  due.resize(std::min(due.size(), kMaxSentNews));
  std::vector<UpstreamNews> news;
  news.reserve(due.size());
  for (Upstream* upstream : due) {
    news.push_back(MakeNews(*upstream, now));
  }
  return news;
}

std::vector<UpstreamRow> MergeUpstreamNews(UpstreamTable& table,
                                           std::span<const UpstreamNews> news,
                                           TimePoint now) {
  std::vector<UpstreamRow> avoided;
  for (const UpstreamNews& received : news) {
    const auto row = table.by_key.find(received.upstream_key);
    if (row == table.by_key.end() || ProcessKey(*row->second) != received.process) {
      continue;
    }
    Upstream& upstream = *row->second;
    if (received.pace && received.pace_age <= kMaxNewsAge) {
      const TimePoint at = now - received.pace_age;
      received.is_measured ? RecordPeerRatio(upstream.pace, *received.pace, at)
                           : RecordStatedPace(upstream.pace, *received.pace, at);
    }
    const bool was_avoided = now < upstream.health.avoid_until;
    if (received.ended_age && MergeSign(upstream, *received.ended_age, received.is_replaced, now) &&
        !was_avoided && now < upstream.health.avoid_until) {
      avoided.push_back(row->second);
    }
  }
  return avoided;
}

}  // namespace geraniumspread::dispatch
