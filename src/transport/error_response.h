#ifndef TRANSPORT_ERROR_RESPONSE_H_
#define TRANSPORT_ERROR_RESPONSE_H_

#include <optional>
#include <string>
#include <string_view>

#include "common/common_types.h"
#include "common/runtime_clock.h"
#include "transport/transport_types.h"

namespace geraniumspread::transport {

// One refusal or failure as callers see it.
struct ErrorDescription {
  int status = 500;
  std::string_view code;  // stable, snake_case
  std::string_view message;
  RunState ran = RunState::kNotRun;
  bool retry = false;
  // Sent as Retry-After (whole seconds, rounded up) and `retry_after_ms`.
  Duration retry_after{0};
  std::string_view request_id;
};

// Builds the JSON error body and the headers X-Error-Code, X-Ran, X-Request-Id
// and Retry-After.
HttpResponse MakeErrorResponse(const ErrorDescription& error);

}  // namespace geraniumspread::transport

#endif  // TRANSPORT_ERROR_RESPONSE_H_
