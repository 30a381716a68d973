#include "fleet/instance_list.h"

#include <algorithm>
#include <boost/json.hpp>
#include <limits>
#include <optional>
#include <utility>

#include "fleet/internal/json_fields.h"

namespace geraniumspread::fleet {
namespace {

namespace json = boost::json;

FleetError InvalidField(std::size_t index, std::string_view field) {
  return {FleetErrorCode::kInvalidField, "instances[" + std::to_string(index) + "]." +
                                             std::string(field) +
                                             " is missing, has a wrong type or is out of range"};
}

std::optional<InstanceKind> ParseKind(std::string_view text) {
  if (text == "router") {
    return InstanceKind::kRouter;
  }
  if (text == "model_engine") {
    return InstanceKind::kModelEngine;
  }
  if (text == "plain_service") {
    return InstanceKind::kPlainService;
  }
  return std::nullopt;
}

// Ports that don't apply to a kind may be missing; they are then 0.
std::optional<std::uint16_t> ParsePort(const json::object& entry,
                                       std::string_view key,
                                       bool required) {
  if (!entry.contains(key)) {
    return required ? std::nullopt : std::optional<std::uint16_t>(0);
  }
  const auto number = detail::UnsignedField(entry, key, std::numeric_limits<std::uint16_t>::max());
  if (!number || (required && *number == 0)) {
    return std::nullopt;
  }
  return static_cast<std::uint16_t>(*number);
}

Result<Endpoint> ParseEndpoint(const json::object& entry, std::size_t index, InstanceKind kind) {
  Endpoint endpoint;
  endpoint.address = detail::TextField(entry, "address").value_or("");
  if (!IsValidId(endpoint.address)) {
    return InvalidField(index, "address");
  }
  const bool is_router = kind == InstanceKind::kRouter;
  const auto port = ParsePort(entry, "port", true);
  const auto peer_port = ParsePort(entry, "peer_port", is_router);
  const auto control_port = ParsePort(entry, "control_port", is_router);
  if (!port || !peer_port || !control_port) {
    return InvalidField(index, "port, peer_port or control_port");
  }
  endpoint.port = *port;
  endpoint.peer_port = *peer_port;
  endpoint.control_port = *control_port;
  return endpoint;
}

Result<ListedInstance> ParseInstance(const json::object& entry,
                                     std::size_t index,
                                     InstanceKind kind) {
  ListedInstance instance;
  instance.kind = kind;
  instance.id = detail::TextField(entry, "id").value_or("");
  if (!IsValidId(instance.id)) {
    return InvalidField(index, "id");
  }
  instance.failure_domain = detail::TextField(entry, "failure_domain").value_or("");
  if (!IsValidId(instance.failure_domain)) {
    return InvalidField(index, "failure_domain");
  }
  instance.pool = detail::TextField(entry, "pool").value_or("");
  if (kind != InstanceKind::kRouter && !IsValidId(instance.pool)) {
    return InvalidField(index, "pool");
  }
  const auto incarnation = detail::UnsignedField(entry, "incarnation");
  if (!incarnation) {
    return InvalidField(index, "incarnation");
  }
  instance.incarnation = *incarnation;
  const auto state = detail::TextField(entry, "state");
  if (state != "live" && state != "leaving") {
    return InvalidField(index, "state");
  }
  instance.leaving = *state == "leaving";
  auto endpoint = ParseEndpoint(entry, index, kind);
  if (!endpoint) {
    return endpoint.error();
  }
  instance.endpoint = std::move(endpoint).value();
  return instance;
}

Result<const json::array*> FindInstances(const json::value& document) {
  const auto* object = document.if_object();
  if (object == nullptr) {
    return FleetError{FleetErrorCode::kMalformed, "the instance list is no JSON object"};
  }
  const auto* field = object->if_contains("instances");
  if (field == nullptr || !field->is_array()) {
    return FleetError{FleetErrorCode::kInvalidField, "instances is missing or no list"};
  }
  if (field->get_array().size() > kMaxListedInstances) {
    return FleetError{FleetErrorCode::kTooLarge, "the instance list has too many entries"};
  }
  return &field->get_array();
}

Result<InstanceList> ParseInstances(const json::array& entries, std::uint64_t revision) {
  InstanceList list;
  list.revision = revision;
  list.instances.reserve(entries.size());
  for (std::size_t index = 0; index < entries.size(); ++index) {
    const auto* entry = entries[index].if_object();
    if (entry == nullptr) {
      return InvalidField(index, "(entry)");
    }
    const auto kind_name = detail::TextField(*entry, "kind");
    if (!kind_name) {
      return InvalidField(index, "kind");
    }
    const auto kind = ParseKind(*kind_name);
    if (!kind) {
      ++list.skipped;
      continue;
    }
    auto instance = ParseInstance(*entry, index, *kind);
    if (!instance) {
      return instance.error();
    }
    list.instances.push_back(std::move(instance).value());
  }
  return list;
}

}  // namespace

Result<InstanceList> ParseInstanceList(std::string_view body) {
  if (body.size() > kMaxInstanceListBytes) {
    return FleetError{FleetErrorCode::kTooLarge, "the instance list is above its size limit"};
  }
  boost::system::error_code error;
  const json::value document = json::parse(json::string_view(body.data(), body.size()), error);
  if (error) {
    return FleetError{FleetErrorCode::kMalformed, "the instance list is no JSON"};
  }
  const auto entries = FindInstances(document);
  if (!entries) {
    return entries.error();
  }
  const auto revision = detail::UnsignedField(document.get_object(), "revision");
  if (!revision) {
    return FleetError{FleetErrorCode::kInvalidField, "revision is missing or no whole number"};
  }
  auto list = ParseInstances(*entries.value(), *revision);
  if (!list) {
    return list;
  }
  auto& instances = list.value().instances;
  std::ranges::sort(instances, {}, &ListedInstance::id);
  if (std::ranges::adjacent_find(instances, {}, &ListedInstance::id) != instances.end()) {
    return FleetError{FleetErrorCode::kInvalidField, "an id occurs twice in the instance list"};
  }
  return list;
}

}  // namespace geraniumspread::fleet
