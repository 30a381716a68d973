#include "standin/internal/engine_wire.h"

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include "standin/answer_text.h"
#include "standin/internal/engine_server.h"

namespace geraniumspread::standin::detail {
namespace {

namespace json = boost::json;

std::optional<json::object> ParseObject(std::string_view body) {
  json::error_code error;
  json::value value = json::parse(body, error);
  if (error || !value.is_object()) {
    return std::nullopt;
  }
  return std::move(value.as_object());
}

std::string StringMember(const json::object& object, std::string_view name) {
  const json::value* member = object.if_contains(name);
  return member != nullptr && member->is_string() ? std::string(member->as_string()) : "";
}

std::optional<std::uint64_t> ToNumber(const json::value& value) {
  json::error_code error;
  const auto number = value.to_number<std::uint64_t>(error);
  return error ? std::nullopt : std::optional(number);
}

std::optional<FencingToken> ParseFence(const json::value* value) {
  FencingToken fence;
  if (value == nullptr) {
    return fence;
  }
  json::array parts;
  if (value->is_array()) {
    parts = value->as_array();
  } else if (value->is_object()) {
    for (const auto& [name, part] : value->as_object()) {
      parts.push_back(part);
    }
  } else {
    parts.push_back(*value);
  }
  for (const json::value& part : parts) {
    const std::optional<std::uint64_t> number = ToNumber(part);
    if (!number) {
      return std::nullopt;
    }
    fence.push_back(*number);
  }
  return fence;
}

std::optional<std::vector<ChatMessage>> ParseMessages(const json::object& body) {
  const json::value* list = body.if_contains("messages");
  if (list == nullptr || !list->is_array() || list->as_array().empty()) {
    return std::nullopt;
  }
  std::vector<ChatMessage> messages;
  for (const json::value& entry : list->as_array()) {
    if (!entry.is_object()) {
      return std::nullopt;
    }
    messages.push_back(
        {StringMember(entry.as_object(), "role"), StringMember(entry.as_object(), "content")});
  }
  return messages;
}

json::object Usage(const PendingAnswer& answer) {
  json::object usage;
  usage["prompt_tokens"] = answer.submitted.prompt_tokens;
  usage["completion_tokens"] = answer.submitted.answer_tokens;
  usage["cached_tokens"] = answer.cached_tokens;
  return usage;
}

std::string FormatEvent(const PendingAnswer& answer, int offset, bool last) {
  json::object delta;
  if (offset < answer.submitted.answer_tokens) {
    delta["content"] = AnswerToken(answer.tag, offset);
  }
  json::object choice;
  choice["index"] = 0;
  choice["delta"] = std::move(delta);
  choice["finish_reason"] = last ? json::value("stop") : json::value(nullptr);
  json::object data;
  data["id"] = answer.request_id;
  data["choices"] = json::array{std::move(choice)};
  if (last) {
    data["usage"] = Usage(answer);
  }
  return "id: " + std::to_string(offset) + "\ndata: " + json::serialize(data) + "\n\n";
}

}  // namespace

std::optional<ChatCall> ParseChatCall(const transport::HttpRequest& request) {
  const std::optional<json::object> body = ParseObject(request.body);
  if (!body) {
    return std::nullopt;
  }
  const auto messages = ParseMessages(*body);
  if (!messages) {
    return std::nullopt;
  }
  ChatCall call;
  call.model = StringMember(*body, "model");
  if (const json::value* stream = body->if_contains("stream"); stream != nullptr) {
    call.stream = stream->is_bool() && stream->as_bool();
  }
  if (const json::value* tokens = body->if_contains("max_tokens"); tokens != nullptr) {
    const std::uint64_t count = ToNumber(*tokens).value_or(0);
    call.request.max_tokens = static_cast<int>(std::min<std::uint64_t>(count, kMaxAnswerTokens));
  }
  const auto header = [&request](std::string_view name) {
    return std::string(transport::FindHeader(request.headers, name));
  };
  call.request.request_id = header("X-Request-Id");
  call.request.idempotency_key = header("Idempotency-Key");
  call.request.chat = header("X-Chat-Id");
  ParsePriorityClass(header("X-Priority"), call.request.priority);
  const auto skip = ParseNumber<int>(header("X-Resume-Offset"));
  call.request.resume_offset = std::max(0, skip.value_or(0));
  call.request.prompt = JoinMessages(*messages);
  return call;
}

std::optional<EngineOrder> ParseOrder(std::string_view body) {
  const std::optional<json::object> object = ParseObject(body);
  if (!object) {
    return std::nullopt;
  }
  std::optional<FencingToken> fence = ParseFence(object->if_contains("fence"));
  if (!fence) {
    return std::nullopt;
  }
  EngineOrder order;
  order.fence = std::move(*fence);
  order.model = StringMember(*object, "model");
  order.adapter = StringMember(*object, "adapter");
  order.version = StringMember(*object, "version");
  order.role = StringMember(*object, "role");
  return order;
}

std::optional<std::string> ParseStringMember(std::string_view body, std::string_view name) {
  const std::optional<json::object> object = ParseObject(body);
  if (!object) {
    return std::nullopt;
  }
  std::string value = StringMember(*object, name);
  return value.empty() ? std::nullopt : std::optional(std::move(value));
}

std::string FormatEvents(const PendingAnswer& answer) {
  std::string bytes;
  const int total = answer.submitted.answer_tokens;
  for (int offset = answer.written; offset < answer.produced; ++offset) {
    bytes += FormatEvent(answer, offset, offset + 1 == total);
  }
  if (answer.finished) {
    // A caller that resumes after the last token still needs the final marker.
    if (answer.written >= total) {
      bytes += FormatEvent(answer, total, true);
    }
    bytes += "data: [DONE]\n\n";
  }
  return bytes;
}

std::string FormatCompletion(const PendingAnswer& answer) {
  std::string text;
  for (int offset = answer.written; offset < answer.produced; ++offset) {
    text += AnswerToken(answer.tag, offset);
  }
  json::object message;
  message["role"] = "assistant";
  message["content"] = text;
  json::object choice;
  choice["index"] = 0;
  choice["message"] = std::move(message);
  choice["finish_reason"] = "stop";
  json::object body;
  body["id"] = answer.request_id;
  body["object"] = "chat.completion";
  body["choices"] = json::array{std::move(choice)};
  body["usage"] = Usage(answer);
  return json::serialize(body);
}

json::object ToJson(const LoadReport& report) {
  json::object body;
  body["instance"] = report.instance;
  body["incarnation"] = report.incarnation;
  body["sequence"] = report.sequence;
  body["model"] = report.model;
  body["adapter"] = report.adapter;
  body["version"] = report.version;
  body["role"] = report.role;
  body["running"] = report.running;
  body["waiting"] = report.waiting;
  body["capacity"] = report.capacity;
  body["cold_limit"] = report.cold_limit;
  body["cold"] = report.cold;
  body["cache_blocks"] = report.cache_blocks;
  body["cache_capacity"] = report.cache_capacity;
  body["first_token_ms"] = report.first_token_ms;
  return body;
}

json::object ToJson(const CacheEventPage& page) {
  json::array events;
  for (const CacheEvent& event : page.events) {
    json::object entry;
    entry["sequence"] = event.sequence;
    entry["kind"] = event.kind == CacheEventKind::kStored ? "stored" : "evicted";
    entry["chat"] = event.chat;
    events.push_back(std::move(entry));
  }
  json::object body;
  body["incarnation"] = page.incarnation;
  body["first_sequence"] = page.first_sequence;
  body["events"] = std::move(events);
  return body;
}

json::object ToJson(const std::map<std::string, int>& counts) {
  json::object body;
  for (const auto& [key, count] : counts) {
    body[key] = count;
  }
  return body;
}

json::object ToJson(const EngineStats& stats, bool brief) {
  json::object body;
  body["requests"] = stats.requests;
  body["completed"] = stats.completed;
  body["cancelled"] = stats.cancelled;
  body["refused"] = stats.refused;
  body["lost_in_crashes"] = stats.lost_in_crashes;
  body["crashes"] = stats.crashes;
  body["cold_crashes"] = stats.cold_crashes;
  body["prompt_tokens"] = stats.prompt_tokens;
  body["cached_tokens"] = stats.cached_tokens;
  body["answer_tokens"] = stats.answer_tokens;
  body["orders_accepted"] = stats.orders_accepted;
  body["orders_refused"] = stats.orders_refused;
  body["peak_running"] = stats.peak_running;
  body["peak_running_cold"] = stats.peak_running_cold;
  body["peak_cold_overshoot"] = stats.peak_cold_overshoot;
  if (!brief) {
    body["runs_by_key"] = ToJson(stats.runs_by_key);
    body["runs_by_request_id"] = ToJson(stats.runs_by_request_id);
  }
  return body;
}

}  // namespace geraniumspread::standin::detail
