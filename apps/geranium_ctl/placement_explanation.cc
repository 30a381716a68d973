#include "geranium_ctl/placement_explanation.h"

#include <string>
#include <utility>

namespace geraniumspread::ctl {
namespace {

namespace json = boost::json;

json::object ExplainPool(const config::ModelPool& pool) {
  return {{"pool", pool.name},
          {"model", config::ServedModelName(pool)},
          {"version", pool.version},
          {"role", pool.role},
          {"load_multiple", pool.load_multiple},
          {"cold_limit", pool.cold_limit},
          {"capacity", pool.capacity}};
}

}  // namespace

json::object ExplainPlacement(const config::Configuration& configuration,
                              const config::Workspace& workspace,
                              std::string_view chat,
                              std::string_view model) {
  json::array pools;
  for (const config::ModelPool& pool : configuration.pools) {
    const std::string served = config::ServedModelName(pool);
    if ((model.empty() || model == served) && config::AllowsModel(workspace, served)) {
      pools.emplace_back(ExplainPool(pool));
    }
  }
  json::array domains_in;
  json::array domains_out;
  for (const config::FailureDomain& domain : configuration.failure_domains) {
    (domain.in_service ? domains_in : domains_out).emplace_back(domain.name);
  }
  return {{"chat", chat},
          {"pools", std::move(pools)},
          {"domains_in_service", std::move(domains_in)},
          {"domains_out_of_service", std::move(domains_out)}};
}

}  // namespace geraniumspread::ctl
