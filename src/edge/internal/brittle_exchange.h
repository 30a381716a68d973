#ifndef EDGE_INTERNAL_BRITTLE_EXCHANGE_H_
#define EDGE_INTERNAL_BRITTLE_EXCHANGE_H_

#include <string_view>

#include "edge/internal/edge_state.h"

// Exchanges with the peers which upstreams are brittle, and the loads of these.
namespace geraniumspread::edge::detail {

// Applies what an answer says about the upstream to a request that was sent at `sent_at`.
void ApplyBrittle(EdgeState& edge,
                  dispatch::Upstream& upstream,
                  const UpstreamAnswer& answer,
                  std::string_view request_id,
                  TimePoint sent_at);
// Sends news that peers may not have yet, and begins to tell loads if an upstream is brittle.
void SendBrittleNews(const Edge& edge);
// Merges the news if the datagram contains any. Returns false for other datagrams.
bool ReceiveBrittleNews(EdgeState& edge, std::string_view bytes, std::string_view sender);

}  // namespace geraniumspread::edge::detail

#endif  // EDGE_INTERNAL_BRITTLE_EXCHANGE_H_
