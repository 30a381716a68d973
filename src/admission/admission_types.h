#ifndef ADMISSION_ADMISSION_TYPES_H_
#define ADMISSION_ADMISSION_TYPES_H_

#include <cstdint>
#include <string_view>

#include "common/common_types.h"
#include "common/runtime_clock.h"

// Types shared by the workspace limits, the upstream queues and the retry budgets.
namespace geraniumspread::admission {

// Assigned by the router; unique among the open requests of one process.
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

// A refusal before dispatch. The router sends it to the caller at once.
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

// Returns the stable name on the wire, e.g. "rate_limited".
std::string_view ToString(RefusalCode code);
// Returns the text of the `message` field.
std::string_view MessageOf(RefusalCode code);
// Returns `retry_after` raised to at least kMinRetryAfter and lengthened by a jitter of up to a
// quarter, derived from `spread_seed`.
Duration SpreadRetryAfter(Duration retry_after, std::uint64_t spread_seed);
// Returns a refusal with the status and retry flag of `code`. `retry_after` is spread by
// `spread_seed` (the request handle), so that callers that are refused together don't retry
// together.
Refusal MakeRefusal(RefusalCode code, Duration retry_after, std::uint64_t spread_seed);
// Returns the same refusal for a call whose ticket names another router: an earlier call with the
// same ticket may have run there, so the run state is kUnknown.
Refusal ForTicketedCall(Refusal refusal);

inline constexpr Duration kMinRetryAfter = std::chrono::milliseconds(50);

}  // namespace geraniumspread::admission

#endif  // ADMISSION_ADMISSION_TYPES_H_
