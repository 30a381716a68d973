#include "geranium_ctl/status_command.h"

#include <algorithm>
#include <cstddef>
#include <map>
#include <utility>

#include <boost/json.hpp>

#include "geranium_ctl/http_get.h"

namespace geraniumspread::ctl {
namespace {

namespace json = boost::json;

constexpr std::size_t kShownDigest = 12;

using VersionAndDigest = std::pair<std::uint64_t, std::string>;

std::string VersionText(const VersionAndDigest& version) {
  return "version " + std::to_string(version.first) + " digest " +
         version.second.substr(0, kShownDigest);
}

RouterStatus AskRouter(const std::string& router, std::chrono::milliseconds timeout) {
  HttpAnswer answer = HttpGet(router, "/status", timeout);
  if (!answer.error.empty()) {
    RouterStatus status;
    status.router = router;
    status.error = std::move(answer.error);
    return status;
  }
  return ReadRouterStatus(router, answer.body);
}

json::object RouterJson(const RouterStatus& status) {
  json::object object{{"router", status.router}, {"state", status.state}, {"error", status.error}};
  if (status.configuration) {
    object["configuration"] = json::parse(SerializeStatus(*status.configuration));
  }
  return object;
}

void PrintRouter(const RouterStatus& status, std::ostream& out) {
  if (!status.configuration) {
    out << status.router << ": error: " << status.error << "\n";
    return;
  }
  const config::ConfigStatus& configuration = *status.configuration;
  out << status.router << ": " << (status.state.empty() ? "unknown state" : status.state) << ", "
      << VersionText({configuration.version, configuration.digest});
  if (configuration.missing_shards != 0) {
    out << ", waits for " << configuration.missing_shards << " shard(s)";
  }
  out << "\n";
  for (const config::AlarmStatus& alarm : configuration.alarms) {
    out << status.router << ": alarm " << alarm.kind << ": "
        << VersionText({alarm.version, alarm.digest}) << ": " << alarm.message << "\n";
  }
}

ExitCode Judge(const std::vector<RouterStatus>& statuses, bool is_agreed) {
  const auto has_error = [](const RouterStatus& status) { return !status.configuration; };
  const auto has_alarm = [](const RouterStatus& status) {
    return status.configuration && !status.configuration->alarms.empty();
  };
  if (std::ranges::any_of(statuses, has_error)) {
    return ExitCode::kUnavailable;
  }
  return !is_agreed || std::ranges::any_of(statuses, has_alarm) ? ExitCode::kFound
                                                                : ExitCode::kSuccess;
}

}  // namespace

void RequireRouters(const CommandLine& line) {
  if (line.routers.empty()) {
    throw CommandError{ExitCode::kUsage, "flag --routers is missing; see --help"};
  }
  for (const std::string& router : line.routers) {
    if (!IsAuthority(router)) {
      throw CommandError{ExitCode::kUsage, "\"" + router + "\" in --routers is not HOST:PORT"};
    }
  }
}

RouterStatus ReadRouterStatus(std::string_view router, std::string_view body) {
  RouterStatus status;
  status.router = router;
  boost::system::error_code code;
  const json::value root = json::parse(body, code);
  const json::object* object = code ? nullptr : root.if_object();
  const json::value* part = object == nullptr ? nullptr : object->if_contains("configuration");
  if (part == nullptr) {
    status.error = "the answer has no configuration status";
    return status;
  }
  if (const json::value* state = object->if_contains("state"); state && state->is_string()) {
    status.state = state->get_string();
  }
  if (auto parsed = config::ParseStatus(json::serialize(*part))) {
    status.configuration = std::move(parsed.value());
  } else {
    status.error = "the answer has no valid configuration status";
  }
  return status;
}

std::vector<std::string> FindDisagreement(const std::vector<RouterStatus>& statuses) {
  std::map<VersionAndDigest, std::vector<std::string>> routers;
  for (const RouterStatus& status : statuses) {
    if (status.configuration) {
      routers[{status.configuration->version, status.configuration->digest}].push_back(
          status.router);
    }
  }
  std::vector<std::string> sentences;
  for (const auto& [version, names] : routers) {
    if (version != routers.rbegin()->first) {
      sentences.push_back(std::to_string(names.size()) + " router(s), first " + names.front() +
                          ", have " + VersionText(version) + " instead of " +
                          VersionText(routers.rbegin()->first));
    }
  }
  return sentences;
}

ExitCode ShowStatus(const CommandLine& line, std::ostream& out) {
  if (!line.arguments.empty()) {
    throw CommandError{ExitCode::kUsage, "command status takes no argument; see --help"};
  }
  RequireRouters(line);
  std::vector<RouterStatus> statuses;
  statuses.reserve(line.routers.size());
  for (const std::string& router : line.routers) {
    statuses.push_back(AskRouter(router, line.timeout));
  }
  const std::vector<std::string> disagreement = FindDisagreement(statuses);
  if (line.as_json) {
    json::array routers;
    for (const RouterStatus& status : statuses) {
      routers.emplace_back(RouterJson(status));
    }
    out << json::serialize(json::object{
               {"routers", std::move(routers)},
               {"disagreement", json::array(disagreement.begin(), disagreement.end())}})
        << "\n";
  } else {
    for (const RouterStatus& status : statuses) {
      PrintRouter(status, out);
    }
    for (const std::string& sentence : disagreement) {
      out << "disagreement: " << sentence << "\n";
    }
  }
  return Judge(statuses, disagreement.empty());
}

}  // namespace geraniumspread::ctl
