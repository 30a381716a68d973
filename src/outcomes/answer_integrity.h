#ifndef OUTCOMES_ANSWER_INTEGRITY_H_
#define OUTCOMES_ANSWER_INTEGRITY_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "outcomes/outcomes_types.h"

namespace geraniumspread::outcomes {

enum class AnswerFault : std::uint8_t {
  kNone,
  kWrongRequestId,
  kTruncated,
  kExtraBytes,
  kMalformedStream,
  kStreamGap,
  kMissingFinalMarker,
};

struct IntegrityPolicy {
  bool check_request_id = true;
  bool check_length = true;
  bool check_extra_bytes = true;
  bool require_final_marker = true;
  bool drop_duplicates = true;
};

// Checks of one answer. Feed the head, the body sizes, and then the end.
struct AnswerCheck {
  IntegrityPolicy policy;
  std::string request_id;
  // Unset for chunked bodies, whose end the HTTP parser detects.
  std::optional<std::uint64_t> declared_length;
  std::uint64_t received = 0;
  bool head_seen = false;
  bool ended = false;
  AnswerFault fault = AnswerFault::kNone;
};

AnswerCheck MakeAnswerCheck(const IntegrityPolicy& policy, std::string request_id);
// `echoed_id` is the X-Request-Id of the answer, empty when it has none.
AnswerFault OnAnswerHead(AnswerCheck& check,
                         std::string_view echoed_id,
                         std::optional<std::uint64_t> declared_length);
AnswerFault OnAnswerBytes(AnswerCheck& check, std::uint64_t count);
// `framed_end`: the HTTP parser saw the end of the body (length reached or last chunk). False when
// the connection closed. `bytes_after_end`: bytes read beyond the end of the answer.
AnswerFault OnAnswerEnd(AnswerCheck& check, bool framed_end, std::uint64_t bytes_after_end);
// True for an answer that was read to its end and may be passed on as complete. Extra bytes after
// the end don't damage it; they only forbid the reuse of the connection. A body that ends with the
// connection has no declared end and is never complete.
bool IsAnswerIntact(const AnswerCheck& check);
// True only for an answer that was read to its end, without a fault, on a connection that both
// sides keep open.
bool CanReuseConnection(const AnswerCheck& check, bool keep_alive);

// Server-sent events. One event carries one token.
struct SseEvent {
  // The `id` field, when it is a decimal token offset.
  std::optional<std::uint64_t> offset;
  std::string data;
};

struct SseParser {
  // Longest event in bytes; a longer one makes the stream malformed.
  std::size_t max_event_bytes = std::size_t{64} << 10U;
  std::string line;
  std::string data;
  std::optional<std::uint64_t> offset;
  bool has_data = false;
  bool after_carriage_return = false;
  bool malformed = false;
};

// Appends the events that `bytes` complete. Bytes may be split anywhere. Returns false once the
// stream is malformed: an event that is too long, or an id that is not a number.
bool FeedSse(SseParser& parser, std::string_view bytes, std::vector<SseEvent>& events);
// True when no part of an event is pending.
bool AtEventBoundary(const SseParser& parser);
// Appends the text form of an event.
void AppendSse(const SseEvent& event, std::string& out);

inline constexpr std::string_view kFinalMarker = "[DONE]";

// Progress of one stream over all its attempts.
struct StreamProgress {
  IntegrityPolicy policy;
  // Offset of the first token of a stream.
  std::uint64_t first_offset = 0;
  // Offset of the next token that the caller needs.
  std::uint64_t next_offset = 0;
  std::uint64_t duplicates = 0;
  bool final_marker = false;
  AnswerFault fault = AnswerFault::kNone;
};

enum class StreamAction : std::uint8_t {
  // Pass the event on to the caller.
  kForward,
  // A token that the caller already has.
  kDrop,
  // Pass on the final marker; the stream is complete.
  kFinish,
  // Close the connection; resume or fail. `fault` says why.
  kFault,
};

// `last_event_id` is set when the caller resumes: it has all tokens up to this offset.
StreamProgress MakeStreamProgress(const IntegrityPolicy& policy,
                                  std::optional<std::uint64_t> last_event_id);
StreamAction OnStreamEvent(StreamProgress& progress, const SseEvent& event);
// Call when the connection or the HTTP body ends. True only after the final marker.
bool OnStreamEnd(StreamProgress& progress);
// Clears the fault of the last attempt before a resume.
void BeginStreamAttempt(StreamProgress& progress);

// Value of X-Resume-Offset and how often a stream may still be resumed.
struct ResumePlan {
  std::uint64_t tokens_to_skip = 0;
  std::uint32_t attempts_left = 0;
};
// Unset when no attempt is left or the stream is complete.
std::optional<ResumePlan> PlanResume(const StreamProgress& progress, std::uint32_t attempts_left);

}  // namespace geraniumspread::outcomes

#endif  // OUTCOMES_ANSWER_INTEGRITY_H_
