#ifndef EDGE_INTERNAL_UPSTREAM_NEWS_EXCHANGE_H_
#define EDGE_INTERNAL_UPSTREAM_NEWS_EXCHANGE_H_

#include <string_view>

#include "dispatch/upstream_news.h"
#include "edge/internal/edge_state.h"

// Exchanges observations about upstreams with the peers.
namespace geraniumspread::edge::detail {

// Sends observations that peers may not have yet. Nothing is sent without news.
void SendUpstreamNews(EdgeState& edge);
// Merges the news if the datagram contains any. Returns false for other datagrams.
bool ReceiveUpstreamNews(EdgeState& edge, std::string_view bytes, std::string_view sender);

}  // namespace geraniumspread::edge::detail

#endif  // EDGE_INTERNAL_UPSTREAM_NEWS_EXCHANGE_H_
