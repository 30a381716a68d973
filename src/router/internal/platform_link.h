#ifndef ROUTER_INTERNAL_PLATFORM_LINK_H_
#define ROUTER_INTERNAL_PLATFORM_LINK_H_

#include <boost/asio/awaitable.hpp>

#include "router/internal/router_context.h"

// Calls to the platform and to the engines' status endpoints. Every answer goes
// back into the router state.
namespace geraniumspread::router::detail {

boost::asio::awaitable<void> CallConfigService(RouterContext& context, fleet::ServiceCall call);
boost::asio::awaitable<void> FetchLoadReport(RouterContext& context, ReportRequest request);
// Reads the instance list until the executor stops.
boost::asio::awaitable<void> PollInstanceList(RouterContext& context);

}  // namespace geraniumspread::router::detail

#endif  // ROUTER_INTERNAL_PLATFORM_LINK_H_
