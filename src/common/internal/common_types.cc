#include "common/common_types.h"

namespace geraniumspread {

std::string_view ToString(PriorityClass priority) {
  switch (priority) {
    case PriorityClass::kSuggestion:
      return "suggestion";
    case PriorityClass::kLookup:
      return "lookup";
    case PriorityClass::kDraft:
      return "draft";
    case PriorityClass::kBatch:
      return "batch";
  }
  return "draft";
}

std::string_view ToString(RunState state) {
  switch (state) {
    case RunState::kNotRun:
      return "no";
    case RunState::kUnknown:
      return "unknown";
    case RunState::kRan:
      return "yes";
  }
  return "unknown";
}

bool ParsePriorityClass(std::string_view text, PriorityClass& priority) {
  for (int index = 0; index < kPriorityClassCount; ++index) {
    if (const auto candidate = static_cast<PriorityClass>(index); ToString(candidate) == text) {
      priority = candidate;
      return true;
    }
  }
  return false;
}

}  // namespace geraniumspread
