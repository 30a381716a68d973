#include "settings/router_settings.h"

#include <toml++/toml.h>
#include <boost/asio/ip/address.hpp>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <limits>
#include <optional>
#include <set>

namespace geraniumspread::settings {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kMinSharedKeyBytes = 16;

struct IntegerRange {
  std::int64_t min = 0;
  std::int64_t max = std::numeric_limits<std::int64_t>::max();
};

constexpr IntegerRange kPortRange{0, 65535};
constexpr IntegerRange kMillisecondsRange{1, 3'600'000};

// Reads values from one TOML document and collects what is wrong with them.
class Reader {
 public:
  Reader(const toml::table& document, std::string path) : root(document), file(std::move(path)) {}

  void ReadText(const std::string& key, std::string& value, bool required = false) {
    const toml::node* node = this->Find(key, required);
    if (node == nullptr) {
      return;
    }
    const auto text = node->value_exact<std::string>();
    if (!text || (required && text->empty())) {
      this->Report(key, "must be a text" + std::string(required ? " that is not empty" : ""));
      return;
    }
    value = *text;
  }

  template <typename Integer>
  void ReadInteger(const std::string& key,
                   Integer& value,
                   IntegerRange range,
                   bool required = false) {
    if (const auto number = this->Integer64(key, range, required); number) {
      value = static_cast<Integer>(*number);
    }
  }

  void ReadMilliseconds(const std::string& key, Duration& value) {
    if (const auto number = this->Integer64(key, kMillisecondsRange, false); number) {
      value = milliseconds(*number);
    }
  }

  void ReadAddress(const std::string& key, Address& value) {
    std::string text;
    this->ReadText(key, text, true);
    if (text.empty()) {
      return;
    }
    const std::size_t colon = text.rfind(':');
    std::int64_t port = 0;
    if (colon != std::string::npos) {
      port = std::strtol(text.c_str() + colon + 1, nullptr, 10);
    }
    if (port < 1 || port > kPortRange.max) {
      this->Report(key, "must be of the form IP:PORT, got \"" + text + "\"");
      return;
    }
    std::string ip = text.substr(0, colon);
    if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']') {
      ip = ip.substr(1, ip.size() - 2);
    }
    value = {std::move(ip), static_cast<std::uint16_t>(port)};
    this->CheckIpAddress(key, value.address);
  }

  void CheckIpAddress(const std::string& key, const std::string& text) {
    boost::system::error_code error;
    boost::asio::ip::make_address(text, error);
    if (error) {
      this->Report(key, "\"" + text + "\" is not an IP address");
    }
  }

  // Reports keys that no Read call has asked for, so that a misspelt key is not ignored.
  void ReportUnknownKeys() { this->ReportUnknownKeys(this->root, ""); }

  void Report(const std::string& key, std::string reason) {
    this->problems.push_back({this->file, key, std::move(reason)});
  }

  std::vector<SettingsProblem> problems;

 private:
  const toml::node* Find(const std::string& key, bool required) {
    this->known_keys.insert(key);
    const toml::node* node = this->root.at_path(key).node();
    if (node == nullptr && required) {
      this->Report(key, "is missing");
    }
    return node;
  }

  std::optional<std::int64_t> Integer64(const std::string& key, IntegerRange range, bool required) {
    const toml::node* node = this->Find(key, required);
    if (node == nullptr) {
      return std::nullopt;
    }
    const auto number = node->value_exact<std::int64_t>();
    if (!number || *number < range.min || *number > range.max) {
      this->Report(key, "must be a whole number from " + std::to_string(range.min) + " to " +
                            std::to_string(range.max));
      return std::nullopt;
    }
    return number;
  }

  void ReportUnknownKeys(const toml::table& table, const std::string& prefix) {
    for (const auto& [key, node] : table) {
      const std::string path = prefix + std::string(key.str());
      if (const toml::table* inner = node.as_table(); inner != nullptr) {
        this->ReportUnknownKeys(*inner, path + ".");
      } else if (!this->known_keys.contains(path)) {
        this->Report(path, "is not a known setting");
      }
    }
  }

  const toml::table& root;
  std::string file;
  std::set<std::string> known_keys;
};

std::optional<std::string> ReadFile(const std::filesystem::path& path) {
  std::ifstream stream(path, std::ios::binary);
  if (!stream) {
    return std::nullopt;
  }
  return std::string(std::istreambuf_iterator<char>(stream), {});
}

void ReadSharedKey(Reader& reader, const std::string& settings_path, std::string& shared_key) {
  static const std::string kKey = "fleet.shared_key_file";
  std::string name;
  reader.ReadText(kKey, name, true);
  if (name.empty()) {
    return;
  }
  const auto path = std::filesystem::path(settings_path).parent_path() / name;
  std::optional<std::string> bytes = ReadFile(path);
  if (!bytes) {
    reader.Report(kKey, "can't read \"" + path.string() + "\"");
    return;
  }
  while (!bytes->empty() && (bytes->back() == '\n' || bytes->back() == '\r')) {
    bytes->pop_back();
  }
  if (bytes->size() < kMinSharedKeyBytes) {
    reader.Report(kKey,
                  "the key must have at least " + std::to_string(kMinSharedKeyBytes) + " bytes");
    return;
  }
  shared_key = std::move(*bytes);
}

void ReadIdentity(Reader& reader, RouterSettings& settings) {
  reader.ReadText("instance.id", settings.instance.id, true);
  reader.ReadText("instance.failure_domain", settings.instance.failure_domain, true);
  reader.ReadText("listen.address", settings.listen.address);
  reader.CheckIpAddress("listen.address", settings.listen.address);
  reader.ReadInteger("listen.public_port", settings.listen.public_port, kPortRange, true);
  reader.ReadInteger("listen.peer_port", settings.listen.peer_port, kPortRange, true);
  reader.ReadInteger("listen.control_port", settings.listen.control_port, kPortRange, true);
}

void ReadLimits(Reader& reader, LimitSettings& limits) {
  reader.ReadInteger("limits.max_header_bytes", limits.max_header_bytes, {1024, 1 << 20});
  reader.ReadInteger("limits.max_body_bytes", limits.max_body_bytes, {1024, 1 << 30});
  reader.ReadInteger("limits.max_answer_bytes", limits.max_answer_bytes, {1024, 1 << 30});
  reader.ReadInteger("limits.max_connections", limits.max_connections, {1, 1'000'000});
  reader.ReadInteger("limits.max_concurrent_requests", limits.max_concurrent_requests,
                     {1, 1'000'000});
  reader.ReadMilliseconds("limits.read_timeout_ms", limits.read_timeout);
  reader.ReadMilliseconds("limits.idle_timeout_ms", limits.idle_timeout);
}

void ReadUpstreams(Reader& reader, UpstreamSettings& upstreams) {
  reader.ReadMilliseconds("upstreams.connect_timeout_ms", upstreams.connect_timeout);
  reader.ReadMilliseconds("upstreams.first_byte_timeout_ms", upstreams.first_byte_timeout);
  reader.ReadMilliseconds("upstreams.between_bytes_timeout_ms", upstreams.between_bytes_timeout);
  reader.ReadMilliseconds("upstreams.load_report_period_ms", upstreams.load_report_period);
  reader.ReadMilliseconds("upstreams.default_deadline_ms", upstreams.default_deadline);
}

void ReadLog(Reader& reader, LogSettings& log) {
  static const std::set<std::string> kLevels = {"debug", "info", "warn", "error"};
  reader.ReadText("log.level", log.level);
  reader.ReadText("log.file", log.file);
  if (!kLevels.contains(log.level)) {
    reader.Report("log.level", "must be debug, info, warn or error");
  }
}

}  // namespace

std::string ToString(const SettingsError& error) {
  std::string text;
  for (const SettingsProblem& problem : error.problems) {
    if (!text.empty()) {
      text += '\n';
    }
    text += problem.file + ": " + (problem.key.empty() ? "" : problem.key + ": ") + problem.reason;
  }
  return text;
}

Result<RouterSettings> ParseRouterSettings(std::string_view text, const std::string& path) {
  const toml::parse_result document = toml::parse(text, path);
  if (!document) {
    const auto& position = document.error().source().begin;
    return SettingsError{
        {{path, "",
          "line " + std::to_string(position.line) + ", column " + std::to_string(position.column) +
              ": " + std::string(document.error().description())}}};
  }
  RouterSettings settings;
  Reader reader(document.table(), path);
  ReadIdentity(reader, settings);
  reader.ReadAddress("platform.config_service", settings.platform.config_service);
  reader.ReadAddress("platform.instance_list", settings.platform.instance_list);
  reader.ReadMilliseconds("platform.instance_list_period_ms",
                          settings.platform.instance_list_period);
  ReadSharedKey(reader, path, settings.shared_key);
  ReadLimits(reader, settings.limits);
  ReadUpstreams(reader, settings.upstreams);
  ReadLog(reader, settings.log);
  reader.ReadText("trace.file", settings.trace.file);
  reader.ReportUnknownKeys();
  if (!reader.problems.empty()) {
    return SettingsError{std::move(reader.problems)};
  }
  return settings;
}

Result<RouterSettings> LoadRouterSettings(const std::string& path) {
  const std::optional<std::string> text = ReadFile(path);
  if (!text) {
    return SettingsError{{{path, "", "can't read the file"}}};
  }
  return ParseRouterSettings(*text, path);
}

}  // namespace geraniumspread::settings
