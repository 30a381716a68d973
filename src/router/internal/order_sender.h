#ifndef ROUTER_INTERNAL_ORDER_SENDER_H_
#define ROUTER_INTERNAL_ORDER_SENDER_H_

#include <boost/asio/awaitable.hpp>

#include "router/internal/router_context.h"

namespace geraniumspread::router::detail {

// Sends `POST /orders` to the engine and records its answer. An order that may
// no longer be sent counts as lost.
boost::asio::awaitable<void> SendOrder(RouterContext& context, engines::EngineCommand command);

}  // namespace geraniumspread::router::detail

#endif  // ROUTER_INTERNAL_ORDER_SENDER_H_
