#include "outcomes/quarantine.h"

#include <algorithm>
#include <charconv>
#include <set>
#include <utility>

#include "common/secure_bytes.h"

namespace geraniumspread::outcomes {
namespace {

constexpr std::size_t kHalfLength = 16;
constexpr int kHexadecimal = 16;

std::optional<std::uint64_t> ParseHalf(std::string_view text) {
  std::uint64_t value = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), value, kHexadecimal);
  if (error != std::errc{} || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return value;
}

std::string HalfToHex(std::uint64_t half) {
  std::string digits(kHalfLength, '0');
  for (std::size_t position = kHalfLength; position > 0; --position) {
    digits[position - 1] = "0123456789abcdef"[half & 0xfU];
    half >>= 4U;
  }
  return digits;
}

std::uint32_t DeathsOf(const SuspectEntry& entry) {
  std::uint32_t deaths = 0;
  for (const DeathCount& count : entry.counts) {
    deaths += count.deaths;
  }
  return deaths;
}

bool WasSuspected(const SuspectEntry& entry) {
  return std::ranges::any_of(entry.counts,
                             [](const DeathCount& count) { return count.suspicions > 0; });
}

// The row of `reporter`; a new reporter takes a free row, or replaces the one with the fewest
// deaths.
DeathCount& RowOf(SuspectEntry& entry, std::uint64_t reporter) {
  const auto found = std::ranges::find(entry.counts, reporter, &DeathCount::reporter);
  if (found != entry.counts.end()) {
    return *found;
  }
  DeathCount& row = *std::ranges::min_element(entry.counts, {}, [](const DeathCount& count) {
    return count.reporter == 0 ? std::pair(0U, 0U) : std::pair(count.deaths + 1, count.suspicions);
  });
  row = {.reporter = reporter};
  return row;
}

// If the table is full, evicts one entry: suspicions before quarantines, then the earliest to
// expire.
void EvictIfFull(QuarantineTable& table) {
  if (table.entries.size() < table.policy.max_entries) {
    return;
  }
  table.entries.erase(std::ranges::min_element(table.entries, {}, [](const auto& item) {
    return std::pair(item.second.quarantined, item.second.expires_at);
  }));
}

SuspectEntry& FindOrAdd(QuarantineTable& table, const Fingerprint& fingerprint, TimePoint now) {
  if (const auto found = table.entries.find(fingerprint); found != table.entries.end()) {
    if (found->second.expires_at > now) {
      return found->second;
    }
    table.entries.erase(found);
  }
  EvictIfFull(table);
  return table.entries[fingerprint];
}

void QuarantineIfDue(const QuarantinePolicy& policy, SuspectEntry& entry, TimePoint now) {
  if (!entry.quarantined && DeathsOf(entry) >= policy.deaths_to_quarantine) {
    entry.quarantined = true;
    entry.expires_at = now + policy.quarantine_time;
  }
}

QuarantineReport ReportOf(const Fingerprint& fingerprint,
                          const SuspectEntry& entry,
                          const DeathCount& count,
                          TimePoint now) {
  return {.fingerprint = fingerprint,
          .reporter = count.reporter,
          .suspicions = count.suspicions,
          .deaths = count.deaths,
          .quarantined = entry.quarantined,
          .remaining = entry.expires_at - now};
}

const SuspectEntry* FindCurrent(const QuarantineTable& table,
                                const Fingerprint& fingerprint,
                                TimePoint now) {
  const auto found = table.entries.find(fingerprint);
  const bool current = found != table.entries.end() && found->second.expires_at > now;
  return current ? &found->second : nullptr;
}

bool MergeQuarantine(const QuarantinePolicy& policy,
                     SuspectEntry& entry,
                     const QuarantineReport& report,
                     TimePoint now) {
  if (!report.quarantined || entry.quarantined) {
    return false;
  }
  entry.quarantined = true;
  entry.expires_at = now + std::min(report.remaining, policy.quarantine_time);
  return true;
}

bool MergeCounts(const QuarantinePolicy& policy,
                 SuspectEntry& entry,
                 const QuarantineReport& report,
                 TimePoint now) {
  DeathCount& row = RowOf(entry, report.reporter);
  if (report.deaths <= row.deaths && report.suspicions <= row.suspicions) {
    return false;
  }
  row.deaths = std::max(row.deaths, report.deaths);
  row.suspicions = std::max(row.suspicions, report.suspicions);
  // Only increased counts extend the expiry, so that reports repeated between routers do not keep
  // an entry alive.
  if (!entry.quarantined) {
    entry.expires_at =
        std::max(entry.expires_at, now + std::min(report.remaining, policy.suspicion_time));
  }
  return true;
}

}  // namespace

Fingerprint FingerprintOf(std::string_view workspace,
                          std::string_view model,
                          std::string_view body) {
  // The length prefixes prevent ambiguous concatenations.
  std::string text = std::to_string(workspace.size()) + ":" + std::to_string(model.size()) + ":";
  text.reserve(text.size() + workspace.size() + model.size() + body.size());
  text += workspace;
  text += model;
  text += body;
  return ParseFingerprint(Sha256Hex(text).substr(0, 2 * kHalfLength)).value_or(Fingerprint{});
}

std::string ToHex(const Fingerprint& fingerprint) {
  return HalfToHex(fingerprint.high) + HalfToHex(fingerprint.low);
}

std::optional<Fingerprint> ParseFingerprint(std::string_view text) {
  if (text.size() != 2 * kHalfLength) {
    return std::nullopt;
  }
  const auto high = ParseHalf(text.substr(0, kHalfLength));
  const auto low = ParseHalf(text.substr(kHalfLength));
  if (!high || !low) {
    return std::nullopt;
  }
  return Fingerprint{.high = *high, .low = *low};
}

QuarantineTable MakeQuarantineTable(const QuarantinePolicy& policy, std::uint64_t self) {
  return {.policy = policy, .self = self, .entries = {}};
}

std::vector<QuarantineReport> RecordUpstreamDeath(QuarantineTable& table,
                                                  std::uint64_t upstream,
                                                  std::span<const Fingerprint> in_flight,
                                                  TimePoint now) {
  std::vector<QuarantineReport> reports;
  const std::set<Fingerprint> distinct(in_flight.begin(), in_flight.end());
  for (const Fingerprint& fingerprint : distinct) {
    SuspectEntry& entry = FindOrAdd(table, fingerprint, now);
    const bool earlier = WasSuspected(entry);
    if (earlier && entry.last_upstream == upstream &&
        now < entry.last_death_at + table.policy.same_crash_window) {
      continue;
    }
    DeathCount& row = RowOf(entry, table.self);
    const bool counts =
        distinct.size() == 1 || earlier || !table.policy.count_only_attributed_deaths;
    row.suspicions += 1;
    row.deaths += counts ? 1 : 0;
    entry.last_upstream = upstream;
    entry.last_death_at = now;
    if (!entry.quarantined) {
      entry.expires_at = now + table.policy.suspicion_time;
    }
    QuarantineIfDue(table.policy, entry, now);
    reports.push_back(ReportOf(fingerprint, entry, row, now));
  }
  return reports;
}

void RecordCompletion(QuarantineTable& table, const Fingerprint& fingerprint) {
  const auto found = table.entries.find(fingerprint);
  if (found == table.entries.end() || found->second.quarantined) {
    return;
  }
  SuspectEntry& entry = found->second;
  if (const auto own = std::ranges::find(entry.counts, table.self, &DeathCount::reporter);
      own != entry.counts.end()) {
    *own = {};
  }
  if (!WasSuspected(entry)) {
    table.entries.erase(found);
  }
}

std::optional<OutcomeError> CheckQuarantine(const QuarantineTable& table,
                                            const Fingerprint& fingerprint,
                                            TimePoint now) {
  const SuspectEntry* entry = FindCurrent(table, fingerprint, now);
  if (!table.policy.enabled || entry == nullptr || !entry->quarantined) {
    return std::nullopt;
  }
  return MakeOutcomeError(OutcomeCode::kQuarantined);
}

bool IsSuspected(const QuarantineTable& table, const Fingerprint& fingerprint, TimePoint now) {
  const SuspectEntry* entry = FindCurrent(table, fingerprint, now);
  return entry != nullptr && !entry->quarantined;
}

bool MergeReport(QuarantineTable& table, const QuarantineReport& report, TimePoint now) {
  if (report.remaining <= Duration{0} || report.reporter == 0) {
    return false;
  }
  SuspectEntry& entry = FindOrAdd(table, report.fingerprint, now);
  bool changed = MergeQuarantine(table.policy, entry, report, now);
  if (report.reporter != table.self) {
    changed = MergeCounts(table.policy, entry, report, now) || changed;
  }
  QuarantineIfDue(table.policy, entry, now);
  // A report of this router's own counts from before a restart adds nothing; remove the entry that
  // FindOrAdd created for it.
  if (!changed && entry.expires_at <= now) {
    table.entries.erase(report.fingerprint);
  }
  return changed;
}

std::vector<QuarantineReport> ReportsOf(const QuarantineTable& table, TimePoint now) {
  std::vector<QuarantineReport> reports;
  for (const auto& [fingerprint, entry] : table.entries) {
    for (const DeathCount& count : entry.counts) {
      if (count.reporter != 0 && entry.expires_at > now) {
        reports.push_back(ReportOf(fingerprint, entry, count, now));
      }
    }
  }
  return reports;
}

void RemoveExpiredSuspects(QuarantineTable& table, TimePoint now) {
  std::erase_if(table.entries, [&](const auto& item) { return item.second.expires_at <= now; });
}

}  // namespace geraniumspread::outcomes
