#ifndef ROUTER_INTERNAL_TICKET_HANDOVER_H_
#define ROUTER_INTERNAL_TICKET_HANDOVER_H_

#include <boost/asio/awaitable.hpp>

#include "router/internal/router_context.h"
#include "transport/http_server.h"

// Handover of used tickets at a planned stop, so that repeats of finished calls
// still get their answers. The stopping router sends its table to one successor
// and then tells all routers who that is.
namespace geraniumspread::router::detail {

// Tries the serving routers one after another until one has taken the tickets.
// False when there was nobody to take them.
boost::asio::awaitable<bool> HandOverTickets(RouterContext& context);

// Answers /internal/handover: takes the tickets or refuses them as a whole.
boost::asio::awaitable<void> ServeHandover(RouterContext& context,
                                           const transport::HttpRequest& request,
                                           transport::HttpResponder& responder);

// Answers /internal/successor: notes who answers for a stopped incarnation.
boost::asio::awaitable<void> ServeSuccessor(RouterContext& context,
                                            const transport::HttpRequest& request,
                                            transport::HttpResponder& responder);

}  // namespace geraniumspread::router::detail

#endif  // ROUTER_INTERNAL_TICKET_HANDOVER_H_
