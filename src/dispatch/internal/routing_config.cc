#include "dispatch/routing_config.h"

#include <algorithm>

#include "common/hash.h"

namespace geraniumspread::dispatch {
namespace {

constexpr std::uint64_t kServiceSeed = 0x5e41;

std::string_view PathOf(std::string_view target) {
  return target.substr(0, target.find('?'));
}

}  // namespace

const Route* FindRoute(const RoutingConfig& config,
                       std::string_view host,
                       std::string_view target) {
  const auto by_host = config.routes.find(std::string(host.substr(0, host.find(':'))));
  if (by_host == config.routes.end()) {
    return nullptr;
  }
  std::string_view path = PathOf(target);
  // Prefixes end with a slash, so only substrings that end after a slash can match.
  for (auto end = path.rfind('/'); end != std::string_view::npos; end = path.rfind('/')) {
    const auto route = by_host->second.find(path.substr(0, end + 1));
    if (route != by_host->second.end()) {
      return &route->second;
    }
    if (end == 0) {
      break;
    }
    path = path.substr(0, end);
  }
  return nullptr;
}

void SetTightestGoals(RoutingConfig& config) {
  for (const auto& [host, by_prefix] : config.routes) {
    for (const auto& [prefix, route] : by_prefix) {
      for (const WeightedService& share : route.services) {
        if (const auto service = config.services.find(share.service);
            service != config.services.end()) {
          Duration& tightest = service->second.tightest_goal;
          tightest =
              tightest == Duration{0} ? route.latency_goal : std::min(tightest, route.latency_goal);
        }
      }
    }
  }
}

const Workspace* FindWorkspace(const RoutingConfig& config, std::string_view key) {
  const auto found = config.keys.find(std::string(key));
  return found == config.keys.end() ? nullptr : &found->second;
}

std::string_view ChooseService(const Route& route, std::string_view request_id) {
  double total = 0;
  for (const WeightedService& share : route.services) {
    total += share.weight;
  }
  constexpr double kHashRange = 18446744073709551616.0;  // 2^64
  double point = total * (static_cast<double>(StableHash(request_id, kServiceSeed)) / kHashRange);
  for (const WeightedService& share : route.services) {
    if (point < share.weight) {
      return share.service;
    }
    point -= share.weight;
  }
  return route.services.empty() ? std::string_view() : route.services.back().service;
}

}  // namespace geraniumspread::dispatch
