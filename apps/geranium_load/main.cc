#include <gflags/gflags.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <charconv>
#include <fstream>
#include <iostream>
#include <iterator>

#include "config/sheet.h"
#include "load/load_run.h"
#include "standin/platform_settings.h"

DEFINE_string(platform, "", "stand-ins' settings file: gives routers, admin, model and service");
DEFINE_string(routers, "", "routers as host:port,host:port; overrides --platform");
DEFINE_string(admin, "", "admin endpoint of the stand-ins as host:port; overrides --platform");
DEFINE_string(model, "", "model that chats ask for; overrides --platform");
DEFINE_string(service, "", "service that gets lookups and orders; overrides --platform");
DEFINE_string(workspaces, "workspace-1,workspace-2", "names of the workspaces");
DEFINE_string(sheet, "", "sheet whose limits the workspaces have, to count refusals within them");
DEFINE_double(rate, 50, "arrivals a second over all workspaces");
DEFINE_double(duration_s, 30, "length of the run in seconds");
DEFINE_uint64(seed, 1, "seed of the arrivals and their contents");
DEFINE_string(mix,
              "draft=30,stream=40,batch=10,lookup=15,order=5",
              "weights of the kinds of work; a kind that is left out gets no work");
DEFINE_uint32(surging, 1, "workspaces that surge in the middle third of the run");
DEFINE_double(surge_factor, 4, "their rate during the surge over their usual rate");
DEFINE_double(pause_s, 2, "least pause before a chat returns");
DEFINE_double(new_chat_share, 0.1, "share of chat requests that start a new chat");
DEFINE_int32(message_words, 40, "words of each new message");
DEFINE_int32(answer_tokens, 32, "tokens of each answer (max_tokens)");
DEFINE_int32(max_prompt_tokens, 2000, "tokens after which a chat ends");
DEFINE_double(repeat_share, 0.2, "share of orders that are repeated through another router");
DEFINE_uint64(max_open, 2000, "open requests; arrivals over it are not sent");
DEFINE_double(timeout_s, 30, "longest wait for the next bytes of an answer");
DEFINE_string(events, "", "file of timed admin actions, lines \"<seconds> /admin/<id>/<action>\"");
DEFINE_string(csv, "", "file for the counts of each second");
DEFINE_string(svg, "", "file for a plot of the counts of each second");

namespace geraniumspread::load {
namespace {

int Fail(const std::string& reason) {
  std::cerr << "geranium_load: " << reason << '\n';
  return static_cast<int>(ExitCode::kBadUsage);
}

std::vector<std::string> SplitList(std::string_view text) {
  std::vector<std::string> parts;
  while (!text.empty()) {
    const std::string_view part = text.substr(0, text.find(','));
    text.remove_prefix(std::min(text.size(), part.size() + 1));
    if (!part.empty()) {
      parts.emplace_back(part);
    }
  }
  return parts;
}

Duration Seconds(double seconds) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

std::optional<std::string> ReadMix(WorkloadSettings& workload) {
  workload.mix.fill(0);
  for (const std::string& part : SplitList(FLAGS_mix)) {
    const std::size_t equals = std::min(part.find('='), part.size());
    const std::string name = part.substr(0, equals);
    const std::string weight = part.substr(std::min(part.size(), equals + 1));
    double value = -1;
    const char* begin = weight.c_str();
    std::from_chars(begin, begin + weight.size(), value);
    std::size_t kind = 0;
    while (kind < kWorkKindCount && ToString(static_cast<WorkKind>(kind)) != name) {
      ++kind;
    }
    if (kind == kWorkKindCount || value < 0) {
      return "--mix: \"" + part + "\" is not <kind>=<weight>";
    }
    workload.mix.at(kind) = value;
  }
  if (std::ranges::all_of(workload.mix, [](double weight) { return weight == 0; })) {
    return "--mix: all weights are 0";
  }
  return std::nullopt;
}

std::optional<std::string> ReadLimits(WorkloadSettings& workload) {
  if (FLAGS_sheet.empty()) {
    return std::nullopt;
  }
  std::ifstream file(FLAGS_sheet, std::ios::binary);
  if (!file) {
    return "--sheet: the file can't be read";
  }
  const std::string text(std::istreambuf_iterator<char>(file), {});
  const config::SheetReport sheet = config::ParseSheet(text);
  if (!sheet.configuration) {
    return "--sheet: has errors; geranium_ctl check lists them";
  }
  for (const std::string& name : workload.workspaces) {
    const config::Workspace* workspace = config::FindWorkspace(*sheet.configuration, name);
    if (workspace == nullptr) {
      return "--sheet: has no workspace \"" + name + "\"";
    }
    workload.limits.push_back({.requests_per_second = workspace->requests_per_second,
                               .max_concurrent = workspace->concurrency_limit});
  }
  return std::nullopt;
}

std::optional<std::string> ReadWorkload(WorkloadSettings& workload) {
  workload.rate = FLAGS_rate;
  workload.duration = Seconds(FLAGS_duration_s);
  workload.seed = FLAGS_seed;
  workload.workspaces = SplitList(FLAGS_workspaces);
  workload.surging = FLAGS_surging;
  workload.surge_factor = FLAGS_surge_factor;
  workload.pause = Seconds(FLAGS_pause_s);
  workload.new_chat_share = FLAGS_new_chat_share;
  workload.message_words = FLAGS_message_words;
  workload.answer_tokens = FLAGS_answer_tokens;
  workload.max_prompt_tokens = FLAGS_max_prompt_tokens;
  workload.repeat_share = FLAGS_repeat_share;
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  workload.run_tag =
      "load" + std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
  if (workload.workspaces.empty()) {
    return "--workspaces: is empty";
  }
  if (!(workload.rate > 0) || !(FLAGS_duration_s > 0) || !(workload.surge_factor > 0)) {
    return "--rate, --duration_s and --surge_factor must be positive";
  }
  if (workload.message_words < 1 || workload.answer_tokens < 1 ||
      workload.answer_tokens > standin::kMaxAnswerTokens) {
    return "--message_words and --answer_tokens must be at least 1, --answer_tokens at most 4096";
  }
  if (auto reason = ReadLimits(workload); reason) {
    return reason;
  }
  return ReadMix(workload);
}

std::optional<std::string> ReadPlatform(LoadSettings& settings) {
  if (FLAGS_platform.empty()) {
    return std::nullopt;
  }
  const auto platform = standin::ReadPlatformSettings(FLAGS_platform);
  if (!platform) {
    return standin::ToString(platform.error());
  }
  settings.admin = platform.value().admin;
  for (const standin::ListedRouter& router : platform.value().routers) {
    settings.routers.push_back(router.endpoint);
  }
  if (!platform.value().engines.empty()) {
    settings.model = platform.value().engines.front().engine.model;
  }
  if (!platform.value().services.empty()) {
    settings.service = platform.value().services.front().service.service;
  }
  return std::nullopt;
}

std::optional<std::string> ReadTargets(LoadSettings& settings) {
  if (auto reason = ReadPlatform(settings); reason) {
    return reason;
  }
  if (!FLAGS_routers.empty()) {
    settings.routers.clear();
  }
  for (const std::string& text : SplitList(FLAGS_routers)) {
    const auto endpoint = transport::ParseEndpoint(text);
    if (!endpoint) {
      return "--routers: \"" + text + "\" is not host:port";
    }
    settings.routers.push_back(*endpoint);
  }
  if (!FLAGS_admin.empty()) {
    settings.admin = transport::ParseEndpoint(FLAGS_admin);
    if (!settings.admin) {
      return "--admin: is not host:port";
    }
  }
  settings.model = FLAGS_model.empty() ? settings.model : FLAGS_model;
  settings.service = FLAGS_service.empty() ? settings.service : FLAGS_service;
  if (settings.routers.empty()) {
    return "no routers: give --routers or --platform";
  }
  return std::nullopt;
}

std::optional<std::string> ReadEvents(LoadSettings& settings) {
  if (FLAGS_events.empty()) {
    return std::nullopt;
  }
  std::ifstream file(FLAGS_events, std::ios::binary);
  if (!file || !settings.admin) {
    return "--events: the file can't be read, or there is no admin endpoint";
  }
  const std::string text(std::istreambuf_iterator<char>(file), {});
  std::string reason;
  auto events = ParseEvents(text, reason);
  if (!events) {
    return FLAGS_events + ": " + reason;
  }
  settings.events = std::move(*events);
  return std::nullopt;
}

std::optional<std::string> ReadSettings(LoadSettings& settings) {
  settings.max_open_requests = FLAGS_max_open;
  settings.timeout = Seconds(FLAGS_timeout_s);
  if (auto reason = ReadWorkload(settings.workload); reason) {
    return reason;
  }
  if (auto reason = ReadTargets(settings); reason) {
    return reason;
  }
  return ReadEvents(settings);
}

// Returns false when the file can't be written.
bool WriteFile(const std::string& path, const std::string& text) {
  if (path.empty()) {
    return true;
  }
  std::ofstream file(path, std::ios::binary);
  file << text;
  return static_cast<bool>(file.flush());
}

int Run() {
  LoadSettings settings;
  if (const auto reason = ReadSettings(settings); reason) {
    return Fail(*reason);
  }
  boost::asio::io_context io;
  LoadRun run(io.get_executor(), std::move(settings));
  boost::asio::co_spawn(io, run.Run(), [](const std::exception_ptr& error) {
    if (error) {
      std::rethrow_exception(error);
    }
  });
  io.run();
  const LoadReport& report = run.Report();
  std::cout << FormatReport(report);
  if (!WriteFile(FLAGS_csv, FormatCsv(report.totals)) ||
      !WriteFile(FLAGS_svg, FormatSvg(report.totals))) {
    return Fail("--csv or --svg: the file can't be written");
  }
  return static_cast<int>(Judge(report));
}

}  // namespace
}  // namespace geraniumspread::load

int main(int argc, char** argv) {
  gflags::SetUsageMessage(
      "drives routers with seeded work and checks every answer\n"
      "  geranium_load --platform=platform.toml --rate=50 --duration_s=30\n"
      "Exit codes: 0 every answer was checked good and nothing ran twice; 1 a damaged or\n"
      "misrouted answer; 2 bad flags or files; 3 a non-repeatable request ran twice; 4 a refusal\n"
      "said \"not run\" of a request that had run; 5 a refusal didn't say whether it ran; 6 no\n"
      "good answer, or the stand-ins' statistics can't be read.");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return geraniumspread::load::Run();
}
