#ifndef CONFIG_INTERNAL_VALIDATION_H_
#define CONFIG_INTERNAL_VALIDATION_H_

#include <span>

#include "config/config_error.h"
#include "config/manifest.h"

namespace geraniumspread::config {

ConfigResult<void> ValidateVersion(std::uint64_t version);
// Everything in the manifest but the version and the shards.
ConfigResult<void> ValidateFleetPart(const FleetSettings& settings,
                                     std::span<const FailureDomain> failure_domains,
                                     std::span<const ModelPool> pools,
                                     std::span<const Service> services);
ConfigResult<void> ValidateWorkspaces(std::span<const Workspace> workspaces);
ConfigResult<void> ValidateShardReferences(std::span<const ShardReference> shards);

}  // namespace geraniumspread::config

#endif  // CONFIG_INTERNAL_VALIDATION_H_
