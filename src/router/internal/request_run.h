#ifndef ROUTER_INTERNAL_REQUEST_RUN_H_
#define ROUTER_INTERNAL_REQUEST_RUN_H_

#include <boost/asio/awaitable.hpp>
#include <optional>
#include <string>

#include "outcomes/answer_integrity.h"
#include "outcomes/request_attempts.h"
#include "router/internal/attempt.h"
#include "router/internal/caller_request.h"
#include "router/internal/router_context.h"
#include "transport/http_server.h"

namespace geraniumspread::router::detail {

// A request on its way through attempts at one or more upstreams.
struct RequestRun {
  CallerRequest request;
  outcomes::RequestAttempts attempts;
  outcomes::StreamProgress progress;
  // Where a streamed answer goes. Null for answers that are delivered whole.
  transport::HttpResponder* stream = nullptr;
  Cancellation cancellation;
  std::uint32_t placements = 0;
  // After a silent or broken connection the next attempt opens a new one.
  bool fresh_connection = false;
  // The owner of the first choice has said where the chat's cache is.
  bool hint_followed = false;
  std::optional<admission::Refusal> last_refusal;
  // Set at the end: the whole answer or the error. Unset for a finished stream.
  std::optional<transport::HttpResponse> answer;
  // The answer is the upstream's own and may be kept for repeats.
  bool answered_by_upstream = false;
};

// Places the request and tries it until it has an answer, an error is final, or
// the caller has left.
boost::asio::awaitable<void> RunAttempts(RouterContext& context, RequestRun& run);

}  // namespace geraniumspread::router::detail

#endif  // ROUTER_INTERNAL_REQUEST_RUN_H_
