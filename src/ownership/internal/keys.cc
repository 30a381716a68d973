#include "common/hash.h"
#include "ownership/ownership_types.h"

namespace geraniumspread::ownership {

RouterKey MakeRouterKey(std::string_view instance_id) {
  return static_cast<RouterKey>(StableHash(instance_id));
}

UpstreamKey MakeUpstreamKey(std::string_view instance_id) {
  return static_cast<UpstreamKey>(StableHash(instance_id));
}

std::string_view ToString(AllowanceBasis basis) {
  switch (basis) {
    case AllowanceBasis::kLease:
      return "lease";
    case AllowanceBasis::kReserve:
      return "reserve";
    case AllowanceBasis::kNoLease:
      return "no_lease";
    case AllowanceBasis::kAwaitingReport:
      return "awaiting_report";
    case AllowanceBasis::kReleasing:
      return "releasing";
    case AllowanceBasis::kUnknownUpstream:
      return "unknown_upstream";
  }
  return "no_lease";
}

}  // namespace geraniumspread::ownership
