#include "config/config_error.h"

namespace geraniumspread::config {

std::string_view ToString(ConfigErrorCode code) {
  switch (code) {
    case ConfigErrorCode::kTooLarge:
      return "too_large";
    case ConfigErrorCode::kMalformed:
      return "malformed";
    case ConfigErrorCode::kUnsupportedFormat:
      return "unsupported_format";
    case ConfigErrorCode::kNotCanonical:
      return "not_canonical";
    case ConfigErrorCode::kInvalidValue:
      return "invalid_value";
    case ConfigErrorCode::kPartMismatch:
      return "part_mismatch";
  }
  return "malformed";
}

}  // namespace geraniumspread::config
