#ifndef STANDIN_INTERNAL_ENGINE_WIRE_H_
#define STANDIN_INTERNAL_ENGINE_WIRE_H_

#include <boost/json/object.hpp>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "standin/engine_types.h"
#include "transport/transport_types.h"

namespace geraniumspread::standin::detail {

struct PendingAnswer;

struct ChatCall {
  EngineRequest request;
  std::string model;
  bool stream = false;
};

// Empty when the body is not a chat completion request.
std::optional<ChatCall> ParseChatCall(const transport::HttpRequest& request);
// The fence is a number, a list of numbers, or an object of numbers whose
// members are compared in the order in which they are written.
std::optional<EngineOrder> ParseOrder(std::string_view body);
// The string member `name` of a JSON object.
std::optional<std::string> ParseStringMember(std::string_view body, std::string_view name);

// Server-sent events for the tokens that were produced and not yet written,
// with the final events when the answer is finished.
std::string FormatEvents(const PendingAnswer& answer);
// The body of a whole answer.
std::string FormatCompletion(const PendingAnswer& answer);

boost::json::object ToJson(const LoadReport& report);
boost::json::object ToJson(const CacheEventPage& page);
boost::json::object ToJson(const EngineStats& stats, bool brief);
boost::json::object ToJson(const std::map<std::string, int>& counts);

}  // namespace geraniumspread::standin::detail

#endif  // STANDIN_INTERNAL_ENGINE_WIRE_H_
