#include <algorithm>

#include "scenario/internal/fleet_internal.h"

namespace geraniumspread::scenario {

std::int64_t RunningPeakCold(const Fleet& fleet, Duration after) {
  std::int64_t peak = 0;
  for (const ColdArrival& arrival : fleet.cold_arrivals) {
    if (arrival.cold_for >= after) {
      peak = std::max(peak, arrival.running);
    }
  }
  return peak;
}

std::int64_t LoadExcess(const Fleet& fleet, Duration span) {
  std::int64_t most = 0;
  for (const auto& [at, excess] : fleet.load_excess) {
    if (fleet.now - at <= span) {
      most = std::max(most, excess);
    }
  }
  return most;
}

std::int64_t NewWorkIn(const Fleet& fleet, const std::string& domain, Duration after) {
  const auto out = fleet.taken_out_at.find(domain);
  if (out == fleet.taken_out_at.end()) {
    throw ScenarioError("failure domain " + domain + " was never taken out");
  }
  const auto back = fleet.brought_back_at.find(domain);
  const TimePoint until = back == fleet.brought_back_at.end() ? TimePoint::max() : back->second;
  return std::ranges::count_if(fleet.starts, [&](const StartedRun& run) {
    return run.domain == domain && run.at >= out->second + after && run.at < until;
  });
}

std::int64_t NewWorkAt(const Fleet& fleet, const std::string& engine, Duration after) {
  const Upstream& upstream = detail::FindUpstream(fleet, engine);
  if (upstream.left_at == TimePoint::max()) {
    throw ScenarioError(engine + " is not leaving");
  }
  return std::ranges::count_if(fleet.starts, [&](const StartedRun& run) {
    return run.upstream == engine && run.at >= upstream.left_at + after;
  });
}

std::string OwnerOf(const Fleet& fleet, const std::string& engine) {
  const auto key = ownership::MakeUpstreamKey(detail::FindUpstream(fleet, engine).id);
  for (const RouterNode& node : fleet.routers) {
    if (node.state && ownership::HoldsLease(node.state->ownership, key, fleet.now)) {
      return node.identity.id;
    }
  }
  return {};
}

std::string ExplainLimit(const Fleet& fleet, const std::string& engine) {
  const std::string owner = OwnerOf(fleet, engine);
  if (owner.empty()) {
    return "no owner";
  }
  const router::RouterState& state = *fleet.routers[detail::FindRouter(fleet, owner)].state;
  const auto row = state.upstreams.find(engine);
  if (row == state.upstreams.end()) {
    return owner + " does not know the engine";
  }
  const auto index = row->second.index;
  const std::int32_t limit = placement::UpstreamLimit(state.placement, index);
  const auto allowance =
      ownership::AllowedInFlight(state.ownership, row->second.key, limit, fleet.now);
  return owner + ": " + std::string(ownership::ToString(allowance.basis)) + ", limit " +
         std::to_string(limit) + (placement::IsCold(state.placement, index) ? " (cold)" : "") +
         ", left to silent members " + std::to_string(allowance.left_for_reserves) + ", foreign " +
         std::to_string(allowance.foreign) + ", own " +
         std::to_string(ownership::InFlight(state.ownership, row->second.key));
}

std::int64_t Queued(const Fleet& fleet) {
  return std::ranges::count_if(fleet.attempts,
                               [](const auto& entry) { return !entry.second.granted; });
}

double ShareIn(const Fleet& fleet, const std::string& domain, Duration span) {
  std::int64_t all = 0;
  std::int64_t inside = 0;
  for (const StartedRun& run : fleet.starts) {
    if (fleet.now - run.at <= span) {
      ++all;
      inside += run.domain == domain ? 1 : 0;
    }
  }
  return all == 0 ? 0 : static_cast<double>(inside) / static_cast<double>(all);
}

bool IsInForceEverywhere(const Fleet& fleet, std::uint64_t version) {
  return std::ranges::all_of(fleet.routers, [version](const RouterNode& node) {
    return !node.state || detail::VersionInForce(node) == version;
  });
}

double SecondsToForce(const Fleet& fleet, std::uint64_t version) {
  const auto found = fleet.in_force_at.find(version);
  if (found == fleet.in_force_at.end()) {
    return -1;
  }
  const Duration time = found->second - fleet.service.published_at.at(version);
  return std::chrono::duration<double>(time).count();
}

}  // namespace geraniumspread::scenario
