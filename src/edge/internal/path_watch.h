#ifndef EDGE_INTERNAL_PATH_WATCH_H_
#define EDGE_INTERNAL_PATH_WATCH_H_

#include <boost/asio/awaitable.hpp>
#include <vector>

#include "dispatch/upstream_path.h"
#include "edge/internal/edge_state.h"

// Follows whether this instance reaches the upstreams: collects the signs from its connects and
// connections, and probes upstreams. See docs/decisions/relay.md.
namespace geraniumspread::edge::detail {

// Returns what a failed exchange with an upstream shows about the path.
dispatch::PathSign SignOf(const transport::TransportError& error,
                          const transport::HttpExchange& exchange);
// Records a failed connect to an upstream, or a connection to it that was lost or stayed silent.
void RecordPathFailure(const Edge& edge,
                       const dispatch::Upstream& upstream,
                       dispatch::PathSign sign = dispatch::PathSign::kConnectionFailed);
// Records that a new connection to an upstream, opened at `connected_at` at the earliest, is of
// use.
void RecordPathReached(EdgeState& edge, TimePoint connected_at);
inline void RecordUpstreamBytes(EdgeState& edge) {
  edge.path.last_bytes_at = RuntimeClock::now();
}
// Waits until the check that is under way, if any, has ended.
boost::asio::awaitable<void> WaitForPathCheck(Edge edge);
// Probes these upstreams at the same time: connects, or sends a health check if the path needs an
// answer. Returns true once one is reached.
boost::asio::awaitable<bool> ReachesAny(Edge edge, std::vector<dispatch::UpstreamRow> upstreams);
// Starts the probes that are due. Call at each tick.
void TickPath(const Edge& edge);

inline bool IsPathLost(const EdgeState& edge) {
  return edge.path.state == dispatch::PathState::kLost;
}

}  // namespace geraniumspread::edge::detail

#endif  // EDGE_INTERNAL_PATH_WATCH_H_
