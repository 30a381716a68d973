#include "standin/internal/service_server.h"

#include <utility>

#include "standin/internal/engine_wire.h"

namespace geraniumspread::standin::detail {
namespace {

namespace asio = boost::asio;

}  // namespace

ServiceServer::ServiceServer(const asio::any_io_executor& io_executor,
                             HostedService hosted,
                             std::uint64_t incarnation)
    : executor(io_executor),
      settings(std::move(hosted)),
      service(MakePlainService(settings.service, incarnation)),
      listener(io_executor, settings.endpoint, *this) {}

void ServiceServer::Stop() {
  this->listener.Close();
  this->AbortAll();
}

void ServiceServer::AbortAll() {
  for (const auto& [number, call] : this->calls) {
    call->aborted = true;
    call->signal.Notify();
  }
  this->calls.clear();
}

void ServiceServer::Tick(TimePoint now) {
  if (this->accepts_from && *this->accepts_from <= now) {
    this->accepts_from.reset();
    this->listener.Open();
  }
  ServiceTick tick = TickService(this->service, now);
  if (tick.restarted) {
    this->listener.Open();
  }
  for (FinishedCall& finished : tick.finished) {
    if (const auto found = this->calls.find(finished.number); found != this->calls.end()) {
      found->second->finished = true;
      found->second->body = std::move(finished.body);
      found->second->signal.Notify();
      this->calls.erase(found);
    }
  }
}

void ServiceServer::Abandon(const std::shared_ptr<PendingCall>& call) {
  if (this->calls.erase(call->number) > 0) {
    AbandonCall(this->service, call->number);
  }
  call->aborted = true;
  call->signal.Notify();
}

asio::awaitable<bool> ServiceServer::Handle(transport::HttpRequest request,
                                            transport::HttpResponder& responder) {
  const std::string request_id(transport::FindHeader(request.headers, "X-Request-Id"));
  ServiceCall service_call;
  service_call.method = std::move(request.method);
  service_call.target = std::move(request.target);
  service_call.request_id = request_id;
  service_call.idempotency_key = transport::FindHeader(request.headers, "Idempotency-Key");
  service_call.body = std::move(request.body);
  const auto call = std::make_shared<PendingCall>(this->executor);
  call->number = SubmitCall(this->service, std::move(service_call), RuntimeClock::now());
  this->calls[call->number] = call;
  responder.OnDisconnect([this, call] { this->Abandon(call); });
  while (!call->finished && !call->aborted) {
    co_await call->signal.Wait();
  }
  if (call->aborted) {
    co_return false;
  }
  co_return co_await this->SendAnswer(responder, request_id, std::move(call->body));
}

asio::awaitable<bool> ServiceServer::SendAnswer(transport::HttpResponder& responder,
                                                std::string request_id,
                                                std::string body) {
  if (std::exchange(this->wrong_id_next, false)) {
    request_id += "-wrong";
  }
  transport::HttpHeaders headers;
  headers.push_back({"Content-Type", "application/json"});
  headers.push_back({"X-Request-Id", std::move(request_id)});
  headers.push_back({"X-Instance", this->settings.service.id});
  if (std::exchange(this->truncate_next, false)) {
    body.resize(body.size() / 2);
    co_await responder.StartStream(200, std::move(headers));
    co_await responder.Write(body);
    co_return false;
  }
  transport::HttpResponse response(200, std::move(headers), std::move(body));
  co_return co_await responder.Send(std::move(response));
}

void ServiceServer::Crash(const Action& action, TimePoint now) {
  const Duration down = action.time.value_or(this->settings.service.restart_time);
  CrashService(this->service, now, action.stays_down ? std::nullopt : std::optional(down));
  this->listener.Close();
  this->AbortAll();
}

ActionResult ServiceServer::Act(const Action& action, TimePoint now) {
  const auto is = [&action](std::string_view name) { return action.name == name; };
  if (is("crash")) {
    this->Crash(action, now);
  } else if (is("leave")) {
    this->leaving = true;
  } else if (is("return")) {
    this->leaving = false;
    this->listed = true;
    if (!this->service.up) {
      this->service.restart_at = now;
    }
  } else if (is("remove")) {
    this->listed = false;
  } else if (is("silence")) {
    this->calls.clear();
    this->listener.Silence();
  } else if (is("delay")) {
    this->service.delay = action.time.value_or(Duration{0});
  } else if (is("truncate")) {
    this->truncate_next = true;
  } else if (is("wrong_id")) {
    this->wrong_id_next = true;
  } else if (is("refuse")) {
    this->listener.Refuse();
    this->accepts_from.reset();
    if (action.time) {
      this->accepts_from = now + *action.time;
    }
  } else if (is("accept")) {
    this->accepts_from = now;
  } else {
    return ActionResult::kUnknownAction;
  }
  this->Tick(now);
  return ActionResult::kDone;
}

boost::json::object ServiceServer::Stats(bool brief) const {
  const ServiceStats& stats = this->service.stats;
  boost::json::object json;
  json["id"] = this->settings.service.id;
  json["kind"] = "plain_service";
  json["pool"] = this->settings.service.service;
  json["failure_domain"] = this->settings.failure_domain;
  json["up"] = this->service.up;
  json["incarnation"] = this->service.incarnation;
  json["requests"] = stats.requests;
  json["completed"] = stats.completed;
  json["cancelled"] = stats.cancelled;
  json["crashes"] = stats.crashes;
  json["peak_running"] = stats.peak_running;
  if (!brief) {
    json["runs_by_key"] = ToJson(stats.runs_by_key);
    json["runs_by_request_id"] = ToJson(stats.runs_by_request_id);
  }
  return json;
}

std::optional<ListedInstance> ServiceServer::Listing() const {
  if (!this->listed || !this->service.up) {
    return std::nullopt;
  }
  ListedInstance instance;
  instance.id = this->settings.service.id;
  instance.kind = "plain_service";
  instance.pool = this->settings.service.service;
  instance.failure_domain = this->settings.failure_domain;
  instance.address = this->settings.endpoint.address;
  instance.port = this->settings.endpoint.port;
  instance.incarnation = this->service.incarnation;
  instance.leaving = this->leaving;
  return instance;
}

}  // namespace geraniumspread::standin::detail
