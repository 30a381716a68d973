#include "config/config_types.h"

#include <algorithm>

#include "config/value_text.h"

namespace geraniumspread::config {
namespace {

template <typename Entry>
const Entry* FindByName(const std::vector<Entry>& entries, std::string_view name) {
  const auto found = std::ranges::lower_bound(entries, name, std::less<>{}, &Entry::name);
  return found != entries.end() && found->name == name ? &*found : nullptr;
}

bool RuleCovers(const RepeatableRule& rule, std::string_view path, bool is_plain) {
  if (!rule.is_prefix) {
    return rule.path == path;
  }
  // A rule for every path matches any spelling, so it doesn't require the plain form.
  return rule.path == "/" ? path.starts_with('/') : is_plain && path.starts_with(rule.path);
}

}  // namespace

const Workspace* FindWorkspace(const Configuration& configuration, std::string_view name) {
  return FindByName(configuration.workspaces, name);
}

const ModelPool* FindPool(const Configuration& configuration, std::string_view name) {
  return FindByName(configuration.pools, name);
}

const Service* FindService(const Configuration& configuration, std::string_view name) {
  return FindByName(configuration.services, name);
}

const FailureDomain* FindFailureDomain(const Configuration& configuration, std::string_view name) {
  return FindByName(configuration.failure_domains, name);
}

std::string ServedModelName(const ModelPool& pool) {
  return pool.adapter.empty() ? pool.model : pool.model + ":" + pool.adapter;
}

std::vector<const ModelPool*> FindPoolsServing(const Configuration& configuration,
                                               std::string_view served_model_name) {
  std::vector<const ModelPool*> serving;
  for (const ModelPool& pool : configuration.pools) {
    if (ServedModelName(pool) == served_model_name) {
      serving.push_back(&pool);
    }
  }
  return serving;
}

bool AllowsModel(const Workspace& workspace, std::string_view served_model_name) {
  if (workspace.allows_all_models) {
    return true;
  }
  const auto allows = [&workspace](std::string_view name) {
    return std::ranges::binary_search(workspace.allowed_models, name, std::less<>{});
  };
  return allows(served_model_name) ||
         allows(served_model_name.substr(0, served_model_name.find(':')));
}

bool IsRepeatable(const Service& service, std::string_view method, std::string_view path) {
  const std::string_view target = path.substr(0, path.find_first_of("?#"));
  const bool is_plain = IsPlainPath(target);
  return std::ranges::any_of(service.repeatable, [&](const RepeatableRule& rule) {
    return rule.method == method && RuleCovers(rule, target, is_plain);
  });
}

bool IsInService(const Configuration& configuration, std::string_view failure_domain) {
  const FailureDomain* domain = FindFailureDomain(configuration, failure_domain);
  return domain != nullptr && domain->in_service;
}

}  // namespace geraniumspread::config
