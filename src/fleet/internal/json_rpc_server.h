#ifndef FLEET_INTERNAL_JSON_RPC_SERVER_H_
#define FLEET_INTERNAL_JSON_RPC_SERVER_H_

#include <memory>
#include <string>

#include "fleet/fleet_types.h"
#include "fleet/peer_messages.h"

namespace geraniumspread::fleet::detail {

// Reads JSON-RPC 2.0 notifications with libjsonrpccpp, which checks the protocol
// and dispatches each method to a typed handler.
class NotificationReader {
 public:
  NotificationReader();
  NotificationReader(const NotificationReader&) = delete;
  NotificationReader& operator=(const NotificationReader&) = delete;
  ~NotificationReader();

  // Errors: kMalformed, kInvalidField, kTooLarge, kUnsupportedVersion,
  // kUnknownMethod. A payload must hold exactly one notification.
  Result<PeerMessage> Read(const std::string& payload);

 private:
  class Connector;
  class Server;
  std::unique_ptr<Connector> connector;
  std::unique_ptr<Server> server;
};

}  // namespace geraniumspread::fleet::detail

#endif  // FLEET_INTERNAL_JSON_RPC_SERVER_H_
