#ifndef FLEET_INSTANCE_LIST_H_
#define FLEET_INSTANCE_LIST_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "fleet/fleet_types.h"

namespace geraniumspread::fleet {

enum class InstanceKind : std::uint8_t { kRouter, kModelEngine, kPlainService };

// One entry of the platform's instance list.
struct ListedInstance {
  std::string id;
  InstanceKind kind = InstanceKind::kRouter;
  std::string pool;  // empty for routers
  std::string failure_domain;
  Endpoint endpoint;
  std::uint64_t incarnation = 0;
  bool leaving = false;
};

// The platform's instance list, sorted by id.
struct InstanceList {
  std::uint64_t revision = 0;
  std::vector<ListedInstance> instances;
  // Number of entries left out because this version doesn't know their kind.
  std::size_t skipped = 0;
};

inline constexpr std::size_t kMaxInstanceListBytes = std::size_t{8} * 1024 * 1024;
inline constexpr std::size_t kMaxListedInstances = 20'000;

// Parses the body of GET /v1/instances. Errors: kTooLarge, kMalformed,
// kInvalidField (also for duplicate ids). Unknown fields are ignored.
Result<InstanceList> ParseInstanceList(std::string_view body);

}  // namespace geraniumspread::fleet

#endif  // FLEET_INSTANCE_LIST_H_
