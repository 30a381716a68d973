#ifndef FLEET_CONFIG_EXCHANGE_H_
#define FLEET_CONFIG_EXCHANGE_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "fleet/fleet_types.h"

namespace geraniumspread::fleet {

// How the config store received bytes.
enum class OfferOutcome : std::uint8_t {
  kTaken,    // stored; the configuration may now be in force or waits for shards
  kIgnored,  // known, lower, or not wanted
  kRefused,  // invalid, or the same version with another digest; don't ask again
};

// The config store as seen by the spread of configuration. All members must be
// set. The store decides alone what is accepted; calls may change it.
struct ConfigExchange {
  // Version and digest in force; version 0 when none is.
  std::function<ConfigVersion()> in_force;
  // The accepted version that waits for shards, or version 0.
  std::function<ConfigVersion()> pending;
  // Digests of shards that the pending version still needs.
  std::function<std::vector<std::string>()> missing_digests;
  // Bytes of a manifest or shard that the store holds; empty when it doesn't.
  // The view stays valid until the store changes.
  std::function<std::string_view(std::string_view digest)> bytes;
  std::function<OfferOutcome(std::string_view manifest)> offer_manifest;
  std::function<OfferOutcome(std::string_view digest, std::string_view shard)> offer_shard;
};

}  // namespace geraniumspread::fleet

#endif  // FLEET_CONFIG_EXCHANGE_H_
