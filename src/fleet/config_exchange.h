#ifndef FLEET_CONFIG_EXCHANGE_H_
#define FLEET_CONFIG_EXCHANGE_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "fleet/fleet_types.h"

namespace geraniumspread::fleet {

// Result of offering a manifest or shard to the config store.
enum class OfferOutcome : std::uint8_t {
  kStored,   // stored; the configuration is in force or still lacks shards
  kIgnored,  // already known, of a lower version, or not referenced
  kRefused,  // invalid, or the same version with another digest; not requested again
};

// Access of the gossip code to the config store. All members must be set. Only the
// store decides what is accepted. Calls may change the store.
struct ConfigExchange {
  // Version and digest in force, or version 0 before the first one.
  std::function<ConfigVersion()> in_force;
  // The accepted version that waits for shards, or version 0.
  std::function<ConfigVersion()> pending;
  // Digests of the shards that the pending version still lacks.
  std::function<std::vector<std::string>()> missing_digests;
  // Bytes of a manifest or shard, or an empty view if the store doesn't hold it.
  // The view stays valid until the store changes.
  std::function<std::string_view(std::string_view digest)> bytes;
  std::function<OfferOutcome(std::string_view manifest)> offer_manifest;
  std::function<OfferOutcome(std::string_view digest, std::string_view shard)> offer_shard;
};

}  // namespace geraniumspread::fleet

#endif  // FLEET_CONFIG_EXCHANGE_H_
