#include "standin/standin_host.h"

#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <fstream>

#include "standin/answer_text.h"
#include "transport/http_client.h"
#include "transport/test_support/free_port.h"

namespace geraniumspread::standin {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using std::chrono::milliseconds;
using transport::Endpoint;
using transport::HttpRequest;
using transport::HttpResponse;

constexpr std::size_t kMaxBody = 1 << 20;

constexpr std::uint16_t kFirstPort = 18000;

// One engine, the configuration service and a client on one event loop.
struct Fixture {
  asio::io_context io;
  transport::HttpConnectionPool pool{io.get_executor()};
  std::filesystem::path folder =
      std::filesystem::temp_directory_path() /
      ("standin_host_test_" + std::to_string(transport::FreeEndpoint(io, kFirstPort).port));
  Endpoint config_endpoint = transport::FreeEndpoint(this->io, kFirstPort);
  PlatformSettings settings;
  std::optional<StandinHost> host;

  Fixture() {
    std::filesystem::create_directories(this->folder / "shard");
    this->WriteFile("manifest", R"({"version":1})");
    this->WriteFile("shard/abc", "shard bytes");
    this->settings.admin = transport::FreeEndpoint(this->io, kFirstPort);
    ConfigServiceSettings config;
    config.endpoint = this->config_endpoint;
    config.folder = this->folder.string();
    this->settings.config_service = config;
    HostedEngine engine;
    engine.engine.id = "e1";
    engine.engine.model = "m";
    engine.engine.token_time = milliseconds(1);
    engine.engine.restart_time = milliseconds(30);
    engine.engine.starts_warm = true;
    engine.endpoint = transport::FreeEndpoint(this->io, kFirstPort);
    this->settings.engines.push_back(engine);
    this->host.emplace(this->io.get_executor(), this->settings);
    BOOST_REQUIRE(!this->host->Start().has_value());
  }
  Fixture(const Fixture&) = delete;
  Fixture& operator=(const Fixture&) = delete;
  ~Fixture() { std::filesystem::remove_all(this->folder); }

  void WriteFile(const std::string& name, const std::string& text) const {
    std::ofstream(this->folder / name) << text;
  }

  const Endpoint& Engine() const { return this->settings.engines.front().endpoint; }

  asio::awaitable<transport::Result<HttpResponse>> Send(Endpoint endpoint, HttpRequest request) {
    transport::ExchangeTimeouts timeouts;
    timeouts.first_byte = std::chrono::seconds(5);
    return transport::Fetch(this->pool, std::move(endpoint), std::move(request), timeouts,
                            kMaxBody);
  }

  asio::awaitable<int> Get(Endpoint endpoint, std::string target) {
    HttpRequest request("GET", std::move(target));
    const auto response = co_await this->Send(std::move(endpoint), std::move(request));
    co_return response ? response.value().status : 0;
  }

  asio::awaitable<int> GetConfig(const std::string& key) {
    return this->Get(this->config_endpoint, "/v1/config/" + key);
  }

  asio::awaitable<void> Act(std::string path) {
    HttpRequest request("POST", "/admin/" + path);
    const auto response = co_await this->Send(this->settings.admin, std::move(request));
    BOOST_REQUIRE(response.has_value());
    BOOST_TEST(response.value().status == 200);
  }

  void Run(asio::awaitable<void> client) {
    asio::co_spawn(this->io, std::move(client), [this](const std::exception_ptr& error) {
      this->host->Stop();
      this->pool.CloseIdle();
      if (error) {
        std::rethrow_exception(error);
      }
    });
    // Returns only when Stop has ended every connection and timer.
    this->io.run();
  }
};

HttpRequest ChatRequest(bool stream, int tokens) {
  HttpRequest request("POST", "/v1/chat/completions");
  request.headers.push_back({"X-Request-Id", "r1"});
  request.body = R"({"model":"m","messages":[{"role":"user","content":"hello"}],"stream":)" +
                 std::string(stream ? "true" : "false") +
                 ",\"max_tokens\":" + std::to_string(tokens) + "}";
  return request;
}

std::string ContentOf(const HttpResponse& response) {
  const json::value body = json::parse(response.body);
  return std::string(body.at("choices").at(0).at("message").at("content").as_string());
}

// Guards against answers on the wire that differ from the public functions.
BOOST_FIXTURE_TEST_CASE(ServesWholeAndStreamedAnswers, Fixture) {
  this->Run([](Fixture& fixture) -> asio::awaitable<void> {
    HttpRequest whole = ChatRequest(false, 5);
    const auto answer = co_await fixture.Send(fixture.Engine(), std::move(whole));
    BOOST_REQUIRE(answer.has_value());
    BOOST_TEST(ContentOf(answer.value()) == AnswerText("hello\n", 5));
    BOOST_TEST(transport::FindHeader(answer.value().headers, "X-Request-Id") == "r1");
    HttpRequest resumed = ChatRequest(true, 3);
    resumed.headers.push_back({"X-Resume-Offset", "2"});
    const auto stream = co_await fixture.Send(fixture.Engine(), std::move(resumed));
    BOOST_REQUIRE(stream.has_value());
    const std::string& body = stream.value().body;
    BOOST_TEST(body.starts_with("id: 2\ndata: {\"id\":\"r1\""));
    BOOST_TEST(body.find("\"finish_reason\":\"stop\"") != std::string::npos);
    BOOST_TEST(body.ends_with("data: [DONE]\n\n"));
  }(*this));
}

// Guards against a truncated answer that looks whole.
BOOST_FIXTURE_TEST_CASE(TruncatedAnswersAreCut, Fixture) {
  this->Run([](Fixture& fixture) -> asio::awaitable<void> {
    for (const bool stream : {false, true}) {
      co_await fixture.Act("e1/truncate");
      HttpRequest request = ChatRequest(stream, 8);
      const auto answer = co_await fixture.Send(fixture.Engine(), std::move(request));
      BOOST_REQUIRE(!answer.has_value());
      BOOST_TEST((answer.error().phase == transport::ExchangePhase::kReadingBody));
    }
  }(*this));
}

// Guards against a crash that lets running answers end, or that never restarts.
BOOST_FIXTURE_TEST_CASE(CrashEndsConnectionsAndRestarts, Fixture) {
  this->Run([](Fixture& fixture) -> asio::awaitable<void> {
    transport::HttpExchange exchange(fixture.pool, fixture.Engine(), {});
    HttpRequest request = ChatRequest(true, 4000);
    const auto head =
        co_await exchange.Start(std::move(request), transport::ConnectionPolicy::kFresh);
    BOOST_REQUIRE(head.has_value());
    co_await fixture.Act("e1/crash");
    const auto rest = co_await exchange.ReadAll(kMaxBody);
    BOOST_TEST(!rest.has_value());
    int status = 0;
    while (status == 0) {
      status = co_await fixture.Get(fixture.Engine(), "/load");
    }
    BOOST_TEST(status == 200);
  }(*this));
}

// Guards against a silence that answers on old connections or stops new ones.
BOOST_FIXTURE_TEST_CASE(SilenceHitsOpenConnectionsOnly, Fixture) {
  this->Run([](Fixture& fixture) -> asio::awaitable<void> {
    BOOST_TEST(co_await fixture.Get(fixture.Engine(), "/load") == 200);
    co_await fixture.Act("e1/silence");
    transport::ExchangeTimeouts timeouts;
    timeouts.first_byte = milliseconds(100);
    transport::HttpExchange old(fixture.pool, fixture.Engine(), timeouts);
    HttpRequest request("GET", "/load");
    const auto silent = co_await old.Start(std::move(request), transport::ConnectionPolicy::kReuse);
    BOOST_TEST(old.UsedPooledConnection());
    BOOST_REQUIRE(!silent.has_value());
    BOOST_TEST((silent.error().code == transport::TransportErrorCode::kTimedOut));
    BOOST_TEST(co_await fixture.Get(fixture.Engine(), "/load") == 200);
  }(*this));
}

// Guards against a refusal of connections that can't be ended.
BOOST_FIXTURE_TEST_CASE(RefusesConnectionsUntilAccept, Fixture) {
  this->Run([](Fixture& fixture) -> asio::awaitable<void> {
    co_await fixture.Act("e1/refuse");
    BOOST_TEST(co_await fixture.Get(fixture.Engine(), "/load") == 0);
    co_await fixture.Act("e1/accept");
    BOOST_TEST(co_await fixture.Get(fixture.Engine(), "/load") == 200);
  }(*this));
}

// Guards against requests that run on after their caller has gone.
BOOST_FIXTURE_TEST_CASE(ClosedConnectionCancels, Fixture) {
  this->Run([](Fixture& fixture) -> asio::awaitable<void> {
    {
      transport::HttpExchange exchange(fixture.pool, fixture.Engine(), {});
      HttpRequest request = ChatRequest(true, 4000);
      co_await exchange.Start(std::move(request), transport::ConnectionPolicy::kFresh);
    }
    std::int64_t cancelled = 0;
    while (cancelled == 0) {
      HttpRequest request("GET", "/admin/e1/stats");
      const auto stats = co_await fixture.Send(fixture.settings.admin, std::move(request));
      BOOST_REQUIRE(stats.has_value());
      cancelled = json::parse(stats.value().body).at("cancelled").as_int64();
    }
    BOOST_TEST(cancelled == 1);
  }(*this));
}

// Guards against keys that are served under another name, and paths out of the folder.
BOOST_FIXTURE_TEST_CASE(ConfigurationServiceServesKeys, Fixture) {
  this->Run([](Fixture& fixture) -> asio::awaitable<void> {
    BOOST_TEST(co_await fixture.GetConfig("manifest") == 200);
    BOOST_TEST(co_await fixture.GetConfig("manifest?after=1") == 304);
    BOOST_TEST(co_await fixture.GetConfig("shard/abc") == 200);
    BOOST_TEST(co_await fixture.GetConfig("shard/abd") == 404);
    BOOST_TEST(co_await fixture.GetConfig("shard/..%2Fmanifest") == 404);
  }(*this));
}

// Guards against watches that miss a change, and against a stale service that
// still gives the new version.
BOOST_FIXTURE_TEST_CASE(ConfigurationServiceIsStaleUntilUp, Fixture) {
  this->Run([](Fixture& fixture) -> asio::awaitable<void> {
    co_await fixture.Act("config/stale");
    fixture.WriteFile("manifest", R"({"version":22})");
    BOOST_TEST(co_await fixture.GetConfig("manifest?after=1&wait_ms=300") == 304);
    co_await fixture.Act("config/up");
    BOOST_TEST(co_await fixture.GetConfig("manifest?after=1&wait_ms=5000") == 200);
    fixture.WriteFile("manifest", R"({"version":333})");
    BOOST_TEST(co_await fixture.GetConfig("manifest?after=22&wait_ms=5000") == 200);
  }(*this));
}

// Guards against a service that is down in name only.
BOOST_FIXTURE_TEST_CASE(ConfigurationServiceIsDownUntilUp, Fixture) {
  this->Run([](Fixture& fixture) -> asio::awaitable<void> {
    co_await fixture.Act("config/down");
    BOOST_TEST(co_await fixture.GetConfig("manifest") == 0);
    co_await fixture.Act("config/up");
    BOOST_TEST(co_await fixture.GetConfig("manifest") == 200);
  }(*this));
}

// Guards against a second process that silently shares a port.
BOOST_FIXTURE_TEST_CASE(TakenPortIsReported, Fixture) {
  StandinHost second(this->io.get_executor(), this->settings);
  BOOST_TEST(second.Start().value_or("").starts_with("e1: can't listen on 127.0.0.1:"));
}

}  // namespace
}  // namespace geraniumspread::standin
