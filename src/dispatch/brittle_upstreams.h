#ifndef DISPATCH_BRITTLE_UPSTREAMS_H_
#define DISPATCH_BRITTLE_UPSTREAMS_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "dispatch/peer_table.h"
#include "dispatch/upstream_table.h"

// Upstreams that fail if they reject too many requests of all instances within a second. A group
// of instances sends to each of them, and each has a share of the slots, so that no waiting room
// is needed. The group's members tell each other their load at short intervals; where this shows
// room, an instance sends beyond its share (a loan), as often as the known rejections allow.
namespace geraniumspread::dispatch {

// Interval at which the members of a group tell each other changes of their load.
inline constexpr Duration kGroupInterval = std::chrono::milliseconds(10);

// Belief of one instance about a brittle upstream, as sent to its peers.
struct BrittleNews {
  std::uint32_t upstream_key = 0;
  // Unset if the upstream no longer says that it is brittle.
  std::optional<double> rejections_per_second;
  // Time since the answer that says so. Unset if the sender knows of no such answer.
  std::optional<Duration> age;
  // Time since the newest rejection, if it is recent.
  std::optional<Duration> rejection_age;
  // Requests of the sender at the upstream; set in messages within its group.
  std::optional<std::uint32_t> running;
};

// A message to the other instances that send to the same brittle upstreams.
struct GroupNews {
  std::vector<BrittleNews> news;
  std::vector<std::string> addresses;
};

// The instances that send to one brittle upstream: the first `size` of its rendezvous order.
struct BrittleGroup {
  std::size_t size = 1;
  // True if the members tell each other their load at short intervals.
  bool exchanges_loads = true;
};
BrittleGroup GroupOf(std::uint32_t slots, std::size_t instances, std::size_t upstreams);

// A request that this instance may send to a brittle upstream.
struct BrittleSend {
  double rejections_per_second = 0;
  BrittleGroup group;
  // Place of this instance in the rendezvous order of the upstream.
  std::size_t own_rank = 0;
  std::uint64_t own_hash = 0;
  // Requests of all instances at the upstream, as estimated from digests and load reports.
  std::uint32_t running = 0;
  // True if another upstream got the request before.
  bool is_retry = false;
};

// Records an answer to a request that was sent at `sent_at`. An answer without the statement ends
// the belief only if the request was sent after the last answer with it. Returns true if the
// belief changed.
bool RecordBrittle(Upstream& upstream,
                   std::optional<double> rejections_per_second,
                   TimePoint sent_at,
                   TimePoint now);
// Records that a brittle upstream rejected a request of this instance.
void RecordBrittleRejection(Upstream& upstream, TimePoint now);
// Records that this instance sends a request to the upstream.
void RecordBrittleSend(Upstream& upstream, TimePoint now);

// True if an upstream says that it is brittle.
bool HasBrittle(const UpstreamTable& table);
// Returns the lowest limit of rejections that upstreams of a service name, if any does.
std::optional<double> LowestBrittle(std::span<const UpstreamRow> service);
// Returns the limit of rejections that applies to the upstream. One that hasn't answered yet is
// taken to be as brittle as the others of its service: it may have just failed and restarted.
std::optional<double> RejectionLimit(const Upstream& upstream, std::optional<double> lowest);
// True if this instance may send one more request to the brittle upstream.
bool AdmitsBrittleSend(const Upstream& upstream, const BrittleSend& send, TimePoint now);

// Returns news that peers may not have yet.
std::vector<BrittleNews> TakeBrittleNews(UpstreamTable& table, TimePoint now);
// Returns this instance's loads that the groups of its brittle upstreams may not know yet.
GroupNews TakeGroupNews(UpstreamTable& table, const PeerTable& peers, TimePoint now);
// Applies news from the instance at address `sender`. Returns the upstreams about which the
// belief changed.
std::vector<UpstreamRow> MergeBrittleNews(UpstreamTable& table,
                                          std::span<const BrittleNews> news,
                                          std::string_view sender,
                                          TimePoint now);

}  // namespace geraniumspread::dispatch

#endif  // DISPATCH_BRITTLE_UPSTREAMS_H_
