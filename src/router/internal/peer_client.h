#ifndef ROUTER_INTERNAL_PEER_CLIENT_H_
#define ROUTER_INTERNAL_PEER_CLIENT_H_

#include <boost/asio/awaitable.hpp>
#include <string>

#include "router/internal/router_context.h"

namespace geraniumspread::router::detail {

// Sends a signed POST to another router's peer port. Returns the status of the
// answer, or 0 when there was none.
boost::asio::awaitable<int> PostToPeer(RouterContext& context,
                                       fleet::RouterMember receiver,
                                       std::string target,
                                       std::string body);

// Whether the request is signed by a router of this fleet and not a copy.
bool IsFromPeer(RouterContext& context, const transport::HttpRequest& request);

}  // namespace geraniumspread::router::detail

#endif  // ROUTER_INTERNAL_PEER_CLIENT_H_
