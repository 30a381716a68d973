#include "geranium_ctl/command_line.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <array>
#include <optional>
#include <utility>

#include "config/config_types.h"

DEFINE_string(output, "text", "text or json");
DEFINE_string(against, "", "folder of a compiled configuration to compare with");
DEFINE_string(out, "", "folder to write the compiled configuration to");
// The library has a flag --version of its own, so this one has a longer name;
// ParseCommandLine maps --version to it.
DEFINE_uint64(config_version, 0, "version of the compiled configuration");
DEFINE_string(workspace, "", "workspace name");
DEFINE_string(chat, "", "chat id");
DEFINE_string(model, "", "model name that the caller sends");
DEFINE_string(routers, "", "HOST:PORT of each router, separated by commas");
DEFINE_uint64(timeout_ms, 2000, "time limit for each router in milliseconds");

namespace geraniumspread::ctl {
namespace {

struct FlagName {
  std::string_view given;
  std::string_view defined;
};

constexpr std::array<FlagName, 9> kFlags{{{"output", "output"},
                                          {"against", "against"},
                                          {"out", "out"},
                                          {"version", "config_version"},
                                          {"workspace", "workspace"},
                                          {"chat", "chat"},
                                          {"model", "model"},
                                          {"routers", "routers"},
                                          {"timeout_ms", "timeout_ms"}}};

constexpr std::uint64_t kMaxTimeoutMs = 600'000;

CommandError UsageError(std::string message) {
  return {ExitCode::kUsage, std::move(message) + "; see --help"};
}

bool IsFlag(std::string_view text) {
  return text.size() > 1 && text.starts_with('-');
}

// The value behind '=', or the next argument.
std::string_view TakeValue(std::string_view name,
                           std::optional<std::string_view> inline_value,
                           std::span<const char* const>& rest) {
  if (inline_value) {
    return *inline_value;
  }
  if (rest.empty() || IsFlag(rest.front())) {
    throw UsageError("flag --" + std::string(name) + " needs a value");
  }
  const std::string_view value = rest.front();
  rest = rest.subspan(1);
  return value;
}

void SetFlag(std::string_view text, std::span<const char* const>& rest) {
  text.remove_prefix(text.starts_with("--") ? 2 : 1);
  const std::size_t equals = text.find('=');
  const std::string_view name = text.substr(0, equals);
  const auto* flag = std::ranges::find(kFlags, name, &FlagName::given);
  if (flag == kFlags.end()) {
    throw UsageError("unknown flag --" + std::string(name));
  }
  const auto inline_value =
      equals == std::string_view::npos ? std::nullopt : std::optional(text.substr(equals + 1));
  const std::string value(TakeValue(name, inline_value, rest));
  const std::string defined(flag->defined);
  if (gflags::SetCommandLineOption(defined.c_str(), value.c_str()).empty()) {
    throw UsageError("flag --" + std::string(name) + " can't have the value \"" + value + "\"");
  }
}

std::vector<std::string> SplitRouters(std::string_view text) {
  std::vector<std::string> routers;
  while (!text.empty()) {
    const std::size_t comma = text.find(',');
    if (comma != 0) {
      routers.emplace_back(text.substr(0, comma));
    }
    text = comma == std::string_view::npos ? std::string_view() : text.substr(comma + 1);
  }
  return routers;
}

void TakeFlagValues(CommandLine& line) {
  if (FLAGS_output != "text" && FLAGS_output != "json") {
    throw UsageError("flag --output must be text or json");
  }
  if (FLAGS_timeout_ms == 0 || FLAGS_timeout_ms > kMaxTimeoutMs) {
    throw UsageError("flag --timeout_ms must be between 1 and " + std::to_string(kMaxTimeoutMs));
  }
  if (FLAGS_config_version > config::kMaxVersion) {
    throw UsageError("flag --version must be at most " + std::to_string(config::kMaxVersion));
  }
  line.as_json = FLAGS_output == "json";
  line.against = FLAGS_against;
  line.out = FLAGS_out;
  line.version = FLAGS_config_version;
  line.workspace = FLAGS_workspace;
  line.chat = FLAGS_chat;
  line.model = FLAGS_model;
  line.routers = SplitRouters(FLAGS_routers);
  line.timeout = std::chrono::milliseconds(FLAGS_timeout_ms);
}

}  // namespace

std::string_view UsageText() {
  return R"(Usage: geranium_ctl COMMAND [ARGUMENT] [FLAGS]

Commands:
  check SHEET [--against DIR]             report every error and warning of a sheet
  compile SHEET --version N --out DIR     write DIR/manifest and DIR/shard/<digest>
  diff SHEET --against DIR                list changes against a compiled configuration
  explain SHEET --workspace W --chat C [--model M]
                                          show what the configuration decides for a chat
  instances [SERVICE] --routers HOST:PORT,...
                                          show what instances of geranium_edge believe, by their
                                          metrics addresses, or where a request of SERVICE would go
  status --routers HOST:PORT,...          compare the configuration of running routers
  trace REQUEST_ID LOG...                 show the story of a request from the logs of many instances

Flags:
  --output text|json   form of the report on standard output (default text)
  --timeout_ms N       time limit for each router (default 2000)
  --help               show this text

Exit codes:
  0  success; warnings may have been printed
  1  the sheet or the compiled configuration has errors, or no line names the request
  2  bad command, flag or argument
  3  a file or a router can't be read or written
  4  diff or instances found differences, or status found alarms or disagreement
)";
}

CommandLine ParseCommandLine(std::span<const char* const> arguments) {
  CommandLine line;
  std::vector<std::string> words;
  while (!arguments.empty()) {
    const std::string_view text = arguments.front();
    arguments = arguments.subspan(1);
    if (text == "--help" || text == "-h") {
      line.wants_help = true;
      return line;
    }
    if (IsFlag(text)) {
      SetFlag(text, arguments);
    } else {
      words.emplace_back(text);
    }
  }
  if (words.empty()) {
    throw UsageError("no command");
  }
  line.command = words.front();
  line.arguments.assign(words.begin() + 1, words.end());
  TakeFlagValues(line);
  return line;
}

}  // namespace geraniumspread::ctl
