#include "router/internal/error_answers.h"

namespace geraniumspread::router::detail {

using transport::HttpResponse;

HttpResponse ToResponse(const admission::Refusal& refusal, std::string_view request_id) {
  return transport::MakeErrorResponse({.status = refusal.status,
                                       .code = admission::ToString(refusal.code),
                                       .message = admission::MessageOf(refusal.code),
                                       .ran = refusal.ran,
                                       .retry = refusal.retry,
                                       .retry_after = refusal.retry_after,
                                       .request_id = request_id});
}

HttpResponse ToResponse(const outcomes::OutcomeError& error, std::string_view request_id) {
  return transport::MakeErrorResponse({.status = error.status,
                                       .code = outcomes::ToString(error.code),
                                       .message = outcomes::MessageOf(error.code),
                                       .ran = error.ran,
                                       .retry = error.retry,
                                       .retry_after = error.retry_after,
                                       .request_id = request_id});
}

HttpResponse ToErrorResponse(const RequestError& error, RunState ran, std::string_view request_id) {
  return transport::MakeErrorResponse({.status = error.status,
                                       .code = error.code,
                                       .message = error.message,
                                       .ran = ran,
                                       .request_id = request_id});
}

}  // namespace geraniumspread::router::detail
