#include "router/internal/status_page.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include "config/config_status.h"

namespace geraniumspread::router::detail {
namespace {

namespace json = boost::json;
using transport::HttpResponse;

HttpResponse TextResponse(int status, std::string body) {
  HttpResponse response(status);
  transport::SetHeader(response.headers, "Content-Type", "text/plain; charset=utf-8");
  response.body = std::move(body);
  return response;
}

std::string_view StateName(const RouterContext& context, TimePoint now) {
  if (context.state->draining) {
    return "draining";
  }
  return IsServing(*context.state, now) ? "serving" : "starting";
}

// Ready: serving, with a share of the workspace limits.
bool IsReady(const RouterContext& context, TimePoint now) {
  return !context.state->draining && IsServing(*context.state, now) &&
         admission::ShareReady(context.state->limits, now);
}

json::array DescribeUpstreams(const RouterState& state, TimePoint now) {
  json::array rows;
  for (const auto& [id, row] : state.upstreams) {
    if (row.index == placement::kNoUpstream) {
      continue;
    }
    const std::int32_t limit = placement::UpstreamLimit(state.placement, row.index);
    const auto allowance = ownership::AllowedInFlight(state.ownership, row.key, limit, now);
    rows.push_back(json::object{{"id", id},
                                {"owned", ownership::HoldsLease(state.ownership, row.key, now)},
                                {"basis", ownership::ToString(allowance.basis)},
                                {"in_flight", ownership::InFlight(state.ownership, row.key)},
                                {"queued", row.queue.waiting.size()},
                                {"limit", limit},
                                {"cold", placement::IsCold(state.placement, row.index)}});
  }
  return rows;
}

json::array DescribeRouters(const RouterState& state) {
  json::array rows;
  for (const fleet::RouterMember& router : state.membership.routers) {
    rows.push_back(json::object{{"id", router.id},
                                {"failure_domain", router.failure_domain},
                                {"incarnation", router.incarnation},
                                {"state", fleet::ToString(router.state)},
                                {"member", router.member}});
  }
  return rows;
}

HttpResponse DescribeStatus(const RouterContext& context, TimePoint now) {
  const RouterState& state = *context.state;
  const json::object status = {
      {"instance", state.identity.id},
      {"failure_domain", state.identity.failure_domain},
      {"incarnation", state.identity.incarnation},
      {"state", StateName(context, now)},
      {"configuration",
       json::parse(config::SerializeStatus(config::MakeConfigStatus(state.store)))},
      {"upstreams", DescribeUpstreams(state, now)},
      {"routers", DescribeRouters(state)}};
  HttpResponse response;
  transport::SetHeader(response.headers, "Content-Type", "application/json");
  response.body = json::serialize(status);
  return response;
}

void SetOrderGauges(observability::Metrics& metrics, const engines::CommandState& orders) {
  std::uint64_t corrections = 0;
  for (const auto& [engine, progress] : orders.engines) {
    corrections += progress.corrections;
  }
  metrics.SetGauge("geranium_order_corrections", static_cast<double>(corrections));
  metrics.SetGauge("geranium_order_fence_overflows", static_cast<double>(orders.fence_overflows));
}

void RefreshGauges(RouterContext& context, TimePoint now) {
  const RouterState& state = *context.state;
  std::int64_t queued = 0;
  std::int64_t in_flight = 0;
  std::int64_t owned = 0;
  for (const auto& [id, row] : state.upstreams) {
    queued += static_cast<std::int64_t>(row.queue.waiting.size());
    in_flight += ownership::InFlight(state.ownership, row.key);
    owned += ownership::HoldsLease(state.ownership, row.key, now) ? 1 : 0;
  }
  observability::Metrics& metrics = context.metrics;
  metrics.SetGauge("geranium_config_version", static_cast<double>(state.store.in_force.version));
  metrics.SetGauge("geranium_queued_requests", static_cast<double>(queued));
  metrics.SetGauge("geranium_upstream_in_flight_requests", static_cast<double>(in_flight));
  metrics.SetGauge("geranium_owned_upstreams", static_cast<double>(owned));
  metrics.SetGauge("geranium_upstream_deaths", static_cast<double>(state.upstream_deaths));
  SetOrderGauges(metrics, state.engine_orders.table);
  metrics.SetGauge("geranium_config_alarms", static_cast<double>(state.store.alarms.size()));
  metrics.SetGauge("geranium_tickets_in_use", static_cast<double>(state.tickets.entries.size()));
  metrics.SetGauge("geranium_control_frames_dropped",
                   static_cast<double>(context.frames.DroppedFrames()));
}

}  // namespace

std::optional<HttpResponse> ServeStatus(RouterContext& context, std::string_view target) {
  const TimePoint now = RuntimeClock::now();
  if (target == "/healthz") {
    return TextResponse(200, "ok\n");
  }
  if (target == "/readyz") {
    const bool ready = IsReady(context, now);
    return TextResponse(ready ? 200 : 503,
                        ready ? "ready\n" : std::string(StateName(context, now)) + "\n");
  }
  if (target == "/metrics") {
    RefreshGauges(context, now);
    return TextResponse(200, context.metrics.Render());
  }
  if (target == "/status") {
    return DescribeStatus(context, now);
  }
  return std::nullopt;
}

}  // namespace geraniumspread::router::detail
