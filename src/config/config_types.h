#ifndef CONFIG_CONFIG_TYPES_H_
#define CONFIG_CONFIG_TYPES_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "common/common_types.h"

// The configuration written by operators: workspaces, model pools, services, failure
// domains and fleet-wide settings. All lists are sorted by name, so equal
// configurations are equal structs and serialise to equal bytes.
namespace geraniumspread::config {

// An inclusive range of allowed values.
template <typename T>
struct ValueRange {
  T min;
  T max;

  constexpr bool Contains(T value) const { return value >= this->min && value <= this->max; }
};

inline constexpr std::size_t kMaxWorkspaces = 50'000;
inline constexpr std::size_t kMaxPools = 128;
inline constexpr std::size_t kMaxServices = 128;
inline constexpr std::size_t kMaxFailureDomains = 64;
inline constexpr std::size_t kMaxAllowedModels = 64;     // per workspace
inline constexpr std::size_t kMaxRepeatableRules = 32;   // per service
inline constexpr std::size_t kMaxNameLength = 64;        // bytes
inline constexpr std::size_t kMaxModelNameLength = 128;  // bytes
inline constexpr std::size_t kMaxPathLength = 256;       // bytes

inline constexpr ValueRange<std::uint32_t> kWeightRange{1, 10'000};
// 0 suspends a workspace.
inline constexpr ValueRange<std::uint32_t> kConcurrencyLimitRange{0, 1'000'000};
inline constexpr ValueRange<double> kRequestsPerSecondRange{0, 1'000'000};
inline constexpr ValueRange<double> kLoadMultipleRange{1, 10};
inline constexpr ValueRange<std::uint32_t> kColdLimitRange{1, 100'000};
inline constexpr ValueRange<std::uint32_t> kCapacityRange{1, 100'000};
inline constexpr ValueRange<std::uint32_t> kConcurrencyPerUpstreamRange{1, 100'000};
inline constexpr ValueRange<std::chrono::milliseconds> kServiceTimeoutRange{
    std::chrono::milliseconds(10), std::chrono::hours(1)};
inline constexpr ValueRange<std::chrono::milliseconds> kLeaseTermRange{
    std::chrono::milliseconds(500), std::chrono::seconds(60)};
inline constexpr ValueRange<std::chrono::milliseconds> kReturnRampRange{
    std::chrono::milliseconds(0), std::chrono::hours(1)};
inline constexpr ValueRange<std::uint32_t> kRetryBudgetRange{0, 100};
inline constexpr ValueRange<std::uint32_t> kQuarantineDeathsRange{1, 10};
inline constexpr ValueRange<std::chrono::milliseconds> kQuarantineTimeRange{std::chrono::seconds(1),
                                                                            std::chrono::hours(24)};
inline constexpr ValueRange<std::chrono::milliseconds> kTicketExpiryRange{std::chrono::seconds(10),
                                                                          std::chrono::hours(24)};
inline constexpr ValueRange<std::chrono::milliseconds> kStopDeadlineRange{std::chrono::seconds(1),
                                                                          std::chrono::hours(1)};
// The largest version. Versions start at 1; 0 stands for "no configuration".
inline constexpr std::uint64_t kMaxVersion = (std::uint64_t{1} << 53U) - 1;

// A customer and its limits. Limits apply to the whole fleet; each router enforces its
// share of them.
struct Workspace {
  std::string name;
  std::uint32_t weight = 1;             // share in weighted fair queueing
  std::uint32_t concurrency_limit = 1;  // requests in flight
  double requests_per_second = 1;       // in steps of 0.01
  bool allows_all_models = false;
  std::vector<std::string> allowed_models;                  // sorted; empty when all are allowed
  PriorityClass max_priority = PriorityClass::kSuggestion;  // most urgent class it may ask for

  bool operator==(const Workspace&) const = default;
};

// Model runners that stay loaded with one model, adapter and version.
struct ModelPool {
  std::string name;  // equals `pool` of the instances in the platform's list
  std::string model;
  std::string adapter;  // empty: the base model
  std::string version;
  std::string role;              // passed on in orders to engines
  double load_multiple = 1.25;   // in steps of 0.01
  std::uint32_t cold_limit = 1;  // requests in flight per cold runner, summed over all routers
  std::uint32_t capacity = 1;    // requests in flight per warm runner

  bool operator==(const ModelPool&) const = default;
};

// A method and a path of calls that may be sent more than once, for example in a retry.
struct RepeatableRule {
  std::string method;      // upper case
  std::string path;        // starts with '/'
  bool is_prefix = false;  // written with a trailing '*' in the sheet

  auto operator<=>(const RepeatableRule&) const = default;
};

// Plain service instances behind one name. Calls that match no rule are non-repeatable
// and need a ticket.
struct Service {
  std::string name;                        // equals `pool` of the instances in the platform's list
  std::vector<RepeatableRule> repeatable;  // sorted
  std::chrono::milliseconds timeout{std::chrono::seconds(10)};
  std::uint32_t concurrency_per_upstream = 1;

  bool operator==(const Service&) const = default;
};

struct FailureDomain {
  std::string name;
  std::string region;
  bool in_service = true;

  bool operator==(const FailureDomain&) const = default;
};

// Fleet-wide settings. A setting without a row in the sheet has its default value.
struct FleetSettings {
  std::chrono::milliseconds lease_term{std::chrono::seconds(3)};
  std::chrono::milliseconds return_ramp{std::chrono::seconds(30)};
  std::uint32_t retry_budget_percent = 10;  // of requests
  std::uint32_t quarantine_deaths = 2;
  std::chrono::milliseconds quarantine_time{std::chrono::minutes(10)};
  std::chrono::milliseconds ticket_expiry{std::chrono::minutes(10)};
  std::chrono::milliseconds stop_deadline{std::chrono::minutes(2)};

  bool operator==(const FleetSettings&) const = default;
};

struct Configuration {
  std::uint64_t version = 0;
  FleetSettings settings;
  std::vector<FailureDomain> failure_domains;
  std::vector<ModelPool> pools;
  std::vector<Service> services;
  std::vector<Workspace> workspaces;

  bool operator==(const Configuration&) const = default;
};

// Return nullptr if there is no entry with that name. O(log n).
const Workspace* FindWorkspace(const Configuration& configuration, std::string_view name);
const ModelPool* FindPool(const Configuration& configuration, std::string_view name);
const Service* FindService(const Configuration& configuration, std::string_view name);
const FailureDomain* FindFailureDomain(const Configuration& configuration, std::string_view name);

// The model name that callers send: `model`, or `model:adapter` for a pool with
// an adapter.
std::string ServedModelName(const ModelPool& pool);
// Returns the pools that serve this name, sorted by pool name. Each has another role.
std::vector<const ModelPool*> FindPoolsServing(const Configuration& configuration,
                                               std::string_view served_model_name);
// True if the workspace allows `served_model_name` or the name of its base model.
bool AllowsModel(const Workspace& workspace, std::string_view served_model_name);
// True if a call may be sent more than once. `path` is the path below the service's
// name, with or without a query. A path that isn't in plain form (".", ".." or empty
// segments, percent-escaped dots, slashes or backslashes) matches no rule except the
// one for every path, since the service could interpret it as another path.
bool IsRepeatable(const Service& service, std::string_view method, std::string_view path);
// True if the domain may receive new work. False for an unknown domain.
bool IsInService(const Configuration& configuration, std::string_view failure_domain);

}  // namespace geraniumspread::config

#endif  // CONFIG_CONFIG_TYPES_H_
