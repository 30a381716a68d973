#include "fleet/peer_messages.h"

#include <array>

namespace geraniumspread::fleet {

std::string_view MethodName(std::size_t type_index) {
  static constexpr std::array<std::string_view, kMessageTypeCount> kNames = {
      "heartbeat",     "lease_request",  "lease_reply", "lease_release",
      "config_offer",  "config_request", "config_part", "quarantine",
      "share_request", "share_grant",    "share_return"};
  return kNames.at(type_index);
}

}  // namespace geraniumspread::fleet
