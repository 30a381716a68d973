#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/parse.hpp>
#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <fstream>
#include <optional>

#include "common/runtime_timer.h"
#include "config/compile.h"
#include "config/sheet.h"
#include "router/router.h"
#include "standin/answer_text.h"
#include "standin/standin_host.h"
#include "transport/http_client.h"
#include "transport/test_support/free_port.h"

// Whole paths over real sockets on one event loop: two routers, two engines, one
// plain service and the platform's stand-ins. The clock is paused; the loop
// advances it only when no handler is ready, so the outcome does not depend on
// the speed of the machine.
namespace geraniumspread::router {
namespace {

namespace asio = boost::asio;
using transport::Endpoint;
using transport::ExchangeTimeouts;
using transport::HttpRequest;
using transport::HttpResponse;

constexpr std::size_t kMaxBody = 1 << 20;
constexpr Duration kStep = std::chrono::milliseconds(5);
constexpr Duration kLongestRun = std::chrono::minutes(3);
// Loopback delivers within this real time; only then is the loop idle.
constexpr auto kSettleTime = std::chrono::microseconds(300);

constexpr std::string_view kSheet =
    "kind,name,weight,concurrency_limit,requests_per_second,allowed_models,max_priority,model,"
    "adapter,version,role,load_multiple,cold_limit,capacity,repeatable,timeout,"
    "concurrency_per_upstream,region,state,value\n"
    "failure_domain,a,,,,,,,,,,,,,,,,r,in,\n"
    "pool,p,,,,,,m,,1,generate,1.25,2,8,,,,,,\n"
    "service,orders,,,,,,,,,,,,,GET /*,10s,8,,,\n"
    "workspace,w,1,100,1000,*,suggestion,,,,,,,,,,,,,\n";

constexpr std::uint16_t kFirstPort = 16000;

struct Deployment {
  ScopedPausedClock paused;
  asio::io_context io;
  std::filesystem::path folder;
  transport::HttpConnectionPool pool{io.get_executor()};
  standin::PlatformSettings platform;
  std::optional<standin::StandinHost> host;
  std::vector<settings::RouterSettings> router_settings;
  std::vector<std::unique_ptr<Router>> routers;

  Deployment() {
    this->platform.admin = transport::FreeEndpoint(this->io, kFirstPort);
    this->folder = std::filesystem::temp_directory_path() /
                   ("end_to_end_test_" + std::to_string(this->platform.admin.port));
    this->WriteConfiguration();
    this->AddPlatform();
    this->AddRouter("router-1");
    this->AddRouter("router-2");
    this->host.emplace(this->io.get_executor(), this->platform);
    const auto failure = this->host->Start();
    BOOST_REQUIRE_MESSAGE(!failure, failure.value_or(""));
    for (const settings::RouterSettings& settings : this->router_settings) {
      this->routers.push_back(std::make_unique<Router>(this->io, settings));
      BOOST_REQUIRE(this->routers.back()->Start().has_value());
    }
  }
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;
  ~Deployment() { std::filesystem::remove_all(this->folder); }

  void WriteConfiguration() const {
    const auto sheet = config::ParseSheet(kSheet);
    BOOST_REQUIRE(sheet.configuration.has_value());
    config::Configuration configuration = *sheet.configuration;
    configuration.version = 1;
    const auto compiled = config::Compile(configuration);
    BOOST_REQUIRE(compiled.has_value());
    std::filesystem::create_directories(this->folder / "shard");
    std::ofstream(this->folder / "manifest") << compiled.value().manifest_bytes;
    for (const config::CompiledShard& shard : compiled.value().shards) {
      std::ofstream(this->folder / "shard" / shard.digest) << shard.bytes;
    }
  }

  void AddPlatform() {
    standin::ConfigServiceSettings config_service;
    config_service.endpoint = transport::FreeEndpoint(this->io, kFirstPort);
    config_service.folder = this->folder.string();
    this->platform.config_service = config_service;
    standin::InstanceListSettings list;
    list.endpoint = transport::FreeEndpoint(this->io, kFirstPort);
    this->platform.instance_list = list;
    for (const std::string id : {"e1", "e2"}) {
      standin::HostedEngine engine;
      engine.engine.id = id;
      engine.engine.model = "m";
      engine.pool = "p";
      engine.failure_domain = "a";
      engine.endpoint = transport::FreeEndpoint(this->io, kFirstPort);
      this->platform.engines.push_back(engine);
    }
    standin::HostedService service;
    service.service.id = "orders-1";
    service.service.service = "orders";
    service.failure_domain = "a";
    service.endpoint = transport::FreeEndpoint(this->io, kFirstPort);
    this->platform.services.push_back(service);
  }

  void AddRouter(const std::string& id) {
    settings::RouterSettings settings;
    settings.instance = {id, "a"};
    settings.listen.public_port = transport::FreeEndpoint(this->io, kFirstPort).port;
    settings.listen.peer_port = transport::FreeEndpoint(this->io, kFirstPort).port;
    settings.listen.control_port = transport::FreeEndpoint(this->io, kFirstPort).port;
    const auto& config_service = this->platform.config_service->endpoint;
    const auto& list = this->platform.instance_list->endpoint;
    settings.platform.config_service = {config_service.address, config_service.port};
    settings.platform.instance_list = {list.address, list.port};
    settings.shared_key = "0123456789abcdef";
    this->router_settings.push_back(settings);
    standin::ListedRouter listed;
    listed.id = id;
    listed.failure_domain = "a";
    listed.endpoint = {"127.0.0.1", settings.listen.public_port};
    listed.peer_port = settings.listen.peer_port;
    listed.control_port = settings.listen.control_port;
    this->platform.routers.push_back(listed);
  }

  Endpoint Public(std::size_t router) const {
    return {"127.0.0.1", this->router_settings[router].listen.public_port};
  }

  // Runs until `task` has ended.
  void Run(asio::awaitable<void> task) {
    bool done = false;
    std::exception_ptr failure;
    asio::co_spawn(this->io, std::move(task), [&](const std::exception_ptr& error) {
      done = true;
      failure = error;
    });
    const TimePoint give_up = RuntimeClock::now() + kLongestRun;
    while (!done && RuntimeClock::now() < give_up && !this->io.stopped()) {
      if (this->io.poll() == 0 && this->io.run_one_for(kSettleTime) == 0) {
        RuntimeClock::Advance(kStep);
      }
    }
    BOOST_REQUIRE_MESSAGE(done, "the test did not end within its time on the paused clock");
    if (failure) {
      std::rethrow_exception(failure);
    }
  }

  asio::awaitable<HttpResponse> Send(std::size_t router, HttpRequest request) {
    ExchangeTimeouts timeouts;
    timeouts.first_byte = std::chrono::seconds(60);
    timeouts.between_bytes = std::chrono::seconds(60);
    const auto response = co_await transport::Fetch(this->pool, this->Public(router),
                                                    std::move(request), timeouts, kMaxBody);
    BOOST_REQUIRE_MESSAGE(response.has_value(),
                          (response ? std::string() : response.error().message));
    co_return response.value();
  }

  // A router is ready once it has its share of the workspace limits, and can
  // dispatch once the leases are won.
  asio::awaitable<void> WaitUntilReady() {
    RuntimeTimer timer(this->io);
    for (std::size_t router = 0; router < this->routers.size();) {
      const HttpResponse response = co_await this->Send(router, HttpRequest("GET", "/readyz"));
      if (response.status == 200) {
        ++router;
        continue;
      }
      timer.expires_after(std::chrono::milliseconds(200));
      co_await timer.async_wait(asio::use_awaitable);
    }
  }
};

HttpRequest ChatRequest(const std::string& chat, bool stream) {
  HttpRequest request("POST", "/v1/chat/completions");
  request.headers = {{"X-Workspace", "w"}, {"X-Chat-Id", chat}, {"X-Request-Id", "id-" + chat}};
  request.body = std::string(R"({"model":"m","max_tokens":5,"stream":)") +
                 (stream ? "true" : "false") +
                 R"(,"messages":[{"role":"user","content":"hello there"}]})";
  return request;
}

HttpRequest OrderRequest(const std::string& ticket, const std::string& body) {
  HttpRequest request("POST", "/v1/services/orders/plaques", {}, body);
  request.headers = {{"X-Workspace", "w"}};
  if (!ticket.empty()) {
    request.headers.push_back({"Idempotency-Key", ticket});
  }
  return request;
}

std::string CodeOf(const HttpResponse& response) {
  return std::string(transport::FindHeader(response.headers, "X-Error-Code"));
}

// The text of a whole stream; empty unless its final marker is there.
std::string StreamText(const std::string& body) {
  std::string text;
  std::size_t at = 0;
  while ((at = body.find("data: ", at)) != std::string::npos) {
    at += 6;
    const std::string data = body.substr(at, body.find('\n', at) - at);
    if (data == "[DONE]") {
      return text;
    }
    text += boost::json::parse(data).at_pointer("/choices/0/delta/content").as_string();
  }
  return {};
}

// Guards against a path that is broken anywhere between caller and engine: both
// routers give the same whole answer to the same chat, streamed or not.
BOOST_FIXTURE_TEST_CASE(ChatsAreAnsweredWholeThroughEveryRouter, Deployment) {
  this->Run([](Deployment& deployment) -> asio::awaitable<void> {
    co_await deployment.WaitUntilReady();
    std::vector<std::string> texts;
    for (const std::size_t router : {0U, 1U}) {
      const HttpResponse whole = co_await deployment.Send(router, ChatRequest("c1", false));
      BOOST_REQUIRE_MESSAGE(whole.status == 200, whole.body);
      BOOST_TEST(transport::FindHeader(whole.headers, "X-Request-Id") == "id-c1");
      texts.emplace_back(
          boost::json::parse(whole.body).at_pointer("/choices/0/message/content").as_string());
      const HttpResponse stream = co_await deployment.Send(router, ChatRequest("c1", true));
      BOOST_REQUIRE_MESSAGE(stream.status == 200, stream.body);
      texts.push_back(StreamText(stream.body));
    }
    for (const std::string& text : texts) {
      BOOST_TEST(!text.empty());
      BOOST_TEST(text == texts.front());
    }
  }(*this));
}

// Guards against an order that runs twice when it is repeated through another
// router, and against a ticket that is used for another order.
BOOST_FIXTURE_TEST_CASE(OrderRunsOnceThroughTwoRouters, Deployment) {
  this->Run([](Deployment& deployment) -> asio::awaitable<void> {
    co_await deployment.WaitUntilReady();
    const HttpResponse without = co_await deployment.Send(0, OrderRequest("", "order 7"));
    BOOST_TEST(without.status == 428);
    BOOST_TEST(transport::FindHeader(without.headers, "X-Ran") == "no");
    const std::string ticket(transport::FindHeader(without.headers, "X-Ticket"));
    const HttpResponse first = co_await deployment.Send(0, OrderRequest(ticket, "order 7"));
    BOOST_REQUIRE_MESSAGE(first.status == 200, first.body);
    const HttpResponse repeat = co_await deployment.Send(1, OrderRequest(ticket, "order 7"));
    BOOST_TEST(repeat.status == 200);
    BOOST_TEST(repeat.body == first.body);
    BOOST_TEST(transport::FindHeader(repeat.headers, "X-Replayed") == "true");
    const HttpResponse other = co_await deployment.Send(1, OrderRequest(ticket, "order 8"));
    BOOST_TEST(other.status == 422);
  }(*this));
}

// Guards against a planned stop that loses the answers of finished orders: the
// successor replays them.
BOOST_FIXTURE_TEST_CASE(TicketsSurviveAPlannedStop, Deployment) {
  this->Run([](Deployment& deployment) -> asio::awaitable<void> {
    co_await deployment.WaitUntilReady();
    const HttpResponse without = co_await deployment.Send(0, OrderRequest("", "order 9"));
    const std::string ticket(transport::FindHeader(without.headers, "X-Ticket"));
    const HttpResponse first = co_await deployment.Send(0, OrderRequest(ticket, "order 9"));
    BOOST_REQUIRE_MESSAGE(first.status == 200, first.body);
    bool stopped = false;
    deployment.routers[0]->BeginStop([&stopped] { stopped = true; });
    RuntimeTimer timer(deployment.io);
    while (!stopped) {
      timer.expires_after(std::chrono::milliseconds(100));
      co_await timer.async_wait(asio::use_awaitable);
    }
    const HttpResponse repeat = co_await deployment.Send(1, OrderRequest(ticket, "order 9"));
    BOOST_TEST(repeat.status == 200);
    BOOST_TEST(repeat.body == first.body);
  }(*this));
}

// Guards against a request that is refused without a stable code or without
// saying that it has not run.
BOOST_FIXTURE_TEST_CASE(WrongRequestsGetOneClearError, Deployment) {
  this->Run([](Deployment& deployment) -> asio::awaitable<void> {
    co_await deployment.WaitUntilReady();
    HttpRequest no_workspace = ChatRequest("c", false);
    no_workspace.headers.clear();
    HttpRequest bad_json = ChatRequest("c", false);
    bad_json.body = "{";
    HttpRequest bad_model = ChatRequest("c", false);
    bad_model.body = R"({"model":"other","messages":[{"role":"user","content":"x"}]})";
    HttpRequest bad_priority = ChatRequest("c", false);
    transport::SetHeader(bad_priority.headers, "X-Priority", "urgent");
    const std::vector<HttpRequest> requests = {no_workspace, bad_json, bad_model, bad_priority};
    const std::string_view codes[] = {"unknown_workspace", "invalid_json", "unknown_model",
                                      "invalid_priority"};
    for (std::size_t index = 0; index < requests.size(); ++index) {
      const HttpResponse response = co_await deployment.Send(0, requests[index]);
      BOOST_TEST(CodeOf(response) == codes[index]);
      BOOST_TEST(transport::FindHeader(response.headers, "X-Ran") == "no");
    }
  }(*this));
}

// Guards against a stranger that feeds requests to the peer port.
BOOST_FIXTURE_TEST_CASE(UnsignedPeerRequestIsRefused, Deployment) {
  this->Run([](Deployment& deployment) -> asio::awaitable<void> {
    const Endpoint peer("127.0.0.1", deployment.router_settings[0].listen.peer_port);
    HttpRequest request("POST", "/internal/forward");
    transport::SetHeader(request.headers, "X-Peer-Mac", std::string(64, '0'));
    const auto response =
        co_await transport::Fetch(deployment.pool, peer, request, ExchangeTimeouts{}, kMaxBody);
    BOOST_REQUIRE(response.has_value());
    BOOST_TEST(response.value().status == 403);
  }(*this));
}

}  // namespace
}  // namespace geraniumspread::router
