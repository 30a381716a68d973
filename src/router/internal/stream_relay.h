#ifndef ROUTER_INTERNAL_STREAM_RELAY_H_
#define ROUTER_INTERNAL_STREAM_RELAY_H_

#include <boost/asio/awaitable.hpp>

#include "router/internal/request_run.h"

namespace geraniumspread::router::detail {

// Passes the events of an opened attempt on to the caller until the final
// marker, a fault, or the end of the connection. Tokens that the caller already
// has are dropped. Ends the exchange.
boost::asio::awaitable<void> RelayStream(RouterContext& context, RequestRun& run, Attempt& attempt);

}  // namespace geraniumspread::router::detail

#endif  // ROUTER_INTERNAL_STREAM_RELAY_H_
