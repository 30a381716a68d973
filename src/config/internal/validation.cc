#include "config/internal/validation.h"

#include <algorithm>
#include <set>
#include <string>
#include <string_view>

#include <boost/outcome/try.hpp>

#include "config/value_text.h"

namespace geraniumspread::config {
namespace {

using Check = ConfigResult<void>;

Check Valid() {
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

ConfigError Invalid(std::string_view kind, std::string_view name, std::string_view reason) {
  std::string message(kind);
  if (!name.empty()) {
    message.append(" \"").append(name).append("\"");
  }
  return {ConfigErrorCode::kInvalidValue, message.append(": ").append(reason)};
}

// Checks the conditions of one entry and keeps the first failure.
struct EntryCheck {
  std::string_view kind;
  std::string_view name;
  std::string reason;  // of the first condition that fails

  EntryCheck& Require(bool condition, std::string_view failure) {
    if (!condition && this->reason.empty()) {
      this->reason = failure;
    }
    return *this;
  }

  template <typename T>
  EntryCheck& InRange(T value, ValueRange<T> range, std::string_view field) {
    if (!range.Contains(value) && this->reason.empty()) {
      this->reason = std::string(field) + " is out of range";
    }
    return *this;
  }

  Check Result() const {
    return this->reason.empty() ? Valid() : Check(Invalid(this->kind, this->name, this->reason));
  }
};

bool IsInHundredths(double value, ValueRange<double> range) {
  return range.Contains(value) && static_cast<double>(ToHundredths(value)) / 100 == value;
}

template <typename T>
bool IsSortedWithoutDuplicates(const std::vector<T>& values) {
  return std::ranges::adjacent_find(values, std::greater_equal<>{}) == values.end();
}

template <typename Entry>
Check CheckList(std::string_view kind, std::span<const Entry> entries, std::size_t limit) {
  if (entries.size() > limit) {
    return ConfigError{ConfigErrorCode::kTooLarge, "more than " + std::to_string(limit) +
                                                       " entries of kind " + std::string(kind)};
  }
  const auto misplaced = std::ranges::adjacent_find(
      entries, [](const Entry& left, const Entry& right) { return left.name >= right.name; });
  if (misplaced != entries.end()) {
    return Invalid(kind, std::next(misplaced)->name, "names are not sorted or occur twice");
  }
  return Valid();
}

Check CheckWorkspace(const Workspace& workspace) {
  const auto& models = workspace.allowed_models;
  return EntryCheck{"workspace", workspace.name, {}}
      .Require(IsName(workspace.name), "the name is not valid")
      .InRange(workspace.weight, kWeightRange, "weight")
      .InRange(workspace.concurrency_limit, kConcurrencyLimitRange, "concurrency_limit")
      .Require(IsInHundredths(workspace.requests_per_second, kRequestsPerSecondRange),
               "requests_per_second is out of range")
      .Require(workspace.allows_all_models == models.empty(),
               "allowed_models and allows_all_models contradict each other")
      .Require(models.size() <= kMaxAllowedModels, "too many allowed_models")
      .Require(IsSortedWithoutDuplicates(models), "allowed_models are not sorted or occur twice")
      .Require(std::ranges::all_of(models, IsServedModelName), "an allowed model is not valid")
      .Require(static_cast<int>(workspace.max_priority) < kPriorityClassCount,
               "max_priority is not valid")
      .Result();
}

Check CheckPool(const ModelPool& pool) {
  return EntryCheck{"pool", pool.name, {}}
      .Require(IsName(pool.name), "the name is not valid")
      .Require(IsModelName(pool.model), "the model is not valid")
      .Require(pool.adapter.empty() || IsModelName(pool.adapter), "the adapter is not valid")
      .Require(IsModelName(pool.version), "the version is not valid")
      .Require(IsName(pool.role), "the role is not valid")
      .Require(IsInHundredths(pool.load_multiple, kLoadMultipleRange),
               "load_multiple is out of range")
      .InRange(pool.cold_limit, kColdLimitRange, "cold_limit")
      .InRange(pool.capacity, kCapacityRange, "capacity")
      .Require(pool.cold_limit <= pool.capacity, "cold_limit is larger than capacity")
      .Result();
}

Check CheckService(const Service& service) {
  const auto is_valid_rule = [](const RepeatableRule& rule) {
    return IsMethod(rule.method) && IsServicePath(rule.path) &&
           (!rule.is_prefix || rule.path.ends_with('/'));
  };
  return EntryCheck{"service", service.name, {}}
      .Require(IsName(service.name), "the name is not valid")
      .Require(service.repeatable.size() <= kMaxRepeatableRules, "too many repeatable rules")
      .Require(IsSortedWithoutDuplicates(service.repeatable),
               "repeatable rules are not sorted or occur twice")
      .Require(std::ranges::all_of(service.repeatable, is_valid_rule),
               "a repeatable rule is not valid")
      .InRange(service.timeout, kServiceTimeoutRange, "timeout")
      .InRange(service.concurrency_per_upstream, kConcurrencyPerUpstreamRange,
               "concurrency_per_upstream")
      .Result();
}

Check CheckFailureDomain(const FailureDomain& domain) {
  return EntryCheck{"failure_domain", domain.name, {}}
      .Require(IsName(domain.name), "the name is not valid")
      .Require(IsName(domain.region), "the region is not valid")
      .Result();
}

Check CheckSettings(const FleetSettings& settings) {
  return EntryCheck{"setting", "", {}}
      .InRange(settings.lease_term, kLeaseTermRange, "lease_term")
      .InRange(settings.return_ramp, kReturnRampRange, "return_ramp")
      .InRange(settings.retry_budget_percent, kRetryBudgetRange, "retry_budget_percent")
      .InRange(settings.quarantine_deaths, kQuarantineDeathsRange, "quarantine_deaths")
      .InRange(settings.quarantine_time, kQuarantineTimeRange, "quarantine_time")
      .InRange(settings.ticket_expiry, kTicketExpiryRange, "ticket_expiry")
      .InRange(settings.stop_deadline, kStopDeadlineRange, "stop_deadline")
      .Result();
}

// Two pools with the same served name and role would make the pool of a request
// ambiguous.
Check CheckServedNames(std::span<const ModelPool> pools) {
  std::set<std::string> served;
  for (const ModelPool& pool : pools) {
    if (!served.insert(ServedModelName(pool) + " " + pool.role).second) {
      return Invalid("pool", pool.name, "another pool serves the same model, adapter and role");
    }
  }
  return Valid();
}

// The `pool` of an instance names a model pool or a service, so the two can't share a
// name.
Check CheckPoolAndServiceNames(std::span<const ModelPool> pools,
                               std::span<const Service> services) {
  for (const Service& service : services) {
    if (std::ranges::binary_search(pools, service.name, std::less<>{}, &ModelPool::name)) {
      return Invalid("service", service.name, "a pool has the same name");
    }
  }
  return Valid();
}

template <typename Entry>
Check CheckEach(std::span<const Entry> entries, Check (*check)(const Entry&)) {
  for (const Entry& entry : entries) {
    BOOST_OUTCOME_TRYV(check(entry));
  }
  return Valid();
}

// Prevents an empty export from clearing the fleet's configuration.
Check CheckNotEmpty(bool is_empty, std::string_view what) {
  return is_empty ? Check(Invalid("configuration", "", std::string("no ") + std::string(what)))
                  : Valid();
}

}  // namespace

ConfigResult<void> ValidateVersion(std::uint64_t version) {
  if (version == 0 || version > kMaxVersion) {
    return Invalid("version", "", "must be between 1 and " + std::to_string(kMaxVersion));
  }
  return Valid();
}

ConfigResult<void> ValidateFleetPart(const FleetSettings& settings,
                                     std::span<const FailureDomain> failure_domains,
                                     std::span<const ModelPool> pools,
                                     std::span<const Service> services) {
  BOOST_OUTCOME_TRYV(CheckSettings(settings));
  BOOST_OUTCOME_TRYV(CheckNotEmpty(failure_domains.empty(), "failure domain"));
  BOOST_OUTCOME_TRYV(CheckNotEmpty(pools.empty() && services.empty(), "pool or service"));
  BOOST_OUTCOME_TRYV(CheckList("failure_domain", failure_domains, kMaxFailureDomains));
  BOOST_OUTCOME_TRYV(CheckEach(failure_domains, &CheckFailureDomain));
  BOOST_OUTCOME_TRYV(CheckList("pool", pools, kMaxPools));
  BOOST_OUTCOME_TRYV(CheckEach(pools, &CheckPool));
  BOOST_OUTCOME_TRYV(CheckServedNames(pools));
  BOOST_OUTCOME_TRYV(CheckList("service", services, kMaxServices));
  BOOST_OUTCOME_TRYV(CheckEach(services, &CheckService));
  return CheckPoolAndServiceNames(pools, services);
}

ConfigResult<void> ValidateWorkspaces(std::span<const Workspace> workspaces) {
  BOOST_OUTCOME_TRYV(CheckNotEmpty(workspaces.empty(), "workspace"));
  BOOST_OUTCOME_TRYV(CheckList("workspace", workspaces, kMaxWorkspaces));
  return CheckEach(workspaces, &CheckWorkspace);
}

ConfigResult<void> ValidateShardReferences(std::span<const ShardReference> shards) {
  std::size_t bytes = 0;
  std::set<std::string_view> digests;
  for (const ShardReference& shard : shards) {
    if (!IsDigest(shard.digest) || !digests.insert(shard.digest).second) {
      return Invalid("shard", shard.digest, "the digest is not valid or occurs twice");
    }
    if (shard.bytes > kMaxShardBytes || shard.workspaces > kMaxWorkspaces) {
      return ConfigError{ConfigErrorCode::kTooLarge, "shard \"" + shard.digest + "\" is too large"};
    }
    bytes += shard.bytes;
  }
  BOOST_OUTCOME_TRYV(CheckNotEmpty(shards.empty(), "shard"));
  if (shards.size() > kMaxShards || bytes > kMaxConfigurationBytes) {
    return ConfigError{ConfigErrorCode::kTooLarge, "the shards together are too large"};
  }
  return Valid();
}

ConfigResult<void> ValidateConfiguration(const Configuration& configuration) {
  BOOST_OUTCOME_TRYV(ValidateVersion(configuration.version));
  BOOST_OUTCOME_TRYV(ValidateFleetPart(configuration.settings, configuration.failure_domains,
                                       configuration.pools, configuration.services));
  return ValidateWorkspaces(configuration.workspaces);
}

}  // namespace geraniumspread::config
