#ifndef ADMISSION_ADMISSION_TYPES_H_
#define ADMISSION_ADMISSION_TYPES_H_

#include <cstdint>
#include <string_view>

#include "common/common_types.h"
#include "common/runtime_clock.h"

// Workspace limits, the queue of an upstream at its owner, deadlines and retry budgets.
namespace geraniumspread::admission {

// Chosen by the router; unique among the requests that are open in one process.
using RequestHandle = std::uint64_t;
// StableHash of the workspace name. With 23,000 names, the chance of any collision is below 1e-10.
using WorkspaceKey = std::uint64_t;
// StableHash of a router's instance id.
using RouterKey = std::uint64_t;

enum class RefusalCode : std::uint8_t {
  kUnknownWorkspace,
  kRateLimited,
  kConcurrencyLimited,
  kRouterBusy,
  kQueueFull,
  kWorkspaceQueueFull,
  kShed,
  kDeadlineUnreachable,
  kDraining,
  kNotOwner,
  kDomainOutOfService,
  kUpstreamAtLimit,
  kNoUpstream,
  kStarting,
};
inline constexpr int kRefusalCodeCount = 14;

// A refusal before dispatch. The router sends it as soon as it is made.
struct Refusal {
  RefusalCode code = RefusalCode::kQueueFull;
  // HTTP status.
  std::uint16_t status = 503;
  // kNotRun, except for the result of ForTicketedCall.
  RunState ran = RunState::kNotRun;
  bool retry = true;
  // Zero when `retry` is false.
  Duration retry_after{0};
};

// Stable wire forms, e.g. "rate_limited".
std::string_view ToString(RefusalCode code);
// The text of the `message` field.
std::string_view MessageOf(RefusalCode code);
// Fills in status and retry flag of `code`. `retry_after` is raised to kMinRetryAfter and
// lengthened by up to a quarter, chosen by `spread_seed` (the request handle), so that callers that
// are refused together don't return together.
Refusal MakeRefusal(RefusalCode code, Duration retry_after, std::uint64_t spread_seed);
// The same refusal for a call that carries a ticket, at a router other than the one that the ticket
// names: an earlier call with the same ticket may have run, so the run state is kUnknown.
Refusal ForTicketedCall(Refusal refusal);

inline constexpr Duration kMinRetryAfter = std::chrono::milliseconds(50);

}  // namespace geraniumspread::admission

#endif  // ADMISSION_ADMISSION_TYPES_H_
