#ifndef LOAD_ANSWER_CHECK_H_
#define LOAD_ANSWER_CHECK_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

// Checks answers of the stand-ins whole. The expected text is recomputed from
// the request (standin/answer_text.h).
namespace geraniumspread::load {

enum class AnswerFault : std::uint8_t {
  kNone,
  kMalformed,      // not the documented form
  kOtherRequest,   // the answer names another request
  kWrongText,      // the text differs from the expected one
  kOffsetGap,      // a stream left out tokens
  kOffsetRepeat,   // a stream sent tokens twice
  kNoFinalMarker,  // a stream ended without its last events
  kExtraData,      // a stream went on after its end
};
inline constexpr int kAnswerFaultCount = 8;

std::string_view ToString(AnswerFault fault);

struct ExpectedChat {
  std::string request_id;
  std::string prompt;
  int max_tokens = 0;
};

struct CheckedAnswer {
  AnswerFault fault = AnswerFault::kNone;
  std::optional<std::uint64_t> cached_tokens;  // when the answer states it
};

// `header_id` is the answer's X-Request-Id.
CheckedAnswer CheckWholeAnswer(const ExpectedChat& expected,
                               std::string_view header_id,
                               std::string_view body);
AnswerFault CheckLookup(std::string_view request_id,
                        std::string_view target,
                        std::string_view header_id,
                        std::string_view body);
AnswerFault CheckOrder(std::string_view request_id,
                       std::string_view idempotency_key,
                       std::string_view order,
                       std::string_view header_id,
                       std::string_view body);

// Checks a stream while it arrives. After a connection has ended early, the
// stream may go on in another answer: call RestartConnection, then feed it.
class StreamCheck {
 public:
  explicit StreamCheck(ExpectedChat expected_chat);

  // Takes the next bytes. Returns the number of tokens that they completed.
  int Feed(std::string_view bytes);
  // Drops an incomplete event of the connection that ended.
  void RestartConnection() { this->buffer.clear(); }
  // The verdict at the end of the stream.
  CheckedAnswer Finish() const;

  AnswerFault Fault() const { return this->result.fault; }
  bool IsDone() const { return this->done; }
  // The Last-Event-ID for a resumed stream; empty before the first event.
  std::optional<int> LastEventId() const;

 private:
  int TakeEvent(std::string_view event);
  int TakeData(std::string_view id, std::string_view data);
  void Fail(AnswerFault fault);

  ExpectedChat expected;
  std::uint32_t tag = 0;
  int total = 0;
  int next_offset = 0;
  bool stopped = false;  // saw finish_reason "stop"
  bool done = false;     // saw [DONE]
  std::string buffer;
  CheckedAnswer result;
};

}  // namespace geraniumspread::load

#endif  // LOAD_ANSWER_CHECK_H_
