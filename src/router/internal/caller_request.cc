#include "router/internal/caller_request.h"

#include <algorithm>
#include <boost/json/parse.hpp>
#include <charconv>
#include <limits>
#include <utility>

#include "common/secure_bytes.h"

namespace geraniumspread::router::detail {
namespace {

namespace json = boost::json;
using transport::FindHeader;

constexpr std::string_view kChatTarget = "/v1/chat/completions";
constexpr std::string_view kServicePrefix = "/v1/services/";
constexpr std::size_t kMaxIdLength = 128;
constexpr std::size_t kRequestIdBytes = 16;
constexpr std::chrono::milliseconds kMaxDeadline = std::chrono::hours(1);
// A message after the first answer means that the chat has been here before.
constexpr std::size_t kMessagesOfNewChat = 2;

RequestError BadRequest(std::string_view code, std::string message) {
  return {400, code, std::move(message)};
}

bool IsPlainText(std::string_view text) {
  return !text.empty() && text.size() <= kMaxIdLength &&
         std::ranges::all_of(text,
                             [](char character) { return character > ' ' && character < 127; });
}

std::optional<std::uint64_t> ParseNumber(std::string_view text) {
  std::uint64_t number = 0;
  if (const auto [next, error] = std::from_chars(text.data(), text.data() + text.size(), number);
      error != std::errc() || next != text.data() + text.size()) {
    return std::nullopt;
  }
  return number;
}

std::optional<RequestError> ReadDeadline(const transport::HttpHeaders& headers,
                                         Duration default_deadline,
                                         TimePoint now,
                                         CallerRequest& result) {
  const std::string_view text = FindHeader(headers, "X-Deadline-Ms");
  if (text.empty()) {
    result.deadline = now + default_deadline;
    return std::nullopt;
  }
  const auto number = ParseNumber(text);
  if (!number || *number == 0 || *number > static_cast<std::uint64_t>(kMaxDeadline.count())) {
    return BadRequest("invalid_deadline",
                      "X-Deadline-Ms must be a whole number of milliseconds from 1 to 3600000");
  }
  result.deadline = now + std::chrono::milliseconds(*number);
  return std::nullopt;
}

std::optional<RequestError> ReadHeaders(const transport::HttpRequest& request,
                                        const config::Configuration& configuration,
                                        Duration default_deadline,
                                        TimePoint now,
                                        CallerRequest& result) {
  const transport::HttpHeaders& headers = request.headers;
  result.workspace = FindHeader(headers, "X-Workspace");
  const config::Workspace* workspace = config::FindWorkspace(configuration, result.workspace);
  if (workspace == nullptr) {
    return RequestError{403, "unknown_workspace",
                        result.workspace.empty() ? "the header X-Workspace is missing"
                                                 : "the workspace is not in the configuration"};
  }
  result.workspace_weight = static_cast<float>(workspace->weight);
  result.priority = request.method == "GET" ? PriorityClass::kLookup : PriorityClass::kDraft;
  if (const auto text = FindHeader(headers, "X-Priority");
      !text.empty() && !ParsePriorityClass(text, result.priority)) {
    return BadRequest("invalid_priority", "X-Priority must be suggestion, lookup, draft or batch");
  }
  result.priority = std::max(result.priority, workspace->max_priority);
  result.chat = FindHeader(headers, "X-Chat-Id");
  if (!result.chat.empty() && !IsPlainText(result.chat)) {
    return BadRequest("invalid_chat_id",
                      "X-Chat-Id must be 1 to 128 printable ASCII characters without spaces");
  }
  result.trace = observability::ParseTraceparent(FindHeader(headers, "traceparent"));
  result.content_type = FindHeader(headers, "Content-Type");
  return ReadDeadline(headers, default_deadline, now, result);
}

// The fields of a chat completion request that decide on its way.
struct ChatBody {
  std::string model;
  bool stream = false;
  std::size_t message_count = 0;
};

ResultOf<ChatBody, RequestError> ReadChatBody(std::string_view body) {
  json::error_code error;
  const json::value document = json::parse(body, error);
  if (error || !document.is_object()) {
    return BadRequest("invalid_json", "the body must be a JSON object");
  }
  const json::object& object = document.get_object();
  ChatBody result;
  const json::value* model = object.if_contains("model");
  if (model == nullptr || !model->is_string()) {
    return BadRequest("invalid_model", "the field \"model\" must be a string");
  }
  result.model = model->get_string();
  const json::value* messages = object.if_contains("messages");
  if (messages == nullptr || !messages->is_array() || messages->get_array().empty()) {
    return BadRequest("invalid_messages",
                      "the field \"messages\" must be a list that is not empty");
  }
  for (const json::value& message : messages->get_array()) {
    const json::object* entry = message.if_object();
    const json::value* role = entry == nullptr ? nullptr : entry->if_contains("role");
    const json::value* content = entry == nullptr ? nullptr : entry->if_contains("content");
    if (role == nullptr || !role->is_string() || content == nullptr || !content->is_string()) {
      return BadRequest("invalid_messages",
                        "each message needs the strings \"role\" and \"content\"");
    }
  }
  result.message_count = messages->get_array().size();
  if (const json::value* stream = object.if_contains("stream"); stream != nullptr) {
    if (!stream->is_bool()) {
      return BadRequest("invalid_stream", "the field \"stream\" must be true or false");
    }
    result.stream = stream->get_bool();
  }
  return result;
}

std::optional<RequestError> ReadLastEventId(const transport::HttpHeaders& headers,
                                            CallerRequest& result) {
  const std::string_view text = FindHeader(headers, "Last-Event-ID");
  if (text.empty()) {
    return std::nullopt;
  }
  result.last_event_id = ParseNumber(text);
  if (!result.last_event_id) {
    return BadRequest("invalid_last_event_id", "Last-Event-ID must be the id of an event");
  }
  return std::nullopt;
}

std::optional<RequestError> ReadChat(const transport::HttpRequest& request,
                                     const config::Configuration& configuration,
                                     CallerRequest& result) {
  if (request.method != "POST") {
    return RequestError{405, "method_not_allowed", "chat completions are sent with POST"};
  }
  const auto body = ReadChatBody(request.body);
  if (!body) {
    return body.error();
  }
  const config::Workspace* workspace = config::FindWorkspace(configuration, result.workspace);
  const auto pools = config::FindPoolsServing(configuration, body.value().model);
  if (pools.empty()) {
    return RequestError{404, "unknown_model",
                        "no pool serves the model \"" + body.value().model + "\""};
  }
  if (!config::AllowsModel(*workspace, body.value().model)) {
    return RequestError{403, "model_not_allowed", "the workspace may not use this model"};
  }
  result.pool = pools.front()->name;
  result.target = kChatTarget;
  result.has_history = body.value().message_count > kMessagesOfNewChat;
  result.request_class =
      body.value().stream ? outcomes::RequestClass::kStream : outcomes::RequestClass::kIdempotent;
  return body.value().stream ? ReadLastEventId(request.headers, result) : std::nullopt;
}

std::optional<RequestError> ReadServiceCall(const transport::HttpRequest& request,
                                            const config::Configuration& configuration,
                                            CallerRequest& result) {
  const std::string_view rest = std::string_view(request.target).substr(kServicePrefix.size());
  const std::size_t slash = rest.find('/');
  const std::string_view name = rest.substr(0, slash);
  const std::string_view path = slash == std::string_view::npos ? "/" : rest.substr(slash);
  const config::Service* service = config::FindService(configuration, name);
  if (service == nullptr) {
    return RequestError{404, "unknown_service", "the service is not in the configuration"};
  }
  result.pool = service->name;
  result.target = request.target;
  const bool is_repeatable = config::IsRepeatable(*service, request.method, path);
  result.request_class =
      is_repeatable ? outcomes::RequestClass::kIdempotent : outcomes::RequestClass::kNonRepeatable;
  result.ticket = FindHeader(request.headers, "Idempotency-Key");
  return std::nullopt;
}

}  // namespace

std::string RequestIdOf(const transport::HttpRequest& request) {
  const std::string_view given = FindHeader(request.headers, "X-Request-Id");
  return IsPlainText(given) ? std::string(given) : RandomHex(kRequestIdBytes);
}

ResultOf<CallerRequest, RequestError> ReadCallerRequest(const config::Configuration& configuration,
                                                        transport::HttpRequest request,
                                                        Duration default_deadline,
                                                        TimePoint now) {
  CallerRequest result;
  result.request_id = RequestIdOf(request);
  result.method = request.method;
  const bool is_chat = request.target == kChatTarget;
  if (!is_chat && !request.target.starts_with(kServicePrefix)) {
    return RequestError{404, "unknown_path", "there is nothing at this path"};
  }
  if (auto error = ReadHeaders(request, configuration, default_deadline, now, result); error) {
    return std::move(*error);
  }
  auto error = is_chat ? ReadChat(request, configuration, result)
                       : ReadServiceCall(request, configuration, result);
  if (error) {
    return std::move(*error);
  }
  result.body = std::move(request.body);
  result.fingerprint = outcomes::FingerprintOf(result.workspace, result.pool, result.body);
  if (result.chat.empty()) {
    result.chat = result.request_id;
  }
  return result;
}

}  // namespace geraniumspread::router::detail
