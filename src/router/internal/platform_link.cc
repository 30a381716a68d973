#include "router/internal/platform_link.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "config/config_types.h"
#include "fleet/instance_list.h"
#include "observability/log.h"
#include "transport/transport_types.h"

namespace geraniumspread::router::detail {
namespace {

using transport::ExchangeTimeouts;
using transport::HttpRequest;

constexpr auto kAwaitTuple = boost::asio::as_tuple(boost::asio::use_awaitable);
constexpr Duration kPlatformTimeout = std::chrono::seconds(2);
constexpr Duration kReportTimeout = std::chrono::milliseconds(500);
// The service holds values up to 1 MB.
constexpr std::size_t kMaxConfigValueBytes = std::size_t{2} << 20U;

transport::Endpoint ToEndpoint(const settings::Address& address) {
  return {address.address, address.port};
}

ExchangeTimeouts TimeoutsOf(const RouterContext& context, Duration answer) {
  ExchangeTimeouts timeouts;
  timeouts.connect = context.settings.upstreams.connect_timeout;
  timeouts.first_byte = answer;
  timeouts.between_bytes = kPlatformTimeout;
  return timeouts;
}

fleet::ServiceStatus ToServiceStatus(int status) {
  switch (status) {
    case 200:
      return fleet::ServiceStatus::kValue;
    case 304:
      return fleet::ServiceStatus::kNotModified;
    case 404:
      return fleet::ServiceStatus::kNotFound;
    case 429:
      return fleet::ServiceStatus::kBusy;
    default:
      return fleet::ServiceStatus::kFailed;
  }
}

}  // namespace

boost::asio::awaitable<void> CallConfigService(RouterContext& context, fleet::ServiceCall call) {
  HttpRequest request("GET", "/v1/config/" + call.key +
                                 "?after=" + std::to_string(call.after_version) +
                                 "&wait_ms=" + std::to_string(call.wait.count()));
  const auto response = co_await transport::Fetch(
      context.connections, ToEndpoint(context.settings.platform.config_service), request,
      TimeoutsOf(context, call.wait + kPlatformTimeout), kMaxConfigValueBytes);
  fleet::ServiceResponse answer;
  answer.call_id = call.call_id;
  if (response) {
    answer.status = ToServiceStatus(response.value().status);
    answer.value = response.value().body;
  }
  context.metrics.Count("geranium_config_service_calls_total",
                        {{"result", response ? "answered" : "failed"}});
  CarryOut(context, HandleServiceAnswer(*context.state, answer, RuntimeClock::now()));
}

boost::asio::awaitable<void> FetchLoadReport(RouterContext& context, ReportRequest request) {
  const TimePoint asked_at = RuntimeClock::now();
  const HttpRequest http_request("GET", "/load");
  const auto response =
      co_await transport::Fetch(context.connections, request.endpoint, http_request,
                                TimeoutsOf(context, kReportTimeout), engines::kMaxLoadReportBytes);
  const bool has_report = response && response.value().status == 200;
  CarryOut(context, HandleLoadReport(*context.state, request.upstream, asked_at,
                                     has_report ? response.value().body : std::string(),
                                     RuntimeClock::now()));
}

boost::asio::awaitable<void> PollInstanceList(RouterContext& context) {
  Timer timer(context.executor);
  const transport::Endpoint endpoint = ToEndpoint(context.settings.platform.instance_list);
  const HttpRequest request("GET", "/v1/instances");
  while (true) {
    const auto response = co_await transport::Fetch(context.connections, endpoint, request,
                                                    TimeoutsOf(context, kPlatformTimeout),
                                                    fleet::kMaxInstanceListBytes);
    const bool accepted =
        response && response.value().status == 200 &&
        HandleInstanceList(*context.state, response.value().body, RuntimeClock::now());
    context.metrics.Count("geranium_instance_list_reads_total",
                          {{"result", accepted ? "accepted" : "failed"}});
    timer.expires_after(context.settings.platform.instance_list_period);
    co_await timer.async_wait(kAwaitTuple);
  }
}

}  // namespace geraniumspread::router::detail
