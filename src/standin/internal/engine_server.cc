#include "standin/internal/engine_server.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include "standin/answer_text.h"
#include "standin/internal/engine_wire.h"

namespace geraniumspread::standin::detail {
namespace {

namespace asio = boost::asio;
using transport::HttpHeaders;
using transport::HttpResponse;

HttpHeaders AnswerHeaders(const PendingAnswer& answer,
                          const std::string& instance,
                          std::string_view content_type) {
  HttpHeaders headers;
  headers.push_back({"Content-Type", std::string(content_type)});
  headers.push_back({"X-Request-Id", answer.submitted.echoed_request_id});
  headers.push_back({"X-Instance", instance});
  return headers;
}

}  // namespace

EngineServer::EngineServer(const asio::any_io_executor& io_executor,
                           HostedEngine hosted,
                           std::uint64_t incarnation,
                           TimePoint now)
    : executor(io_executor),
      settings(std::move(hosted)),
      engine(MakeEngine(settings.engine, incarnation, now)),
      listener(io_executor, settings.endpoint, *this) {}

void EngineServer::Stop() {
  this->listener.Close();
  this->AbortAll();
}

void EngineServer::Tick(TimePoint now) {
  if (this->accepts_from && *this->accepts_from <= now) {
    this->accepts_from.reset();
    this->listener.Open();
  }
  std::vector<EngineEvent> events;
  TickEngine(this->engine, now, events);
  this->ApplyEvents(events);
}

void EngineServer::ApplyEvents(const std::vector<EngineEvent>& events) {
  for (const EngineEvent& event : events) {
    if (event.kind == EngineEventKind::kCrashed) {
      this->listener.Close();
      this->AbortAll();
      continue;
    }
    if (event.kind == EngineEventKind::kRestarted) {
      this->listener.Open();
      continue;
    }
    const auto found = this->answers.find(event.request);
    if (found == this->answers.end()) {
      continue;
    }
    PendingAnswer& answer = *found->second;
    answer.produced = event.to;
    answer.cached_tokens = event.cached_tokens;
    answer.finished = event.kind == EngineEventKind::kFinished;
    answer.truncated = event.kind == EngineEventKind::kTruncated;
    answer.signal.Notify();
    if (answer.finished || answer.truncated) {
      this->answers.erase(found);
    }
  }
}

void EngineServer::AbortAll() {
  for (const auto& [number, answer] : this->answers) {
    answer->aborted = true;
    answer->signal.Notify();
  }
  this->answers.clear();
}

void EngineServer::Abandon(const std::shared_ptr<PendingAnswer>& answer) {
  if (this->answers.erase(answer->number) > 0) {
    CancelRequest(this->engine, answer->number);
  }
  answer->aborted = true;
  answer->signal.Notify();
}

asio::awaitable<bool> EngineServer::Handle(Request request, Responder& responder) {
  const std::string_view path = std::string_view(request.target);
  if (path.substr(0, path.find('?')) == "/v1/chat/completions") {
    return this->HandleChat(std::move(request), responder);
  }
  HttpResponse response = this->Answer(request);
  if (const auto id = transport::FindHeader(request.headers, "X-Request-Id"); !id.empty()) {
    transport::SetHeader(response.headers, "X-Request-Id", id);
  }
  return responder.Send(std::move(response));
}

asio::awaitable<bool> EngineServer::HandleChat(Request request, Responder& responder) {
  const std::string request_id(transport::FindHeader(request.headers, "X-Request-Id"));
  std::optional<ChatCall> call = ParseChatCall(request);
  HttpResponse refusal;
  if (request.method != "POST" || !call) {
    refusal = RefusalResponse(400, "bad_request", "not a chat completion request", request_id);
    co_return co_await responder.Send(std::move(refusal));
  }
  if (!call->model.empty() && call->model != this->engine.model) {
    refusal = RefusalResponse(404, "model_not_found", "another model is loaded", request_id);
    co_return co_await responder.Send(std::move(refusal));
  }
  const auto answer = std::make_shared<PendingAnswer>(this->executor);
  answer->request_id = request_id;
  answer->tag = AnswerTag(call->request.prompt);
  const int resume_offset = call->request.resume_offset;
  const TimePoint now = RuntimeClock::now();
  answer->submitted = SubmitRequest(this->engine, std::move(call->request), now);
  answer->number = answer->submitted.number;
  answer->written = std::min(resume_offset, answer->submitted.answer_tokens);
  answer->produced = answer->written;
  if (answer->submitted.status == SubmitStatus::kRefusedFull) {
    refusal = RefusalResponse(503, "engine_full", "too many requests are waiting", request_id);
    co_return co_await responder.Send(std::move(refusal));
  }
  if (answer->submitted.status == SubmitStatus::kDown) {
    // The crash closes this connection before any answer.
    this->Tick(now);
    co_return false;
  }
  this->answers[answer->number] = answer;
  responder.OnDisconnect([this, answer] { this->Abandon(answer); });
  if (call->stream) {
    co_return co_await this->SendStream(answer, responder);
  }
  co_return co_await this->SendWhole(answer, responder);
}

asio::awaitable<bool> EngineServer::SendStream(std::shared_ptr<PendingAnswer> answer,
                                               Responder& responder) {
  HttpHeaders headers = AnswerHeaders(*answer, this->settings.engine.id, "text/event-stream");
  while (!answer->HasNews()) {
    co_await answer->signal.Wait();
  }
  if (answer->aborted || !co_await responder.StartStream(200, std::move(headers))) {
    this->Abandon(answer);
    co_return false;
  }
  while (true) {
    while (!answer->HasNews()) {
      co_await answer->signal.Wait();
    }
    if (answer->aborted) {
      co_return false;
    }
    const bool finished = answer->finished;
    const bool truncated = answer->truncated;
    std::string bytes = FormatEvents(*answer);
    answer->written = answer->produced;
    if (!co_await responder.Write(bytes)) {
      this->Abandon(answer);
      co_return false;
    }
    if (truncated) {
      co_return false;  // a stream without its last chunk closes the connection
    }
    if (finished) {
      co_return co_await responder.Finish();
    }
  }
}

asio::awaitable<bool> EngineServer::SendWhole(std::shared_ptr<PendingAnswer> answer,
                                              Responder& responder) {
  while (!answer->finished && !answer->truncated && !answer->aborted) {
    co_await answer->signal.Wait();
  }
  if (answer->aborted) {
    co_return false;
  }
  HttpHeaders headers = AnswerHeaders(*answer, this->settings.engine.id, "application/json");
  std::string body = FormatCompletion(*answer);
  if (answer->truncated) {
    body.resize(body.size() / 2);
    co_await responder.StartStream(200, std::move(headers));
    co_await responder.Write(body);
    co_return false;
  }
  HttpResponse response(200, std::move(headers), std::move(body));
  co_return co_await responder.Send(std::move(response));
}

HttpResponse EngineServer::Answer(const Request& request) {
  const ParsedTarget target = ParseTarget(request.target);
  const TimePoint now = RuntimeClock::now();
  if (request.method == "GET" && target.path == "/load") {
    return JsonResponse(ToJson(ReportLoad(this->engine, now)));
  }
  if (request.method == "GET" && target.path == "/cache_events") {
    const std::uint64_t after = QueryNumber(target, "after").value_or(0);
    return JsonResponse(ToJson(ReportCacheEvents(this->engine, after, now)));
  }
  if (request.method == "POST" && target.path == "/orders") {
    return this->AnswerOrder(request);
  }
  if (request.method == "POST" && target.path == "/kv/export") {
    return this->AnswerExport(request);
  }
  if (const auto chat = target.query.find("chat");
      request.method == "POST" && target.path == "/kv/import" && chat != target.query.end()) {
    return this->AnswerImport(request, chat->second);
  }
  return RefusalResponse(404, "not_found", "no such endpoint", "");
}

HttpResponse EngineServer::AnswerOrder(const Request& request) {
  const std::optional<EngineOrder> order = ParseOrder(request.body);
  if (!order) {
    return RefusalResponse(400, "bad_request", "not an order", "");
  }
  if (AcceptOrder(this->engine, *order, RuntimeClock::now()) == OrderStatus::kOldFence) {
    return RefusalResponse(409, "old_fence", "a newer fencing token was seen", "");
  }
  return JsonResponse(boost::json::object{{"accepted", true}});
}

HttpResponse EngineServer::AnswerExport(const Request& request) {
  const std::optional<std::string> chat = ParseStringMember(request.body, "chat");
  if (!chat) {
    return RefusalResponse(400, "bad_request", "the member \"chat\" is missing", "");
  }
  std::optional<std::string> bytes = ExportChat(this->engine, *chat);
  if (!bytes) {
    return RefusalResponse(404, "not_cached", "the chat is not cached", "");
  }
  HttpResponse response;
  response.headers.push_back({"Content-Type", "application/octet-stream"});
  response.body = std::move(*bytes);
  return response;
}

HttpResponse EngineServer::AnswerImport(const Request& request, const std::string& chat) {
  const auto blocks = ImportChat(this->engine, chat, request.body, RuntimeClock::now());
  if (!blocks) {
    return RefusalResponse(400, "bad_request", "not the bytes of an export", "");
  }
  return JsonResponse(boost::json::object{{"blocks", *blocks}});
}

ActionResult EngineServer::Act(const Action& action, TimePoint now) {
  const auto is = [&action](std::string_view name) { return action.name == name; };
  if (is("crash")) {
    const Duration down = action.time.value_or(this->settings.engine.restart_time);
    CrashEngine(this->engine, now, action.stays_down ? std::nullopt : std::optional(down));
  } else if (is("cold")) {
    TurnCold(this->engine, now);
  } else if (is("leave")) {
    this->leaving = true;
  } else if (is("return")) {
    this->leaving = false;
    this->listed = true;
    if (!this->engine.up) {
      this->engine.restart_at = now;
    }
  } else if (is("remove")) {
    this->listed = false;
  } else if (is("silence")) {
    SilenceActiveRequests(this->engine);
    this->listener.Silence();
  } else if (is("delay")) {
    this->engine.faults.delay = action.time.value_or(Duration{0});
  } else if (is("truncate")) {
    this->engine.faults.truncate_next = true;
  } else if (is("wrong_id")) {
    this->engine.faults.wrong_id_next = true;
  } else if (is("refuse")) {
    this->listener.Refuse();
    this->accepts_from.reset();
    if (action.time) {
      this->accepts_from = now + *action.time;
    }
  } else if (is("accept")) {
    this->accepts_from = now;
  } else if (is("crash_marker/on") || is("crash_marker/off")) {
    this->engine.settings.crash_on_marker = is("crash_marker/on");
  } else {
    return ActionResult::kUnknownAction;
  }
  this->Tick(now);
  return ActionResult::kDone;
}

boost::json::object EngineServer::Stats(bool brief) const {
  boost::json::object json = ToJson(this->engine.stats, brief);
  json["id"] = this->settings.engine.id;
  json["kind"] = "model_engine";
  json["pool"] = this->settings.pool;
  json["failure_domain"] = this->settings.failure_domain;
  json["up"] = this->engine.up;
  json["incarnation"] = this->engine.incarnation;
  json["running"] = this->engine.running.size();
  json["waiting"] = this->engine.waiting.size();
  json["cold"] = this->engine.cold;
  json["cold_limit"] = this->engine.cold_limit;
  json["initial_cold_limit"] = this->engine.settings.cold_limit;
  return json;
}

std::optional<ListedInstance> EngineServer::Listing() const {
  if (!this->listed || !this->engine.up) {
    return std::nullopt;
  }
  ListedInstance instance;
  instance.id = this->settings.engine.id;
  instance.kind = "model_engine";
  instance.pool = this->settings.pool;
  instance.failure_domain = this->settings.failure_domain;
  instance.address = this->settings.endpoint.address;
  instance.port = this->settings.endpoint.port;
  instance.incarnation = this->engine.incarnation;
  instance.leaving = this->leaving;
  return instance;
}

}  // namespace geraniumspread::standin::detail
