#ifndef ROUTER_INTERNAL_ERROR_ANSWERS_H_
#define ROUTER_INTERNAL_ERROR_ANSWERS_H_

#include <string_view>

#include "admission/admission_types.h"
#include "outcomes/outcomes_types.h"
#include "router/internal/caller_request.h"
#include "transport/error_response.h"

// The answers of the router itself to requests that it does not serve.
namespace geraniumspread::router::detail {

transport::HttpResponse ToResponse(const admission::Refusal& refusal, std::string_view request_id);
transport::HttpResponse ToResponse(const outcomes::OutcomeError& error,
                                   std::string_view request_id);
transport::HttpResponse ToErrorResponse(const RequestError& error,
                                        RunState ran,
                                        std::string_view request_id);

}  // namespace geraniumspread::router::detail

#endif  // ROUTER_INTERNAL_ERROR_ANSWERS_H_
