#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include "common/hash.h"
#include "load/internal/load_driver.h"

// How the driver sends one request of each kind and counts its end.
namespace geraniumspread::load::detail {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using transport::ConnectionPolicy;
using transport::HttpExchange;
using transport::HttpRequest;
using transport::HttpResponse;

// The statistics list every request id of the stand-ins.
constexpr std::size_t kMaxBodyBytes = std::size_t{256} << 20U;
constexpr std::size_t kMaxAnswerBytes = std::size_t{4} << 20U;
constexpr std::string_view kNotStated = "not stated";
// Gives a replaced router or engine time to take over.
constexpr Duration kResumePause = std::chrono::milliseconds(200);
constexpr std::uint64_t kLookupTargets = 200;
constexpr std::uint64_t kRepeatSeed = 3;
constexpr std::uint64_t kRepeatModeSeed = 4;

std::chrono::milliseconds DeadlineOf(WorkKind kind) {
  switch (kind) {
    case WorkKind::kLookup:
      return std::chrono::seconds(3);
    case WorkKind::kStream:
    case WorkKind::kOrder:
      return std::chrono::seconds(10);
    case WorkKind::kDraft:
      return std::chrono::seconds(20);
    case WorkKind::kBatch:
      break;
  }
  return std::chrono::seconds(60);
}

// A number from 0 to 1 that depends only on the seeds.
double SeededShare(std::uint64_t seed, std::uint64_t purpose) {
  constexpr std::uint64_t kSteps = 1'000'000;
  return static_cast<double>(MixHash(seed, purpose) % kSteps) / static_cast<double>(kSteps);
}

std::string ErrorMember(const HttpResponse& response, std::string_view name) {
  json::error_code failure;
  const json::value body = json::parse(response.body, failure);
  const json::object* root = failure ? nullptr : body.if_object();
  const json::value* error = root != nullptr ? root->if_contains("error") : nullptr;
  if (error == nullptr || !error->is_object()) {
    return "";
  }
  const json::value* member = error->get_object().if_contains(name);
  return member != nullptr && member->is_string() ? std::string(member->get_string()) : "";
}

std::string_view HeaderId(const HttpResponse& response) {
  return transport::FindHeader(response.headers, "X-Request-Id");
}

}  // namespace

std::string LoadDriver::NextRequestId() {
  return this->settings.workload.run_tag + "-" + std::to_string(++this->last_request);
}

transport::HttpHeaders LoadDriver::CommonHeaders(const Arrival& arrival,
                                                 const std::string& request_id) const {
  transport::HttpHeaders headers;
  headers.push_back({"X-Workspace", this->settings.workload.workspaces[arrival.workspace]});
  headers.push_back({"X-Priority", std::string(ToString(PriorityOf(arrival.kind)))});
  headers.push_back({"X-Deadline-Ms", std::to_string(DeadlineOf(arrival.kind).count())});
  headers.push_back({"X-Request-Id", request_id});
  return headers;
}

// A router that can't be reached is replaced by the next one, as a load
// balancer would do.
asio::awaitable<LoadDriver::Response> LoadDriver::Start(std::unique_ptr<HttpExchange>& exchange,
                                                        const HttpRequest& request,
                                                        std::size_t router,
                                                        ConnectionPolicy policy) {
  const std::size_t count = this->settings.routers.size();
  for (std::size_t attempt = 0; true; ++attempt) {
    const transport::Endpoint endpoint = this->settings.routers[(router + attempt) % count];
    exchange = std::make_unique<HttpExchange>(this->pool, endpoint, this->timeouts);
    HttpRequest copy = request;
    Response response = co_await exchange->Start(std::move(copy), policy);
    if (response.has_value() || response.error().phase != transport::ExchangePhase::kConnecting ||
        attempt + 1 >= count) {
      co_return response;
    }
    ++this->totals.unreachable_routers;
  }
}

asio::awaitable<LoadDriver::Response> LoadDriver::FetchWhole(const HttpRequest& request,
                                                             std::size_t router,
                                                             ConnectionPolicy policy) {
  std::unique_ptr<HttpExchange> exchange;
  Response response = co_await this->Start(exchange, request, router, policy);
  if (!response.has_value()) {
    co_return response;
  }
  transport::Result<std::string> body = co_await exchange->ReadAll(kMaxAnswerBytes);
  if (!body.has_value()) {
    co_return std::move(body).error();
  }
  response.value().body = std::move(body).value();
  co_return response;
}

asio::awaitable<std::optional<std::string>> LoadDriver::ReadBody(transport::Endpoint endpoint,
                                                                 HttpRequest request) {
  const auto exchange =
      std::make_unique<transport::HttpExchange>(this->pool, std::move(endpoint), this->timeouts);
  const Response response =
      co_await exchange->Start(std::move(request), transport::ConnectionPolicy::kReuse);
  if (!response.has_value() || response.value().status != 200) {
    co_return std::nullopt;
  }
  transport::Result<std::string> body = co_await exchange->ReadAll(kMaxBodyBytes);
  if (!body.has_value()) {
    co_return std::nullopt;
  }
  co_return std::move(body).value();
}

ChatTurn LoadDriver::BeginTurn(const Arrival& arrival) {
  const WorkloadSettings& workload = this->settings.workload;
  ChatTurn turn;
  turn.arrival = arrival;
  turn.sent_at = RuntimeClock::now();
  turn.last_token_at = turn.sent_at;
  turn.chat = this->chats[arrival.workspace].Take(workload, arrival, turn.sent_at);
  turn.messages = turn.chat->messages;
  turn.messages.push_back({"user", MakeWords(arrival.seed, workload.message_words)});
  turn.expected.request_id = this->NextRequestId();
  turn.expected.prompt = standin::JoinMessages(turn.messages);
  turn.expected.max_tokens = workload.answer_tokens;
  this->CountSent(arrival.kind);
  return turn;
}

void LoadDriver::EndTurn(ChatTurn& turn, RequestEnd end, const CheckedAnswer& checked) {
  this->CountEnd(turn.arrival.kind, end);
  if (end == RequestEnd::kGood) {
    constexpr std::size_t kBlock = standin::kCacheBlockTokens;
    this->totals.reusable_tokens += turn.chat->seen_tokens / kBlock * kBlock;
    this->totals.cached_tokens += checked.cached_tokens.value_or(0);
    turn.messages.push_back(
        {"assistant", standin::AnswerText(turn.expected.prompt, turn.expected.max_tokens)});
    turn.chat->messages = std::move(turn.messages);
    turn.chat->seen_tokens = standin::CountTokens(standin::JoinMessages(turn.chat->messages));
  } else if (end == RequestEnd::kRefusedNotRun) {
    this->totals.not_run_requests.insert(turn.expected.request_id);
  }
  this->chats[turn.arrival.workspace].PutBack(this->settings.workload, turn.chat,
                                              RuntimeClock::now());
}

HttpRequest LoadDriver::ChatRequest(const ChatTurn& turn) const {
  json::array messages;
  for (const standin::ChatMessage& message : turn.messages) {
    messages.push_back(json::object{{"role", message.role}, {"content", message.content}});
  }
  json::object body;
  body["model"] = this->settings.model;
  body["messages"] = std::move(messages);
  body["stream"] = turn.arrival.kind == WorkKind::kStream;
  body["max_tokens"] = turn.expected.max_tokens;
  HttpRequest request("POST", "/v1/chat/completions");
  request.headers = this->CommonHeaders(turn.arrival, turn.expected.request_id);
  request.headers.push_back({"X-Chat-Id", turn.chat->id});
  request.headers.push_back({"Content-Type", "application/json"});
  request.body = json::serialize(body);
  return request;
}

asio::awaitable<void> LoadDriver::RunWholeChat(Arrival arrival) {
  ChatTurn turn = this->BeginTurn(arrival);
  const HttpRequest request = this->ChatRequest(turn);
  const Response response =
      co_await this->FetchWhole(request, arrival.seed, ConnectionPolicy::kReuse);
  CheckedAnswer checked;
  RequestEnd end = RequestEnd::kFailed;
  if (!response.has_value()) {
    end = this->CountFailure(response.error());
  } else if (response.value().status != 200) {
    end = this->CountRefusal(arrival, response.value());
  } else {
    checked = CheckWholeAnswer(turn.expected, HeaderId(response.value()), response.value().body);
    end = this->CountChecked(checked.fault);
    if (arrival.kind == WorkKind::kDraft) {
      this->totals.draft.Add(RuntimeClock::now() - turn.sent_at);
    }
  }
  this->EndTurn(turn, end, checked);
}

asio::awaitable<void> LoadDriver::RunStream(Arrival arrival) {
  ChatTurn turn = this->BeginTurn(arrival);
  StreamCheck check(turn.expected);
  RequestEnd end = co_await this->StreamOnce(turn, check, arrival.seed);
  for (int resume = 1;
       end == RequestEnd::kFailed && check.LastEventId() && resume <= this->settings.max_resumes;
       ++resume) {
    ++this->totals.resumed_streams;
    check.RestartConnection();
    co_await this->WaitUntil(RuntimeClock::now() + kResumePause);
    end = co_await this->StreamOnce(turn, check, arrival.seed + static_cast<std::size_t>(resume));
  }
  if (end == RequestEnd::kRefusedNotRun && check.LastEventId()) {
    end = RequestEnd::kRefused;  // the first part of the stream has run
  }
  this->EndTurn(turn, end, check.Finish());
}

// Reads one answer of a stream. kFailed: the stream may be resumed.
asio::awaitable<RequestEnd> LoadDriver::StreamOnce(ChatTurn& turn,
                                                   StreamCheck& check,
                                                   std::size_t router) {
  HttpRequest request = this->ChatRequest(turn);
  if (const std::optional<int> last = check.LastEventId(); last) {
    transport::SetHeader(request.headers, "Last-Event-ID", std::to_string(*last));
  }
  std::unique_ptr<HttpExchange> exchange;
  Response response = co_await this->Start(exchange, request, router, ConnectionPolicy::kReuse);
  if (!response.has_value()) {
    co_return this->CountFailure(response.error());
  }
  const bool refused = response.value().status != 200;
  const bool other_request = HeaderId(response.value()) != turn.expected.request_id;
  while (true) {
    transport::Result<std::string> bytes = co_await exchange->ReadSome();
    if (!bytes.has_value() && !check.IsDone()) {
      co_return this->CountFailure(bytes.error());
    }
    if (!bytes.has_value() || bytes.value().empty()) {
      break;
    }
    if (refused) {
      response.value().body += bytes.value();
      continue;
    }
    this->CountTokens(turn, check.Feed(bytes.value()));
  }
  if (refused) {
    co_return this->CountRefusal(turn.arrival, response.value());
  }
  co_return this->CountChecked(other_request ? AnswerFault::kOtherRequest : check.Finish().fault);
}

asio::awaitable<void> LoadDriver::RunLookup(Arrival arrival) {
  const std::string request_id = this->NextRequestId();
  HttpRequest request("GET", "/v1/services/" + this->settings.service + "/items/" +
                                 std::to_string(arrival.seed % kLookupTargets));
  request.headers = this->CommonHeaders(arrival, request_id);
  this->CountSent(arrival.kind);
  const TimePoint sent_at = RuntimeClock::now();
  const Response response =
      co_await this->FetchWhole(request, arrival.seed, ConnectionPolicy::kReuse);
  if (!response.has_value()) {
    this->CountEnd(arrival.kind, this->CountFailure(response.error()));
    co_return;
  }
  RequestEnd end = RequestEnd::kRefused;
  if (response.value().status != 200) {
    end = this->CountRefusal(arrival, response.value());
  } else {
    this->totals.lookup.Add(RuntimeClock::now() - sent_at);
    end = this->CountChecked(
        CheckLookup(request_id, request.target, HeaderId(response.value()), response.value().body));
  }
  if (end == RequestEnd::kRefusedNotRun) {
    this->totals.not_run_requests.insert(request_id);
  }
  this->CountEnd(arrival.kind, end);
}

asio::awaitable<std::optional<std::string>> LoadDriver::TakeTicket(Arrival arrival,
                                                                   std::string request_id) {
  HttpRequest request("POST", "/v1/tickets");
  request.headers = this->CommonHeaders(arrival, request_id);
  const Response response =
      co_await this->FetchWhole(request, arrival.seed, ConnectionPolicy::kReuse);
  RequestEnd end = RequestEnd::kDamaged;
  if (!response.has_value()) {
    end = this->CountFailure(response.error());
  } else if (response.value().status != 200) {
    end = this->CountRefusal(arrival, response.value());
  } else {
    json::error_code failure;
    const json::value body = json::parse(response.value().body, failure);
    const json::object* root = failure ? nullptr : body.if_object();
    const json::value* ticket = root != nullptr ? root->if_contains("ticket") : nullptr;
    if (ticket != nullptr && ticket->is_string()) {
      co_return std::string(ticket->get_string());
    }
    end = this->CountChecked(AnswerFault::kMalformed);
  }
  this->CountSent(arrival.kind);
  this->CountEnd(arrival.kind, end);
  co_return std::nullopt;
}

asio::awaitable<void> LoadDriver::RunOrder(Arrival arrival) {
  const auto order = std::make_shared<Order>();
  order->arrival = arrival;
  order->request_id = this->NextRequestId();
  order->body =
      json::serialize(json::object{{"order", arrival.seed}, {"text", MakeWords(arrival.seed, 8)}});
  std::optional<std::string> ticket = co_await this->TakeTicket(arrival, this->NextRequestId());
  if (!ticket) {
    co_return;
  }
  order->ticket = std::move(*ticket);
  this->totals.tickets.insert(order->ticket);
  const bool repeat = SeededShare(arrival.seed, kRepeatSeed) < this->settings.workload.repeat_share;
  order->open_calls = repeat ? 2 : 1;
  const bool at_once = SeededShare(arrival.seed, kRepeatModeSeed) < 0.5;
  if (repeat && at_once) {
    this->Spawn(this->CallOrder(order, arrival.seed + 1, true));
  }
  co_await this->CallOrder(order, arrival.seed, false);
  if (repeat && !at_once) {
    co_await this->CallOrder(order, arrival.seed + 1, true);
  }
}

asio::awaitable<void> LoadDriver::CallOrder(std::shared_ptr<Order> order,
                                            std::size_t router,
                                            bool repeat) {
  const WorkKind kind = order->arrival.kind;
  HttpRequest request("POST", "/v1/services/" + this->settings.service + "/orders");
  request.headers = this->CommonHeaders(order->arrival, order->request_id);
  request.headers.push_back({"Idempotency-Key", order->ticket});
  request.headers.push_back({"Content-Type", "application/json"});
  request.body = order->body;
  this->CountSent(kind);
  // A repetition is refused while the first call runs, whatever the limits.
  Arrival counted = order->arrival;
  counted.within_limits = counted.within_limits && !repeat;
  this->totals.repeated_orders += repeat ? 1 : 0;
  const Response response = co_await this->FetchWhole(request, router, ConnectionPolicy::kFresh);
  RequestEnd end = RequestEnd::kFailed;
  if (!response.has_value()) {
    end = this->CountFailure(response.error());
  } else if (response.value().status != 200) {
    end = this->CountRefusal(counted, response.value());
  } else {
    end = this->CountChecked(CheckOrder(order->request_id, order->ticket, order->body,
                                        HeaderId(response.value()), response.value().body));
  }
  this->CountEnd(kind, end);
  this->totals.replayed_orders += repeat && end == RequestEnd::kGood ? 1 : 0;
  order->answered = order->answered || end == RequestEnd::kGood;
  order->all_not_run = order->all_not_run && end == RequestEnd::kRefusedNotRun;
  if (--order->open_calls > 0) {
    co_return;
  }
  if (order->answered) {
    this->totals.answered_tickets.insert(order->ticket);
  } else if (order->all_not_run) {
    this->totals.not_run_tickets.insert(order->ticket);
  }
}

SecondCounts& LoadDriver::CurrentSecond() {
  const auto elapsed = RuntimeClock::now() - this->started_at;
  const auto index = static_cast<std::size_t>(elapsed / std::chrono::seconds(1));
  if (this->totals.seconds.size() <= index) {
    this->totals.seconds.resize(index + 1);
  }
  return this->totals.seconds[index];
}

void LoadDriver::CountSent(WorkKind kind) {
  ++this->totals.by_kind.at(static_cast<std::size_t>(kind)).sent;
  ++this->CurrentSecond().sent;
}

void LoadDriver::CountEnd(WorkKind kind, RequestEnd end) {
  KindCounts& counts = this->totals.by_kind.at(static_cast<std::size_t>(kind));
  SecondCounts& second = this->CurrentSecond();
  switch (end) {
    case RequestEnd::kGood:
      ++counts.good;
      ++second.good;
      break;
    case RequestEnd::kRefused:
    case RequestEnd::kRefusedNotRun:
      ++counts.refused;
      ++second.refused;
      break;
    case RequestEnd::kFailed:
      ++counts.failed;
      ++second.failed;
      break;
    case RequestEnd::kDamaged:
      ++counts.damaged;
      ++second.damaged;
      break;
  }
}

RequestEnd LoadDriver::CountRefusal(const Arrival& arrival, const HttpResponse& response) {
  this->totals.refused_within_limits += arrival.within_limits ? 1 : 0;
  std::string code = ErrorMember(response, "code");
  ++this->totals
        .refusals[std::to_string(response.status) + " " + (code.empty() ? "without code" : code)];
  const std::string_view header = transport::FindHeader(response.headers, "X-Ran");
  const bool stated = (header == "no" || header == "unknown" || header == "yes") &&
                      ErrorMember(response, "ran") == header;
  ++this->totals.refused_ran[std::string(stated ? header : kNotStated)];
  return stated && header == "no" ? RequestEnd::kRefusedNotRun : RequestEnd::kRefused;
}

RequestEnd LoadDriver::CountFailure(const transport::TransportError& error) {
  ++this->totals.failures[std::string(ToString(error.code)) + " while " +
                          std::string(ToString(error.phase))];
  return RequestEnd::kFailed;
}

RequestEnd LoadDriver::CountChecked(AnswerFault fault) {
  if (fault == AnswerFault::kNone) {
    return RequestEnd::kGood;
  }
  ++this->totals.damage[std::string(ToString(fault))];
  return RequestEnd::kDamaged;
}

void LoadDriver::CountTokens(ChatTurn& turn, int tokens) {
  if (tokens == 0) {
    return;
  }
  const TimePoint now = RuntimeClock::now();
  if (turn.tokens == 0) {
    this->totals.first_token.Add(now - turn.sent_at);
    SecondCounts& second = this->CurrentSecond();
    ++second.first_tokens;
    second.first_token_ms_sum +=
        std::chrono::duration<double, std::milli>(now - turn.sent_at).count();
  } else {
    // Tokens that arrive together share the time since the ones before them.
    const Duration gap = (now - turn.last_token_at) / tokens;
    for (int index = 0; index < tokens; ++index) {
      this->totals.between_tokens.Add(gap);
    }
  }
  turn.tokens += tokens;
  turn.last_token_at = now;
}

}  // namespace geraniumspread::load::detail
