#include "geranium_ctl/instances_command.h"

#include <algorithm>
#include <array>
#include <map>

#include <boost/json.hpp>

#include "geranium_ctl/http_get.h"
#include "geranium_ctl/status_command.h"

namespace geraniumspread::ctl {
namespace {

namespace json = boost::json;

constexpr std::array<std::string_view, 3> kComparedFields = {"config", "published_revision",
                                                             "domains_out"};
constexpr std::size_t kCandidatesShown = 5;

// A field that is missing is shown as null.
json::value Field(const json::object& object, std::string_view name) {
  const json::value* value = object.if_contains(name);
  return value == nullptr ? json::value() : *value;
}

std::string Text(const json::object& object, std::string_view name) {
  const json::value value = Field(object, name);
  return value.is_string() ? std::string(value.get_string()) : json::serialize(value);
}

json::array List(const json::object& object, std::string_view name) {
  const json::value value = Field(object, name);
  return value.is_array() ? value.get_array() : json::array();
}

std::string Workers(const json::object& page) {
  json::array ids;
  for (const json::value& row : List(page, "upstreams")) {
    if (row.is_object() && Field(row.get_object(), "takes_new_work") == json::value(true)) {
      ids.emplace_back(Field(row.get_object(), "id"));
    }
  }
  return json::serialize(ids);
}

std::size_t CountTrue(const json::array& rows, std::string_view field) {
  return static_cast<std::size_t>(std::ranges::count_if(rows, [&](const json::value& row) {
    return row.is_object() && Field(row.get_object(), field) == json::value(true);
  }));
}

void PrintStatus(const InstanceStatus& status, std::ostream& out) {
  if (!status.error.empty()) {
    out << status.address << ": error: " << status.error << "\n";
    return;
  }
  const json::object& page = status.page;
  const json::array peers = List(page, "peers");
  const json::array upstreams = List(page, "upstreams");
  out << Text(page, "instance") << ": " << Text(page, "state") << ", config "
      << Text(page, "config") << ", revision " << Text(page, "published_revision") << ", store "
      << (Field(page, "store_reachable") == json::value(true) ? "reached" : "lost") << ", peers "
      << CountTrue(peers, "live") << " of " << peers.size() << " live, upstreams "
      << CountTrue(upstreams, "takes_new_work") << " of " << upstreams.size()
      << " take new work, domains out " << Text(page, "domains_out") << ", silent "
      << Text(page, "domains_silent") << "\n";
}

void PrintExplanation(const InstanceStatus& status, std::ostream& out) {
  if (!status.error.empty()) {
    out << status.address << ": error: " << status.error << "\n";
    return;
  }
  const json::array candidates = List(status.page, "candidates");
  out << Text(status.page, "instance") << ": " << Text(status.page, "service");
  if (candidates.empty()) {
    out << ": " << Text(status.page, "failure") << "\n";
    return;
  }
  for (std::size_t index = 0; index < std::min(kCandidatesShown, candidates.size()); ++index) {
    const json::object& candidate = candidates[index].as_object();
    out << (index == 0 ? ": " : ", ") << Text(candidate, "upstream") << " "
        << Text(candidate, "cost_ms") << " ms " << Text(candidate, "running") << " running";
  }
  out << "\n";
}

InstanceStatus Ask(const std::string& address,
                   const std::string& target,
                   std::chrono::milliseconds timeout) {
  const HttpAnswer answer = HttpGet(address, target, timeout);
  if (!answer.error.empty()) {
    return {.address = address, .error = answer.error, .page = {}};
  }
  return ReadInstanceStatus(address, answer.body);
}

}  // namespace

InstanceStatus ReadInstanceStatus(std::string_view address, std::string_view body) {
  InstanceStatus status{.address = std::string(address), .error = {}, .page = {}};
  boost::system::error_code code;
  json::value root = json::parse(body, code);
  if (code || !root.is_object() || !root.get_object().contains("instance")) {
    status.error = "the answer is no page of an instance";
    return status;
  }
  status.page = std::move(root.get_object());
  return status;
}

std::vector<std::string> FindDifferences(const std::vector<InstanceStatus>& statuses) {
  std::vector<std::string> sentences;
  const auto compare = [&](std::string_view name, const auto& value_of) {
    std::map<std::string, std::vector<std::string>> holders;
    for (const InstanceStatus& status : statuses) {
      if (status.error.empty()) {
        holders[value_of(status.page)].push_back(Text(status.page, "instance"));
      }
    }
    for (const auto& [value, names] : holders) {
      if (holders.size() > 1) {
        sentences.push_back(std::string(name) + " " + value + ": " + std::to_string(names.size()) +
                            " instance(s), first " + names.front());
      }
    }
  };
  for (const std::string_view field : kComparedFields) {
    compare(field, [field](const json::object& page) { return Text(page, field); });
  }
  compare("upstreams that take new work", Workers);
  return sentences;
}

ExitCode ShowInstances(const CommandLine& line, std::ostream& out) {
  if (line.arguments.size() > 1) {
    throw CommandError{ExitCode::kUsage, "command instances takes at most one service; see --help"};
  }
  RequireRouters(line);
  const bool explains = !line.arguments.empty();
  const std::string target =
      explains ? "/explain?service=" + line.arguments.front() : std::string("/status");
  std::vector<InstanceStatus> statuses;
  statuses.reserve(line.routers.size());
  for (const std::string& address : line.routers) {
    statuses.push_back(Ask(address, target, line.timeout));
  }
  const std::vector<std::string> differences =
      explains ? std::vector<std::string>() : FindDifferences(statuses);
  if (line.as_json) {
    json::array pages;
    for (const InstanceStatus& status : statuses) {
      pages.emplace_back(status.error.empty()
                             ? status.page
                             : json::object{{"address", status.address}, {"error", status.error}});
    }
    out << json::serialize(
               json::object{{"instances", std::move(pages)},
                            {"differences", json::array(differences.begin(), differences.end())}})
        << "\n";
  } else {
    for (const InstanceStatus& status : statuses) {
      explains ? PrintExplanation(status, out) : PrintStatus(status, out);
    }
    for (const std::string& sentence : differences) {
      out << "difference: " << sentence << "\n";
    }
  }
  if (std::ranges::any_of(statuses, [](const auto& status) { return !status.error.empty(); })) {
    return ExitCode::kUnavailable;
  }
  return differences.empty() ? ExitCode::kSuccess : ExitCode::kFound;
}

}  // namespace geraniumspread::ctl
