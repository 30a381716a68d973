#ifndef ROUTER_INTERNAL_OWNER_FLOW_H_
#define ROUTER_INTERNAL_OWNER_FLOW_H_

#include <boost/asio/awaitable.hpp>

#include "router/internal/router_context.h"
#include "transport/http_server.h"

namespace geraniumspread::router::detail {

// Answers /internal/forward: a request that another router placed at an upstream
// that this router owns, or a call whose ticket this router answers for.
boost::asio::awaitable<void> ServePeer(RouterContext& context,
                                       transport::HttpRequest request,
                                       transport::HttpResponder& responder);

}  // namespace geraniumspread::router::detail

#endif  // ROUTER_INTERNAL_OWNER_FLOW_H_
