#include "admission/admission_types.h"

#include <algorithm>
#include <array>

#include "common/hash.h"

namespace geraniumspread::admission {
namespace {

constexpr std::uint16_t kForbidden = 403;
constexpr std::uint16_t kTooManyRequests = 429;
constexpr std::uint16_t kUnavailable = 503;
constexpr std::uint16_t kGatewayTimeout = 504;

struct CodeRow {
  std::string_view name;
  std::string_view message;
  std::uint16_t status;
  bool retry;
};

// In the order of RefusalCode.
constexpr std::array<CodeRow, kRefusalCodeCount> kCodes = {{
    {"unknown_workspace", "the workspace is not configured", kForbidden, false},
    {"rate_limited", "the request rate of the workspace is used up", kTooManyRequests, true},
    {"concurrency_limited", "the workspace has too many requests in flight", kTooManyRequests,
     true},
    {"router_busy", "the router has too many requests in flight", kUnavailable, true},
    {"queue_full", "the queue of the upstream is full", kUnavailable, true},
    {"workspace_queue_full", "the workspace has too many requests queued", kTooManyRequests, true},
    {"shed", "more urgent work took the place in the queue", kUnavailable, true},
    {"deadline_unreachable", "the deadline can't be met", kGatewayTimeout, true},
    {"draining", "the router is stopping", kUnavailable, true},
    {"not_owner", "the router doesn't hold the lease of the upstream", kUnavailable, true},
    {"domain_out_of_service", "the failure domain is out of service", kUnavailable, true},
    {"upstream_at_limit", "the upstream is at its in-flight limit", kUnavailable, true},
    {"no_upstream", "no upstream of the pool is usable", kUnavailable, true},
    {"starting", "the router has no share of the workspace limits yet", kUnavailable, true},
}};

const CodeRow& RowOf(RefusalCode code) {
  return kCodes.at(static_cast<std::size_t>(code));
}

}  // namespace

std::string_view ToString(RefusalCode code) {
  return RowOf(code).name;
}

std::string_view MessageOf(RefusalCode code) {
  return RowOf(code).message;
}

Duration SpreadRetryAfter(Duration retry_after, std::uint64_t spread_seed) {
  static constexpr std::uint64_t kSpreadSteps = 1'024;
  const Duration base = std::max(retry_after, kMinRetryAfter);
  const auto step = static_cast<Duration::rep>(MixHash(spread_seed, 1) % kSpreadSteps);
  return base + base / 4 * step / static_cast<Duration::rep>(kSpreadSteps);
}

Refusal MakeRefusal(RefusalCode code, Duration retry_after, std::uint64_t spread_seed) {
  const CodeRow& row = RowOf(code);
  Refusal refusal{.code = code, .status = row.status, .retry = row.retry};
  if (!row.retry) {
    return refusal;
  }
  refusal.retry_after = SpreadRetryAfter(retry_after, spread_seed);
  return refusal;
}

Refusal ForTicketedCall(Refusal refusal) {
  refusal.ran = RunState::kUnknown;
  return refusal;
}

}  // namespace geraniumspread::admission
