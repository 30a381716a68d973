#include "fleet/internal/json_rpc_server.h"

#include <json/json.h>
#include <jsonrpccpp/server.h>

#include <optional>
#include <utility>

#include "fleet/internal/message_json.h"

namespace geraniumspread::fleet::detail {
namespace {

constexpr int kMethodNotFound = -32601;
constexpr int kNoError = 0;

// Returns the error code of a JSON-RPC response, or kNoError for an empty response,
// which a valid notification has.
int ErrorCodeOf(const std::string& response) {
  Json::Value document;
  const Json::CharReaderBuilder builder;
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  if (response.empty() ||
      !reader->parse(response.data(), response.data() + response.size(), &document, nullptr) ||
      document.isNull()) {
    return kNoError;
  }
  const Json::Value& first = document.isArray() && !document.empty() ? document[0] : document;
  const Json::Value code = first.isObject() ? first.get("error", Json::Value()) : Json::Value();
  return code.isObject() && code["code"].isInt() ? code["code"].asInt() : -1;
}

}  // namespace

// Passes received payloads to the server and stores the response. Only errors have
// one.
class NotificationReader::Connector : public jsonrpc::AbstractServerConnector {
 public:
  bool StartListening() override { return true; }
  bool StopListening() override { return true; }
  bool SendResponse(const std::string& text, void* /*add_info*/) override {
    this->response = text;
    return true;
  }

  std::string response;
};

class NotificationReader::Server : public jsonrpc::AbstractServer<NotificationReader::Server> {
 public:
  explicit Server(jsonrpc::AbstractServerConnector& connector)
      : jsonrpc::AbstractServer<Server>(connector, jsonrpc::JSONRPC_SERVER_V2) {
    this->Bind<Heartbeat>(&Server::Handle<Heartbeat>);
    this->Bind<LeaseRequest>(&Server::Handle<LeaseRequest>);
    this->Bind<LeaseReply>(&Server::Handle<LeaseReply>);
    this->Bind<LeaseRelease>(&Server::Handle<LeaseRelease>);
    this->Bind<ConfigOffer>(&Server::Handle<ConfigOffer>);
    this->Bind<ConfigRequest>(&Server::Handle<ConfigRequest>);
    this->Bind<ConfigPart>(&Server::Handle<ConfigPart>);
    this->Bind<Quarantine>(&Server::Handle<Quarantine>);
    this->Bind<ShareRequest>(&Server::Handle<ShareRequest>);
    this->Bind<ShareGrant>(&Server::Handle<ShareGrant>);
    this->Bind<ShareReturn>(&Server::Handle<ShareReturn>);
  }

  std::optional<Result<PeerMessage>> received;
  int notifications = 0;

 private:
  template <typename Message>
  void Bind(notificationPointer_t pointer) {
    jsonrpc::Procedure procedure;
    procedure.SetProcedureName(std::string(MethodName(PeerMessage(Message()).index())));
    procedure.SetProcedureType(jsonrpc::RPC_NOTIFICATION);
    procedure.SetParameterDeclarationType(jsonrpc::PARAMS_BY_NAME);
    this->bindAndAddNotification(procedure, pointer);
  }

  template <typename Message>
  void Handle(const Json::Value& parameters) {
    ++this->notifications;
    auto message = FromParameters<Message>(parameters);
    if (!message) {
      this->received.emplace(message.error());
      return;
    }
    this->received.emplace(PeerMessage(std::move(message).value()));
  }
};

NotificationReader::NotificationReader()
    : connector(std::make_unique<Connector>()), server(std::make_unique<Server>(*connector)) {}

NotificationReader::~NotificationReader() = default;

Result<PeerMessage> NotificationReader::Read(const std::string& payload) {
  this->connector->response.clear();
  this->server->received.reset();
  this->server->notifications = 0;
  try {
    this->connector->OnRequest(payload);
  } catch (const std::exception& error) {
    // jsoncpp throws on values that are nested too deeply.
    return FleetError{FleetErrorCode::kMalformed, std::string("payload: ") + error.what()};
  }
  switch (ErrorCodeOf(this->connector->response)) {
    case kNoError:
      break;
    case kMethodNotFound:
      return FleetError{FleetErrorCode::kUnknownMethod, "the payload has an unknown method"};
    default:
      return FleetError{FleetErrorCode::kMalformed, "the payload is no JSON-RPC 2.0 notification"};
  }
  if (auto& received = this->server->received; received && this->server->notifications == 1) {
    return std::move(*received);
  }
  return FleetError{FleetErrorCode::kMalformed, "the payload is not exactly one notification"};
}

}  // namespace geraniumspread::fleet::detail
