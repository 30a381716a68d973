#include "standin/answer_text.h"

#include <algorithm>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "common/hash.h"
#include "common/secure_bytes.h"

namespace geraniumspread::standin {
namespace {

constexpr std::uint32_t kTagCount = 1000;
constexpr std::uint64_t kLookupSeed = 17;

bool IsSpace(char character) {
  return character == ' ' || character == '\n' || character == '\t' || character == '\r';
}

}  // namespace

std::string JoinMessages(std::span<const ChatMessage> messages) {
  std::string prompt;
  for (const ChatMessage& message : messages) {
    prompt += message.content;
    prompt += '\n';
  }
  return prompt;
}

std::size_t CountTokens(std::string_view text) {
  std::size_t count = 0;
  bool in_token = false;
  for (const char character : text) {
    const bool space = IsSpace(character);
    count += (!space && !in_token) ? 1 : 0;
    in_token = !space;
  }
  return count;
}

int AnswerTokenCount(std::string_view prompt, int max_tokens) {
  if (max_tokens > 0) {
    return std::min(max_tokens, kMaxAnswerTokens);
  }
  constexpr std::uint64_t kLeast = 16;
  constexpr std::uint64_t kSpan = 48;
  return static_cast<int>(kLeast + (StableHash(prompt) / kTagCount) % kSpan);
}

std::uint32_t AnswerTag(std::string_view prompt) {
  return static_cast<std::uint32_t>(StableHash(prompt) % kTagCount);
}

std::string AnswerToken(std::uint32_t tag, int offset) {
  std::string token = offset > 0 ? " w" : "w";
  token += std::to_string(tag);
  token += '-';
  token += std::to_string(offset);
  return token;
}

std::string AnswerText(std::string_view prompt, int max_tokens) {
  const std::uint32_t tag = AnswerTag(prompt);
  const int count = AnswerTokenCount(prompt, max_tokens);
  std::string text;
  for (int offset = 0; offset < count; ++offset) {
    text += AnswerToken(tag, offset);
  }
  return text;
}

std::string LookupAnswer(std::string_view target) {
  boost::json::object body;
  body["target"] = target;
  body["value"] = std::to_string(StableHash(target, kLookupSeed));
  return boost::json::serialize(body);
}

std::string OrderAnswer(std::string_view idempotency_key, std::string_view body) {
  boost::json::object answer;
  answer["key"] = idempotency_key;
  answer["body_sha256"] = Sha256Hex(body);
  return boost::json::serialize(answer);
}

}  // namespace geraniumspread::standin
