#ifndef ROUTER_INTERNAL_STATUS_PAGE_H_
#define ROUTER_INTERNAL_STATUS_PAGE_H_

#include <optional>

#include "router/internal/router_context.h"
#include "transport/transport_types.h"

namespace geraniumspread::router::detail {

// Answers /healthz, /readyz, /metrics and /status; empty for other targets.
std::optional<transport::HttpResponse> ServeStatus(RouterContext& context, std::string_view target);

}  // namespace geraniumspread::router::detail

#endif  // ROUTER_INTERNAL_STATUS_PAGE_H_
