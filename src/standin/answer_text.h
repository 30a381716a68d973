#ifndef STANDIN_ANSWER_TEXT_H_
#define STANDIN_ANSWER_TEXT_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

// The answers of the stand-ins as pure functions of the request, so that a
// client can check an answer whole. Every stand-in gives the same answer.
namespace geraniumspread::standin {

// Prefix caches hold whole blocks of this many tokens.
inline constexpr std::size_t kCacheBlockTokens = 16;
// The number of answer tokens is never larger than this.
inline constexpr int kMaxAnswerTokens = 4096;

struct ChatMessage {
  std::string role;
  std::string content;
};

// The prompt of a chat: the contents of its messages, each followed by a newline.
std::string JoinMessages(std::span<const ChatMessage> messages);

// Tokens are words separated by white space.
std::size_t CountTokens(std::string_view text);

// `max_tokens` when it is positive, otherwise a count from 16 to 63 derived from the prompt.
int AnswerTokenCount(std::string_view prompt, int max_tokens);

// The tag shared by all answer tokens of a prompt: StableHash(prompt) mod 1000.
std::uint32_t AnswerTag(std::string_view prompt);

// The token at `offset` (from 0): "w<tag>-<offset>", with a space before every
// token but the first, so that joined tokens are the answer text.
std::string AnswerToken(std::uint32_t tag, int offset);

// The whole answer text.
std::string AnswerText(std::string_view prompt, int max_tokens);

// The JSON body of a plain service's answer to `GET target`.
std::string LookupAnswer(std::string_view target);

// The JSON body of a plain service's answer to a POST: the key and the SHA-256 of the body.
std::string OrderAnswer(std::string_view idempotency_key, std::string_view body);

}  // namespace geraniumspread::standin

#endif  // STANDIN_ANSWER_TEXT_H_
