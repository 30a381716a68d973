#ifndef OUTCOMES_QUARANTINE_H_
#define OUTCOMES_QUARANTINE_H_

#include <array>
#include <compare>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "outcomes/outcomes_types.h"

namespace geraniumspread::outcomes {

// First 128 bits of the SHA-256 over workspace, model and body. A plain hash would let one
// workspace build a body that gets another workspace's request quarantined.
struct Fingerprint {
  std::uint64_t high = 0;
  std::uint64_t low = 0;
  auto operator<=>(const Fingerprint&) const = default;
};
struct FingerprintHash {
  std::size_t operator()(const Fingerprint& fingerprint) const { return fingerprint.low; }
};

Fingerprint FingerprintOf(std::string_view workspace,
                          std::string_view model,
                          std::string_view body);
// 32 lower-case hexadecimal characters.
std::string ToHex(const Fingerprint& fingerprint);
std::optional<Fingerprint> ParseFingerprint(std::string_view text);

struct QuarantinePolicy {
  std::uint32_t deaths_to_quarantine = 2;
  Duration quarantine_time = std::chrono::minutes(10);
  // Time after which a suspicion without a further death is forgotten.
  Duration suspicion_time = std::chrono::minutes(10);
  // The same crash is detected by lost connections and again by the new incarnation of the
  // upstream. Deaths of one upstream within this time count once.
  Duration same_crash_window = std::chrono::seconds(5);
  std::size_t max_entries = 4'096;
  bool enabled = true;
  // A death counts against a request that was the only one in flight or was suspected before. Off
  // only in tests: every suspicion then counts as a death.
  bool count_only_attributed_deaths = true;
};

// Suspicions and deaths that one router has counted for a request. The quarantine depends on the
// sum over all routers.
struct DeathCount {
  // StableHash of the reporting router's instance id; 0 when the row is free.
  std::uint64_t reporter = 0;
  std::uint32_t suspicions = 0;
  std::uint32_t deaths = 0;
};
// Two deaths quarantine a request, so counts of a few reporters are enough.
inline constexpr std::size_t kMaxReporters = 4;

struct SuspectEntry {
  std::array<DeathCount, kMaxReporters> counts{};
  TimePoint expires_at;
  bool quarantined = false;
  std::uint64_t last_upstream = 0;
  TimePoint last_death_at;
};

struct QuarantineTable {
  QuarantinePolicy policy;
  std::uint64_t self = 0;
  std::unordered_map<Fingerprint, SuspectEntry, FingerprintHash> entries;
};

// Content of the `quarantine` message.
struct QuarantineReport {
  Fingerprint fingerprint;
  std::uint64_t reporter = 0;
  std::uint32_t suspicions = 0;
  std::uint32_t deaths = 0;
  bool quarantined = false;
  Duration remaining{0};
};

// `self` is the StableHash of this router's instance id.
QuarantineTable MakeQuarantineTable(const QuarantinePolicy& policy, std::uint64_t self);
// Records that an upstream died with these requests in flight. Returns the reports to send to
// peers. Call when all connections of an upstream are lost or its incarnation changes, not for a
// single lost connection.
std::vector<QuarantineReport> RecordUpstreamDeath(QuarantineTable& table,
                                                  std::uint64_t upstream,
                                                  std::span<const Fingerprint> in_flight,
                                                  TimePoint now);
// Drops this router's suspicions against a request that got a complete answer. A quarantine stays
// in force.
void RecordCompletion(QuarantineTable& table, const Fingerprint& fingerprint);
// The error for a quarantined request. Such a request is not run. For a call with a ticket, call
// BeginTicket first, as an earlier call with the ticket may have run.
std::optional<OutcomeError> CheckQuarantine(const QuarantineTable& table,
                                            const Fingerprint& fingerprint,
                                            TimePoint now);
// True for a request that was in flight at a death and may be retried. Place it where no other
// suspected request is in flight, so that the next death can be attributed to one request.
bool IsSuspected(const QuarantineTable& table, const Fingerprint& fingerprint, TimePoint now);
// Merges a peer's report. Returns true if the table changed and the report should be forwarded.
bool MergeReport(QuarantineTable& table, const QuarantineReport& report, TimePoint now);
// All current entries, for a peer that joins.
std::vector<QuarantineReport> ReportsOf(const QuarantineTable& table, TimePoint now);
void RemoveExpiredSuspects(QuarantineTable& table, TimePoint now);

}  // namespace geraniumspread::outcomes

#endif  // OUTCOMES_QUARANTINE_H_
