#ifndef FLEET_INTERNAL_MESSAGE_JSON_H_
#define FLEET_INTERNAL_MESSAGE_JSON_H_

#include <json/json.h>

#include "fleet/fleet_types.h"
#include "fleet/peer_messages.h"

namespace geraniumspread::fleet::detail {

// Parameters of the notification that carries `message`.
Json::Value ToParameters(const PeerMessage& message);

// Reads the parameters of one message type. Errors: kInvalidField, kTooLarge,
// kUnsupportedVersion.
template <typename Message>
Result<Message> FromParameters(const Json::Value& parameters);

}  // namespace geraniumspread::fleet::detail

#endif  // FLEET_INTERNAL_MESSAGE_JSON_H_
