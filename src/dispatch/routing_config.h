#ifndef DISPATCH_ROUTING_CONFIG_H_
#define DISPATCH_ROUTING_CONFIG_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "dispatch/dispatch_types.h"

// The operators' configuration as request handling needs it.
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
  // Longest time that a caller is kept waiting.
  Duration timeout = std::chrono::seconds(30);
  // Time within which an answer counts as on time; for streams, the first event.
  Duration latency_goal = std::chrono::seconds(1);
  // Longest pause between two events that counts as on time.
  Duration pause_goal = std::chrono::seconds(1);
  // 0 is the most urgent.
  int priority = 0;
  // Upstreams to which one request may be sent.
  std::uint32_t max_attempts = 1;
  std::vector<WeightedService> services;
};

struct ServiceRules {
  std::string name;
  // Requests that a cold upstream bears in a second; 0 without a cold limit.
  double cold_requests_per_second = 0;
  bool is_engine = false;
  // Prompt tokens that an engine keeps.
  std::uint64_t cache_tokens = 0;
};

struct Workspace {
  std::string name;
  // Goes before the priority of the route.
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
  // By host, then by path prefix.
  std::unordered_map<std::string, std::map<std::string, Route, std::less<>>> routes;
  std::unordered_map<std::string, ServiceRules> services;
  // By API key. Without workspaces no request needs a key.
  std::unordered_map<std::string, Workspace> keys;
  bool has_workspaces = false;
  CallerLimits limits;
};

// The route with the longest prefix that begins the path, or null. The query
// does not take part.
const Route* FindRoute(const RoutingConfig& config, std::string_view host, std::string_view target);
const Workspace* FindWorkspace(const RoutingConfig& config, std::string_view key);
// Draws the service of one request by weight. The same request id always gets
// the same service.
std::string_view ChooseService(const Route& route, std::string_view request_id);

}  // namespace geraniumspread::dispatch

#endif  // DISPATCH_ROUTING_CONFIG_H_
