#ifndef EDGE_INTERNAL_PEER_EXCHANGE_H_
#define EDGE_INTERNAL_PEER_EXCHANGE_H_

#include <boost/asio/awaitable.hpp>

#include "edge/internal/edge_state.h"

// Exchanges digests between instances over UDP, and copies published state over HTTP
// from a peer with a newer revision.
namespace geraniumspread::edge::detail {

// Receives digests until the socket is closed.
boost::asio::awaitable<void> ReceiveDigests(Edge edge);
// Sends one digest to some peers and to the seed addresses that are not known peers.
void SendDigests(EdgeState& edge);
// Sends a datagram to the digest port of an instance.
void SendDatagram(EdgeState& edge, const std::string& address, const std::string& bytes);
// Sends a datagram with news to the peers, or to some of a larger fleet.
void SendNews(EdgeState& edge, const std::string& bytes, bool is_urgent = false);
// Copies published state from a peer that has a newer revision, if there is one.
void PullIfBehind(const Edge& edge);
// Copies lost changes from a peer that retains others than this instance, for example after
// this instance was restarted or was cut off while the store was restored.
void PullRetained(const Edge& edge);
// Handles a peer's request for published state or for the origin of a stream.
boost::asio::awaitable<void> ServePeerState(Edge edge,
                                            transport::HttpRequest request,
                                            transport::HttpResponder& responder);

}  // namespace geraniumspread::edge::detail

#endif  // EDGE_INTERNAL_PEER_EXCHANGE_H_
