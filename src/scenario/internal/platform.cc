#include <algorithm>
#include <boost/json.hpp>

#include "scenario/internal/fleet_internal.h"

// The instance list and the configuration service.
namespace geraniumspread::scenario {
namespace detail {
namespace {

namespace json = boost::json;

constexpr Duration kWatchPoll = std::chrono::milliseconds(5);

json::object InstanceEntry(std::string_view id,
                           std::string_view domain,
                           std::uint64_t incarnation) {
  return {{"id", id},
          {"failure_domain", domain},
          {"incarnation", incarnation},
          {"address", "127.0.0.1"},
          {"port", 1},
          {"peer_port", 2},
          {"control_port", 3},
          {"state", "live"}};
}

// Answers a call when the service has a value, or at the end of its wait.
struct Watch {
  std::size_t router = 0;
  fleet::ServiceCall call;
  TimePoint until;
};

fleet::ServiceResponse ManifestAnswer(const ConfigService& service, const Watch& watch) {
  const std::uint64_t newest = service.frozen_version.value_or(service.versions.rbegin()->first);
  if (newest <= watch.call.after_version) {
    return {watch.call.call_id, fleet::ServiceStatus::kNotModified, {}};
  }
  return {watch.call.call_id, fleet::ServiceStatus::kValue,
          service.versions.at(newest).manifest_bytes};
}

fleet::ServiceResponse AnswerFor(const ConfigService& service, const Watch& watch) {
  if (service.down) {
    return {watch.call.call_id, fleet::ServiceStatus::kFailed, {}};
  }
  if (watch.call.key == "manifest") {
    return ManifestAnswer(service, watch);
  }
  const auto shard = service.shards.find(watch.call.key);
  if (shard == service.shards.end()) {
    return {watch.call.call_id, fleet::ServiceStatus::kNotFound, {}};
  }
  return {watch.call.call_id, fleet::ServiceStatus::kValue, shard->second};
}

void AnswerWatch(Fleet& fleet, const Watch& watch) {
  const fleet::ServiceResponse answer = AnswerFor(fleet.service, watch);
  if (answer.status == fleet::ServiceStatus::kNotModified && fleet.now < watch.until) {
    PostEvent(fleet, kWatchPoll, [&fleet, watch] { AnswerWatch(fleet, watch); });
    return;
  }
  if (LinkOf(fleet, fleet.routers[watch.router], kPlatform).cut) {
    return;  // the caller's own timeout ends the call
  }
  PostToRouter(fleet, watch.router, kHop, [&fleet, watch, answer](RouterNode& node) {
    CarryOut(fleet, watch.router, router::HandleServiceAnswer(*node.state, answer, fleet.now));
  });
}

}  // namespace

std::string InstanceListText(const Fleet& fleet, const RouterNode& viewer) {
  json::array instances;
  for (const RouterNode& node : fleet.routers) {
    if (node.state && !viewer.hidden.contains(node.identity.id)) {
      json::object entry =
          InstanceEntry(node.identity.id, node.identity.failure_domain, node.identity.incarnation);
      entry["kind"] = "router";
      instances.push_back(std::move(entry));
    }
  }
  for (const Upstream& upstream : fleet.upstreams) {
    if (!upstream.listed || viewer.hidden.contains(upstream.id)) {
      continue;
    }
    const bool is_engine = upstream.kind == UpstreamKind::kModelEngine;
    json::object entry = InstanceEntry(upstream.id, upstream.domain, upstream.incarnation);
    entry["kind"] = is_engine ? "model_engine" : "plain_service";
    entry["pool"] = is_engine ? kEnginePool : kServicePool;
    entry["state"] = upstream.leaving ? "leaving" : "live";
    instances.push_back(std::move(entry));
  }
  return json::serialize(
      json::object{{"revision", fleet.list_revision}, {"instances", std::move(instances)}});
}

void CallService(Fleet& fleet, std::size_t router, const fleet::ServiceCall& call) {
  if (LinkOf(fleet, fleet.routers[router], kPlatform).cut) {
    return;
  }
  const Watch watch{router, call, fleet.now + call.wait};
  PostEvent(fleet, kHop, [&fleet, watch] { AnswerWatch(fleet, watch); });
}

}  // namespace detail

std::uint64_t Publish(Fleet& fleet, const ConfigChange& change) {
  config::Configuration& next = fleet.configuration;
  config::ModelPool& pool = next.pools.front();
  next.version = change.version < 0 ? next.version + 1 : static_cast<std::uint64_t>(change.version);
  if (change.cold_limit >= 0) {
    pool.cold_limit = static_cast<std::uint32_t>(change.cold_limit);
  }
  if (change.capacity >= 0) {
    pool.capacity = static_cast<std::uint32_t>(change.capacity);
  }
  if (change.load_multiple >= 0) {
    pool.load_multiple = change.load_multiple;
  }
  auto compiled = config::Compile(next);
  if (!compiled) {
    throw ScenarioError("the configuration is invalid: " + compiled.error().message);
  }
  for (const config::CompiledShard& shard : compiled.value().shards) {
    fleet.service.shards["shard/" + shard.digest] = shard.bytes;
  }
  fleet.service.versions.insert_or_assign(next.version, std::move(compiled.value()));
  fleet.service.published_at.insert_or_assign(next.version, fleet.now);
  return next.version;
}

std::uint64_t SetDomain(Fleet& fleet, const std::string& domain, bool in_service) {
  const auto found =
      std::ranges::find(fleet.configuration.failure_domains, domain, &config::FailureDomain::name);
  if (found == fleet.configuration.failure_domains.end()) {
    throw ScenarioError("there is no failure domain " + domain);
  }
  found->in_service = in_service;
  if (in_service) {
    fleet.brought_back_at[domain] = fleet.now;
  } else {
    fleet.taken_out_at[domain] = fleet.now;
    fleet.brought_back_at.erase(domain);
  }
  return Publish(fleet, {});
}

}  // namespace geraniumspread::scenario
