#ifndef DISPATCH_NAMED_LIMITS_H_
#define DISPATCH_NAMED_LIMITS_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

#include "dispatch/upstream_table.h"

// Limits that upstreams name in their answers: requests per second that they accept from all
// instances together. Each instance keeps to its share, and the shares add up to at most the
// limit.
namespace geraniumspread::dispatch {

// Shares are counted over this time, so that a limit of a few requests per second can be
// divided.
inline constexpr Duration kLimitWindow = std::chrono::seconds(4);

// Belief of one instance about the limit of an upstream, as sent to its peers.
struct LimitNews {
  std::uint32_t upstream_key = 0;
  // Unset if the upstream names no limit any more.
  std::optional<double> requests_per_second;
  // Time since the answer that says so.
  Duration age{0};
};

// Records an answer to a request that was sent at `sent_at`. An answer without a limit ends the
// limit only if the request was sent after the last answer that named it, since answers on
// different connections overtake each other. Returns true if the belief changed.
bool RecordNamedLimit(Upstream& upstream,
                      std::optional<double> requests_per_second,
                      TimePoint sent_at,
                      TimePoint now);
// Records that this instance sends a request to the upstream.
void RecordLimitedSend(Upstream& upstream, TimePoint now);
// True if this instance may send one more request to the upstream. `own_rank` is its place in
// the rendezvous order of the upstream.
bool IsWithinNamedLimit(Upstream& upstream,
                        std::size_t instances,
                        std::size_t own_rank,
                        TimePoint now);
// If all upstreams of the service that take new work name limits, returns when this instance's
// share of one of them frees up, if known. Otherwise returns nullopt.
std::optional<TimePoint> EarliestLimitedSend(const UpstreamTable& table, std::string_view service);

// Returns news that peers may not have yet.
std::vector<LimitNews> TakeLimitNews(UpstreamTable& table, TimePoint now);
// Returns the upstreams about which the belief changed.
std::vector<UpstreamRow> MergeLimitNews(UpstreamTable& table,
                                        std::span<const LimitNews> news,
                                        TimePoint now);

}  // namespace geraniumspread::dispatch

#endif  // DISPATCH_NAMED_LIMITS_H_
