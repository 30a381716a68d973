#include "fleet/fleet_types.h"

#include <algorithm>

namespace geraniumspread::fleet {

std::string_view ToString(FleetErrorCode code) {
  switch (code) {
    case FleetErrorCode::kTooLarge:
      return "too_large";
    case FleetErrorCode::kMalformed:
      return "malformed";
    case FleetErrorCode::kInvalidField:
      return "invalid_field";
    case FleetErrorCode::kImplausibleList:
      return "implausible_list";
    case FleetErrorCode::kStaleList:
      return "stale_list";
    case FleetErrorCode::kStaleIncarnation:
      return "stale_incarnation";
    case FleetErrorCode::kBadMac:
      return "bad_mac";
    case FleetErrorCode::kReplayedSequence:
      return "replayed_sequence";
    case FleetErrorCode::kUnsupportedVersion:
      return "unsupported_version";
    case FleetErrorCode::kUnknownMethod:
      return "unknown_method";
    case FleetErrorCode::kSelfSender:
      return "self_sender";
  }
  return "unknown";
}

std::string_view ToString(RouterState state) {
  switch (state) {
    case RouterState::kStarting:
      return "starting";
    case RouterState::kServing:
      return "serving";
    case RouterState::kDraining:
      return "draining";
  }
  return "starting";
}

bool IsValidId(std::string_view id) {
  if (id.empty() || id.size() > kMaxIdBytes) {
    return false;
  }
  return std::ranges::all_of(id, [](char c) { return c > ' ' && c < '\x7f'; });
}

}  // namespace geraniumspread::fleet
