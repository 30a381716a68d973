#ifndef ROUTER_INTERNAL_PLACEMENT_HINTS_H_
#define ROUTER_INTERNAL_PLACEMENT_HINTS_H_

#include <boost/asio/awaitable.hpp>
#include <string>

#include "router/internal/caller_request.h"
#include "router/internal/router_context.h"
#include "transport/http_server.h"

// Where a chat's cache is when it is not at the first choice of its hash. The
// owner of the first choice keeps the hint, since the next turn of the chat
// reaches that owner through any entry router. With hints at the entry router
// alone, reuse was 72 to 79% of the best possible (docs/decisions/placement.md).
namespace geraniumspread::router::detail {

// Tells the owner of the first choice that a chat was placed elsewhere. Does not wait.
void AnnouncePlacement(RouterContext& context,
                       const CallerRequest& request,
                       const placement::PlacementChoice& choice);

// For the owner of `asked`: the upstream that has the chat's cache, or an empty name.
std::string FindHint(const RouterContext& context,
                     const CallerRequest& request,
                     placement::UpstreamIndex asked);

// Answers /internal/placement.
boost::asio::awaitable<void> ServePlacementHint(RouterContext& context,
                                                const transport::HttpRequest& request,
                                                transport::HttpResponder& responder);

}  // namespace geraniumspread::router::detail

#endif  // ROUTER_INTERNAL_PLACEMENT_HINTS_H_
