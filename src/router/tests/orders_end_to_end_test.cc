#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/test/unit_test.hpp>

#include "engines/engine_commands.h"
#include "router/internal/engine_orders.h"
#include "router/tests/deployment_fixture.h"

namespace geraniumspread::router {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using transport::Endpoint;
using transport::HttpRequest;
using transport::HttpResponse;

constexpr std::uint64_t kConfigVersion = 1;
constexpr std::string_view kConfiguredVersion = "1";
constexpr std::string_view kConfiguredRole = "generate";
constexpr std::string_view kUnfencedEngine = "e2";
// Longer than the time after which an order without an answer is sent again.
constexpr Duration kOrderTime = std::chrono::seconds(8);
// Longer than the settle time of an order, shorter than the limit of a run.
constexpr Duration kLongestWait = std::chrono::seconds(90);

struct OrdersDeployment : Deployment {
  OrdersDeployment()
      : Deployment({.first_port = 17000,
                    .engine_without_fencing = std::string(kUnfencedEngine),
                    .order_time = kOrderTime}) {}

  Endpoint EngineEndpoint(std::size_t engine) const {
    return this->platform.engines[engine].endpoint;
  }

  asio::awaitable<HttpResponse> SendToEngine(std::size_t engine, HttpRequest request) {
    const auto response =
        co_await transport::Fetch(this->pool, this->EngineEndpoint(engine), std::move(request),
                                  transport::ExchangeTimeouts{}, kMaxBody);
    BOOST_REQUIRE(response.has_value());
    co_return response.value();
  }

  asio::awaitable<json::value> Report(std::size_t engine) {
    const HttpResponse response = co_await this->SendToEngine(engine, HttpRequest("GET", "/load"));
    co_return json::parse(response.body);
  }

  // Waits until the engine reports the version; returns the last report.
  asio::awaitable<json::value> WaitForVersion(std::size_t engine, std::string_view version) {
    RuntimeTimer timer(this->io);
    const TimePoint give_up = RuntimeClock::now() + kLongestWait;
    json::value report = co_await this->Report(engine);
    while (report.at("version").as_string() != version && RuntimeClock::now() < give_up) {
      timer.expires_after(std::chrono::milliseconds(200));
      co_await timer.async_wait(asio::use_awaitable);
      report = co_await this->Report(engine);
    }
    co_return report;
  }

  // Sums a counter over both routers.
  asio::awaitable<double> OrdersCounted(std::string_view result) {
    const std::string line = "geranium_orders_total{result=\"" + std::string(result) + "\"} ";
    double sum = 0;
    for (std::size_t router = 0; router < this->routers.size(); ++router) {
      const HttpResponse metrics = co_await this->Send(router, HttpRequest("GET", "/metrics"));
      if (const auto at = metrics.body.find(line); at != std::string::npos) {
        sum += std::stod(metrics.body.substr(at + line.size()));
      }
    }
    co_return sum;
  }
};

// Guards against fencing tokens that shrink when the system clock is set back:
// engines would refuse the orders of their owner.
BOOST_AUTO_TEST_CASE(LeaseSequenceFollowsTheWallClockButNeverShrinks) {
  const auto state = MakeRouterState({.id = "router-1", .failure_domain = "a"}, {}, TimePoint());
  state->configuration = std::make_shared<config::Configuration>();
  const auto sequence_at = [&](Duration since_start, std::chrono::seconds since_epoch) {
    using namespace std::chrono;
    detail::TickEngineOrders(*state, TimePoint(since_start),
                             sys_days(2026y / January / 1) + since_epoch);
    return state->engine_orders.lease_sequence;
  };
  BOOST_TEST(sequence_at(std::chrono::seconds(1), std::chrono::seconds(-3)) == 0);
  BOOST_TEST(sequence_at(std::chrono::seconds(2), std::chrono::seconds(300)) == 100);
  BOOST_TEST(sequence_at(std::chrono::seconds(3), std::chrono::seconds(30)) == 100);
  BOOST_TEST(sequence_at(std::chrono::seconds(4), std::chrono::seconds(303)) == 101);
}

// An order of an owner that lost its lease long ago and never noticed: made from
// the configuration in force, with a low lease sequence.
HttpRequest LateOrder() {
  const auto fence = engines::MakeFence(kConfigVersion, 1);
  BOOST_REQUIRE(fence.has_value());
  const json::object body = {{"fence", fence.value().token},
                             {"model", "m"},
                             {"adapter", ""},
                             {"version", "0"},
                             {"role", kConfiguredRole}};
  return HttpRequest("POST", "/orders", {}, json::serialize(body));
}

// Guards against engines that keep serving a version or role that the
// configuration does not name, and against an accepted order that is repeated
// while the engine still carries it out.
BOOST_FIXTURE_TEST_CASE(EngineWithAnotherVersionIsOrderedToTheConfiguredOne, OrdersDeployment) {
  this->Run([](OrdersDeployment& deployment) -> asio::awaitable<void> {
    for (const std::size_t engine : {0U, 1U}) {
      const json::value before = co_await deployment.Report(engine);
      BOOST_REQUIRE(before.at("version").as_string() != kConfiguredVersion);
      BOOST_REQUIRE(before.at("role").as_string() != kConfiguredRole);
    }
    for (const std::size_t engine : {0U, 1U}) {
      const json::value after = co_await deployment.WaitForVersion(engine, kConfiguredVersion);
      BOOST_TEST(after.at("version").as_string() == kConfiguredVersion);
      BOOST_TEST(after.at("role").as_string() == kConfiguredRole);
    }
    BOOST_TEST(co_await deployment.OrdersCounted("accepted") == 2);
  }(*this));
}

// Guards against an old order that undoes a newer one: an engine with fencing
// refuses it, because the router's order carried a higher token; on an engine
// without fencing the owner reads the state back and corrects it.
BOOST_FIXTURE_TEST_CASE(LateOrderIsRefusedOrCorrected, OrdersDeployment) {
  this->Run([](OrdersDeployment& deployment) -> asio::awaitable<void> {
    for (const std::size_t engine : {0U, 1U}) {
      co_await deployment.WaitForVersion(engine, kConfiguredVersion);
    }
    const HttpResponse fenced = co_await deployment.SendToEngine(0, LateOrder());
    BOOST_TEST(fenced.status == 409);
    const HttpResponse unfenced = co_await deployment.SendToEngine(1, LateOrder());
    BOOST_TEST(unfenced.status == 200);
    const json::value undone = co_await deployment.WaitForVersion(1, "0");
    BOOST_TEST(undone.at("version").as_string() == "0");
    const json::value corrected = co_await deployment.WaitForVersion(1, kConfiguredVersion);
    BOOST_TEST(corrected.at("version").as_string() == kConfiguredVersion);
    const json::value untouched = co_await deployment.Report(0);
    BOOST_TEST(untouched.at("version").as_string() == kConfiguredVersion);
    BOOST_TEST(co_await deployment.OrdersCounted("accepted") == 3);
  }(*this));
}

}  // namespace
}  // namespace geraniumspread::router
