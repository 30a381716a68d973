#include "standin/internal/platform_servers.h"

namespace geraniumspread::standin::detail {
namespace {

namespace asio = boost::asio;
using transport::HttpResponse;

}  // namespace

InstanceListServer::InstanceListServer(
    const asio::any_io_executor& io_executor,
    const InstanceListSettings& settings,
    std::function<std::vector<ListedInstance>()> collect_instances)
    : collect(std::move(collect_instances)), listener(io_executor, settings.endpoint, *this) {
  this->list.lag = settings.lag;
}

void InstanceListServer::Tick(TimePoint now) {
  if (!this->stale) {
    PublishInstances(this->list, this->collect(), now);
  }
}

asio::awaitable<bool> InstanceListServer::Handle(transport::HttpRequest request,
                                                 transport::HttpResponder& responder) {
  ++this->calls;
  HttpResponse response;
  if (request.method == "GET" && ParseTarget(request.target).path == "/v1/instances") {
    response.headers.push_back({"Content-Type", "application/json"});
    response.body = ServeInstances(this->list, RuntimeClock::now());
  } else {
    response = RefusalResponse(404, "not_found", "no such endpoint", "");
  }
  return responder.Send(std::move(response));
}

ActionResult InstanceListServer::Act(const Action& action, TimePoint now) {
  if (action.name == "down") {
    this->listener.Close();
  } else if (action.name == "stale") {
    this->stale = true;
  } else if (action.name == "up") {
    this->stale = false;
    this->Tick(now);
    this->listener.Open();
  } else if (action.name == "silence") {
    this->listener.Silence();
  } else if (action.name == "lag" && action.time) {
    this->list.lag = *action.time;
  } else {
    return ActionResult::kUnknownAction;
  }
  return ActionResult::kDone;
}

boost::json::object InstanceListServer::Stats(bool) const {
  boost::json::object json;
  json["id"] = this->id;
  json["kind"] = "instance_list";
  json["up"] = this->listener.IsOpen();
  json["stale"] = this->stale;
  json["revision"] = this->list.revision;
  json["calls"] = this->calls;
  return json;
}

WeightStoreServer::WeightStoreServer(const asio::any_io_executor& io_executor,
                                     const WeightStoreSettings& store_settings)
    : settings(store_settings), listener(io_executor, settings.endpoint, *this) {
  this->limit.calls_per_second = settings.calls_per_second;
}

asio::awaitable<bool> WeightStoreServer::Handle(transport::HttpRequest request,
                                                transport::HttpResponder& responder) {
  constexpr std::string_view kPrefix = "/weights/";
  ++this->calls;
  HttpResponse response;
  if (!TryCall(this->limit, 0, RuntimeClock::now())) {
    ++this->refused;
    response = RefusalResponse(429, "rate_limited", "too many calls in the last second", "");
  } else if (request.method != "GET" || !request.target.starts_with(kPrefix)) {
    response = RefusalResponse(404, "not_found", "no such endpoint", "");
  } else {
    response.headers.push_back({"Content-Type", "application/octet-stream"});
    response.body.assign(this->settings.object_bytes, 'w');
  }
  return responder.Send(std::move(response));
}

ActionResult WeightStoreServer::Act(const Action& action, TimePoint) {
  if (action.name == "down") {
    this->listener.Close();
  } else if (action.name == "up") {
    this->listener.Open();
  } else {
    return ActionResult::kUnknownAction;
  }
  return ActionResult::kDone;
}

boost::json::object WeightStoreServer::Stats(bool) const {
  boost::json::object json;
  json["id"] = this->id;
  json["kind"] = "weight_store";
  json["up"] = this->listener.IsOpen();
  json["calls"] = this->calls;
  json["refused"] = this->refused;
  return json;
}

ActionResult RouterListing::Act(const Action& action, TimePoint) {
  if (action.name == "leave") {
    this->leaving = true;
  } else if (action.name == "return") {
    this->leaving = false;
    this->listed = true;
  } else if (action.name == "remove") {
    this->listed = false;
  } else {
    return ActionResult::kUnknownAction;
  }
  return ActionResult::kDone;
}

boost::json::object RouterListing::Stats(bool) const {
  boost::json::object json;
  json["id"] = this->router.id;
  json["kind"] = "router";
  json["listed"] = this->listed;
  json["leaving"] = this->leaving;
  return json;
}

std::optional<ListedInstance> RouterListing::Listing() const {
  if (!this->listed) {
    return std::nullopt;
  }
  ListedInstance instance;
  instance.id = this->router.id;
  instance.kind = "router";
  instance.failure_domain = this->router.failure_domain;
  instance.address = this->router.endpoint.address;
  instance.port = this->router.endpoint.port;
  instance.peer_port = this->router.peer_port;
  instance.control_port = this->router.control_port;
  instance.incarnation = this->router.incarnation;
  instance.leaving = this->leaving;
  return instance;
}

}  // namespace geraniumspread::standin::detail
