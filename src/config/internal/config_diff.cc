#include "config/config_diff.h"

#include <algorithm>
#include <array>
#include <map>
#include <set>
#include <span>
#include <utility>

#include "config/value_text.h"

namespace geraniumspread::config {
namespace {

// One value of an entry in the text form of the sheet.
struct FieldText {
  std::string_view field;
  std::string text;
};

using FieldTexts = std::vector<FieldText>;

template <typename Items, typename Format>
std::string Join(const Items& items, Format format) {
  std::string text;
  for (const auto& item : items) {
    text += (text.empty() ? "" : "|") + format(item);
  }
  return text;
}

FieldTexts Describe(const Workspace& workspace) {
  const std::string models =
      workspace.allows_all_models
          ? "*"
          : Join(workspace.allowed_models, [](const std::string& model) { return model; });
  return {{"weight", std::to_string(workspace.weight)},
          {"concurrency_limit", std::to_string(workspace.concurrency_limit)},
          {"requests_per_second", FormatDecimal(workspace.requests_per_second)},
          {"allowed_models", models},
          {"max_priority", std::string(ToString(workspace.max_priority))}};
}

FieldTexts Describe(const ModelPool& pool) {
  return {{"model", pool.model},
          {"adapter", pool.adapter},
          {"version", pool.version},
          {"role", pool.role},
          {"load_multiple", FormatDecimal(pool.load_multiple)},
          {"cold_limit", std::to_string(pool.cold_limit)},
          {"capacity", std::to_string(pool.capacity)}};
}

FieldTexts Describe(const Service& service) {
  const std::string rules =
      service.repeatable.empty() ? "none" : Join(service.repeatable, &FormatRepeatableRule);
  return {{"repeatable", rules},
          {"timeout", FormatDuration(service.timeout)},
          {"concurrency_per_upstream", std::to_string(service.concurrency_per_upstream)}};
}

FieldTexts Describe(const FailureDomain& domain) {
  return {{"region", domain.region}, {"state", domain.in_service ? "in" : "out"}};
}

FieldTexts Describe(const FleetSettings& settings) {
  return {{"lease_term", FormatDuration(settings.lease_term)},
          {"return_ramp", FormatDuration(settings.return_ramp)},
          {"retry_budget_percent", std::to_string(settings.retry_budget_percent)},
          {"quarantine_deaths", std::to_string(settings.quarantine_deaths)},
          {"quarantine_time", FormatDuration(settings.quarantine_time)},
          {"ticket_expiry", FormatDuration(settings.ticket_expiry)},
          {"stop_deadline", FormatDuration(settings.stop_deadline)}};
}

void DiffSettings(const FleetSettings& before,
                  const FleetSettings& after,
                  std::vector<ConfigChange>& changes) {
  const FieldTexts old_texts = Describe(before);
  const FieldTexts new_texts = Describe(after);
  for (std::size_t index = 0; index < old_texts.size(); ++index) {
    if (old_texts[index].text != new_texts[index].text) {
      changes.push_back({EntryKind::kSetting, ChangeKind::kChanged,
                         std::string(old_texts[index].field), "value", old_texts[index].text,
                         new_texts[index].text});
    }
  }
}

template <typename Entry>
void DiffEntry(EntryKind kind,
               const Entry& before,
               const Entry& after,
               std::vector<ConfigChange>& changes) {
  if (before == after) {
    return;
  }
  const FieldTexts old_texts = Describe(before);
  const FieldTexts new_texts = Describe(after);
  for (std::size_t index = 0; index < old_texts.size(); ++index) {
    if (old_texts[index].text != new_texts[index].text) {
      changes.push_back({kind, ChangeKind::kChanged, before.name,
                         std::string(old_texts[index].field), old_texts[index].text,
                         new_texts[index].text});
    }
  }
}

// Walks two lists that are sorted by name.
template <typename Entry>
void DiffLists(EntryKind kind,
               const std::vector<Entry>& before,
               const std::vector<Entry>& after,
               std::vector<ConfigChange>& changes) {
  auto old_entry = before.begin();
  auto new_entry = after.begin();
  while (old_entry != before.end() || new_entry != after.end()) {
    if (new_entry == after.end() ||
        (old_entry != before.end() && old_entry->name < new_entry->name)) {
      changes.push_back({kind, ChangeKind::kRemoved, (old_entry++)->name, "", "", ""});
    } else if (old_entry == before.end() || new_entry->name < old_entry->name) {
      changes.push_back({kind, ChangeKind::kAdded, (new_entry++)->name, "", "", ""});
    } else {
      DiffEntry(kind, *old_entry++, *new_entry++, changes);
    }
  }
}

// --- Risky changes ---

std::set<std::string_view> RegionsInService(const Configuration& configuration) {
  std::set<std::string_view> regions;
  for (const FailureDomain& domain : configuration.failure_domains) {
    if (domain.in_service) {
      regions.insert(domain.region);
    }
  }
  return regions;
}

void FindLostRegions(const Configuration& before,
                     const Configuration& after,
                     std::vector<std::string>& risks) {
  const auto regions_after = RegionsInService(after);
  if (regions_after.empty()) {
    risks.emplace_back("no failure domain stays in service");
    return;
  }
  for (const std::string_view region : RegionsInService(before)) {
    if (!regions_after.contains(region)) {
      risks.push_back("the last failure domain of region \"" + std::string(region) +
                      "\" goes out of service");
    }
  }
}

std::size_t CountUsers(const Configuration& configuration, const ModelPool& pool) {
  const std::string served = ServedModelName(pool);
  return static_cast<std::size_t>(std::ranges::count_if(
      configuration.workspaces,
      [&served](const Workspace& workspace) { return AllowsModel(workspace, served); }));
}

void FindRemovedPools(const Configuration& before,
                      const Configuration& after,
                      std::vector<std::string>& risks) {
  for (const ModelPool& pool : before.pools) {
    if (FindPool(after, pool.name) != nullptr) {
      continue;
    }
    risks.push_back("pool \"" + pool.name + "\" is removed, but " +
                    std::to_string(CountUsers(after, pool)) + " workspace(s) may use its model \"" +
                    ServedModelName(pool) + "\"");
  }
}

template <typename Entry>
void FindRemovedEntries(std::string_view kind,
                        const std::vector<Entry>& before,
                        const std::vector<Entry>& after,
                        std::vector<std::string>& risks) {
  std::size_t count = 0;
  std::string first;
  for (const Entry& entry : before) {
    if (!std::ranges::binary_search(after, entry.name, std::less<>{}, &Entry::name) &&
        count++ == 0) {
      first = entry.name;
    }
  }
  if (count != 0) {
    risks.push_back(std::to_string(count) + " " + std::string(kind) + "(s) are removed, first \"" +
                    first + "\"");
  }
}

struct LimitCut {
  std::string_view kind;
  std::string_view name;
  std::string_view field;

  void Check(double before, double after, std::vector<std::string>& risks) const {
    if (after * 2 < before) {
      risks.push_back(std::string(this->kind) + " \"" + std::string(this->name) +
                      "\": " + std::string(this->field) + " is cut by more than half, from " +
                      FormatDecimal(before) + " to " + FormatDecimal(after));
    }
  }
};

void FindWorkspaceCuts(const Workspace& before,
                       const Workspace& after,
                       std::vector<std::string>& risks) {
  LimitCut{"workspace", before.name, "concurrency_limit"}.Check(before.concurrency_limit,
                                                                after.concurrency_limit, risks);
  LimitCut{"workspace", before.name, "requests_per_second"}.Check(before.requests_per_second,
                                                                  after.requests_per_second, risks);
}

void FindLimitCuts(const Configuration& before,
                   const Configuration& after,
                   std::vector<std::string>& risks) {
  for (const ModelPool& pool : before.pools) {
    if (const ModelPool* now_pool = FindPool(after, pool.name)) {
      LimitCut{"pool", pool.name, "capacity"}.Check(pool.capacity, now_pool->capacity, risks);
    }
  }
  for (const Service& service : before.services) {
    if (const Service* now_service = FindService(after, service.name)) {
      LimitCut{"service", service.name, "concurrency_per_upstream"}.Check(
          service.concurrency_per_upstream, now_service->concurrency_per_upstream, risks);
    }
  }
  for (const Workspace& workspace : before.workspaces) {
    if (const Workspace* now_workspace = FindWorkspace(after, workspace.name)) {
      FindWorkspaceCuts(workspace, *now_workspace, risks);
    }
  }
}

}  // namespace

std::vector<ConfigChange> DiffConfigurations(const Configuration& before,
                                             const Configuration& after) {
  std::vector<ConfigChange> changes;
  DiffSettings(before.settings, after.settings, changes);
  DiffLists(EntryKind::kFailureDomain, before.failure_domains, after.failure_domains, changes);
  DiffLists(EntryKind::kPool, before.pools, after.pools, changes);
  DiffLists(EntryKind::kService, before.services, after.services, changes);
  DiffLists(EntryKind::kWorkspace, before.workspaces, after.workspaces, changes);
  return changes;
}

std::vector<std::string> FindRiskyChanges(const Configuration& before, const Configuration& after) {
  std::vector<std::string> risks;
  FindLostRegions(before, after, risks);
  FindRemovedEntries("failure domain", before.failure_domains, after.failure_domains, risks);
  FindRemovedPools(before, after, risks);
  FindRemovedEntries("service", before.services, after.services, risks);
  FindRemovedEntries("workspace", before.workspaces, after.workspaces, risks);
  FindLimitCuts(before, after, risks);
  return risks;
}

std::string_view ToString(EntryKind kind) {
  static constexpr std::array<std::string_view, 5> kNames = {"setting", "failure_domain", "pool",
                                                             "service", "workspace"};
  return kNames[static_cast<std::size_t>(kind)];
}

std::string_view ToString(ChangeKind kind) {
  static constexpr std::array<std::string_view, 3> kNames = {"added", "removed", "changed"};
  return kNames[static_cast<std::size_t>(kind)];
}

}  // namespace geraniumspread::config
