#include "config/manifest.h"

#include <algorithm>
#include <functional>
#include <optional>
#include <utility>

#include <boost/json.hpp>
#include <boost/outcome/try.hpp>

#include "common/secure_bytes.h"
#include "config/internal/validation.h"
#include "config/value_text.h"

namespace geraniumspread::config {
namespace {

namespace json = boost::json;
using std::chrono::milliseconds;

constexpr std::size_t kMaxJsonDepth = 8;
constexpr std::size_t kDigestLength = 64;

json::array WriteStrings(const std::vector<std::string>& values) {
  json::array array;
  for (const std::string& value : values) {
    array.emplace_back(value);
  }
  return array;
}

template <typename Entry>
json::array WriteEach(std::span<const Entry> entries, json::object (*write)(const Entry&)) {
  json::array array;
  array.reserve(entries.size());
  for (const Entry& entry : entries) {
    array.emplace_back(write(entry));
  }
  return array;
}

json::object WriteWorkspace(const Workspace& workspace) {
  return {{"name", workspace.name},
          {"weight", workspace.weight},
          {"concurrency_limit", workspace.concurrency_limit},
          {"requests_per_100s", ToHundredths(workspace.requests_per_second)},
          {"all_models", workspace.allows_all_models},
          {"models", WriteStrings(workspace.allowed_models)},
          {"max_priority", ToString(workspace.max_priority)}};
}

json::object WritePool(const ModelPool& pool) {
  return {{"name", pool.name},
          {"model", pool.model},
          {"adapter", pool.adapter},
          {"version", pool.version},
          {"role", pool.role},
          {"load_multiple_percent", ToHundredths(pool.load_multiple)},
          {"cold_limit", pool.cold_limit},
          {"capacity", pool.capacity}};
}

json::object WriteRule(const RepeatableRule& rule) {
  return {{"method", rule.method}, {"path", rule.path}, {"is_prefix", rule.is_prefix}};
}

json::object WriteService(const Service& service) {
  return {{"name", service.name},
          {"repeatable", WriteEach(std::span(service.repeatable), &WriteRule)},
          {"timeout_ms", service.timeout.count()},
          {"concurrency_per_upstream", service.concurrency_per_upstream}};
}

json::object WriteFailureDomain(const FailureDomain& domain) {
  return {{"name", domain.name}, {"region", domain.region}, {"in_service", domain.in_service}};
}

json::object WriteSettings(const FleetSettings& settings) {
  return {{"lease_term_ms", settings.lease_term.count()},
          {"return_ramp_ms", settings.return_ramp.count()},
          {"retry_budget_percent", settings.retry_budget_percent},
          {"quarantine_deaths", settings.quarantine_deaths},
          {"quarantine_time_ms", settings.quarantine_time.count()},
          {"ticket_expiry_ms", settings.ticket_expiry.count()},
          {"stop_deadline_ms", settings.stop_deadline.count()}};
}

json::object WriteShardReference(const ShardReference& shard) {
  return {{"digest", shard.digest}, {"bytes", shard.bytes}, {"workspaces", shard.workspaces}};
}

// Reads members of JSON objects and keeps the first error.
class JsonReader {
 public:
  const json::value* Member(const json::object& object, std::string_view key) {
    const json::value* value = object.if_contains(key);
    if (value == nullptr) {
      this->Fail("member \"" + std::string(key) + "\" is missing");
    }
    return value;
  }

  std::uint64_t Unsigned(const json::object& object, std::string_view key, std::uint64_t limit) {
    const json::value* value = this->Member(object, key);
    if (value == nullptr) {
      return 0;
    }
    boost::system::error_code code;
    const auto number = value->is_double() ? 0 : value->to_number<std::uint64_t>(code);
    if (value->is_double() || code || number > limit) {
      this->Fail("member \"" + std::string(key) + "\" is not a whole number in its range");
      return 0;
    }
    return number;
  }

  std::uint32_t Unsigned32(const json::object& object, std::string_view key) {
    return static_cast<std::uint32_t>(this->Unsigned(object, key, UINT32_MAX));
  }

  milliseconds Milliseconds(const json::object& object, std::string_view key) {
    return milliseconds(this->Unsigned(object, key, UINT32_MAX));
  }

  double Hundredths(const json::object& object, std::string_view key) {
    return static_cast<double>(this->Unsigned(object, key, UINT32_MAX)) / 100;
  }

  bool Boolean(const json::object& object, std::string_view key) {
    const json::value* value = this->Member(object, key);
    if (value != nullptr && !value->is_bool()) {
      this->Fail("member \"" + std::string(key) + "\" is not true or false");
    }
    return value != nullptr && value->is_bool() && value->get_bool();
  }

  std::string String(const json::object& object, std::string_view key) {
    const json::value* value = this->Member(object, key);
    if (value != nullptr && !value->is_string()) {
      this->Fail("member \"" + std::string(key) + "\" is not a string");
    }
    return value != nullptr && value->is_string() ? std::string(value->get_string())
                                                  : std::string();
  }

  // Calls `read` for each element of an array, which must be of type `Json`.
  template <typename Json, typename Entry>
  std::vector<Entry> List(const json::object& object,
                          std::string_view key,
                          Entry (*read)(JsonReader&, const Json&)) {
    std::vector<Entry> entries;
    const json::value* value = this->Member(object, key);
    if (value == nullptr || !value->is_array()) {
      this->Fail("member \"" + std::string(key) + "\" is not an array");
      return entries;
    }
    entries.reserve(value->get_array().size());
    for (const json::value& element : value->get_array()) {
      const Json* typed = this->As<Json>(element);
      if (typed == nullptr) {
        this->Fail("an element of \"" + std::string(key) + "\" has the wrong type");
        return entries;
      }
      entries.push_back(read(*this, *typed));
    }
    return entries;
  }

  json::object Object(const json::object& object, std::string_view key) {
    const json::value* value = this->Member(object, key);
    if (value != nullptr && !value->is_object()) {
      this->Fail("member \"" + std::string(key) + "\" is not an object");
    }
    return value != nullptr && value->is_object() ? value->get_object() : json::object();
  }

  void Fail(std::string reason) {
    if (!this->error) {
      this->error = ConfigError{ConfigErrorCode::kMalformed, std::move(reason)};
    }
  }

  std::optional<ConfigError> error;

 private:
  template <typename Json>
  static const Json* As(const json::value& value) {
    if constexpr (std::is_same_v<Json, json::object>) {
      return value.if_object();
    } else {
      return value.if_string();
    }
  }
};

std::string ReadString(JsonReader& /*reader*/, const json::string& text) {
  return std::string(text);
}

PriorityClass ReadPriority(JsonReader& reader, const json::object& object) {
  PriorityClass priority = PriorityClass::kSuggestion;
  if (!ParsePriorityClass(reader.String(object, "max_priority"), priority)) {
    reader.Fail("member \"max_priority\" names no priority class");
  }
  return priority;
}

Workspace ReadWorkspace(JsonReader& reader, const json::object& object) {
  return {.name = reader.String(object, "name"),
          .weight = reader.Unsigned32(object, "weight"),
          .concurrency_limit = reader.Unsigned32(object, "concurrency_limit"),
          .requests_per_second = reader.Hundredths(object, "requests_per_100s"),
          .allows_all_models = reader.Boolean(object, "all_models"),
          .allowed_models = reader.List(object, "models", &ReadString),
          .max_priority = ReadPriority(reader, object)};
}

ModelPool ReadPool(JsonReader& reader, const json::object& object) {
  return {.name = reader.String(object, "name"),
          .model = reader.String(object, "model"),
          .adapter = reader.String(object, "adapter"),
          .version = reader.String(object, "version"),
          .role = reader.String(object, "role"),
          .load_multiple = reader.Hundredths(object, "load_multiple_percent"),
          .cold_limit = reader.Unsigned32(object, "cold_limit"),
          .capacity = reader.Unsigned32(object, "capacity")};
}

RepeatableRule ReadRule(JsonReader& reader, const json::object& object) {
  return {.method = reader.String(object, "method"),
          .path = reader.String(object, "path"),
          .is_prefix = reader.Boolean(object, "is_prefix")};
}

Service ReadService(JsonReader& reader, const json::object& object) {
  return {.name = reader.String(object, "name"),
          .repeatable = reader.List(object, "repeatable", &ReadRule),
          .timeout = reader.Milliseconds(object, "timeout_ms"),
          .concurrency_per_upstream = reader.Unsigned32(object, "concurrency_per_upstream")};
}

FailureDomain ReadFailureDomain(JsonReader& reader, const json::object& object) {
  return {.name = reader.String(object, "name"),
          .region = reader.String(object, "region"),
          .in_service = reader.Boolean(object, "in_service")};
}

FleetSettings ReadSettings(JsonReader& reader, const json::object& object) {
  return {.lease_term = reader.Milliseconds(object, "lease_term_ms"),
          .return_ramp = reader.Milliseconds(object, "return_ramp_ms"),
          .retry_budget_percent = reader.Unsigned32(object, "retry_budget_percent"),
          .quarantine_deaths = reader.Unsigned32(object, "quarantine_deaths"),
          .quarantine_time = reader.Milliseconds(object, "quarantine_time_ms"),
          .ticket_expiry = reader.Milliseconds(object, "ticket_expiry_ms"),
          .stop_deadline = reader.Milliseconds(object, "stop_deadline_ms")};
}

ShardReference ReadShardReference(JsonReader& reader, const json::object& object) {
  return {.digest = reader.String(object, "digest"),
          .bytes = reader.Unsigned(object, "bytes", UINT32_MAX),
          .workspaces = reader.Unsigned(object, "workspaces", UINT32_MAX)};
}

// Parses JSON text whose root is an object with the known format number.
ConfigResult<json::object> ParseDocument(std::string_view bytes, std::size_t max_bytes) {
  if (bytes.size() > max_bytes) {
    return ConfigError{ConfigErrorCode::kTooLarge, std::to_string(bytes.size()) +
                                                       " bytes are more than the limit of " +
                                                       std::to_string(max_bytes)};
  }
  json::parse_options options;
  options.max_depth = kMaxJsonDepth;
  boost::system::error_code code;
  json::value root = json::parse(bytes, code, {}, options);
  if (code || !root.is_object()) {
    return ConfigError{ConfigErrorCode::kMalformed, "not a JSON object"};
  }
  JsonReader reader;
  const std::uint64_t format = reader.Unsigned(root.get_object(), "format", UINT32_MAX);
  if (reader.error) {
    return *reader.error;
  }
  if (format != kWireFormat) {
    return ConfigError{ConfigErrorCode::kUnsupportedFormat,
                       "format " + std::to_string(format) + " is not supported"};
  }
  return std::move(root.get_object());
}

ConfigResult<void> CheckCanonical(std::string_view bytes, std::string_view canonical) {
  if (bytes != canonical) {
    return ConfigError{ConfigErrorCode::kNotCanonical,
                       "the bytes differ from those that the compiler writes"};
  }
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

// Appends the workspaces of one shard after checking it against the manifest.
ConfigResult<void> AppendShard(const ShardReference& reference,
                               const ShardContent& shard,
                               std::vector<Workspace>& workspaces) {
  const auto error_of = [&reference](ConfigErrorCode code, std::string_view reason) {
    return ConfigError{code, "shard " + reference.digest + ": " + std::string(reason)};
  };
  if (shard.size != reference.bytes) {
    return error_of(ConfigErrorCode::kPartMismatch, "the size is not the one in the manifest");
  }
  if (shard.digest != reference.digest) {
    return error_of(ConfigErrorCode::kPartMismatch, "the digest is not the one in the manifest");
  }
  if (!shard.workspaces) {
    return error_of(shard.workspaces.error().code, shard.workspaces.error().message);
  }
  const std::vector<Workspace>& added = shard.workspaces.value();
  if (added.size() != reference.workspaces) {
    return error_of(ConfigErrorCode::kPartMismatch,
                    "the number of workspaces is not the one in the manifest");
  }
  workspaces.insert(workspaces.end(), added.begin(), added.end());
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

}  // namespace

bool IsDigest(std::string_view text) {
  return text.size() == kDigestLength &&
         text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

std::string SerializeManifest(const Manifest& manifest) {
  return json::serialize(json::object{
      {"format", kWireFormat},
      {"version", manifest.version},
      {"settings", WriteSettings(manifest.settings)},
      {"failure_domains", WriteEach(std::span(manifest.failure_domains), &WriteFailureDomain)},
      {"pools", WriteEach(std::span(manifest.pools), &WritePool)},
      {"services", WriteEach(std::span(manifest.services), &WriteService)},
      {"shards", WriteEach(std::span(manifest.shards), &WriteShardReference)}});
}

std::string SerializeShard(std::span<const Workspace> workspaces) {
  return json::serialize(json::object{{"format", kWireFormat},
                                      {"workspaces", WriteEach(workspaces, &WriteWorkspace)}});
}

ConfigResult<Manifest> ParseManifest(std::string_view bytes) {
  BOOST_OUTCOME_TRY(const json::object root, ParseDocument(bytes, kMaxManifestBytes));
  JsonReader reader;
  Manifest manifest{
      .version = reader.Unsigned(root, "version", UINT64_MAX),
      .settings = ReadSettings(reader, reader.Object(root, "settings")),
      .failure_domains = reader.List(root, "failure_domains", &ReadFailureDomain),
      .pools = reader.List(root, "pools", &ReadPool),
      .services = reader.List(root, "services", &ReadService),
      .shards = reader.List(root, "shards", &ReadShardReference),
  };
  if (reader.error) {
    return *reader.error;
  }
  BOOST_OUTCOME_TRYV(ValidateVersion(manifest.version));
  BOOST_OUTCOME_TRYV(ValidateFleetPart(manifest.settings, manifest.failure_domains, manifest.pools,
                                       manifest.services));
  BOOST_OUTCOME_TRYV(ValidateShardReferences(manifest.shards));
  BOOST_OUTCOME_TRYV(CheckCanonical(bytes, SerializeManifest(manifest)));
  return manifest;
}

ConfigResult<std::vector<Workspace>> ParseShard(std::string_view bytes) {
  BOOST_OUTCOME_TRY(const json::object root, ParseDocument(bytes, kMaxShardBytes));
  JsonReader reader;
  std::vector<Workspace> workspaces = reader.List(root, "workspaces", &ReadWorkspace);
  if (reader.error) {
    return *reader.error;
  }
  BOOST_OUTCOME_TRYV(ValidateWorkspaces(workspaces));
  BOOST_OUTCOME_TRYV(CheckCanonical(bytes, SerializeShard(workspaces)));
  return workspaces;
}

ShardContent ReadShard(std::string_view bytes) {
  return {bytes.size(), Sha256Hex(bytes), ParseShard(bytes)};
}

ConfigResult<Configuration> AssembleConfiguration(const Manifest& manifest,
                                                  std::span<const std::string_view> shards) {
  std::vector<ShardContent> contents;
  contents.reserve(shards.size());
  std::vector<const ShardContent*> pointers;
  pointers.reserve(shards.size());
  for (const std::string_view bytes : shards) {
    pointers.push_back(&contents.emplace_back(ReadShard(bytes)));
  }
  return JoinShards(manifest, pointers);
}

ConfigResult<Configuration> JoinShards(const Manifest& manifest,
                                       std::span<const ShardContent* const> shards) {
  if (shards.size() != manifest.shards.size()) {
    return ConfigError{ConfigErrorCode::kPartMismatch, "the number of shards is wrong"};
  }
  Configuration configuration{.version = manifest.version,
                              .settings = manifest.settings,
                              .failure_domains = manifest.failure_domains,
                              .pools = manifest.pools,
                              .services = manifest.services,
                              .workspaces = {}};
  std::size_t count = 0;
  for (const ShardReference& reference : manifest.shards) {
    count += reference.workspaces;
  }
  configuration.workspaces.reserve(std::min(count, kMaxWorkspaces));
  for (std::size_t index = 0; index < shards.size(); ++index) {
    BOOST_OUTCOME_TRYV(
        AppendShard(manifest.shards[index], *shards[index], configuration.workspaces));
  }
  std::ranges::sort(configuration.workspaces, {}, &Workspace::name);
  BOOST_OUTCOME_TRYV(ValidateConfiguration(configuration));
  return configuration;
}

}  // namespace geraniumspread::config
