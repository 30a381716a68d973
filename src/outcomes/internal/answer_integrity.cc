#include "outcomes/answer_integrity.h"

#include <charconv>
#include <limits>
#include <utility>

namespace geraniumspread::outcomes {
namespace {

std::optional<std::uint64_t> ParseOffset(std::string_view text) {
  std::uint64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return value;
}

AnswerFault Fault(AnswerCheck& check, AnswerFault fault) {
  // The first fault is the cause of those after it.
  if (check.fault == AnswerFault::kNone) {
    check.fault = fault;
  }
  return check.fault;
}

void FinishEvent(SseParser& parser, std::vector<SseEvent>& events) {
  if (parser.has_data) {
    events.push_back({.offset = parser.offset, .data = std::move(parser.data)});
  }
  parser.data.clear();
  parser.offset.reset();
  parser.has_data = false;
}

void TakeField(SseParser& parser, std::string_view name, std::string_view value) {
  if (name == "data") {
    if (parser.has_data) {
      parser.data.push_back('\n');
    }
    parser.data += value;
    parser.has_data = true;
  } else if (name == "id") {
    parser.offset = ParseOffset(value);
    parser.malformed = parser.malformed || !parser.offset;
  }
}

void TakeLine(SseParser& parser, std::vector<SseEvent>& events) {
  const std::string line = std::exchange(parser.line, {});
  if (line.empty()) {
    FinishEvent(parser, events);
    return;
  }
  const std::size_t colon = line.find(':');
  // A line that starts with a colon is a comment.
  if (colon == 0) {
    return;
  }
  const std::string_view text = line;
  std::string_view value = colon == std::string::npos ? "" : text.substr(colon + 1);
  if (value.starts_with(' ')) {
    value.remove_prefix(1);
  }
  TakeField(parser, text.substr(0, colon), value);
}

StreamAction StreamFault(StreamProgress& progress, AnswerFault fault) {
  progress.fault = fault;
  return StreamAction::kFault;
}

}  // namespace

AnswerCheck MakeAnswerCheck(const IntegrityPolicy& policy, std::string request_id) {
  AnswerCheck check;
  check.policy = policy;
  check.request_id = std::move(request_id);
  return check;
}

AnswerFault OnAnswerHead(AnswerCheck& check,
                         std::string_view echoed_id,
                         std::optional<std::uint64_t> declared_length) {
  check.head_seen = true;
  check.declared_length = declared_length;
  if (check.policy.check_request_id && echoed_id != check.request_id) {
    return Fault(check, AnswerFault::kWrongRequestId);
  }
  return check.fault;
}

AnswerFault OnAnswerBytes(AnswerCheck& check, std::uint64_t count) {
  check.received += count;
  return check.fault;
}

AnswerFault OnAnswerEnd(AnswerCheck& check, bool framed_end, std::uint64_t bytes_after_end) {
  check.ended = true;
  const bool short_body = check.declared_length && check.received < *check.declared_length;
  if (check.policy.check_length && (!check.head_seen || !framed_end || short_body)) {
    return Fault(check, AnswerFault::kTruncated);
  }
  const bool long_body = check.declared_length && check.received > *check.declared_length;
  if (check.policy.check_extra_bytes && (bytes_after_end > 0 || long_body)) {
    return Fault(check, AnswerFault::kExtraBytes);
  }
  return check.fault;
}

bool IsAnswerIntact(const AnswerCheck& check) {
  return check.ended &&
         (check.fault == AnswerFault::kNone || check.fault == AnswerFault::kExtraBytes);
}

bool CanReuseConnection(const AnswerCheck& check, bool keep_alive) {
  return keep_alive && check.ended && check.fault == AnswerFault::kNone;
}

bool FeedSse(SseParser& parser, std::string_view bytes, std::vector<SseEvent>& events) {
  for (const char byte : bytes) {
    if (parser.malformed) {
      return false;
    }
    const bool second_of_pair = parser.after_carriage_return && byte == '\n';
    parser.after_carriage_return = byte == '\r';
    if (second_of_pair) {
      continue;
    }
    if (byte == '\n' || byte == '\r') {
      TakeLine(parser, events);
      continue;
    }
    parser.line.push_back(byte);
    parser.malformed = parser.line.size() + parser.data.size() > parser.max_event_bytes;
  }
  return !parser.malformed;
}

bool AtEventBoundary(const SseParser& parser) {
  return parser.line.empty() && !parser.has_data && !parser.offset;
}

void AppendSse(const SseEvent& event, std::string& out) {
  if (event.offset) {
    out += "id: " + std::to_string(*event.offset) + "\n";
  }
  std::string_view rest = event.data;
  for (std::size_t end = rest.find('\n'); end != std::string_view::npos; end = rest.find('\n')) {
    out += "data: ";
    out += rest.substr(0, end + 1);
    rest.remove_prefix(end + 1);
  }
  out += "data: ";
  out += rest;
  out += "\n\n";
}

StreamProgress MakeStreamProgress(const IntegrityPolicy& policy,
                                  std::optional<std::uint64_t> last_event_id) {
  StreamProgress progress;
  progress.policy = policy;
  progress.next_offset = progress.first_offset;
  if (last_event_id) {
    const bool last = *last_event_id == std::numeric_limits<std::uint64_t>::max();
    progress.next_offset = last ? *last_event_id : *last_event_id + 1;
  }
  return progress;
}

StreamAction OnStreamEvent(StreamProgress& progress, const SseEvent& event) {
  if (progress.fault != AnswerFault::kNone) {
    return StreamAction::kFault;
  }
  if (progress.final_marker) {
    return StreamFault(progress, AnswerFault::kExtraBytes);
  }
  if (event.data == kFinalMarker) {
    progress.final_marker = true;
    return StreamAction::kFinish;
  }
  if (!event.offset) {
    return StreamFault(progress, AnswerFault::kMalformedStream);
  }
  if (*event.offset > progress.next_offset) {
    return StreamFault(progress, AnswerFault::kStreamGap);
  }
  if (*event.offset < progress.next_offset) {
    progress.duplicates += 1;
    return progress.policy.drop_duplicates ? StreamAction::kDrop : StreamAction::kForward;
  }
  progress.next_offset += 1;
  return StreamAction::kForward;
}

bool OnStreamEnd(StreamProgress& progress) {
  if (progress.final_marker || !progress.policy.require_final_marker) {
    return true;
  }
  if (progress.fault == AnswerFault::kNone) {
    progress.fault = AnswerFault::kMissingFinalMarker;
  }
  return false;
}

void BeginStreamAttempt(StreamProgress& progress) {
  progress.fault = AnswerFault::kNone;
}

std::optional<ResumePlan> PlanResume(const StreamProgress& progress, std::uint32_t attempts_left) {
  if (progress.final_marker || attempts_left == 0) {
    return std::nullopt;
  }
  return ResumePlan{.tokens_to_skip = progress.next_offset - progress.first_offset,
                    .attempts_left = attempts_left - 1};
}

}  // namespace geraniumspread::outcomes
