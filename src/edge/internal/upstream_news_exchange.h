#ifndef EDGE_INTERNAL_UPSTREAM_NEWS_EXCHANGE_H_
#define EDGE_INTERNAL_UPSTREAM_NEWS_EXCHANGE_H_

#include <string_view>

#include "dispatch/upstream_news.h"
#include "edge/internal/edge_state.h"

// Exchanges observations about upstreams with the peers.
namespace geraniumspread::edge::detail {

// Returns the time in which the upstream usually answers the request, if known. Call before the
// request counts as running.
std::optional<Duration> ExpectedAnswerTime(const RequestRun& run,
                                           const dispatch::Candidate& chosen);
// Records the time that the upstream took for the answer or, at an engine, for its first event.
void RecordAnswerTime(RequestRun& run, dispatch::Upstream& upstream);
// Applies the pace that an answer states.
void ApplyPace(const RequestRun& run, dispatch::Upstream& upstream, const UpstreamAnswer& answer);
// Sends observations that peers may not have yet. Nothing is sent without news.
void SendUpstreamNews(EdgeState& edge);
// Merges the news if the datagram contains any. Returns false for other datagrams.
bool ReceiveUpstreamNews(EdgeState& edge, std::string_view bytes, std::string_view sender);

}  // namespace geraniumspread::edge::detail

#endif  // EDGE_INTERNAL_UPSTREAM_NEWS_EXCHANGE_H_
