#ifndef EDGE_INTERNAL_LIMIT_EXCHANGE_H_
#define EDGE_INTERNAL_LIMIT_EXCHANGE_H_

#include <string_view>

#include "edge/internal/edge_state.h"

// Exchanges the limits that upstreams name with the peers.
namespace geraniumspread::edge::detail {

// `source` is the id of the request whose answer says so, or the peer's address.
void LogLimitChange(const dispatch::Upstream& upstream, std::string_view source);
// Sends news that peers may not have yet. Nothing is sent without news.
void SendLimitNews(EdgeState& edge);
// Merges the news if the datagram contains any. Returns false for other datagrams.
bool ReceiveLimitNews(EdgeState& edge, std::string_view bytes, std::string_view sender);

}  // namespace geraniumspread::edge::detail

#endif  // EDGE_INTERNAL_LIMIT_EXCHANGE_H_
