#include "engines/engines_types.h"

namespace geraniumspread::engines {

std::string_view ToString(EnginesErrorCode code) {
  switch (code) {
    case EnginesErrorCode::kTooLarge:
      return "too_large";
    case EnginesErrorCode::kMalformed:
      return "malformed";
    case EnginesErrorCode::kInvalidField:
      return "invalid_field";
    case EnginesErrorCode::kUnknownUpstream:
      return "unknown_upstream";
    case EnginesErrorCode::kStaleIncarnation:
      return "stale_incarnation";
    case EnginesErrorCode::kStaleSequence:
      return "stale_sequence";
    case EnginesErrorCode::kFenceOverflow:
      return "fence_overflow";
  }
  return "unknown";
}

}  // namespace geraniumspread::engines
