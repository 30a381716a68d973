#include "transport/error_response.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace geraniumspread::transport {

HttpResponse MakeErrorResponse(const ErrorDescription& error) {
  using std::chrono::ceil;
  boost::json::object body;
  body["code"] = error.code;
  body["message"] = error.message;
  body["ran"] = ToString(error.ran);
  body["retry"] = error.retry;
  body["retry_after_ms"] = ceil<std::chrono::milliseconds>(error.retry_after).count();
  body["request_id"] = error.request_id;

  HttpResponse response;
  response.status = error.status;
  response.body = boost::json::serialize(boost::json::object{{"error", std::move(body)}});
  response.headers.push_back({"Content-Type", "application/json"});
  response.headers.push_back({"X-Error-Code", std::string(error.code)});
  response.headers.push_back({"X-Ran", std::string(ToString(error.ran))});
  if (!error.request_id.empty()) {
    response.headers.push_back({"X-Request-Id", std::string(error.request_id)});
  }
  if (error.retry) {
    const auto seconds = ceil<std::chrono::seconds>(error.retry_after).count();
    response.headers.push_back({"Retry-After", std::to_string(seconds)});
  }
  return response;
}

}  // namespace geraniumspread::transport
