#include "router/internal/quarantine_spread.h"

#include <chrono>
#include <utility>
#include <variant>
#include <vector>

#include "common/hash.h"

namespace geraniumspread::router::detail {
namespace {

// Between the loss of a connection and the report that shows a new incarnation.
constexpr Duration kLostRequestHold = std::chrono::seconds(10);

// Spreads what this router counted. The fleet message names a fingerprint and
// its deaths; suspicions stay with the router that saw them.
void SpreadQuarantine(RouterState& state,
                      const std::vector<outcomes::QuarantineReport>& reports,
                      TimePoint now) {
  for (const outcomes::QuarantineReport& report : reports) {
    if (report.deaths == 0) {
      continue;
    }
    fleet::AddQuarantine(
        state.gossip,
        {.fingerprint = outcomes::ToHex(report.fingerprint),
         .deaths = report.deaths,
         .remaining = std::chrono::duration_cast<std::chrono::milliseconds>(report.remaining)},
        now);
  }
}

}  // namespace

void MergeQuarantine(RouterState& state, const fleet::ReceivedMessage& received, TimePoint now) {
  const auto* quarantine = std::get_if<fleet::Quarantine>(&received.message);
  if (quarantine == nullptr) {
    return;
  }
  for (const fleet::QuarantineEntry& entry : quarantine->entries) {
    if (const auto fingerprint = outcomes::ParseFingerprint(entry.fingerprint); fingerprint) {
      outcomes::MergeReport(
          state.quarantine,
          {.fingerprint = *fingerprint,
           .reporter = StableHash(received.sender),
           .deaths = entry.deaths,
           .quarantined = entry.deaths >= state.quarantine.policy.deaths_to_quarantine,
           .remaining = entry.remaining},
          now);
    }
  }
}

void NoteDeath(RouterState& state, DomainUpstreamRow& row, TimePoint now) {
  ++state.upstream_deaths;
  std::vector<outcomes::Fingerprint> suspects = row.in_flight;
  for (const LostRequest& lost : row.lost) {
    if (now - lost.lost_at <= kLostRequestHold) {
      suspects.push_back(lost.fingerprint);
    }
  }
  row.lost.clear();
  SpreadQuarantine(
      state, outcomes::RecordUpstreamDeath(state.quarantine, StableHash(row.id), suspects, now),
      now);
}

}  // namespace geraniumspread::router::detail
