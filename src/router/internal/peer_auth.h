#ifndef ROUTER_INTERNAL_PEER_AUTH_H_
#define ROUTER_INTERNAL_PEER_AUTH_H_

#include <string>
#include <string_view>
#include <unordered_set>

#include "common/runtime_clock.h"
#include "transport/transport_types.h"

namespace geraniumspread::router::detail {

// Adds X-Peer-Nonce and X-Peer-Mac. The MAC covers method, target, every header
// that steers the request, and the SHA-256 of the body. `receiver` is the
// incarnation of the router that gets the request; a request that was recorded
// before a restart is refused after it.
void SignPeerRequest(std::string_view shared_key,
                     std::uint64_t receiver,
                     transport::HttpRequest& request);

// Nonces seen in the current and the previous period.
struct NonceTable {
  std::unordered_set<std::string> current;
  std::unordered_set<std::string> previous;
  TimePoint rotate_at;
};

// Checks the MAC and that the request is not a copy of an earlier one.
bool VerifyPeerRequest(std::string_view shared_key,
                       std::uint64_t receiver,
                       const transport::HttpRequest& request,
                       NonceTable& nonces,
                       TimePoint now);

}  // namespace geraniumspread::router::detail

#endif  // ROUTER_INTERNAL_PEER_AUTH_H_
