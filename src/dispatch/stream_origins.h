#ifndef DISPATCH_STREAM_ORIGINS_H_
#define DISPATCH_STREAM_ORIGINS_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "dispatch/peer_table.h"
#include "dispatch/upstream_table.h"

// The software version at which each resumable stream began. A stream may continue only at
// an upstream of that version, but callers and upstreams don't know it. The instance that
// passes on the first event stores the version and sends it to some peers, which all
// instances find by the stream's key.
namespace geraniumspread::dispatch {

struct StreamOrigins {
  // Version by stream, both as hashes.
  std::unordered_map<std::uint64_t, std::uint64_t> versions;
  // The streams in the order in which they were recorded.
  std::deque<std::pair<TimePoint, std::uint64_t>> recorded;
};

// Returns the key of the stream whose first event came with this request id.
std::uint64_t StreamKey(std::string_view request_id);
// Records the version of a stream. A stream that is known keeps its version.
void RecordOrigin(StreamOrigins& origins,
                  std::uint64_t stream,
                  std::uint64_t version,
                  TimePoint now);
std::optional<std::uint64_t> FindOrigin(const StreamOrigins& origins, std::uint64_t stream);
// Forgets streams that no caller can still take up.
void ExpireOrigins(StreamOrigins& origins, TimePoint now);
// Returns the addresses of the live peers that store the stream's origin, the first choice
// first.
std::vector<std::string> OriginHolders(const PeerTable& peers, std::uint64_t stream, TimePoint now);

// Returns the version of the service's upstreams if no other one was listed within `window`.
// `followed_since` is the time since which this instance has seen every listing.
std::optional<std::uint64_t> OnlyVersion(const UpstreamTable& table,
                                         std::string_view service,
                                         Duration window,
                                         TimePoint followed_since,
                                         TimePoint now);

}  // namespace geraniumspread::dispatch

#endif  // DISPATCH_STREAM_ORIGINS_H_
