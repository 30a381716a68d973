#include "fleet/internal/message_json.h"

#include <algorithm>
#include <limits>
#include <optional>
#include <utility>

#include "common/base64.h"

namespace geraniumspread::fleet::detail {
namespace {

constexpr std::uint64_t kMessageVersion = 1;
constexpr std::uint64_t kMaxUnsigned = std::numeric_limits<std::uint64_t>::max();
constexpr std::uint64_t kMaxUnsigned32 = std::numeric_limits<std::uint32_t>::max();
constexpr std::uint64_t kMaxPort = std::numeric_limits<std::uint16_t>::max();
// Longer than any quarantine. Prevents overflow when the value is added to a time.
constexpr std::uint64_t kMaxRemainingMs = 24ULL * 3600 * 1000;

// Reads fields of one JSON object and keeps the first error.
class FieldReader {
 public:
  explicit FieldReader(const Json::Value& value) : object(value) {
    if (!value.isObject()) {
      this->Fail("parameters", "no object");
    }
  }

  std::uint64_t RequiredUnsigned(const char* key, std::uint64_t max = kMaxUnsigned) {
    if (!this->Has(key)) {
      this->Fail(key, "missing");
      return 0;
    }
    return this->Unsigned(key, 0, max);
  }

  std::uint64_t Unsigned(const char* key, std::uint64_t missing, std::uint64_t max = kMaxUnsigned) {
    if (!this->Has(key)) {
      return missing;
    }
    const Json::Value& field = this->object[key];
    if (!field.isUInt64() || field.asUInt64() > max) {
      this->Fail(key, "no whole number in range");
      return missing;
    }
    return field.asUInt64();
  }

  // Returns false if the field is missing.
  bool Flag(const char* key) {
    if (!this->Has(key)) {
      return false;
    }
    if (!this->object[key].isBool()) {
      this->Fail(key, "no boolean");
      return false;
    }
    return this->object[key].asBool();
  }

  std::string RequiredId(const char* key) {
    std::string text = this->Text(key, kMaxIdBytes);
    if (!this->error && !IsValidId(text)) {
      this->Fail(key, "no valid id");
    }
    return text;
  }

  // Returns a string of up to `limit` bytes, empty if the field is missing.
  std::string Text(const char* key, std::size_t limit) {
    if (!this->Has(key)) {
      return {};
    }
    const Json::Value& field = this->object[key];
    if (!field.isString()) {
      this->Fail(key, "no string");
      return {};
    }
    std::string text = field.asString();
    if (text.size() > limit) {
      this->Fail(key, "too long");
      return {};
    }
    return text;
  }

  // Returns the array `key`, or an empty one if it is missing.
  const Json::Value& List(const char* key, std::size_t limit) {
    static const Json::Value kEmpty(Json::arrayValue);
    if (!this->Has(key)) {
      return kEmpty;
    }
    const Json::Value& field = this->object[key];
    if (!field.isArray() || field.size() > limit) {
      this->Fail(key, "no list within its limit");
      return kEmpty;
    }
    return field;
  }

  std::vector<std::string> Ids(const char* key, std::size_t limit) {
    std::vector<std::string> ids;
    for (const Json::Value& entry : this->List(key, limit)) {
      if (!entry.isString() || !IsValidId(entry.asString())) {
        this->Fail(key, "holds an invalid id");
        return {};
      }
      ids.push_back(entry.asString());
    }
    return ids;
  }

  bool Has(const char* key) const {
    return this->object.isObject() && this->object.isMember(key) && !this->object[key].isNull();
  }

  void Fail(const char* key, const char* reason) {
    if (!this->error) {
      this->error = FleetError{FleetErrorCode::kInvalidField, std::string(key) + ": " + reason};
    }
  }

  void Take(FieldReader& nested) {
    if (!this->error) {
      this->error = std::move(nested.error);
    }
  }

  const Json::Value& object;
  std::optional<FleetError> error;
};

// True for ASCII text that JSON escaping lengthens by less than a third.
bool IsShorterAsText(const std::string& bytes) {
  std::size_t escaped = 0;
  for (const char byte : bytes) {
    const bool has_short_escape = byte == '"' || byte == '\\' || byte == '\n' || byte == '\t';
    if (!has_short_escape && (byte < ' ' || byte > '~')) {
      return false;
    }
    escaped += has_short_escape ? 1 : 0;
  }
  return escaped < bytes.size() / 3;
}

void WriteConfig(Json::Value& object, const ConfigVersion& config) {
  if (config.version != 0) {
    object["config_version"] = Json::UInt64(config.version);
    object["config_digest"] = config.digest;
  }
}

ConfigVersion ReadConfig(FieldReader& reader) {
  ConfigVersion config;
  config.version = reader.Unsigned("config_version", 0);
  config.digest = reader.Text("config_digest", kMaxIdBytes);
  if ((config.version == 0) != config.digest.empty()) {
    reader.Fail("config_digest", "doesn't go with config_version");
  }
  return config;
}

Json::Value IdList(const std::vector<std::string>& ids) {
  Json::Value list(Json::arrayValue);
  for (const std::string& id : ids) {
    list.append(id);
  }
  return list;
}

RouterState ParseRouterState(const std::string& text) {
  for (const RouterState state : {RouterState::kServing, RouterState::kDraining}) {
    if (ToString(state) == text) {
      return state;
    }
  }
  // Also the result for states of later versions: a starting router is not a candidate
  // owner.
  return RouterState::kStarting;
}

Json::Value Write(const Heartbeat& message) {
  Json::Value object(Json::objectValue);
  object["incarnation"] = Json::UInt64(message.incarnation);
  object["domain"] = message.failure_domain;
  object["state"] = std::string(ToString(message.state));
  WriteConfig(object, message.config);
  for (const PoolLoad& load : message.pool_loads) {
    object["pools"][load.pool] = Json::UInt(load.in_flight);
  }
  if (message.quarantine_digest != 0) {
    object["quarantine"] = Json::UInt64(message.quarantine_digest);
  }
  if (message.endpoint) {
    Json::Value& endpoint = object["endpoint"];
    endpoint["address"] = message.endpoint->address;
    endpoint["port"] = message.endpoint->port;
    endpoint["peer_port"] = message.endpoint->peer_port;
    endpoint["control_port"] = message.endpoint->control_port;
  }
  return object;
}

Json::Value Write(const LeaseRequest& message) {
  Json::Value object(Json::objectValue);
  object["number"] = Json::UInt64(message.request_number);
  object["members"] = Json::UInt(message.member_count);
  object["upstreams"] = IdList(message.upstreams);
  object["acknowledged"] = Json::UInt64(message.acknowledged);
  object["reserve_divisor"] = Json::UInt(message.reserve_divisor);
  object["reserve_in_use"] = message.reserve_in_use;
  object["views"] = IdList(message.views);
  return object;
}

Json::Value Write(const LeaseReply& message) {
  Json::Value object(Json::objectValue);
  object["number"] = Json::UInt64(message.request_number);
  object["granted"] = IdList(message.granted);
  object["refused"] = IdList(message.refused);
  object["owner_incarnation"] = Json::UInt64(message.owner_incarnation);
  object["view"] = Json::UInt64(message.view);
  object["accounted_for_ms"] = Json::Int64(message.accounted_for.count());
  object["records_complete"] = message.records_complete;
  for (const SilentMember& member : message.silent) {
    object["silent"][member.router] = Json::UInt(member.divisor);
  }
  for (const std::vector<std::string>& view : message.missing_views) {
    object["missing_views"].append(IdList(view));
  }
  return object;
}

Json::Value Write(const LeaseRelease& message) {
  Json::Value object(Json::objectValue);
  object["number"] = Json::UInt64(message.request_number);
  object["upstreams"] = IdList(message.upstreams);
  object["leaving"] = message.leaving;
  return object;
}

Json::Value Write(const ConfigOffer& message) {
  Json::Value object(Json::objectValue);
  WriteConfig(object, message.config);
  if (message.manifest) {
    object["manifest"] = EncodeBase64(*message.manifest);
  }
  return object;
}

Json::Value Write(const ConfigRequest& message) {
  Json::Value object(Json::objectValue);
  if (message.urgent) {
    object["urgent"] = true;
  }
  object["digest"] = message.digest;
  object["offset"] = Json::UInt64(message.offset);
  return object;
}

Json::Value Write(const ConfigPart& message) {
  Json::Value object(Json::objectValue);
  object["digest"] = message.digest;
  object["offset"] = Json::UInt64(message.offset);
  object["total"] = Json::UInt64(message.total);
  if (IsShorterAsText(message.bytes)) {
    object["text"] = message.bytes;
  } else {
    object["bytes"] = EncodeBase64(message.bytes);
  }
  return object;
}

Json::Value Write(const Quarantine& message) {
  Json::Value object(Json::objectValue);
  Json::Value& entries = object["entries"] = Json::Value(Json::arrayValue);
  for (const QuarantineEntry& entry : message.entries) {
    Json::Value item(Json::objectValue);
    item["fingerprint"] = entry.fingerprint;
    item["deaths"] = Json::UInt(entry.deaths);
    item["remaining_ms"] = Json::Int64(entry.remaining.count());
    entries.append(std::move(item));
  }
  return object;
}

template <typename ShareMessage>
Json::Value WriteShare(const ShareMessage& message) {
  Json::Value object(Json::objectValue);
  object["number"] = Json::UInt64(message.request_number);
  object["workspace"] = message.workspace;
  object["concurrent"] = Json::UInt(message.concurrent);
  object["tokens"] = Json::UInt(message.tokens);
  return object;
}

Json::Value Write(const ShareRequest& message) {
  return WriteShare(message);
}

Json::Value Write(const ShareGrant& message) {
  return WriteShare(message);
}

Json::Value Write(const ShareReturn& message) {
  Json::Value object(Json::objectValue);
  object["workspace"] = message.workspace;
  return object;
}

Endpoint ReadEndpoint(FieldReader& parent) {
  FieldReader reader(parent.object["endpoint"]);
  Endpoint endpoint;
  endpoint.address = reader.RequiredId("address");
  endpoint.port = static_cast<std::uint16_t>(reader.RequiredUnsigned("port", kMaxPort));
  endpoint.peer_port = static_cast<std::uint16_t>(reader.RequiredUnsigned("peer_port", kMaxPort));
  endpoint.control_port =
      static_cast<std::uint16_t>(reader.RequiredUnsigned("control_port", kMaxPort));
  parent.Take(reader);
  return endpoint;
}

std::vector<PoolLoad> ReadPoolLoads(FieldReader& parent) {
  std::vector<PoolLoad> loads;
  if (!parent.Has("pools")) {
    return loads;
  }
  FieldReader reader(parent.object["pools"]);
  if (reader.error || reader.object.size() > kMaxPoolLoads) {
    parent.Fail("pools", "no object within its limit");
    return loads;
  }
  for (const std::string& pool : reader.object.getMemberNames()) {
    const auto in_flight =
        static_cast<std::uint32_t>(reader.RequiredUnsigned(pool.c_str(), kMaxUnsigned32));
    if (!IsValidId(pool)) {
      reader.Fail("pools", "holds an invalid id");
    }
    loads.push_back({pool, in_flight});
  }
  parent.Take(reader);
  return loads;
}

void Read(FieldReader& reader, Heartbeat& message) {
  message.incarnation = reader.RequiredUnsigned("incarnation");
  message.failure_domain = reader.RequiredId("domain");
  message.state = ParseRouterState(reader.Text("state", kMaxIdBytes));
  message.config = ReadConfig(reader);
  message.pool_loads = ReadPoolLoads(reader);
  message.quarantine_digest = reader.Unsigned("quarantine", 0);
  if (reader.Has("endpoint")) {
    message.endpoint = ReadEndpoint(reader);
  }
}

std::vector<SilentMember> ReadSilentMembers(FieldReader& parent) {
  std::vector<SilentMember> members;
  if (!parent.Has("silent")) {
    return members;
  }
  FieldReader reader(parent.object["silent"]);
  if (reader.error || reader.object.size() > kMaxViewMembers) {
    parent.Fail("silent", "no object within its limit");
    return members;
  }
  for (const std::string& router : reader.object.getMemberNames()) {
    members.push_back({router, static_cast<std::uint32_t>(
                                   reader.RequiredUnsigned(router.c_str(), kMaxUnsigned32))});
  }
  parent.Take(reader);
  return members;
}

std::vector<std::vector<std::string>> ReadMissingViews(FieldReader& parent) {
  std::vector<std::vector<std::string>> views;
  for (const Json::Value& entry : parent.List("missing_views", kMaxLeaseViews)) {
    Json::Value holder(Json::objectValue);
    holder["members"] = entry;
    FieldReader reader(holder);
    views.push_back(reader.Ids("members", kMaxViewMembers));
    parent.Take(reader);
  }
  return views;
}

void Read(FieldReader& reader, LeaseRequest& message) {
  message.request_number = reader.RequiredUnsigned("number");
  message.member_count =
      static_cast<std::uint32_t>(reader.RequiredUnsigned("members", kMaxUnsigned32));
  message.upstreams = reader.Ids("upstreams", kMaxLeaseUpstreams);
  message.acknowledged = reader.Unsigned("acknowledged", 0);
  message.reserve_divisor =
      static_cast<std::uint32_t>(reader.Unsigned("reserve_divisor", 0, kMaxUnsigned32));
  message.reserve_in_use = reader.Flag("reserve_in_use");
  message.views = reader.Ids("views", kMaxLeaseViews);
}

void Read(FieldReader& reader, LeaseReply& message) {
  message.request_number = reader.RequiredUnsigned("number");
  message.granted = reader.Ids("granted", kMaxLeaseUpstreams);
  message.refused = reader.Ids("refused", kMaxLeaseUpstreams);
  message.owner_incarnation = reader.Unsigned("owner_incarnation", 0);
  message.view = reader.Unsigned("view", 0);
  message.accounted_for =
      std::chrono::milliseconds(reader.Unsigned("accounted_for_ms", 0, kMaxUnsigned32));
  message.records_complete = reader.Flag("records_complete");
  message.silent = ReadSilentMembers(reader);
  message.missing_views = ReadMissingViews(reader);
}

void Read(FieldReader& reader, LeaseRelease& message) {
  message.request_number = reader.RequiredUnsigned("number");
  message.upstreams = reader.Ids("upstreams", kMaxLeaseUpstreams);
  message.leaving = reader.Flag("leaving");
}

void Read(FieldReader& reader, ConfigOffer& message) {
  message.config = ReadConfig(reader);
  if (!reader.error && message.config.version == 0) {
    reader.Fail("config_version", "missing");
  }
  if (!reader.Has("manifest")) {
    return;
  }
  auto manifest = DecodeBase64(reader.Text("manifest", kMaxOfferedManifestBytes * 2));
  if (!manifest) {
    reader.Fail("manifest", "no base64");
    return;
  }
  message.manifest = std::move(*manifest);
}

void Read(FieldReader& reader, ConfigRequest& message) {
  message.digest = reader.RequiredId("digest");
  message.offset = reader.Unsigned("offset", 0);
  message.urgent = reader.Has("urgent") && reader.object["urgent"] == Json::Value(true);
}

void Read(FieldReader& reader, ConfigPart& message) {
  message.digest = reader.RequiredId("digest");
  message.offset = reader.Unsigned("offset", 0);
  message.total = reader.RequiredUnsigned("total");
  if (reader.Has("text")) {
    message.bytes = reader.Text("text", kMaxPartBytes);
    return;
  }
  auto bytes = DecodeBase64(reader.Text("bytes", kMaxPartBytes * 2));
  if (!bytes || bytes->size() > kMaxPartBytes) {
    reader.Fail("bytes", "no base64 within its limit");
    return;
  }
  message.bytes = std::move(*bytes);
}

void Read(FieldReader& reader, Quarantine& message) {
  for (const Json::Value& item : reader.List("entries", kMaxQuarantineEntries)) {
    FieldReader nested(item);
    QuarantineEntry entry;
    entry.fingerprint = nested.RequiredId("fingerprint");
    entry.deaths = static_cast<std::uint32_t>(nested.RequiredUnsigned("deaths", kMaxUnsigned32));
    entry.remaining = std::chrono::milliseconds(
        static_cast<std::int64_t>(nested.RequiredUnsigned("remaining_ms", kMaxRemainingMs)));
    reader.Take(nested);
    message.entries.push_back(std::move(entry));
  }
}

template <typename ShareMessage>
void ReadShare(FieldReader& reader, ShareMessage& message) {
  message.request_number = reader.RequiredUnsigned("number");
  message.workspace = reader.RequiredId("workspace");
  message.concurrent = static_cast<std::uint32_t>(reader.Unsigned("concurrent", 0, kMaxShareParts));
  message.tokens = static_cast<std::uint32_t>(reader.Unsigned("tokens", 0, kMaxShareParts));
}

void Read(FieldReader& reader, ShareRequest& message) {
  ReadShare(reader, message);
}

void Read(FieldReader& reader, ShareGrant& message) {
  ReadShare(reader, message);
}

void Read(FieldReader& reader, ShareReturn& message) {
  message.workspace = reader.RequiredId("workspace");
}

}  // namespace

Json::Value ToParameters(const PeerMessage& message) {
  Json::Value object = std::visit([](const auto& typed) { return Write(typed); }, message);
  object["v"] = Json::UInt64(kMessageVersion);
  return object;
}

template <typename Message>
Result<Message> FromParameters(const Json::Value& parameters) {
  FieldReader reader(parameters);
  // Later versions only add optional fields, so any `v` of 1 or more is accepted.
  if (reader.Unsigned("v", kMessageVersion) < kMessageVersion) {
    return FleetError{FleetErrorCode::kUnsupportedVersion, "v is below 1"};
  }
  Message message;
  if (!reader.error) {
    Read(reader, message);
  }
  if (reader.error) {
    return std::move(*reader.error);
  }
  return message;
}

template Result<Heartbeat> FromParameters<Heartbeat>(const Json::Value&);
template Result<LeaseRequest> FromParameters<LeaseRequest>(const Json::Value&);
template Result<LeaseReply> FromParameters<LeaseReply>(const Json::Value&);
template Result<LeaseRelease> FromParameters<LeaseRelease>(const Json::Value&);
template Result<ConfigOffer> FromParameters<ConfigOffer>(const Json::Value&);
template Result<ConfigRequest> FromParameters<ConfigRequest>(const Json::Value&);
template Result<ConfigPart> FromParameters<ConfigPart>(const Json::Value&);
template Result<Quarantine> FromParameters<Quarantine>(const Json::Value&);
template Result<ShareRequest> FromParameters<ShareRequest>(const Json::Value&);
template Result<ShareGrant> FromParameters<ShareGrant>(const Json::Value&);
template Result<ShareReturn> FromParameters<ShareReturn>(const Json::Value&);

}  // namespace geraniumspread::fleet::detail
