#include "dispatch/upstream_table.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "common/hash.h"

namespace geraniumspread::dispatch {
namespace {

// Backoff after the first failed connect; doubles with each further failure. A
// crashed upstream is back or unlisted within seconds.
constexpr Duration kInitialBackoff = std::chrono::milliseconds(300);
constexpr std::uint32_t kMaxBackoffDoublings = 4;
// The platform drops the entry of a dead process after some missed heartbeats.
constexpr Duration kReplacedBackoff = std::chrono::seconds(5);
// A write that the platform applies late may list a removed upstream again; its
// process has ended after this time.
constexpr Duration kDroppedRetention = std::chrono::minutes(5);
// Weight of one outcome in the failure rate.
constexpr double kOutcomeWeight = 0.2;
// Without attempts the failure rate halves in this time, so that a recovered upstream
// gets requests again.
constexpr double kRateHalfLifeSeconds = 4;

void AddToService(UpstreamTable& table, const UpstreamRow& row) {
  std::vector<UpstreamRow>& rows = table.by_service[row->listing.service];
  const auto place = std::ranges::lower_bound(
      rows, row->listing.id, {}, [](const UpstreamRow& other) { return other->listing.id; });
  rows.insert(place, row);
}

void RemoveFromService(UpstreamTable& table, const UpstreamRow& row) {
  const auto rows = table.by_service.find(row->listing.service);
  if (rows == table.by_service.end()) {
    return;
  }
  std::erase(rows->second, row);
  if (rows->second.empty()) {
    table.by_service.erase(rows);
  }
}

void CountVersion(UpstreamTable& table, const Upstream& upstream) {
  ++table.versions[upstream.listing.service][upstream.version].upstreams;
}

void UncountVersion(UpstreamTable& table, const Upstream& upstream, TimePoint now) {
  VersionListing& listing = table.versions[upstream.listing.service][upstream.version];
  --listing.upstreams;
  listing.last_listed_at = now;
}

// Restores what the process announced before it was dropped.
void RestoreAnnouncedState(UpstreamTable& table, Upstream& upstream) {
  const UpstreamListing& listing = upstream.listing;
  if (auto known = table.dropped.extract({listing.id, listing.started_at_ms}); !known.empty()) {
    upstream.announced = known.mapped().announced;
    upstream.limit = std::move(known.mapped().limit);
    upstream.brittle = known.mapped().brittle;
  }
  upstream.announced.leaving = upstream.announced.leaving || listing.draining;
}

// Without a start time a process can't be distinguished from its successor under the
// same id.
void SaveAnnouncedState(UpstreamTable& table, const Upstream& upstream, TimePoint now) {
  const UpstreamListing& listing = upstream.listing;
  const bool has_announced = upstream.announced.leaving || IsPaused(upstream, now) ||
                             upstream.limit.requests.per_second.has_value() ||
                             upstream.brittle.rejections.per_second.has_value();
  if (has_announced && listing.started_at_ms != 0) {
    table.dropped[{listing.id, listing.started_at_ms}] = {upstream.announced, upstream.limit,
                                                          upstream.brittle, now};
  }
}

void UpdateFailureRate(UpstreamHealth& health, double outcome, TimePoint now) {
  health.failure_rate = FailureRate(health, now) * (1 - kOutcomeWeight) + outcome * kOutcomeWeight;
  health.rated_at = now;
}

}  // namespace

ListingChange ApplyListing(UpstreamTable& table, const UpstreamListing& listing, TimePoint now) {
  const auto known = table.rows.find(listing.id);
  const bool is_restart = known != table.rows.end();
  if (is_restart) {
    const UpstreamRow& row = known->second;
    const bool same_process = row->listing.started_at_ms == listing.started_at_ms &&
                              row->listing.address == listing.address &&
                              row->listing.service == listing.service;
    if (same_process) {
      const bool changed = row->listing.draining != listing.draining || row->removal_at ||
                           listing.cold_left.count() > 0;
      UncountVersion(table, *row, now);
      row->listing = listing;
      row->version = StableHash(listing.version);
      CountVersion(table, *row);
      row->announced.leaving = row->announced.leaving || listing.draining;
      row->removal_at.reset();
      row->cold_until = now + listing.cold_left;
      return changed ? ListingChange::kUpdated : ListingChange::kNone;
    }
    RemoveUpstream(table, listing.id, now);
  }
  auto row = std::make_shared<Upstream>();
  row->listing = listing;
  RestoreAnnouncedState(table, *row);
  row->id_hash = StableHash(listing.id);
  row->version = StableHash(listing.version);
  CountVersion(table, *row);
  row->listed_at = now;
  row->cold_until = now + listing.cold_left;
  table.rows[listing.id] = row;
  table.by_key[DigestKey(*row)] = row;
  AddToService(table, row);
  return is_restart ? ListingChange::kRestarted : ListingChange::kAdded;
}

void RemoveUpstream(UpstreamTable& table, std::string_view id, TimePoint now) {
  const auto known = table.rows.find(std::string(id));
  if (known == table.rows.end()) {
    return;
  }
  const UpstreamRow row = known->second;
  row->listed = false;
  SaveAnnouncedState(table, *row, now);
  UncountVersion(table, *row, now);
  table.rows.erase(known);
  table.by_key.erase(DigestKey(*row));
  RemoveFromService(table, row);
}

void HoldRemoval(UpstreamTable& table, std::string_view id, TimePoint removal_at) {
  const auto known = table.rows.find(std::string(id));
  if (known != table.rows.end() && !known->second->removal_at) {
    known->second->removal_at = removal_at;
  }
}

std::vector<std::string> ExpireRemovals(UpstreamTable& table, TimePoint now) {
  std::vector<std::string> due;
  for (const auto& [id, row] : table.rows) {
    if (row->removal_at.value_or(TimePoint::max()) <= now) {
      due.push_back(id);
    }
  }
  for (const std::string& id : due) {
    RemoveUpstream(table, id, now);
  }
  std::erase_if(table.dropped, [now](const auto& entry) {
    return entry.second.dropped_at + kDroppedRetention < now;
  });
  for (auto& [service, versions] : table.versions) {
    std::erase_if(versions, [now](const auto& entry) {
      return entry.second.upstreams == 0 && entry.second.last_listed_at + kDroppedRetention < now;
    });
  }
  return due;
}

std::uint32_t DigestKey(const Upstream& upstream) {
  return static_cast<std::uint32_t>(upstream.id_hash);
}

bool IsConfigured(const UpstreamTable& table, const Upstream& upstream) {
  return !table.configured_services ||
         table.configured_services->contains(upstream.listing.service);
}

std::size_t CountConfigured(const UpstreamTable& table) {
  if (!table.configured_services) {
    return table.rows.size();
  }
  std::size_t count = 0;
  for (const std::string& service : *table.configured_services) {
    const auto rows = table.by_service.find(service);
    count += rows == table.by_service.end() ? 0 : rows->second.size();
  }
  return count;
}

bool IsCold(const Upstream& upstream, TimePoint now) {
  return now < upstream.cold_until;
}

bool IsInSilentDomain(const UpstreamTable& table, const Upstream& upstream) {
  return table.domains_silent.contains(upstream.listing.failure_domain);
}

bool TakesNewWork(const UpstreamTable& table, const Upstream& upstream) {
  return upstream.listed && !upstream.announced.leaving &&
         !table.domains_out_of_service.contains(upstream.listing.failure_domain);
}

void RecordPause(Upstream& upstream, Duration pause, TimePoint now) {
  upstream.announced.pause_until = std::max(upstream.announced.pause_until, now + pause);
}

bool IsPaused(const Upstream& upstream, TimePoint now) {
  return now < upstream.announced.pause_until;
}

std::optional<TimePoint> EarliestPauseEnd(const UpstreamTable& table,
                                          std::string_view service,
                                          TimePoint now) {
  const auto rows = table.by_service.find(std::string(service));
  if (rows == table.by_service.end()) {
    return std::nullopt;
  }
  std::optional<TimePoint> first;
  for (const UpstreamRow& row : rows->second) {
    if (!TakesNewWork(table, *row)) {
      continue;
    }
    if (!IsPaused(*row, now)) {
      return std::nullopt;
    }
    first = std::min(first.value_or(row->announced.pause_until), row->announced.pause_until);
  }
  return first;
}

std::uint32_t EstimatedRunning(const UpstreamTable& table,
                               const Upstream& upstream,
                               TimePoint now) {
  const auto remote = table.remote.find(DigestKey(upstream));
  const std::uint32_t counted =
      upstream.running + (remote == table.remote.end() ? 0 : remote->second.running);
  if (!upstream.report || upstream.report->at + kReportLifetime < now) {
    return counted;
  }
  const LoadReport& report = *upstream.report;
  const auto reported = static_cast<std::int64_t>(report.running) + report.waiting +
                        upstream.running - report.own_running;
  return std::max(counted, static_cast<std::uint32_t>(std::max<std::int64_t>(reported, 0)));
}

std::uint64_t EstimatedPrefillTokens(const UpstreamTable& table, const Upstream& upstream) {
  const auto remote = table.remote.find(DigestKey(upstream));
  return upstream.pending_prefill_tokens +
         (remote == table.remote.end() ? 0 : remote->second.pending_prefill_tokens);
}

void RecordConnectFailure(UpstreamHealth& health, TimePoint now) {
  const std::uint32_t doublings = std::min(health.connect_failures, kMaxBackoffDoublings);
  ++health.connect_failures;
  health.avoid_until = now + kInitialBackoff * (1U << doublings);
}

void RecordReplacement(UpstreamHealth& health, TimePoint now) {
  health.avoid_until = now + kReplacedBackoff;
}

void RecordAttemptFailure(UpstreamHealth& health, TimePoint now) {
  UpdateFailureRate(health, 1, now);
}

void RecordAttemptSuccess(UpstreamHealth& health, TimePoint now) {
  health.connect_failures = 0;
  health.avoid_until = {};
  health.succeeded_at = now;
  UpdateFailureRate(health, 0, now);
}

double FailureRate(const UpstreamHealth& health, TimePoint now) {
  const double age = std::chrono::duration<double>(now - health.rated_at).count();
  return health.failure_rate == 0 ? 0
                                  : health.failure_rate * std::exp2(-age / kRateHalfLifeSeconds);
}

RunningRequest::RunningRequest(UpstreamRow row, std::uint32_t uncached_tokens)
    : upstream(std::move(row)), prefill_tokens(uncached_tokens) {
  ++this->upstream->running;
  this->upstream->pending_prefill_tokens += this->prefill_tokens;
}

RunningRequest::~RunningRequest() {
  --this->upstream->running;
  this->RecordPrefillDone();
}

void RunningRequest::RecordPrefillDone() {
  this->upstream->pending_prefill_tokens -= this->prefill_tokens;
  this->prefill_tokens = 0;
}

}  // namespace geraniumspread::dispatch
