#include "edge/tests/edge_fixture.h"

#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <charconv>
#include <sstream>

#include "transport/test_support/free_port.h"

namespace geraniumspread::edge::test {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using transport::FindHeader;
using transport::HttpRequest;
using transport::HttpResponse;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
// An upstream that has ended its direction keeps the connection open for this time.
constexpr std::chrono::milliseconds kHoldTime{300};
constexpr int kSmallBuffer = 16 * 1024;
constexpr std::string_view kHealthCheck = "GET /healthz ";
constexpr std::string_view kHealthy = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
constexpr std::uint16_t kFirstPort = 21500;

// Decodes the ids of the prompt parts, separated by commas.
dispatch::Prompt DecodePrompt(std::string_view text) {
  dispatch::Prompt prompt;
  while (!text.empty()) {
    const std::string_view number = text.substr(0, text.find(','));
    dispatch::PromptPart part{0, 1};
    std::from_chars(number.data(), number.data() + number.size(), part.id);
    prompt.parts.push_back(part);
    text.remove_prefix(std::min(number.size() + 1, text.size()));
  }
  return prompt;
}

// Codec of a minimal test platform: short header names and items that need no decoding.
ResultOf<CallerRequest, RequestError> DecodeRequest(HttpRequest raw) {
  CallerRequest request;
  request.id = FindHeader(raw.headers, "X-Id");
  if (request.id.empty()) {
    return RequestError{400, "no_id", "no id"};
  }
  request.host = FindHeader(raw.headers, "Host");
  request.api_key = FindHeader(raw.headers, "X-Key");
  const std::string_view deadline = FindHeader(raw.headers, "X-Deadline-Ms");
  if (!deadline.empty()) {
    int milliseconds = 0;
    std::from_chars(deadline.data(), deadline.data() + deadline.size(), milliseconds);
    request.deadline = std::chrono::milliseconds(milliseconds);
  }
  if (const std::string_view last = FindHeader(raw.headers, "X-Last-Event-Id"); !last.empty()) {
    request.last_event_id.emplace();
    std::from_chars(last.data(), last.data() + last.size(), *request.last_event_id);
  }
  request.resumes = FindHeader(raw.headers, "X-Resumes");
  request.forwarded_headers = {{"X-Id", request.id}};
  const std::string_view parts = FindHeader(raw.headers, "X-Parts");
  request.prompt = DecodePrompt(parts);
  if (!parts.empty()) {
    request.forwarded_headers.push_back({"X-Parts", std::string(parts)});
  }
  request.method = std::move(raw.method);
  request.target = std::move(raw.target);
  request.body = std::move(raw.body);
  return request;
}

HttpRequest EncodeRequest(const CallerRequest& request, const UpstreamCall& call) {
  HttpRequest encoded(request.method, request.target, request.forwarded_headers, request.body);
  encoded.headers.push_back({"X-Expect", std::string(call.upstream)});
  if (call.resume_after) {
    encoded.headers.push_back({"X-Resume-After", std::to_string(*call.resume_after)});
  }
  return encoded;
}

UpstreamAnswer DecodeAnswer(const HttpResponse& response) {
  UpstreamAnswer answer;
  answer.echoed_request_id = FindHeader(response.headers, "X-Id");
  answer.is_sealed = !FindHeader(response.headers, "X-Seal").empty();
  answer.not_run = !FindHeader(response.headers, "X-Not-Run").empty();
  answer.wrong_upstream = response.status == 421 && !answer.is_sealed;
  answer.is_leaving = !FindHeader(response.headers, "X-Leaving").empty();
  if (const auto pause = FindHeader(response.headers, "X-Pause-Ms"); !pause.empty()) {
    int milliseconds = 0;
    std::from_chars(pause.data(), pause.data() + pause.size(), milliseconds);
    answer.retry_after = std::chrono::milliseconds(milliseconds);
  }
  if (const auto limit = FindHeader(response.headers, "X-Limit"); !limit.empty()) {
    answer.requests_per_second = std::stod(std::string(limit));
  }
  if (const auto brittle = FindHeader(response.headers, "X-Brittle"); !brittle.empty()) {
    answer.rejections_per_second = std::stod(std::string(brittle));
  }
  if (const auto pace = FindHeader(response.headers, "X-Pace"); !pace.empty()) {
    answer.pace = std::stod(std::string(pace));
  }
  answer.caller_headers = response.headers;
  return answer;
}

HttpResponse EncodeRefusal(const Refusal& refusal, std::string_view /*request_id*/) {
  HttpResponse response(refusal.status);
  response.headers.push_back({"X-Code", std::string(refusal.code)});
  response.headers.push_back({"X-Ran", std::string(ToString(refusal.ran))});
  if (refusal.retry_after.count() > 0) {
    response.headers.push_back({"Retry-After", "1"});
    response.headers.push_back(
        {"X-Retry-After-Ms",
         std::to_string(
             std::chrono::duration_cast<std::chrono::milliseconds>(refusal.retry_after).count())});
  }
  return response;
}

dispatch::Route MakeRoute(const std::string& prefix, dispatch::Repeatability repeatability) {
  dispatch::Route route;
  route.name = prefix;
  route.host = "127.0.0.1";
  route.path_prefix = prefix;
  route.repeatability = repeatability;
  route.is_stream = prefix.starts_with("/stream") || prefix.starts_with("/resume");
  route.is_public = prefix == "/open/";
  route.timeout = std::chrono::seconds(prefix == "/resume/" ? 8 : 2);
  route.latency_goal = std::chrono::milliseconds(100);
  route.pause_goal = std::chrono::milliseconds(100);
  // Leaves a second attempt, so that only the outcome of the first one can rule it out.
  route.max_attempts = 2;
  route.services = {{"app", 1}};
  return route;
}

// A stream whose callers wait longer than two seconds for an event.
dispatch::Route MakeSlowStream() {
  dispatch::Route route = MakeRoute("/stream/slow/", dispatch::Repeatability::kNonRepeatable);
  route.timeout = std::chrono::seconds(8);
  route.latency_goal = std::chrono::milliseconds(700);
  return route;
}

// The value of the configuration is its version, or empty.
std::optional<std::uint64_t> StatedVersion(const dispatch::PublishedItem& item) {
  std::uint64_t version = 0;
  const auto [end, error] =
      std::from_chars(item.value.data(), item.value.data() + item.value.size(), version);
  return item.key == "config" && error == std::errc{} ? std::optional(version) : std::nullopt;
}

bool IsRenewed(std::string_view key) {
  return key.starts_with('u');
}

PublishedChange DecodeItem(const dispatch::PublishedItem& item) {
  if (item.key == "config") {
    dispatch::RoutingConfig config;
    config.version = StatedVersion(item).value_or(item.revision);
    using dispatch::Repeatability;
    for (const auto& [prefix, repeatability] :
         {std::pair("/lookup/", Repeatability::kRepeatable),
          std::pair("/order/", Repeatability::kNonRepeatable),
          std::pair("/open/", Repeatability::kNonRepeatable),
          std::pair("/stream/", Repeatability::kNonRepeatable),
          std::pair("/resume/", Repeatability::kResumable)}) {
      config.routes["127.0.0.1"][prefix] = MakeRoute(prefix, repeatability);
    }
    config.routes["127.0.0.1"]["/stream/slow/"] = MakeSlowStream();
    if (item.value != "without-service") {
      config.services["app"].name = "app";
      config.services["app"].health_path = "/healthz";
    }
    config.keys["key"] = {"blue", std::nullopt};
    config.keys["s3cret-key"] = {"blue", std::nullopt};
    config.has_workspaces = true;
    return config;
  }
  if (item.removed) {
    return UpstreamRemoved{item.key};
  }
  dispatch::UpstreamListing listing;
  listing.id = item.key;
  listing.service = "app";
  listing.slots = 8;
  // The address, then optionally the version, the failure domain, the slots and the service.
  std::istringstream value(item.value);
  value >> listing.address >> listing.version >> listing.failure_domain;
  if (std::uint32_t slots = 0; value >> slots) {
    listing.slots = slots;
  }
  if (std::string service; value >> service) {
    listing.service = service;
  }
  if (listing.failure_domain.empty()) {
    listing.failure_domain = "a";
  }
  listing.started_at_ms = 1;
  return listing;
}

PlatformCodec TestCodec() {
  return {DecodeRequest, EncodeRequest, DecodeAnswer, EncodeRefusal,
          DecodeItem,    StatedVersion, IsRenewed,    "/ready"};
}

std::unique_ptr<Edge> StartInstance(asio::io_context& io, const EdgeSettings& settings) {
  auto instance = std::make_unique<Edge>(io, settings, TestCodec());
  if (const auto started = instance->Start(); !started) {
    throw std::runtime_error(started.error().message);
  }
  return instance;
}

std::string WithId(std::string bytes, const std::string& request) {
  const auto header = request.find("X-Id: ");
  if (header == std::string::npos) {
    return bytes;
  }
  const auto end = request.find("\r\n", header);
  const std::string id = request.substr(header + 6, end - header - 6);
  for (auto place = bytes.find("{id}"); place != std::string::npos; place = bytes.find("{id}")) {
    bytes.replace(place, 4, id);
  }
  return bytes;
}

// Returns the length of the complete request at the start of `bytes`, or 0 if it is not
// complete.
std::size_t RequestLength(const std::string& bytes) {
  const auto end = bytes.find("\r\n\r\n");
  if (end == std::string::npos) {
    return 0;
  }
  std::size_t body = 0;
  if (const auto header = bytes.find("Content-Length: "); header < end) {
    std::from_chars(bytes.data() + header + 16, bytes.data() + end, body);
  }
  return bytes.size() >= end + 4 + body ? end + 4 + body : 0;
}

// Returns the next reply. The last one stays.
Reply TakeReply(std::deque<Reply>& pending) {
  Reply reply = pending.front();
  if (pending.size() > 1) {
    pending.pop_front();
  }
  return reply;
}

// Bytes that are sent once more when the next request has come on a connection.
struct LateCopy {
  std::string bytes;
  std::chrono::milliseconds by{0};
};

asio::awaitable<void> Sleep(tcp::socket& socket, std::chrono::milliseconds time) {
  asio::steady_timer timer(socket.get_executor());
  timer.expires_after(time);
  co_await timer.async_wait(kAwait);
}

// Sends a late copy that comes alone.
asio::awaitable<void> SendLateCopy(tcp::socket& socket, LateCopy& copy) {
  if (copy.bytes.empty() || copy.by.count() == 0) {
    co_return;
  }
  co_await Sleep(socket, copy.by);
  co_await asio::async_write(socket, asio::buffer(copy.bytes), kAwait);
  co_await Sleep(socket, copy.by);
  copy.bytes.clear();
}

asio::awaitable<void> SendEndless(tcp::socket& socket, const Reply& reply) {
  boost::system::error_code error;
  while (!reply.endless.empty() && !error) {
    std::size_t count = 0;
    std::tie(error, count) =
        co_await asio::async_write(socket, asio::buffer(reply.endless), kAwait);
    co_await Sleep(socket, reply.pause);
  }
}

// Returns false if the connection ends with the reply.
asio::awaitable<bool> SendReply(tcp::socket& socket,
                                const Reply& reply,
                                const std::string& request,
                                LateCopy& copy) {
  co_await SendLateCopy(socket, copy);
  const std::string bytes = copy.bytes + WithId(reply.bytes, request);
  copy = {WithId(reply.late_copy, request), reply.late_by};
  co_await asio::async_write(socket, asio::buffer(bytes), kAwait);
  co_await SendEndless(socket, reply);
  if (reply.endless.empty()) {
    co_await Sleep(socket, reply.pause);
  }
  if (reply.then == Reply::Then::kReset) {
    socket.set_option(tcp::socket::linger(true, 0));
  } else if (reply.then == Reply::Then::kEndHere) {
    socket.shutdown(tcp::socket::shutdown_send);
    co_await Sleep(socket, kHoldTime);
  }
  co_return reply.then == Reply::Then::kKeep;
}

}  // namespace

Reply Sealed(const std::string& body, int status) {
  return {"HTTP/1.1 " + std::to_string(status) +
          " Status\r\nX-Id: {id}\r\nX-Seal: s\r\nContent-Length: " + std::to_string(body.size()) +
          "\r\n\r\n" + body};
}

Reply NotRun() {
  return {"HTTP/1.1 503 Full\r\nX-Id: {id}\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"};
}

Reply With(Reply reply, const std::string& header) {
  reply.bytes.insert(reply.bytes.find("X-Id:"), header + "\r\n");
  return reply;
}

Reply Events(int first, int last, bool whole) {
  std::string bytes =
      "HTTP/1.1 200 OK\r\nX-Id: {id}\r\nX-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (int id = first; id <= last; ++id) {
    const std::string event =
        "id: " + std::to_string(id) + "\ndata: e" + std::to_string(id) + "\n\n";
    std::array<char, 8> size{};
    const auto end = std::to_chars(size.data(), size.data() + size.size(), event.size(), 16);
    bytes += std::string(size.data(), end.ptr) + "\r\n" + event + "\r\n";
  }
  if (whole) {
    return {bytes + "0\r\n\r\n"};
  }
  return {bytes, Reply::Then::kReset};
}

Reply Silence() {
  return {"", Reply::Then::kKeep, true};
}

RawUpstream::RawUpstream(asio::io_context& io, std::deque<Reply> replies)
    : acceptor(io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)),
      pending(std::move(replies)) {
  asio::co_spawn(io, this->Accept(), asio::detached);
}

std::string RawUpstream::Address() const {
  return "127.0.0.1:" + std::to_string(this->acceptor.local_endpoint().port());
}

void RawUpstream::SetReplies(std::deque<Reply> replies) {
  this->pending = std::move(replies);
}

void RawUpstream::ReplyEarly() {
  this->replies_early = true;
  this->acceptor.set_option(tcp::acceptor::receive_buffer_size(kSmallBuffer));
}

asio::awaitable<void> RawUpstream::Accept() {
  while (true) {
    auto [error, socket] = co_await this->acceptor.async_accept(kAwait);
    if (error) {
      co_return;
    }
    ++this->connections;
    auto accepted = std::make_shared<tcp::socket>(std::move(socket));
    this->sockets.push_back(accepted);
    asio::co_spawn(this->acceptor.get_executor(), this->Serve(std::move(accepted)), asio::detached);
  }
}

void RawUpstream::Crash() {
  this->has_crashed = true;
  this->acceptor.close();
  for (const auto& weak : this->sockets) {
    if (const auto socket = weak.lock(); socket && socket->is_open()) {
      socket->set_option(tcp::socket::linger(true, 0));
      socket->close();
    }
  }
}

asio::awaitable<void> RawUpstream::Serve(std::shared_ptr<tcp::socket> connection) {
  tcp::socket& socket = *connection;
  std::string received;
  LateCopy copy;
  std::array<char, 4096> chunk{};
  boost::system::error_code error;
  while (!error) {
    std::size_t count = 0;
    std::tie(error, count) = co_await socket.async_read_some(asio::buffer(chunk), kAwait);
    received.append(chunk.data(), count);
    const bool is_early = this->replies_early && received.find("\r\n\r\n") != std::string::npos;
    const std::size_t length = is_early ? received.size() : RequestLength(received);
    if (error || length == 0) {
      continue;
    }
    if (received.starts_with(kHealthCheck)) {
      ++this->health_checks;
      received.erase(0, length);
      co_await asio::async_write(socket, asio::buffer(kHealthy), kAwait);
      continue;
    }
    this->requests.push_back(received.substr(0, length));
    received.erase(0, length);
    if (!this->crashes_on.empty() &&
        this->requests.back().find(this->crashes_on) != std::string::npos) {
      this->Crash();
      co_return;
    }
    const Reply reply = TakeReply(this->pending);
    if (!reply.is_silent && !co_await SendReply(socket, reply, this->requests.back(), copy)) {
      co_return;
    }
  }
  ++this->closed_by_peer;
}

EdgeFixture::EdgeFixture() {
  this->settings.instance = "edge-1";
  this->settings.failure_domain = "a";
  this->settings.address = "127.0.0.1";
  this->settings.caller_endpoint = transport::FreeEndpoint(this->io, kFirstPort);
  this->settings.readiness_endpoint = transport::FreeEndpoint(this->io, kFirstPort);
  this->settings.peer_endpoint = transport::FreeEndpoint(this->io, kFirstPort);
  this->settings.metrics_endpoint = transport::FreeEndpoint(this->io, kFirstPort);
  this->settings.digest_port = transport::FreeEndpoint(this->io, kFirstPort).port;
  this->settings.retries.slack = 100;
  this->settings.log_one_in = 1;
  this->settings.stop_grace = std::chrono::milliseconds(3500);
  this->edge = StartInstance(this->io, this->settings);
  this->caller_endpoints.push_back(this->settings.caller_endpoint);
}

void EdgeFixture::AddInstance(const std::string& address) {
  EdgeSettings other = this->settings;
  other.instance = "edge-" + std::to_string(this->caller_endpoints.size() + 1);
  other.address = address;
  other.seed_addresses = {this->settings.address};
  other.caller_endpoint = transport::FreeEndpoint(this->io, kFirstPort);
  other.readiness_endpoint = transport::FreeEndpoint(this->io, kFirstPort);
  other.metrics_endpoint = transport::FreeEndpoint(this->io, kFirstPort);
  other.peer_endpoint.address = address;
  this->other_instances.push_back(StartInstance(this->io, other));
  this->caller_endpoints.push_back(other.caller_endpoint);
}

RawUpstream& EdgeFixture::AddUpstream(std::deque<Reply> replies, const std::string& version) {
  this->upstreams.push_back(std::make_unique<RawUpstream>(this->io, std::move(replies)));
  this->AddListing(*this->upstreams.back(), version);
  return *this->upstreams.back();
}

void EdgeFixture::AddListing(const RawUpstream& upstream, const std::string& version) {
  ++this->revision;
  const std::vector<dispatch::PublishedItem> changes{
      {"config", "", this->revision},
      {"u" + std::to_string(++this->listings),
       upstream.Address() + " " + version + " " + this->listing_details, this->revision + 1}};
  this->edge->OnPublishedChanges(changes, {this->era, this->revision + 1});
  for (const auto& other : this->other_instances) {
    other->OnPublishedChanges(changes, {this->era, this->revision + 1});
  }
  ++this->revision;
}

std::shared_ptr<std::optional<transport::Result<HttpResponse>>>
EdgeFixture::Begin(const std::string& target, transport::HttpHeaders headers, std::string body) {
  static int next_id = 0;
  if (FindHeader(headers, "X-Id").empty()) {
    headers.push_back({"X-Id", "request-" + std::to_string(++next_id)});
  }
  if (FindHeader(headers, "X-Key").empty()) {
    headers.push_back({"X-Key", "key"});
  }
  auto answer = std::make_shared<std::optional<transport::Result<HttpResponse>>>();
  const auto fetch = [](asio::io_context& context, transport::Endpoint endpoint,
                        HttpRequest request, auto result) -> asio::awaitable<void> {
    transport::HttpConnectionPool pool(context.get_executor());
    result->emplace(co_await transport::Fetch(pool, std::move(endpoint), std::move(request),
                                              transport::ExchangeTimeouts{}, 1 << 20));
  };
  asio::co_spawn(this->io,
                 fetch(this->io, this->caller_endpoints[this->current],
                       HttpRequest("POST", target, std::move(headers), std::move(body)), answer),
                 asio::detached);
  return answer;
}

transport::Result<HttpResponse> EdgeFixture::Call(const std::string& target,
                                                  transport::HttpHeaders headers,
                                                  std::string body) {
  const auto answer = this->Begin(target, std::move(headers), std::move(body));
  this->io.restart();
  while (!*answer && this->io.run_one() > 0) {
  }
  return answer->value_or(HttpResponse(0));
}

std::string EdgeFixture::Ask(const std::string& target) {
  transport::HttpConnectionPool pool(this->io.get_executor());
  HttpRequest request("GET", target);
  std::string body;
  bool is_done = false;
  const auto fetch = [&]() -> asio::awaitable<void> {
    const auto answer =
        co_await transport::Fetch(pool, this->settings.metrics_endpoint, std::move(request),
                                  transport::ExchangeTimeouts{}, 1 << 20);
    body = answer ? answer.value().body : answer.error().message;
    is_done = true;
  };
  asio::co_spawn(this->io, fetch(), asio::detached);
  this->io.restart();
  while (!is_done && this->io.run_one() > 0) {
  }
  return body;
}

std::string EdgeFixture::CallRaw(const std::string& bytes) {
  std::string received;
  bool is_done = false;
  asio::steady_timer quiet(this->io);
  const auto exchange = [&]() -> asio::awaitable<void> {
    tcp::socket socket(this->io);
    co_await socket.async_connect(
        tcp::endpoint(asio::ip::make_address("127.0.0.1"), this->settings.caller_endpoint.port),
        kAwait);
    quiet.expires_after(std::chrono::milliseconds(400));
    quiet.async_wait([&socket](const boost::system::error_code& error) {
      if (!error) {
        socket.close();
      }
    });
    co_await asio::async_write(socket, asio::buffer(bytes), kAwait);
    std::array<char, 4096> chunk{};
    while (true) {
      const auto [error, count] = co_await socket.async_read_some(asio::buffer(chunk), kAwait);
      if (error) {
        break;
      }
      received.append(chunk.data(), count);
    }
    quiet.cancel();
    is_done = true;
  };
  asio::co_spawn(this->io, exchange(), asio::detached);
  this->io.restart();
  while (!is_done && this->io.run_one() > 0) {
  }
  return received;
}

void EdgeFixture::RunFor(std::chrono::milliseconds time) {
  this->io.restart();
  this->io.run_for(time);
}

}  // namespace geraniumspread::edge::test
