#ifndef ROUTER_TESTS_DEPLOYMENT_FIXTURE_H_
#define ROUTER_TESTS_DEPLOYMENT_FIXTURE_H_

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <fstream>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "common/runtime_timer.h"
#include "config/compile.h"
#include "config/sheet.h"
#include "router/router.h"
#include "standin/standin_host.h"
#include "transport/http_client.h"
#include "transport/test_support/free_port.h"

// Whole paths over real sockets on one event loop: two routers, two engines, one
// plain service and the platform's stand-ins. The clock is paused; the loop
// advances it only when no handler is ready, so the outcome does not depend on
// the speed of the machine.
namespace geraniumspread::router {

inline constexpr std::size_t kMaxBody = 1 << 20;
inline constexpr Duration kStep = std::chrono::milliseconds(5);
inline constexpr Duration kLongestRun = std::chrono::minutes(3);
// Loopback delivers within this real time; only then is the loop idle.
inline constexpr auto kSettleTime = std::chrono::microseconds(300);

inline constexpr std::string_view kSheet =
    "kind,name,weight,concurrency_limit,requests_per_second,allowed_models,max_priority,model,"
    "adapter,version,role,load_multiple,cold_limit,capacity,repeatable,timeout,"
    "concurrency_per_upstream,region,state,value\n"
    "failure_domain,a,,,,,,,,,,,,,,,,r,in,\n"
    "pool,p,,,,,,m,,1,generate,1.25,2,8,,,,,,\n"
    "service,orders,,,,,,,,,,,,,GET /*,10s,8,,,\n"
    "workspace,w,1,100,1000,*,suggestion,,,,,,,,,,,,,\n";

struct DeploymentOptions {
  // Test programs that run at the same time need ranges of their own: a port
  // that is free when it is probed is opened only later.
  std::uint16_t first_port = 16000;
  std::string engine_without_fencing;  // id of an engine that ignores fencing
  Duration order_time = standin::EngineSettings().order_time;
};

struct Deployment {
  DeploymentOptions options;
  ScopedPausedClock paused;
  boost::asio::io_context io;
  std::filesystem::path folder;
  transport::HttpConnectionPool pool{io.get_executor()};
  standin::PlatformSettings platform;
  transport::Endpoint config_service;
  transport::Endpoint instance_list;
  std::optional<standin::StandinHost> host;
  std::vector<settings::RouterSettings> router_settings;
  std::vector<std::unique_ptr<Router>> routers;

  Deployment() : Deployment(DeploymentOptions()) {}
  explicit Deployment(DeploymentOptions deployment_options)
      : options(std::move(deployment_options)) {
    this->platform.admin = transport::FreeEndpoint(this->io, this->options.first_port);
    this->folder = std::filesystem::temp_directory_path() /
                   ("router_test_" + std::to_string(this->platform.admin.port));
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
    config::Configuration configuration = sheet.configuration.value_or(config::Configuration());
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
    this->config_service = transport::FreeEndpoint(this->io, this->options.first_port);
    standin::ConfigServiceSettings service_settings;
    service_settings.endpoint = this->config_service;
    service_settings.folder = this->folder.string();
    this->platform.config_service = service_settings;
    this->instance_list = transport::FreeEndpoint(this->io, this->options.first_port);
    standin::InstanceListSettings list_settings;
    list_settings.endpoint = this->instance_list;
    this->platform.instance_list = list_settings;
    for (const std::string id : {"e1", "e2"}) {
      standin::HostedEngine engine;
      engine.engine.id = id;
      engine.engine.model = "m";
      engine.engine.ignores_fencing = id == this->options.engine_without_fencing;
      engine.engine.order_time = this->options.order_time;
      engine.pool = "p";
      engine.failure_domain = "a";
      engine.endpoint = transport::FreeEndpoint(this->io, this->options.first_port);
      this->platform.engines.push_back(engine);
    }
    standin::HostedService service;
    service.service.id = "orders-1";
    service.service.service = "orders";
    service.failure_domain = "a";
    service.endpoint = transport::FreeEndpoint(this->io, this->options.first_port);
    this->platform.services.push_back(service);
  }

  void AddRouter(const std::string& id) {
    settings::RouterSettings settings;
    settings.instance = {id, "a"};
    settings.listen.public_port = transport::FreeEndpoint(this->io, this->options.first_port).port;
    settings.listen.peer_port = transport::FreeEndpoint(this->io, this->options.first_port).port;
    settings.listen.control_port = transport::FreeEndpoint(this->io, this->options.first_port).port;
    settings.platform.config_service = {this->config_service.address, this->config_service.port};
    settings.platform.instance_list = {this->instance_list.address, this->instance_list.port};
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

  transport::Endpoint Public(std::size_t router) const {
    return {"127.0.0.1", this->router_settings[router].listen.public_port};
  }

  // Runs until `task` has ended.
  void Run(boost::asio::awaitable<void> task) {
    bool done = false;
    std::exception_ptr failure;
    boost::asio::co_spawn(this->io, std::move(task), [&](const std::exception_ptr& error) {
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

  boost::asio::awaitable<transport::HttpResponse> Send(std::size_t router,
                                                       transport::HttpRequest request) {
    transport::ExchangeTimeouts timeouts;
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
  boost::asio::awaitable<void> WaitUntilReady() {
    RuntimeTimer timer(this->io);
    for (std::size_t router = 0; router < this->routers.size();) {
      const transport::HttpResponse response =
          co_await this->Send(router, transport::HttpRequest("GET", "/readyz"));
      if (response.status == 200) {
        ++router;
        continue;
      }
      timer.expires_after(std::chrono::milliseconds(200));
      co_await timer.async_wait(boost::asio::use_awaitable);
    }
  }
};

}  // namespace geraniumspread::router

#endif  // ROUTER_TESTS_DEPLOYMENT_FIXTURE_H_
