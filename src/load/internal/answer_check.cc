#include "load/answer_check.h"

#include <boost/json/parse.hpp>
#include <charconv>

#include "standin/answer_text.h"

namespace geraniumspread::load {
namespace {

namespace json = boost::json;

constexpr std::string_view kEventEnd = "\n\n";

std::optional<json::object> ParseObject(std::string_view text) {
  json::error_code error;
  json::value value = json::parse(text, error);
  if (error || !value.is_object()) {
    return std::nullopt;
  }
  return std::move(value.as_object());
}

std::string_view StringMember(const json::object& object, std::string_view name) {
  const json::value* member = object.if_contains(name);
  return member != nullptr && member->is_string() ? std::string_view(member->get_string())
                                                  : std::string_view();
}

const json::object* ObjectMember(const json::object& object, std::string_view name) {
  const json::value* member = object.if_contains(name);
  return member != nullptr ? member->if_object() : nullptr;
}

const json::object* FirstChoice(const json::object& body) {
  const json::value* choices = body.if_contains("choices");
  if (choices == nullptr || !choices->is_array() || choices->get_array().size() != 1) {
    return nullptr;
  }
  return choices->get_array().front().if_object();
}

std::optional<std::uint64_t> CachedTokens(const json::object& body) {
  const json::object* usage = ObjectMember(body, "usage");
  const json::value* cached = usage != nullptr ? usage->if_contains("cached_tokens") : nullptr;
  if (cached == nullptr) {
    return std::nullopt;
  }
  json::error_code error;
  const auto number = cached->to_number<std::uint64_t>(error);
  return error ? std::nullopt : std::optional(number);
}

// The value of the field `name` in a server-sent event.
std::string_view EventField(std::string_view event, std::string_view name) {
  while (!event.empty()) {
    std::string_view line = event.substr(0, event.find('\n'));
    event.remove_prefix(std::min(event.size(), line.size() + 1));
    if (line.starts_with(name) && line.substr(name.size()).starts_with(':')) {
      line.remove_prefix(name.size() + 1);
      return line.starts_with(' ') ? line.substr(1) : line;
    }
  }
  return {};
}

AnswerFault CheckExactAnswer(std::string_view request_id,
                             std::string_view header_id,
                             std::string_view body,
                             std::string_view expected_body) {
  if (header_id != request_id) {
    return AnswerFault::kOtherRequest;
  }
  return body == expected_body ? AnswerFault::kNone : AnswerFault::kWrongText;
}

}  // namespace

std::string_view ToString(AnswerFault fault) {
  switch (fault) {
    case AnswerFault::kNone:
      return "none";
    case AnswerFault::kMalformed:
      return "malformed";
    case AnswerFault::kOtherRequest:
      return "other_request";
    case AnswerFault::kWrongText:
      return "wrong_text";
    case AnswerFault::kOffsetGap:
      return "offset_gap";
    case AnswerFault::kOffsetRepeat:
      return "offset_repeat";
    case AnswerFault::kNoFinalMarker:
      return "no_final_marker";
    case AnswerFault::kExtraData:
      return "extra_data";
  }
  return "unknown";
}

CheckedAnswer CheckWholeAnswer(const ExpectedChat& expected,
                               std::string_view header_id,
                               std::string_view body) {
  const std::optional<json::object> answer = ParseObject(body);
  if (!answer) {
    return {AnswerFault::kMalformed, std::nullopt};
  }
  const json::object* choice = FirstChoice(*answer);
  const json::object* message = choice != nullptr ? ObjectMember(*choice, "message") : nullptr;
  if (message == nullptr) {
    return {AnswerFault::kMalformed, std::nullopt};
  }
  CheckedAnswer checked;
  checked.cached_tokens = CachedTokens(*answer);
  if (header_id != expected.request_id || StringMember(*answer, "id") != expected.request_id) {
    checked.fault = AnswerFault::kOtherRequest;
  } else if (StringMember(*message, "content") !=
             standin::AnswerText(expected.prompt, expected.max_tokens)) {
    checked.fault = AnswerFault::kWrongText;
  } else if (StringMember(*choice, "finish_reason") != "stop") {
    checked.fault = AnswerFault::kNoFinalMarker;
  }
  return checked;
}

AnswerFault CheckLookup(std::string_view request_id,
                        std::string_view target,
                        std::string_view header_id,
                        std::string_view body) {
  return CheckExactAnswer(request_id, header_id, body, standin::LookupAnswer(target));
}

AnswerFault CheckOrder(std::string_view request_id,
                       std::string_view idempotency_key,
                       std::string_view order,
                       std::string_view header_id,
                       std::string_view body) {
  return CheckExactAnswer(request_id, header_id, body,
                          standin::OrderAnswer(idempotency_key, order));
}

StreamCheck::StreamCheck(ExpectedChat expected_chat)
    : expected(std::move(expected_chat)),
      tag(standin::AnswerTag(expected.prompt)),
      total(standin::AnswerTokenCount(expected.prompt, expected.max_tokens)) {}

void StreamCheck::Fail(AnswerFault fault) {
  if (this->result.fault == AnswerFault::kNone) {
    this->result.fault = fault;
  }
}

std::optional<int> StreamCheck::LastEventId() const {
  return this->next_offset > 0 ? std::optional(this->next_offset - 1) : std::nullopt;
}

int StreamCheck::Feed(std::string_view bytes) {
  this->buffer += bytes;
  int tokens = 0;
  std::size_t begin = 0;
  for (std::size_t end = this->buffer.find(kEventEnd); end != std::string::npos;
       end = this->buffer.find(kEventEnd, begin)) {
    tokens += this->TakeEvent(std::string_view(this->buffer).substr(begin, end - begin));
    begin = end + kEventEnd.size();
  }
  this->buffer.erase(0, begin);
  return tokens;
}

int StreamCheck::TakeEvent(std::string_view event) {
  const std::string_view data = EventField(event, "data");
  if (data.empty()) {
    return 0;  // a comment or a keep-alive
  }
  if (this->done) {
    this->Fail(AnswerFault::kExtraData);
    return 0;
  }
  if (data == "[DONE]") {
    this->done = true;
    return 0;
  }
  return this->TakeData(EventField(event, "id"), data);
}

int StreamCheck::TakeData(std::string_view id, std::string_view data) {
  const std::optional<json::object> body = ParseObject(data);
  if (!body) {
    this->Fail(AnswerFault::kMalformed);
    return 0;
  }
  const json::object* choice = FirstChoice(*body);
  const json::object* delta = choice != nullptr ? ObjectMember(*choice, "delta") : nullptr;
  if (delta == nullptr) {
    this->Fail(AnswerFault::kMalformed);
    return 0;
  }
  if (StringMember(*body, "id") != this->expected.request_id) {
    this->Fail(AnswerFault::kOtherRequest);
  }
  if (auto cached = CachedTokens(*body); cached) {
    this->result.cached_tokens = cached;
  }
  if (this->stopped) {
    this->Fail(AnswerFault::kExtraData);
  }
  this->stopped = StringMember(*choice, "finish_reason") == "stop";
  const std::string_view content = StringMember(*delta, "content");
  if (content.empty()) {
    return 0;
  }
  int offset = -1;
  const char* id_begin = id.data();
  std::from_chars(id_begin, id_begin + id.size(), offset);
  if (offset != this->next_offset) {
    this->Fail(offset > this->next_offset ? AnswerFault::kOffsetGap : AnswerFault::kOffsetRepeat);
    return 0;
  }
  if (content != standin::AnswerToken(this->tag, offset)) {
    this->Fail(AnswerFault::kWrongText);
  }
  ++this->next_offset;
  return 1;
}

CheckedAnswer StreamCheck::Finish() const {
  CheckedAnswer checked = this->result;
  if (checked.fault == AnswerFault::kNone) {
    if (!this->done || !this->stopped) {
      checked.fault = AnswerFault::kNoFinalMarker;
    } else if (this->next_offset != this->total) {
      checked.fault = AnswerFault::kOffsetGap;
    }
  }
  return checked;
}

}  // namespace geraniumspread::load
