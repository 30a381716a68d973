#ifndef ROUTER_INTERNAL_WORKSPACE_ADMISSION_H_
#define ROUTER_INTERNAL_WORKSPACE_ADMISSION_H_

#include <boost/asio/awaitable.hpp>
#include <optional>

#include "admission/admission_types.h"
#include "router/internal/caller_request.h"
#include "router/internal/router_context.h"

namespace geraniumspread::router::detail {

// Counts the request of a workspace, or says why not. A request beyond this router's share asks
// peers for an unused part of theirs first.
boost::asio::awaitable<std::optional<admission::Refusal>> AdmitRequest(
    RouterContext& context,
    const CallerRequest& request);

}  // namespace geraniumspread::router::detail

#endif  // ROUTER_INTERNAL_WORKSPACE_ADMISSION_H_
