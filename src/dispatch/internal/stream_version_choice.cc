#include "dispatch/stream_version_choice.h"

#include <algorithm>
#include <map>
#include <span>
#include <string>
#include <vector>

#include "common/hash.h"

namespace geraniumspread::dispatch {
namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t kChatSeed = 0x5e72;
// Upper limit of the difference between the clocks of instances and upstreams.
constexpr milliseconds kMaxClockDifference{500};
// A process is counted from this time after its start. Every instance lists it by then: it
// registers within 3.5 s, and listings are up to `kMaxListingAge` old.
constexpr milliseconds kSettleTime{8000};
// Time from the departure of an upstream until its replacement has started and is listed.
constexpr milliseconds kReplaceTime{6000};
// The second version takes chats only with this many upstreams, and with this part of all: its
// chats can't go elsewhere while one of few is cold or has crashed.
constexpr std::uint32_t kMinUpstreams = 2;
constexpr std::uint32_t kMinPartOfAll = 16;
// Part of all upstreams that may have left without a listed replacement: after crashes, and in the
// first seconds of a release.
constexpr std::uint32_t kLostPartOfAll = 8;

struct Count {
  std::uint64_t version = 0;
  std::uint32_t upstreams = 0;
};

// What is known about a version within a window of time.
struct CountRange {
  std::uint64_t version = 0;
  std::uint32_t least = 0;
  std::uint32_t most = 0;
  // Listed processes that started within the window.
  std::uint32_t starts = 0;
};

struct CountRanges {
  std::vector<CountRange> versions;
  // Largest count of a version of which no process is listed any more.
  std::uint32_t unlisted = 0;
};

std::span<const UpstreamRow> RowsOf(const UpstreamTable& table, std::string_view service) {
  const auto rows = table.by_service.find(std::string(service));
  return rows == table.by_service.end() ? std::span<const UpstreamRow>()
                                        : std::span<const UpstreamRow>(rows->second);
}

bool IsSettled(const UpstreamListing& listing, UnixTime at) {
  return milliseconds(listing.started_at_ms) + kSettleTime <= at;
}

std::uint32_t PartOf(std::uint32_t upstreams, std::uint32_t part) {
  return std::max(kMinUpstreams, (upstreams + part - 1) / part);
}

// Place of the chat in [0, 1).
double PlaceOf(std::uint64_t chat) {
  constexpr int kUnusedBits = 11;
  constexpr double kPlaces = 9007199254740992.0;  // 2^53
  return static_cast<double>(chat >> kUnusedBits) / kPlaces;
}

double ShareOf(std::uint32_t part, std::uint32_t rest) {
  return static_cast<double>(part) / static_cast<double>(part + rest);
}

// Each process that started may have replaced one of any other version. Some upstreams that left
// have no listed replacement: as many as start within `kReplaceTime`, or more after crashes.
CountRanges FindCountRanges(std::span<const UpstreamRow> rows,
                            UnixTime window_start,
                            UnixTime now) {
  std::map<std::uint64_t, CountRange> by_version;
  std::uint32_t starts = 0;
  std::uint32_t earlier_starts = 0;
  // An instance with old listings may have counted an upstream that left before the window.
  const UnixTime first_start =
      window_start - std::chrono::ceil<milliseconds>(kMaxListingAge) - kMaxClockDifference;
  for (const UpstreamRow& row : rows) {
    const UpstreamListing& listing = row->listing;
    const milliseconds started(listing.started_at_ms);
    // Without a start time a process may be new.
    const bool has_start = listing.started_at_ms != 0;
    const bool is_old = has_start && IsSettled(listing, window_start - kMaxClockDifference);
    const bool is_new = !has_start || started >= first_start;
    CountRange& range = by_version[row->version];
    range.version = row->version;
    range.least += is_old && !listing.draining ? 1 : 0;
    range.most += IsSettled(listing, now + kMaxClockDifference) ? 1 : 0;
    range.starts += is_new ? 1 : 0;
    starts += is_new ? 1 : 0;
    earlier_starts += !is_new && started >= first_start - kReplaceTime ? 1 : 0;
  }
  const auto listed = static_cast<std::uint32_t>(rows.size());
  const std::uint32_t lost = std::max(PartOf(listed, kLostPartOfAll), earlier_starts);
  CountRanges ranges;
  ranges.unlisted = starts + lost;
  ranges.versions.reserve(by_version.size());
  for (auto& [version, range] : by_version) {
    range.most += lost + starts - range.starts;
    ranges.versions.push_back(range);
  }
  return ranges;
}

// A version that always was smaller than `own` and a third version had no chats.
bool HasNoChats(const CountRange& own,
                std::span<const CountRange> ranges,
                std::uint64_t rival,
                std::uint32_t rival_most) {
  return std::ranges::any_of(ranges, [&](const CountRange& other) {
    return other.version != own.version && other.version != rival &&
           std::min(other.least, own.least) > rival_most;
  });
}

// True if the chat belongs to `own` whatever the counts were, if only `rival` has chats too.
bool PrecludesRival(const CountRange& own, std::uint32_t rival_most, bool is_first, double place) {
  return is_first ? place < ShareOf(own.least, rival_most)
                  : place >= ShareOf(rival_most, own.least);
}

bool IsCertain(const CountRange& own, const CountRanges& ranges, double place) {
  const std::uint32_t unlisted = ranges.unlisted;
  std::uint32_t all_least = 0;
  std::uint32_t all_most = unlisted;
  for (const CountRange& range : ranges.versions) {
    all_least += range.least;
    all_most += range.most;
  }
  if (own.least < PartOf(all_most, kMinPartOfAll)) {
    return false;
  }
  const std::uint32_t min_rival = PartOf(all_least, kMinPartOfAll);
  std::uint32_t larger_rivals = 0;
  if (unlisted >= min_rival && !HasNoChats(own, ranges.versions, own.version, unlisted)) {
    larger_rivals += unlisted >= own.least ? 1 : 0;
    if (!PrecludesRival(own, unlisted, true, place) ||
        !PrecludesRival(own, unlisted, false, place)) {
      return false;
    }
  }
  for (const CountRange& rival : ranges.versions) {
    if (rival.version == own.version || rival.most < min_rival ||
        HasNoChats(own, ranges.versions, rival.version, rival.most)) {
      continue;
    }
    larger_rivals += rival.most >= own.least ? 1 : 0;
    if (!PrecludesRival(own, rival.most, own.version < rival.version, place)) {
      return false;
    }
  }
  return larger_rivals <= 1;
}

}  // namespace

std::uint64_t ChatKey(const Prompt& prompt, std::string_view request_id) {
  const std::uint64_t subject = SubjectOf(prompt);
  return MixHash(kChatSeed, subject == 0 ? StableHash(request_id) : subject);
}

std::optional<std::uint64_t> ChooseStreamVersion(const UpstreamTable& table,
                                                 std::string_view service,
                                                 std::uint64_t chat,
                                                 UnixTime now) {
  const std::span<const UpstreamRow> rows = RowsOf(table, service);
  if (std::ranges::all_of(
          rows, [&](const UpstreamRow& row) { return row->version == rows.front()->version; })) {
    return std::nullopt;
  }
  std::map<std::uint64_t, Count> by_version;
  std::uint32_t all = 0;
  for (const UpstreamRow& row : rows) {
    const bool is_counted = !row->listing.draining && IsSettled(row->listing, now);
    Count& count = by_version[row->version];
    count.version = row->version;
    count.upstreams += is_counted ? 1 : 0;
    all += is_counted ? 1 : 0;
  }
  std::vector<Count> counts;
  counts.reserve(by_version.size());
  for (const auto& [version, count] : by_version) {
    counts.push_back(count);
  }
  std::ranges::stable_sort(counts, std::ranges::greater{}, &Count::upstreams);
  const Count& largest = counts[0];
  const Count& second = counts[1];
  if (largest.upstreams < kMinUpstreams) {
    return std::nullopt;
  }
  if (second.upstreams < PartOf(all, kMinPartOfAll)) {
    return largest.version;
  }
  const auto& [low, high] = std::minmax(largest, second, [](const Count& left, const Count& right) {
    return left.version < right.version;
  });
  return PlaceOf(chat) < ShareOf(low.upstreams, high.upstreams) ? low.version : high.version;
}

std::optional<std::uint64_t> InferStreamVersion(const UpstreamTable& table,
                                                std::string_view service,
                                                std::uint64_t chat,
                                                Duration age,
                                                UnixTime now) {
  const std::span<const UpstreamRow> rows = RowsOf(table, service);
  const UnixTime window_start = now - std::chrono::ceil<milliseconds>(age);
  const CountRanges ranges = FindCountRanges(rows, window_start, now);
  const auto certain = std::ranges::find_if(ranges.versions, [&](const CountRange& range) {
    return IsCertain(range, ranges, PlaceOf(chat));
  });
  return certain == ranges.versions.end() ? std::nullopt : std::optional(certain->version);
}

}  // namespace geraniumspread::dispatch
