#include "standin/internal/config_server.h"

#include <algorithm>
#include <boost/json/parse.hpp>
#include <fstream>
#include <iterator>

namespace geraniumspread::standin::detail {
namespace {

namespace asio = boost::asio;
using transport::HttpResponse;

constexpr Duration kRereadInterval = std::chrono::milliseconds(100);
constexpr std::uint64_t kMaxWaitMs = 60'000;
constexpr std::string_view kPathPrefix = "/v1/config/";
constexpr std::string_view kShardPrefix = "shard/";

std::optional<std::string> ReadFile(const std::filesystem::path& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    return std::nullopt;
  }
  return std::string(std::istreambuf_iterator<char>(file), {});
}

// The member "version" of a manifest; empty while the file is being written.
std::optional<std::uint64_t> ManifestVersion(std::string_view bytes) {
  boost::json::error_code error;
  const boost::json::value value = boost::json::parse(bytes, error);
  if (error || !value.is_object()) {
    return std::nullopt;
  }
  const boost::json::value* version = value.as_object().if_contains("version");
  if (version == nullptr) {
    return std::nullopt;
  }
  const auto number = version->to_number<std::uint64_t>(error);
  return error ? std::nullopt : std::optional(number);
}

HttpResponse ValueResponse(std::uint64_t version, std::string value) {
  HttpResponse response;
  response.headers.push_back({"Content-Type", "application/octet-stream"});
  response.headers.push_back({"X-Version", std::to_string(version)});
  response.body = std::move(value);
  return response;
}

}  // namespace

ConfigServer::ConfigServer(const asio::any_io_executor& io_executor, ConfigServiceSettings config)
    : executor(io_executor),
      settings(std::move(config)),
      listener(io_executor, settings.endpoint, *this) {
  this->limit.calls_per_second = this->settings.calls_per_second;
}

std::optional<std::string> ConfigServer::Start() {
  this->RereadManifest();
  return this->listener.Open();
}

void ConfigServer::Stop() {
  this->stopping = true;
  this->listener.Close();
  this->WakeWatches();
}

void ConfigServer::Tick(TimePoint now) {
  if (now < this->next_reread || this->stale) {
    return;
  }
  this->next_reread = now + kRereadInterval;
  this->RereadManifest();
}

void ConfigServer::RereadManifest() {
  const std::filesystem::path path = std::filesystem::path(this->settings.folder) / "manifest";
  std::error_code error;
  const auto time = std::filesystem::last_write_time(path, error);
  const auto size = error ? 0 : std::filesystem::file_size(path, error);
  if (error || (time == this->manifest_time && size == this->manifest_size)) {
    return;
  }
  std::optional<std::string> bytes = ReadFile(path);
  const std::optional<std::uint64_t> version = bytes ? ManifestVersion(*bytes) : std::nullopt;
  if (!version) {
    return;
  }
  this->manifest_time = time;
  this->manifest_size = size;
  this->manifest = StoredManifest{*version, std::move(*bytes)};
  this->WakeWatches();
}

void ConfigServer::WakeWatches() {
  for (const std::shared_ptr<Signal>& watch : this->watches) {
    watch->Notify();
  }
}

asio::awaitable<bool> ConfigServer::Handle(transport::HttpRequest request,
                                           transport::HttpResponder& responder) {
  ++this->calls;
  HttpResponse response;
  const ParsedTarget target = ParseTarget(request.target);
  if (!TryCall(this->limit, this->waiting, RuntimeClock::now())) {
    ++this->refused;
    response = RefusalResponse(429, "rate_limited", "too many calls in the last second", "");
  } else if (request.method != "GET" || !target.path.starts_with(kPathPrefix)) {
    response = RefusalResponse(404, "not_found", "no such endpoint", "");
  } else if (const std::string key = target.path.substr(kPathPrefix.size()); key == "manifest") {
    return this->HandleManifest(target, responder);
  } else if (key.starts_with(kShardPrefix)) {
    response = this->AnswerShard(key.substr(kShardPrefix.size()));
  } else {
    response = RefusalResponse(404, "not_found", "no such key", "");
  }
  return responder.Send(std::move(response));
}

asio::awaitable<bool> ConfigServer::HandleManifest(ParsedTarget target,
                                                   transport::HttpResponder& responder) {
  const std::uint64_t after = QueryNumber(target, "after").value_or(0);
  const std::uint64_t wait_ms = std::min(QueryNumber(target, "wait_ms").value_or(0), kMaxWaitMs);
  if (wait_ms > 0) {
    const TimePoint deadline = RuntimeClock::now() + std::chrono::milliseconds(wait_ms);
    co_await this->WaitForVersion(after, deadline, responder);
  }
  HttpResponse response;
  if (!this->manifest) {
    response = RefusalResponse(404, "not_found", "there is no manifest yet", "");
  } else if (this->manifest->version <= after) {
    response.status = 304;
    response.headers.push_back({"X-Version", std::to_string(this->manifest->version)});
  } else {
    response = ValueResponse(this->manifest->version, this->manifest->bytes);
  }
  co_return co_await responder.Send(std::move(response));
}

asio::awaitable<void> ConfigServer::WaitForVersion(std::uint64_t after,
                                                   TimePoint deadline,
                                                   transport::HttpResponder& responder) {
  const auto signal = std::make_shared<Signal>(this->executor);
  const auto caller_has_gone = std::make_shared<bool>(false);
  responder.OnDisconnect([signal, caller_has_gone] {
    *caller_has_gone = true;
    signal->Notify();
  });
  this->watches.insert(signal);
  ++this->waiting;
  this->peak_waiting = std::max(this->peak_waiting, this->waiting);
  while ((!this->manifest || this->manifest->version <= after) && !*caller_has_gone &&
         !this->stopping && RuntimeClock::now() < deadline) {
    co_await signal->Wait(deadline);
  }
  --this->waiting;
  this->watches.erase(signal);
}

HttpResponse ConfigServer::AnswerShard(const std::string& digest) const {
  const bool is_name = !digest.empty() && std::ranges::all_of(digest, [](char character) {
    return std::isalnum(static_cast<unsigned char>(character)) != 0;
  });
  std::optional<std::string> bytes;
  if (is_name) {
    bytes = ReadFile(std::filesystem::path(this->settings.folder) / "shard" / digest);
  }
  if (!bytes) {
    return RefusalResponse(404, "not_found", "no such shard", "");
  }
  return ValueResponse(this->manifest ? this->manifest->version : 0, std::move(*bytes));
}

ActionResult ConfigServer::Act(const Action& action, TimePoint now) {
  if (action.name == "down") {
    this->listener.Close();
  } else if (action.name == "stale") {
    this->stale = true;
  } else if (action.name == "up") {
    this->stale = false;
    this->next_reread = now;
    this->Tick(now);
    this->listener.Open();
  } else if (action.name == "silence") {
    this->listener.Silence();
  } else {
    return ActionResult::kUnknownAction;
  }
  return ActionResult::kDone;
}

boost::json::object ConfigServer::Stats(bool) const {
  boost::json::object json;
  json["id"] = this->id;
  json["kind"] = "config_service";
  json["up"] = this->listener.IsOpen();
  json["stale"] = this->stale;
  json["version"] = this->manifest ? this->manifest->version : 0;
  json["calls"] = this->calls;
  json["refused"] = this->refused;
  json["waiting"] = this->waiting;
  json["peak_waiting"] = this->peak_waiting;
  return json;
}

}  // namespace geraniumspread::standin::detail
