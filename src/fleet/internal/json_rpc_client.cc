// This file is compiled as C++14: the client headers of libjsonrpccpp use
// dynamic exception specifications, which C++17 removed.
#include "fleet/internal/json_rpc_client.h"

#include <jsonrpccpp/client.h>

namespace geraniumspread {
namespace fleet {
namespace detail {
namespace {

// Stores the message instead of sending it. The caller puts it into a frame.
class CapturingConnector : public jsonrpc::IClientConnector {
 public:
  void SendRPCMessage(const std::string& message, std::string& result) noexcept override {
    this->text = message;
    result.clear();
  }

  std::string text;
};

}  // namespace

std::string BuildNotification(const std::string& method, const Json::Value& parameters) {
  CapturingConnector connector;
  jsonrpc::Client client(connector, jsonrpc::JSONRPC_CLIENT_V2);
  client.CallNotification(method, parameters);
  return connector.text;
}

}  // namespace detail
}  // namespace fleet
}  // namespace geraniumspread
