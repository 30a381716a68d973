#include "dispatch/brittle_upstreams.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <string>
#include <utility>

#include "common/hash.h"
#include "dispatch/internal/stated_rate.h"

namespace geraniumspread::dispatch {
namespace {

// A row takes up to 30 bytes, and a datagram holds 1400.
constexpr std::size_t kMaxSentNews = 40;
constexpr Duration kRejectionNewsLifetime = std::chrono::seconds(2);
// Up to this many instances are one group for all upstreams.
constexpr std::size_t kMaxWholeGroup = 12;
// Larger groups make better use of few slots, at the price of more messages. In a larger fleet
// each instance sends to about `kUpstreamsPerInstance` brittle upstreams of a service, or to more
// if groups of `kMinGroup` allow it.
constexpr std::size_t kMinGroup = 8;
constexpr std::size_t kUpstreamsPerInstance = 2;
// Loads of a group are told when they changed, and otherwise at this interval.
constexpr Duration kGroupRefresh = std::chrono::milliseconds(500);
// Older loads of other instances are ignored.
constexpr Duration kGroupLoadLifetime = std::chrono::seconds(2);
// Slots that stay free beyond the shares: one in this many, since requests of the last moment
// aren't known yet. Where no loads are told within the group, these are seconds old.
constexpr std::size_t kExchangedReservedPart = 24;
constexpr std::size_t kReservedPart = 4;
// An instance sends at most one loan to an upstream in each such time.
constexpr Duration kLoanInterval = std::chrono::milliseconds(50);
// After a known rejection nothing is sent to the upstream for this time, divided by the square of
// the rejections per second that the upstream survives: a slot of a share is taken by another
// instance, and repeated rejections would add up.
constexpr double kRejectionHoldSeconds = 1.6;
constexpr Duration kMinRejectionHold = std::chrono::milliseconds(50);
constexpr Duration kMaxRejectionHold = std::chrono::seconds(1);
// After a known rejection no loans are taken for this time, divided likewise.
constexpr double kLoanPauseSeconds = 6;
// Without a rejection the rate of loans doubles in this time, divided by the rejections per
// second; a rejection divides it.
constexpr double kLoanDoublingSeconds = 3;
constexpr double kLoanRateDivisor = 4;
// Below this limit, loans leave one slot free: two rejections within a second are too many.
constexpr double kReserveBelow = 2;
// The least limit that times are derived from.
constexpr double kMinLimit = 0.25;

Duration DividedBySquare(double seconds, double limit) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds / (limit * limit)));
}

// Returns the rate of loans over all instances. A new belief begins with as many as the upstream
// survives rejections.
double LoanRate(const BrittleState& brittle, double limit, TimePoint now) {
  const double start = std::max(brittle.loan_rate, limit);
  if (brittle.rated_at == TimePoint{}) {
    return start;
  }
  constexpr double kMaxDoublings = 20;
  const double seconds = std::chrono::duration<double>(now - brittle.rated_at).count();
  return start * std::exp2(std::min(seconds * limit / kLoanDoublingSeconds, kMaxDoublings));
}

void RecordRejectionAt(BrittleState& brittle, TimePoint rejected_at, TimePoint now) {
  constexpr double kMaxRate = 1000;
  const double limit = std::max(brittle.rejections.per_second.value_or(1), kMinLimit);
  brittle.loan_rate = std::min(LoanRate(brittle, limit, now), kMaxRate) / kLoanRateDivisor;
  brittle.rated_at = now;
  brittle.rejected_at = rejected_at;
  brittle.rejections.sends_left = detail::kSendsAfterChange;
}

StatedRate& RateOf(Upstream& upstream) {
  return upstream.brittle.rejections;
}

void ResetLoans(BrittleState& brittle) {
  brittle.loan_rate = 0;
  brittle.rated_at = brittle.rejections.heard_at;
}

// True in randomly chosen intervals, in a number that gives this instance its part of `rate`.
bool IsLoanInterval(const Upstream& upstream, const BrittleSend& send, double rate, TimePoint now) {
  const auto interval = static_cast<std::uint64_t>(now.time_since_epoch() / kLoanInterval);
  if (upstream.brittle.sent_at >= TimePoint(kLoanInterval * interval)) {
    return false;
  }
  const double part = rate * std::chrono::duration<double>(kLoanInterval).count() /
                      static_cast<double>(std::max<std::size_t>(send.group.size, 1));
  const std::uint64_t draw = MixHash(MixHash(send.own_hash, upstream.id_hash), interval);
  return static_cast<double>(draw >> 11U) < part * 0x1p53;
}

BrittleNews NewsOf(const Upstream& upstream, TimePoint now) {
  const BrittleState& brittle = upstream.brittle;
  BrittleNews news;
  news.upstream_key = DigestKey(upstream);
  news.rejections_per_second = brittle.rejections.per_second;
  if (brittle.rejections.heard_at != TimePoint{}) {
    news.age = now - brittle.rejections.heard_at;
  }
  if (brittle.rejected_at + kRejectionNewsLifetime >= now) {
    news.rejection_age = now - brittle.rejected_at;
  }
  return news;
}

// Returns the addresses of the group of the upstream without this instance, if it is a member.
std::vector<std::string> OtherMembers(const Upstream& upstream,
                                      const BrittleGroup& group,
                                      const PeerTable& peers) {
  const std::uint64_t own = MixHash(StableHash(peers.self_address), upstream.id_hash);
  std::vector<std::pair<std::uint64_t, const std::string*>> scores;
  scores.reserve(peers.peers.size());
  for (const auto& [address, peer] : peers.peers) {
    scores.emplace_back(MixHash(peer.address_hash, upstream.id_hash), &address);
  }
  std::ranges::sort(scores, std::ranges::greater());
  std::vector<std::string> members;
  const auto rank = static_cast<std::size_t>(
      std::ranges::count_if(scores, [own](const auto& score) { return score.first > own; }));
  if (rank >= group.size) {
    return members;
  }
  scores.resize(std::min(scores.size(), group.size - 1));
  for (const auto& [score, address] : scores) {
    members.push_back(*address);
  }
  return members;
}

// True if the group of the upstream should be told this instance's load.
bool IsLoadDue(const Upstream& upstream, TimePoint now) {
  const BrittleState& brittle = upstream.brittle;
  return brittle.told_running != upstream.running ||
         (upstream.running > 0 && brittle.running_told_at + kGroupRefresh <= now) ||
         brittle.rejected_at > brittle.running_told_at;
}

// Returns the requests of all instances at the upstream.
std::size_t GroupRunning(const Upstream& upstream, TimePoint now) {
  std::size_t running = upstream.running;
  for (const auto& [instance, load] : upstream.brittle.group_loads) {
    running += load.at + kGroupLoadLifetime >= now ? load.running : 0;
  }
  return running;
}

// Returns the slots of the upstream that no instance is known to use.
std::size_t FreeSlots(const Upstream& upstream, const BrittleSend& send, TimePoint now) {
  const std::size_t slots = upstream.listing.slots;
  const std::size_t used = send.group.exchanges_loads ? GroupRunning(upstream, now) : send.running;
  return slots - std::min(slots, used);
}

// Returns the slots that loans leave free.
std::size_t ReservedSlots(const Upstream& upstream, const BrittleSend& send) {
  const std::size_t part = send.group.exchanges_loads ? kExchangedReservedPart : kReservedPart;
  const std::size_t least = send.rejections_per_second < kReserveBelow ? 1 : 0;
  return std::max(upstream.listing.slots / part, least);
}

}  // namespace

bool RecordBrittle(Upstream& upstream,
                   std::optional<double> rejections_per_second,
                   TimePoint sent_at,
                   TimePoint now) {
  BrittleState& brittle = upstream.brittle;
  brittle.has_answered = true;
  const bool is_change =
      detail::RecordStatedRate(brittle.rejections, rejections_per_second, sent_at, now);
  if (is_change) {
    ResetLoans(brittle);
  }
  return is_change;
}

void RecordBrittleRejection(Upstream& upstream, TimePoint now) {
  RecordRejectionAt(upstream.brittle, now, now);
}

void RecordBrittleSend(Upstream& upstream, TimePoint now) {
  upstream.brittle.sent_at = now;
}

bool HasBrittle(const UpstreamTable& table) {
  return std::ranges::any_of(table.rows, [](const auto& entry) {
    return entry.second->brittle.rejections.per_second.has_value();
  });
}

BrittleGroup GroupOf(std::uint32_t slots, std::size_t instances, std::size_t upstreams) {
  BrittleGroup group;
  group.size = instances;
  if (instances <= kMaxWholeGroup) {
    return group;
  }
  if (slots >= instances) {
    group.exchanges_loads = false;
    return group;
  }
  const std::size_t needed =
      (kUpstreamsPerInstance * instances + upstreams - 1) / std::max<std::size_t>(upstreams, 1);
  group.size = std::min(instances, std::max(kMinGroup, needed));
  return group;
}

std::optional<double> LowestBrittle(std::span<const UpstreamRow> service) {
  std::optional<double> lowest;
  for (const UpstreamRow& row : service) {
    if (const auto& limit = row->brittle.rejections.per_second; limit) {
      lowest = std::min(lowest.value_or(*limit), *limit);
    }
  }
  return lowest;
}

std::optional<double> RejectionLimit(const Upstream& upstream, std::optional<double> lowest) {
  const BrittleState& brittle = upstream.brittle;
  return brittle.has_answered ? brittle.rejections.per_second : lowest;
}

bool AdmitsBrittleSend(const Upstream& upstream, const BrittleSend& send, TimePoint now) {
  const BrittleState& brittle = upstream.brittle;
  const std::size_t size = std::max<std::size_t>(send.group.size, 1);
  const double limit = std::max(send.rejections_per_second, kMinLimit);
  const Duration hold = std::clamp(DividedBySquare(kRejectionHoldSeconds, limit), kMinRejectionHold,
                                   kMaxRejectionHold);
  if (send.own_rank >= size || now < brittle.rejected_at + hold) {
    return false;
  }
  const std::size_t slots = std::max<std::uint32_t>(upstream.listing.slots, 1);
  const std::size_t share = slots / size + (send.own_rank < slots % size ? 1 : 0);
  const std::size_t free = FreeSlots(upstream, send, now);
  if (upstream.running < share && (!send.group.exchanges_loads || free > 0)) {
    return true;
  }
  const Duration pause = DividedBySquare(kLoanPauseSeconds, limit);
  if (send.is_retry || free <= ReservedSlots(upstream, send) || now < brittle.rejected_at + pause) {
    return false;
  }
  double rate = LoanRate(brittle, limit, now);
  if (!send.group.exchanges_loads) {
    rate = std::min(rate, static_cast<double>(slots) / static_cast<double>(kReservedPart));
  }
  return IsLoanInterval(upstream, send, rate, now);
}

std::vector<BrittleNews> TakeBrittleNews(UpstreamTable& table, TimePoint now) {
  std::vector<BrittleNews> news;
  for (const Upstream* upstream : detail::TakeDueRates(table, RateOf, kMaxSentNews)) {
    news.push_back(NewsOf(*upstream, now));
  }
  return news;
}

GroupNews TakeGroupNews(UpstreamTable& table, const PeerTable& peers, TimePoint now) {
  GroupNews result;
  std::set<std::string> addresses;
  for (const auto& [service, rows] : table.by_service) {
    const auto lowest = LowestBrittle(rows);
    for (const UpstreamRow& row : rows) {
      const BrittleGroup group = GroupOf(row->listing.slots, KnownInstances(peers), rows.size());
      if (!RejectionLimit(*row, lowest) || !group.exchanges_loads || !IsLoadDue(*row, now) ||
          result.news.size() >= kMaxSentNews) {
        continue;
      }
      std::vector<std::string> members = OtherMembers(*row, group, peers);
      row->brittle.told_running = row->running;
      row->brittle.running_told_at = now;
      addresses.insert(members.begin(), members.end());
      result.news.push_back(NewsOf(*row, now));
      result.news.back().running = row->running;
    }
  }
  result.addresses.assign(addresses.begin(), addresses.end());
  return result;
}

std::vector<UpstreamRow> MergeBrittleNews(UpstreamTable& table,
                                          std::span<const BrittleNews> news,
                                          std::string_view sender,
                                          TimePoint now) {
  std::vector<UpstreamRow> changed;
  const std::uint64_t sender_hash = StableHash(sender);
  // Ages are sent in milliseconds, so one rejection seems to lie at slightly different times.
  constexpr Duration kSameRejection = std::chrono::milliseconds(20);
  for (const BrittleNews& received : news) {
    const auto row = table.by_key.find(received.upstream_key);
    if (row == table.by_key.end()) {
      continue;
    }
    BrittleState& brittle = row->second->brittle;
    if (received.running) {
      brittle.group_loads[sender_hash] = {*received.running, now};
    }
    if (received.age && now - *received.age > brittle.rejections.heard_at) {
      brittle.has_answered = true;
      if (detail::SetStatedRate(brittle.rejections, received.rejections_per_second,
                                now - *received.age)) {
        ResetLoans(brittle);
        changed.push_back(row->second);
      }
    }
    if (received.rejection_age &&
        now - *received.rejection_age > brittle.rejected_at + kSameRejection) {
      RecordRejectionAt(brittle, now - *received.rejection_age, now);
    }
  }
  return changed;
}

}  // namespace geraniumspread::dispatch
