#include "config/config_status.h"

#include <boost/json.hpp>

namespace geraniumspread::config {
namespace {

namespace json = boost::json;

json::object WriteAlarm(const AlarmStatus& alarm) {
  return {{"kind", alarm.kind},
          {"version", alarm.version},
          {"digest", alarm.digest},
          {"message", alarm.message},
          {"count", alarm.count}};
}

std::string ReadText(const json::object& object, std::string_view key) {
  const json::value* value = object.if_contains(key);
  return value != nullptr && value->is_string() ? std::string(value->get_string()) : std::string();
}

std::uint64_t ReadCount(const json::object& object, std::string_view key) {
  const json::value* value = object.if_contains(key);
  boost::system::error_code code;
  const auto count =
      value == nullptr || value->is_double() ? 0 : value->to_number<std::uint64_t>(code);
  return code ? 0 : count;
}

AlarmStatus ReadAlarm(const json::object& object) {
  return {.kind = ReadText(object, "kind"),
          .version = ReadCount(object, "version"),
          .digest = ReadText(object, "digest"),
          .message = ReadText(object, "message"),
          .count = ReadCount(object, "count")};
}

}  // namespace

ConfigStatus MakeConfigStatus(const ConfigStore& store) {
  ConfigStatus status{.version = store.in_force.version,
                      .digest = store.in_force.digest,
                      .serving = store.serving,
                      .highest_announced = store.highest_announced.version,
                      .missing_shards = MissingShards(store).size(),
                      .alarms = {}};
  for (const ConfigAlarm& alarm : store.alarms) {
    status.alarms.push_back({std::string(ToString(alarm.kind)), alarm.version, alarm.digest,
                             alarm.message, alarm.count});
  }
  return status;
}

std::string SerializeStatus(const ConfigStatus& status) {
  json::array alarms;
  for (const AlarmStatus& alarm : status.alarms) {
    alarms.emplace_back(WriteAlarm(alarm));
  }
  return json::serialize(json::object{{"version", status.version},
                                      {"digest", status.digest},
                                      {"serving", status.serving},
                                      {"highest_heard", status.highest_announced},
                                      {"missing_shards", status.missing_shards},
                                      {"alarms", std::move(alarms)}});
}

ConfigResult<ConfigStatus> ParseStatus(std::string_view bytes) {
  boost::system::error_code code;
  const json::value root = json::parse(bytes, code);
  if (code || !root.is_object() || !root.get_object().contains("version")) {
    return ConfigError{ConfigErrorCode::kMalformed, "no configuration status"};
  }
  const json::object& object = root.get_object();
  const json::value* serving = object.if_contains("serving");
  ConfigStatus status{.version = ReadCount(object, "version"),
                      .digest = ReadText(object, "digest"),
                      .serving = serving != nullptr && serving->is_bool() && serving->get_bool(),
                      .highest_announced = ReadCount(object, "highest_heard"),
                      .missing_shards = ReadCount(object, "missing_shards"),
                      .alarms = {}};
  const json::value* alarms = object.if_contains("alarms");
  if (alarms != nullptr && alarms->is_array()) {
    for (const json::value& alarm : alarms->get_array()) {
      if (alarm.is_object()) {
        status.alarms.push_back(ReadAlarm(alarm.get_object()));
      }
    }
  }
  return status;
}

}  // namespace geraniumspread::config
