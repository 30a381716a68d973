#ifndef EDGE_INTERNAL_RELAY_H_
#define EDGE_INTERNAL_RELAY_H_

#include <boost/asio/awaitable.hpp>
#include <optional>
#include <string>

#include "dispatch/upstream_path.h"
#include "edge/internal/edge_state.h"

// Sends one attempt to an upstream through a peer, while this instance doesn't reach the upstreams
// itself. See docs/decisions/relay.md.
namespace geraniumspread::edge::detail {

// What the peer must know to relay a request.
struct RelayCall {
  std::string upstream;
  // Sent as the host if the request names none.
  std::string address;
  std::int64_t started_at_ms = 0;
  std::string request_id;
  Duration remaining{0};
  // The upstream must begin to answer within this time; zero if only `remaining` limits it.
  Duration first_byte{0};
  // The peer may send the request on a connection that has served before.
  bool may_reuse = false;
};

// What the peer states in the head of its answer.
struct RelayStatement {
  enum class Result : std::uint8_t {
    // The answer is not from a relay, so the outcome is unknown.
    kNone,
    kRelayed,
    // No byte of the request was sent to the upstream.
    kNotSent,
    // The upstream gave no answer; the outcome is unknown.
    kFailed,
  };
  Result result = Result::kNone;
  std::string reason;
  // Only the end of the upstream's connection marks the end of its answer.
  bool ends_with_connection = false;
  // The peer can't relay any request now.
  bool is_unable = false;
};

bool IsRelayRequest(const transport::HttpRequest& request);
// Adds the headers for the peer to a request that is encoded for the upstream.
void AddRelayHeaders(transport::HttpRequest& request, const RelayCall& call);
// Removes the headers that the peer added.
RelayStatement TakeRelayStatement(transport::HttpResponse& head);

// Returns the address of the peer that gets the next attempt; empty if this instance reaches the
// upstreams or no peer can relay.
std::string ChooseRelay(EdgeState& edge);
// Sends no request to this peer for a while.
void AvoidRelay(EdgeState& edge, const std::string& address);

// Sends a peer's request to an upstream and passes the answer on unchanged.
boost::asio::awaitable<void> ServeRelay(Edge edge,
                                        transport::HttpRequest request,
                                        transport::HttpResponder& responder);

}  // namespace geraniumspread::edge::detail

#endif  // EDGE_INTERNAL_RELAY_H_
