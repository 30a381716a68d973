#ifndef EDGE_INTERNAL_PEER_EXCHANGE_H_
#define EDGE_INTERNAL_PEER_EXCHANGE_H_

#include <boost/asio/awaitable.hpp>

#include "edge/internal/edge_state.h"

// Digests between instances by UDP, and published state by HTTP from a peer that
// is ahead.
namespace geraniumspread::edge::detail {

// Receives digests until the socket is closed.
boost::asio::awaitable<void> ReceiveDigests(Edge edge);
// Sends one digest to the seeds and to some peers.
void SendDigests(EdgeState& edge);
// Copies published state from a peer when this instance lacks some.
void PullIfBehind(const Edge& edge);
// Answers peers that ask for published state.
boost::asio::awaitable<void> ServePeerState(Edge edge,
                                            transport::HttpRequest request,
                                            transport::HttpResponder& responder);

}  // namespace geraniumspread::edge::detail

#endif  // EDGE_INTERNAL_PEER_EXCHANGE_H_
