#include "outcomes/handover_json.h"

#include <boost/json.hpp>
#include <charconv>
#include <limits>
#include <optional>

#include "common/base64.h"

namespace geraniumspread::outcomes {
namespace {

namespace json = boost::json;

constexpr std::int64_t kVersion = 1;

std::string_view ToString(TicketState state) {
  return state == TicketState::kFinished ? "finished" : "unknown";
}

// Reads typed members of one object. The first member that is missing or has another type makes the
// whole reader fail.
class ObjectReader {
 public:
  explicit ObjectReader(const json::value& value) : object(value.if_object()) {
    this->failed = this->object == nullptr;
  }

  [[nodiscard]] bool Failed() const { return this->failed; }

  std::string ReadString(std::string_view key) {
    const json::value* value = this->Find(key);
    const json::string* text = value != nullptr ? value->if_string() : nullptr;
    this->failed = this->failed || text == nullptr;
    return text != nullptr ? std::string(*text) : std::string();
  }

  std::string ReadBytes(std::string_view key) {
    std::optional<std::string> bytes = DecodeBase64(this->ReadString(key));
    this->failed = this->failed || !bytes;
    return std::move(bytes).value_or(std::string());
  }

  std::int64_t ReadCount(std::string_view key) {
    const json::value* value = this->Find(key);
    const std::int64_t* number = value != nullptr ? value->if_int64() : nullptr;
    this->failed = this->failed || number == nullptr || *number < 0;
    return number != nullptr ? *number : 0;
  }

  bool ReadBool(std::string_view key) {
    const json::value* value = this->Find(key);
    const bool* flag = value != nullptr ? value->if_bool() : nullptr;
    this->failed = this->failed || flag == nullptr;
    return flag != nullptr && *flag;
  }

  RouterIncarnation ReadIncarnation() {
    RouterIncarnation incarnation{.router = this->ReadString("router")};
    const std::string text = this->ReadString("incarnation");
    const char* const last = text.data() + text.size();
    const auto [end, error] = std::from_chars(text.data(), last, incarnation.incarnation);
    this->failed = this->failed || error != std::errc{} || end != last;
    return incarnation;
  }

  const json::value& ReadValue(std::string_view key) {
    static const json::value kNone;
    const json::value* value = this->Find(key);
    this->failed = this->failed || value == nullptr;
    return value != nullptr ? *value : kNone;
  }

 private:
  const json::value* Find(std::string_view key) const {
    return this->object != nullptr ? this->object->if_contains(key) : nullptr;
  }

  const json::object* object;
  bool failed = false;
};

json::object ToJson(const RouterIncarnation& incarnation) {
  return {{"router", incarnation.router}, {"incarnation", std::to_string(incarnation.incarnation)}};
}

json::object ToJson(const ExportedIncarnation& exported) {
  json::object object = ToJson(exported.incarnation);
  object["age_ns"] = exported.age.count();
  return object;
}

json::object ToJson(const ExportedTicket& ticket) {
  json::object object = ToJson(ticket.issuer);
  object["random"] = ticket.random;
  object["state"] = ToString(ticket.state);
  object["digest"] = ticket.call_digest;
  object["expires_at_ms"] = ticket.expires_at.count();
  object["kept"] = ticket.response_kept;
  object["status"] = ticket.response.status;
  object["content_type"] = EncodeBase64(ticket.response.content_type);
  object["body"] = EncodeBase64(ticket.response.body);
  return object;
}

template <class T>
json::array ToJsonArray(const std::vector<T>& items) {
  json::array array;
  array.reserve(items.size());
  for (const T& item : items) {
    array.push_back(ToJson(item));
  }
  return array;
}

std::optional<ExportedIncarnation> ParseIncarnation(const json::value& value) {
  ObjectReader reader(value);
  const ExportedIncarnation exported{.incarnation = reader.ReadIncarnation(),
                                     .age = Duration(reader.ReadCount("age_ns"))};
  return reader.Failed() ? std::nullopt : std::optional(exported);
}

std::optional<ExportedTicket> ParseExportedTicket(const json::value& value) {
  ObjectReader reader(value);
  ExportedTicket ticket;
  ticket.random = reader.ReadString("random");
  ticket.issuer = reader.ReadIncarnation();
  const std::string state = reader.ReadString("state");
  ticket.state = state == "finished" ? TicketState::kFinished : TicketState::kUnknown;
  ticket.call_digest = reader.ReadString("digest");
  ticket.expires_at = std::chrono::milliseconds(reader.ReadCount("expires_at_ms"));
  ticket.response_kept = reader.ReadBool("kept");
  const std::int64_t status = reader.ReadCount("status");
  ticket.response.status = static_cast<std::uint16_t>(status);
  ticket.response.content_type = reader.ReadBytes("content_type");
  ticket.response.body = reader.ReadBytes("body");
  if (reader.Failed() || state != ToString(ticket.state) ||
      ticket.random.size() != kTicketRandomLength ||
      status > std::numeric_limits<std::uint16_t>::max() || ticket.expires_at > kMaxTicketExpiry) {
    return std::nullopt;
  }
  return ticket;
}

// Parses all items of an array, or none.
template <class T>
std::optional<std::vector<T>> ParseArray(const json::value& value,
                                         std::optional<T> (*parse)(const json::value&)) {
  const json::array* array = value.if_array();
  if (array == nullptr) {
    return std::nullopt;
  }
  std::vector<T> items;
  items.reserve(array->size());
  for (const json::value& element : *array) {
    std::optional<T> item = parse(element);
    if (!item) {
      return std::nullopt;
    }
    items.push_back(std::move(*item));
  }
  return items;
}

}  // namespace

std::string HandoverToJson(const TicketHandover& handover) {
  json::object object;
  object["v"] = kVersion;
  object["from"] = ToJson(handover.from);
  object["to"] = ToJson(handover.to);
  object["incarnations"] = ToJsonArray(handover.incarnations);
  object["tickets"] = ToJsonArray(handover.tickets);
  return json::serialize(object);
}

OutcomeResult<TicketHandover> HandoverFromJson(std::string_view text) {
  json::error_code error;
  const json::value root = json::parse(text, error);
  if (error) {
    return MakeOutcomeError(OutcomeCode::kTicketMalformed);
  }
  ObjectReader reader(root);
  ObjectReader from(reader.ReadValue("from"));
  ObjectReader to(reader.ReadValue("to"));
  TicketHandover handover;
  handover.from = from.ReadIncarnation();
  handover.to = to.ReadIncarnation();
  auto incarnations = ParseArray(reader.ReadValue("incarnations"), ParseIncarnation);
  auto tickets = ParseArray(reader.ReadValue("tickets"), ParseExportedTicket);
  if (reader.ReadCount("v") != kVersion || reader.Failed() || from.Failed() || to.Failed() ||
      !incarnations || !tickets) {
    return MakeOutcomeError(OutcomeCode::kTicketMalformed);
  }
  handover.incarnations = std::move(*incarnations);
  handover.tickets = std::move(*tickets);
  return handover;
}

}  // namespace geraniumspread::outcomes
