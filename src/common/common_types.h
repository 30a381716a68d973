#ifndef COMMON_COMMON_TYPES_H_
#define COMMON_COMMON_TYPES_H_

#include <cstdint>
#include <string_view>

// Value types that several modules share.
namespace geraniumspread {

// Order of urgency between requests. A lower value is more urgent.
enum class PriorityClass : std::uint8_t {
  kSuggestion = 0,
  kLookup = 1,
  kDraft = 2,
  kBatch = 3,
};
inline constexpr int kPriorityClassCount = 4;

enum class UpstreamKind : std::uint8_t { kModelEngine, kPlainService };

// What is known about whether an upstream ran a request that has no answer.
enum class RunState : std::uint8_t { kNotRun, kUnknown, kRan };

// Wire forms: "suggestion", "lookup", "draft", "batch".
std::string_view ToString(PriorityClass priority);
// Wire forms of the X-Ran header: "no", "unknown", "yes".
std::string_view ToString(RunState state);
// Returns false and leaves `priority` unchanged when `text` names no class.
bool ParsePriorityClass(std::string_view text, PriorityClass& priority);

}  // namespace geraniumspread

#endif  // COMMON_COMMON_TYPES_H_
