#ifndef ROUTER_INTERNAL_ENTRY_FLOW_H_
#define ROUTER_INTERNAL_ENTRY_FLOW_H_

#include <boost/asio/awaitable.hpp>

#include "router/internal/caller_request.h"
#include "router/internal/router_context.h"
#include "transport/error_response.h"
#include "transport/http_server.h"

// What the entry router does with a caller's request: admission, placement,
// attempts with retries and resumed streams, and the answer.
namespace geraniumspread::router::detail {

// Answers /v1/...
boost::asio::awaitable<void> ServeCaller(RouterContext& context,
                                         transport::HttpRequest request,
                                         transport::HttpResponder& responder);

// Serves a checked request. For calls with a ticket this router is the one that
// the ticket names, or finds it.
boost::asio::awaitable<void> ServeRequest(RouterContext& context,
                                          CallerRequest request,
                                          transport::HttpResponder& responder);

// Runs a non-repeatable call with a ticket of this router (or of one it took over).
boost::asio::awaitable<void> ServeTicketedCall(RouterContext& context,
                                               CallerRequest request,
                                               transport::HttpResponder& responder);

}  // namespace geraniumspread::router::detail

#endif  // ROUTER_INTERNAL_ENTRY_FLOW_H_
