#ifndef ROUTER_INTERNAL_CALLER_REQUEST_H_
#define ROUTER_INTERNAL_CALLER_REQUEST_H_

#include <cstdint>
#include <optional>
#include <string>

#include "common/common_types.h"
#include "common/result.h"
#include "common/runtime_clock.h"
#include "config/config_types.h"
#include "observability/trace.h"
#include "outcomes/exchange.h"
#include "outcomes/quarantine.h"
#include "transport/transport_types.h"

namespace geraniumspread::router::detail {

// A caller's request after all checks that need only the request and the configuration.
struct CallerRequest {
  std::string request_id;
  std::string workspace;
  float workspace_weight = 1;
  std::string chat;
  std::string pool;
  std::string method;
  std::string target;  // as the upstream gets it
  std::string body;
  std::string content_type;
  std::string ticket;  // Idempotency-Key
  PriorityClass priority = PriorityClass::kDraft;
  outcomes::RequestClass request_class = outcomes::RequestClass::kIdempotent;
  TimePoint deadline;
  bool has_history = false;
  std::optional<std::uint64_t> last_event_id;
  std::optional<observability::TraceContext> trace;
  outcomes::Fingerprint fingerprint;
};

// Why a request is refused as it stands. It has not run.
struct RequestError {
  int status = 400;
  std::string_view code;
  std::string message;
};

// Paths: /v1/chat/completions and /v1/services/<service>/<path>.
ResultOf<CallerRequest, RequestError> ReadCallerRequest(const config::Configuration& configuration,
                                                        transport::HttpRequest request,
                                                        Duration default_deadline,
                                                        TimePoint now);

// The X-Request-Id of the caller when it is usable, else a new one.
std::string RequestIdOf(const transport::HttpRequest& request);

}  // namespace geraniumspread::router::detail

#endif  // ROUTER_INTERNAL_CALLER_REQUEST_H_
