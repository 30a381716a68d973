#include "standin/platform_settings.h"

#include <toml++/toml.h>
#include <boost/asio/ip/address.hpp>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <limits>
#include <set>

namespace geraniumspread::standin {
namespace {

constexpr std::int64_t kMaxPort = 65535;
constexpr std::int64_t kMaxCount = 1'000'000'000;

struct NumberRange {
  std::int64_t least;
  std::int64_t most;
};

constexpr NumberRange kPortRange{1, kMaxPort};
constexpr NumberRange kPositive{1, kMaxCount};
constexpr NumberRange kNotNegative{0, kMaxCount};

// Reads the members of one table and remembers the first error. Members that
// were not asked for are reported by Finish.
class TableReader {
 public:
  TableReader(const toml::table& source, std::string prefix, std::optional<SettingsError>& first)
      : table(source), key_prefix(std::move(prefix)), error(first) {}

  void Fail(std::string_view key, std::string reason) {
    if (!this->error) {
      this->error = SettingsError{"", this->key_prefix + std::string(key), std::move(reason)};
    }
  }

  template <typename T>
  std::optional<T> Read(std::string_view key, std::string_view type_name) {
    this->known.insert(std::string(key));
    const toml::node* node = this->table.get(key);
    if (node == nullptr) {
      return std::nullopt;
    }
    const std::optional<T> value = node->value_exact<T>();
    if (!value) {
      this->Fail(key, "must be " + std::string(type_name));
    }
    return value;
  }

  void String(std::string_view key, std::string& value, bool required) {
    if (auto text = this->Read<std::string>(key, "a string"); text) {
      value = std::move(*text);
    }
    if (required && value.empty()) {
      this->Fail(key, "is missing or empty");
    }
  }

  template <typename Number>
  void Integer(std::string_view key, Number& value, NumberRange range, bool required = false) {
    const auto number = this->Read<std::int64_t>(key, "a whole number");
    if (!number) {
      if (required) {
        this->Fail(key, "is missing");
      }
      return;
    }
    if (*number < range.least || *number > range.most) {
      this->Fail(
          key, "must be from " + std::to_string(range.least) + " to " + std::to_string(range.most));
      return;
    }
    value = static_cast<Number>(*number);
  }

  // `unit` is the unit of the number in the file.
  void Time(std::string_view key, Duration& value, Duration unit) {
    std::int64_t number = -1;
    this->Integer(key, number, kNotNegative);
    if (number >= 0) {
      value = number * unit;
    }
  }

  void Real(std::string_view key, double& value, double least, double most) {
    this->known.insert(std::string(key));
    const toml::node* node = this->table.get(key);
    if (node == nullptr) {
      return;
    }
    const std::optional<double> number = node->value<double>();
    if (!number || !node->is_number() || *number < least || *number > most) {
      this->Fail(key,
                 "must be a number from " + std::to_string(least) + " to " + std::to_string(most));
      return;
    }
    value = *number;
  }

  void Flag(std::string_view key, bool& value) {
    value = this->Read<bool>(key, "true or false").value_or(value);
  }

  void ReadEndpoint(transport::Endpoint& endpoint) {
    endpoint.address = "127.0.0.1";
    this->String("address", endpoint.address, true);
    boost::system::error_code invalid;
    boost::asio::ip::make_address(endpoint.address, invalid);
    if (invalid) {
      this->Fail("address", "is not an IP address");
    }
    this->Integer("port", endpoint.port, kPortRange, true);
  }

  void Finish() {
    for (const auto& [key, node] : this->table) {
      if (!this->known.contains(std::string(key.str()))) {
        this->Fail(key.str(), "is not a known key");
      }
    }
  }

 private:
  const toml::table& table;
  std::string key_prefix;
  std::optional<SettingsError>& error;
  std::set<std::string> known;
};

void ReadEngineModel(TableReader& reader, EngineSettings& engine) {
  const Duration millisecond = std::chrono::milliseconds(1);
  const Duration microsecond = std::chrono::microseconds(1);
  reader.String("model", engine.model, false);
  reader.String("adapter", engine.adapter, false);
  reader.String("version", engine.version, false);
  reader.String("role", engine.role, false);
  reader.Integer("capacity", engine.capacity, kPositive);
  reader.Integer("max_waiting", engine.max_waiting, kPositive);
  reader.Integer("cold_limit", engine.cold_limit, kPositive);
  reader.Integer("cache_capacity_blocks", engine.cache_capacity_blocks, kNotNegative);
  reader.Time("token_time_us", engine.token_time, microsecond);
  reader.Time("token_time_per_running_us", engine.token_time_per_running, microsecond);
  reader.Time("prefill_time_per_token_us", engine.prefill_time_per_token, microsecond);
  reader.Real("cold_slowdown", engine.cold_slowdown, 1, 1000);
  reader.Time("cold_notice_ms", engine.cold_notice, millisecond);
  reader.Time("restart_ms", engine.restart_time, millisecond);
  reader.Time("report_interval_ms", engine.report_interval, millisecond);
  reader.Time("report_lag_ms", engine.report_lag, millisecond);
  reader.Time("cache_event_delay_ms", engine.cache_event_delay, millisecond);
  reader.Real("cache_event_loss", engine.cache_event_loss, 0, 1);
  reader.Time("order_ms", engine.order_time, millisecond);
  reader.Flag("ignores_fencing", engine.ignores_fencing);
  reader.Flag("crash_on_marker", engine.crash_on_marker);
  reader.Flag("starts_warm", engine.starts_warm);
  reader.Integer("seed", engine.seed, kNotNegative);
}

void ReadServiceModel(TableReader& reader, PlainServiceSettings& service) {
  const Duration millisecond = std::chrono::milliseconds(1);
  reader.Time("service_time_ms", service.service_time, millisecond);
  reader.Integer("capacity", service.capacity, kPositive);
  reader.Time("restart_ms", service.restart_time, millisecond);
}

class PlatformReader {
 public:
  PlatformReader(const toml::table& source, std::filesystem::path settings_folder)
      : root(source), folder(std::move(settings_folder)) {}

  ResultOf<PlatformSettings, SettingsError> Read() {
    this->ReadProcess();
    this->ReadConfigService();
    this->ReadInstanceList();
    this->ReadWeightStore();
    this->ReadEngines();
    this->ReadServices();
    this->ReadRouters();
    this->ReportUnknownTables();
    this->CheckIds();
    if (this->error) {
      return *this->error;
    }
    return std::move(this->settings);
  }

 private:
  // Calls `read` with a reader of the table `name`, if the file has one.
  template <typename Callback>
  void WithTable(const std::string& name, Callback read) {
    this->known.insert(name);
    const toml::node* node = this->root.get(name);
    if (node == nullptr) {
      return;
    }
    if (!node->is_table()) {
      this->Fail(name, "must be a table");
      return;
    }
    TableReader reader(*node->as_table(), name + ".", this->error);
    read(reader);
    reader.Finish();
  }

  // Calls `read` for each entry of the array of tables `name`.
  template <typename Callback>
  void WithEach(const std::string& name, Callback read) {
    this->known.insert(name);
    const toml::node* node = this->root.get(name);
    if (node == nullptr) {
      return;
    }
    const toml::array* list = node->as_array();
    if (list == nullptr || !list->is_homogeneous<toml::table>()) {
      this->Fail(name, "must be a list of tables, written as [[" + name + "]]");
      return;
    }
    for (std::size_t index = 0; index < list->size(); ++index) {
      TableReader reader(*list->get_as<toml::table>(index),
                         name + "[" + std::to_string(index) + "].", this->error);
      read(reader);
      reader.Finish();
    }
  }

  void Fail(const std::string& key, const std::string& reason) {
    if (!this->error) {
      this->error = SettingsError{"", key, reason};
    }
  }

  void ReadProcess() {
    if (this->root.get("admin") == nullptr) {
      this->Fail("admin", "is missing");
    }
    this->WithTable("admin",
                    [this](TableReader& reader) { reader.ReadEndpoint(this->settings.admin); });
    this->WithTable("process", [this](TableReader& reader) {
      std::int64_t milliseconds = 5;
      reader.Integer("tick_ms", milliseconds, kPositive);
      this->settings.tick = std::chrono::milliseconds(milliseconds);
    });
  }

  void ReadConfigService() {
    this->WithTable("config_service", [this](TableReader& reader) {
      ConfigServiceSettings config;
      reader.ReadEndpoint(config.endpoint);
      reader.String("folder", config.folder, true);
      reader.Integer("calls_per_second", config.calls_per_second, kPositive);
      config.folder = (this->folder / config.folder).string();
      this->settings.config_service = std::move(config);
    });
  }

  void ReadInstanceList() {
    this->WithTable("instance_list", [this](TableReader& reader) {
      InstanceListSettings list;
      reader.ReadEndpoint(list.endpoint);
      reader.Time("lag_ms", list.lag, std::chrono::milliseconds(1));
      this->settings.instance_list = std::move(list);
    });
  }

  void ReadWeightStore() {
    this->WithTable("weight_store", [this](TableReader& reader) {
      WeightStoreSettings store;
      reader.ReadEndpoint(store.endpoint);
      reader.Integer("calls_per_second", store.calls_per_second, kPositive);
      reader.Integer("object_bytes", store.object_bytes, kNotNegative);
      this->settings.weight_store = std::move(store);
    });
  }

  void ReadEngines() {
    EngineSettings defaults;
    this->WithTable("engine_defaults",
                    [&](TableReader& reader) { ReadEngineModel(reader, defaults); });
    this->WithEach("engine", [&](TableReader& reader) {
      HostedEngine hosted;
      hosted.engine = defaults;
      hosted.engine.seed += this->settings.engines.size();
      reader.String("id", hosted.engine.id, true);
      reader.String("pool", hosted.pool, true);
      reader.String("failure_domain", hosted.failure_domain, true);
      reader.ReadEndpoint(hosted.endpoint);
      ReadEngineModel(reader, hosted.engine);
      if (hosted.engine.model.empty()) {
        reader.Fail("model", "is missing here and in engine_defaults");
      }
      this->settings.engines.push_back(std::move(hosted));
    });
  }

  void ReadServices() {
    PlainServiceSettings defaults;
    this->WithTable("service_defaults",
                    [&](TableReader& reader) { ReadServiceModel(reader, defaults); });
    this->WithEach("service", [&](TableReader& reader) {
      HostedService hosted;
      hosted.service = defaults;
      reader.String("id", hosted.service.id, true);
      reader.String("pool", hosted.service.service, true);
      reader.String("failure_domain", hosted.failure_domain, true);
      reader.ReadEndpoint(hosted.endpoint);
      ReadServiceModel(reader, hosted.service);
      this->settings.services.push_back(std::move(hosted));
    });
  }

  void ReadRouters() {
    this->WithEach("router", [&](TableReader& reader) {
      ListedRouter router;
      reader.String("id", router.id, true);
      reader.String("failure_domain", router.failure_domain, true);
      reader.ReadEndpoint(router.endpoint);
      reader.Integer("peer_port", router.peer_port, kPortRange, true);
      reader.Integer("control_port", router.control_port, kPortRange, true);
      reader.Integer("incarnation", router.incarnation, kNotNegative);
      this->settings.routers.push_back(std::move(router));
    });
  }

  void ReportUnknownTables() {
    for (const auto& [key, node] : this->root) {
      if (!this->known.contains(std::string(key.str()))) {
        this->Fail(std::string(key.str()), "is not a known key");
      }
    }
  }

  void CheckIds() {
    std::set<std::string> ids{"config", "instances", "weights", "stats"};
    const auto check = [&](const std::string& table, std::size_t index, const std::string& id) {
      if (id.find('/') != std::string::npos) {
        this->Fail(table + "[" + std::to_string(index) + "].id", "must not contain \"/\"");
      }
      if (!ids.insert(id).second) {
        this->Fail(table + "[" + std::to_string(index) + "].id",
                   "\"" + id + "\" is reserved or used twice");
      }
    };
    for (std::size_t index = 0; index < this->settings.engines.size(); ++index) {
      check("engine", index, this->settings.engines[index].engine.id);
    }
    for (std::size_t index = 0; index < this->settings.services.size(); ++index) {
      check("service", index, this->settings.services[index].service.id);
    }
    for (std::size_t index = 0; index < this->settings.routers.size(); ++index) {
      check("router", index, this->settings.routers[index].id);
    }
  }

  const toml::table& root;
  std::filesystem::path folder;
  std::set<std::string> known;
  std::optional<SettingsError> error;
  PlatformSettings settings;
};

}  // namespace

std::string ToString(const SettingsError& error) {
  return error.file + ": " + (error.key.empty() ? "" : error.key + " ") + error.reason;
}

ResultOf<PlatformSettings, SettingsError> ParsePlatformSettings(std::string_view toml_text,
                                                                const std::string& path) {
  toml::table table;
  try {
    table = toml::parse(toml_text, path);
  } catch (const toml::parse_error& failure) {
    return SettingsError{path, "",
                         "line " + std::to_string(failure.source().begin.line) + ": " +
                             std::string(failure.description())};
  }
  PlatformReader reader(table, std::filesystem::path(path).parent_path());
  ResultOf<PlatformSettings, SettingsError> settings = reader.Read();
  if (!settings) {
    settings.error().file = path;
  }
  return settings;
}

ResultOf<PlatformSettings, SettingsError> ReadPlatformSettings(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    return SettingsError{path, "", "can't be read"};
  }
  const std::string text(std::istreambuf_iterator<char>(file), {});
  return ParsePlatformSettings(text, path);
}

}  // namespace geraniumspread::standin
