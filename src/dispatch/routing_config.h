#ifndef DISPATCH_ROUTING_CONFIG_H_
#define DISPATCH_ROUTING_CONFIG_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "dispatch/dispatch_types.h"

// The operators' configuration in the form that request handling uses.
namespace geraniumspread::dispatch {

struct WeightedService {
  std::string service;
  double weight = 1;
};

struct Route {
  std::string name;
  std::string host;
  // Begins and ends with a slash.
  std::string path_prefix;
  Repeatability repeatability = Repeatability::kNonRepeatable;
  bool is_stream = false;
  // Requests need no API key.
  bool is_public = false;
  // Maximum time until the caller gets a response.
  Duration timeout = std::chrono::seconds(30);
  // A response counts as on time within this; for streams, the first event does.
  Duration latency_goal = std::chrono::seconds(1);
  // Maximum time between two events that still counts as on time.
  Duration pause_goal = std::chrono::seconds(1);
  // 0 is the most urgent.
  int priority = 0;
  // Maximum number of upstreams to which one request is sent.
  std::uint32_t max_attempts = 1;
  std::vector<WeightedService> services;
};

struct ServiceRules {
  std::string name;
  // Path at which upstreams answer a GET at once. Empty if they have none.
  std::string health_path;
  // Requests per second that a cold upstream can handle; 0 means no cold limit.
  double cold_requests_per_second = 0;
  bool is_engine = false;
  // Capacity of an engine's prompt cache in tokens.
  std::uint64_t cache_tokens = 0;
  // The tightest latency goal among the routes to the service.
  Duration tightest_goal{0};
};

struct Workspace {
  std::string name;
  // Overrides the priority of the route.
  std::optional<int> priority;
};

struct CallerLimits {
  std::uint32_t max_header_bytes = 16 * 1024;
  std::uint64_t max_body_bytes = std::uint64_t{4} << 20U;
  Duration header_timeout = std::chrono::seconds(3);
  Duration idle_timeout = std::chrono::seconds(15);
};

struct RoutingConfig {
  std::uint64_t version = 0;
  // Keyed by host, then by path prefix.
  std::unordered_map<std::string, std::map<std::string, Route, std::less<>>> routes;
  std::unordered_map<std::string, ServiceRules> services;
  // Keyed by API key. If there are no workspaces, requests need no key.
  std::unordered_map<std::string, Workspace> keys;
  bool has_workspaces = false;
  CallerLimits limits;
};

// Sets the tightest latency goal of each service.
void SetTightestGoals(RoutingConfig& config);
// Returns the route with the longest prefix of the path, or null. The query string is
// ignored.
const Route* FindRoute(const RoutingConfig& config, std::string_view host, std::string_view target);
const Workspace* FindWorkspace(const RoutingConfig& config, std::string_view key);
// Chooses the service of a request by weight. The choice is deterministic per request
// id.
std::string_view ChooseService(const Route& route, std::string_view request_id);

}  // namespace geraniumspread::dispatch

#endif  // DISPATCH_ROUTING_CONFIG_H_
