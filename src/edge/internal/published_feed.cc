#include "edge/internal/published_feed.h"

#include <type_traits>

namespace geraniumspread::edge::detail {
namespace {

using observability::LogEvent;
using observability::LogLevel;

// Larger batches of changes come from a full snapshot. A log line for each upstream would
// exhaust the log's rate limit, and lines of later changes would be dropped.
constexpr std::size_t kMaxLoggedSingly = 32;

// A group of changes applied together.
struct Batch {
  bool is_large = false;
  // The changes lead to the contents of a restored store. An upstream may be missing there
  // because it registered after the backup.
  bool is_restore = false;
  std::size_t upstreams_added = 0;
};

std::string_view ToString(dispatch::ListingChange change) {
  switch (change) {
    case dispatch::ListingChange::kNone:
      return "unchanged";
    case dispatch::ListingChange::kAdded:
      return "added";
    case dispatch::ListingChange::kRestarted:
      return "restarted";
    case dispatch::ListingChange::kUpdated:
      return "updated";
  }
  return "unchanged";
}

bool TakesNewWork(const EdgeState& edge, const std::string& id) {
  const auto row = edge.upstreams.rows.find(id);
  return row != edge.upstreams.rows.end() && dispatch::TakesNewWork(edge.upstreams, *row->second);
}

transport::ServerLimits LimitsOf(const dispatch::CallerLimits& limits) {
  // Time for a caller to send its body, in addition to the header timeout.
  constexpr Duration kBodyTime = std::chrono::seconds(10);
  transport::ServerLimits result;
  result.max_header_bytes = limits.max_header_bytes;
  result.max_body_bytes = limits.max_body_bytes;
  result.read_timeout = limits.header_timeout + kBodyTime;
  result.idle_timeout = limits.idle_timeout;
  return result;
}

void Apply(EdgeState& /*edge*/,
           Batch& /*batch*/,
           const dispatch::PublishedItem& item,
           const IgnoredItem& ignored) {
  LogEvent(LogLevel::kWarn, "published_item_ignored",
           {{"key", item.key}, {"revision", item.revision}, {"reason", ignored.reason}});
}

void Apply(EdgeState& edge,
           Batch& /*batch*/,
           const dispatch::PublishedItem& item,
           dispatch::RoutingConfig config) {
  const std::uint64_t previous = edge.config ? edge.config->version : 0;
  // After a restore the operators may decide on a lower version.
  if (config.version < previous && edge.config_era == edge.published.position.era) {
    LogEvent(LogLevel::kError, "config_version_went_back",
             {{"version", config.version}, {"in_force", previous}, {"revision", item.revision}});
    return;
  }
  LogEvent(LogLevel::kInfo, "config_in_force",
           {{"version", config.version},
            {"previous", previous},
            {"revision", item.revision},
            {"era", edge.published.position.era},
            {"services", config.services.size()},
            {"keys", config.keys.size()}});
  if (edge.caller_server) {
    edge.caller_server->SetLimits(LimitsOf(config.limits));
  }
  auto& services = edge.upstreams.configured_services.emplace();
  for (const auto& [name, rules] : config.services) {
    services.insert(name);
  }
  edge.config = std::move(config);
  edge.config_era = edge.published.position.era;
}

void Apply(EdgeState& edge,
           Batch& batch,
           const dispatch::PublishedItem& item,
           const dispatch::UpstreamListing& listing) {
  const auto change = dispatch::ApplyListing(edge.upstreams, listing, RuntimeClock::now());
  const bool is_routine_addition = change == dispatch::ListingChange::kAdded && !listing.draining;
  batch.upstreams_added += is_routine_addition ? 1 : 0;
  LogEvent(batch.is_large && is_routine_addition ? LogLevel::kDebug : LogLevel::kInfo,
           "upstream_listed",
           {{"upstream", listing.id},
            {"change", ToString(change)},
            {"service", listing.service},
            {"address", listing.address},
            {"failure_domain", listing.failure_domain},
            {"draining", listing.draining},
            {"takes_new_work", TakesNewWork(edge, listing.id)},
            {"started_at_ms", listing.started_at_ms},
            {"cold_left_ms", Milliseconds(listing.cold_left)},
            {"revision", item.revision}});
}

// Returns the time until which to keep an upstream that is no longer listed, or nullopt to
// remove it at once.
std::optional<TimePoint> HoldUntil(const EdgeState& edge,
                                   const Batch& batch,
                                   const dispatch::Upstream& upstream) {
  if (upstream.announced.leaving) {
    return std::nullopt;
  }
  const TimePoint now = RuntimeClock::now();
  return batch.is_restore ? now + edge.store_outage.relisting_time
                          : dispatch::HoldRemovalUntil(edge.store_outage, now);
}

void Apply(EdgeState& edge,
           Batch& batch,
           const dispatch::PublishedItem& item,
           const UpstreamRemoved& removed) {
  const auto row = edge.upstreams.rows.find(removed.id);
  if (row == edge.upstreams.rows.end()) {
    return;
  }
  const auto held_until = HoldUntil(edge, batch, *row->second);
  if (held_until) {
    dispatch::HoldRemoval(edge.upstreams, removed.id, *held_until);
  } else {
    dispatch::RemoveUpstream(edge.upstreams, removed.id, RuntimeClock::now());
  }
  LogEvent(LogLevel::kInfo, held_until ? "upstream_removal_held" : "upstream_removed",
           {{"upstream", removed.id}, {"revision", item.revision}});
}

void Apply(EdgeState& edge,
           Batch& /*batch*/,
           const dispatch::PublishedItem& item,
           const FailureDomainUpdate& domain) {
  if (domain.in_service) {
    edge.upstreams.domains_out_of_service.erase(domain.failure_domain);
  } else {
    edge.upstreams.domains_out_of_service.insert(domain.failure_domain);
  }
  LogEvent(LogLevel::kInfo, "failure_domain",
           {{"failure_domain", domain.failure_domain},
            {"in_service", domain.in_service},
            {"revision", item.revision}});
}

void ApplyBatch(EdgeState& edge, Batch batch, const std::vector<dispatch::PublishedItem>& changes) {
  for (const dispatch::PublishedItem& item : changes) {
    std::visit(
        [&](auto&& change) { Apply(edge, batch, item, std::forward<decltype(change)>(change)); },
        edge.codec.decode_item(item));
  }
  if (batch.is_large) {
    LogEvent(LogLevel::kInfo, "published_state_applied",
             {{"changes", changes.size()},
              {"upstreams_added", batch.upstreams_added},
              {"upstreams", edge.upstreams.rows.size()},
              {"revision", edge.published.position.revision}});
  }
}

void LogRetained(const EdgeState& edge) {
  std::size_t logged = 0;
  for (const auto& [key, retained] : edge.published.retained) {
    if (++logged > kMaxLoggedSingly) {
      break;
    }
    LogEvent(LogLevel::kInfo, "lost_change_retained",
             {{"key", key},
              {"change_revision", retained.origin.revision},
              {"change_era", retained.origin.era},
              {"restored_revision", retained.restored ? retained.restored->revision : 0}});
  }
}

}  // namespace

void ApplyPublished(EdgeState& edge, const std::vector<dispatch::PublishedItem>& changes) {
  ApplyBatch(edge, {.is_large = changes.size() > kMaxLoggedSingly}, changes);
}

void ReplacePublished(EdgeState& edge,
                      std::vector<dispatch::PublishedItem> items,
                      dispatch::StorePosition position) {
  const dispatch::StorePosition previous = edge.published.position;
  const bool is_restore = dispatch::IsAfterRestore(edge.published, position);
  const auto changes =
      dispatch::ReplaceState(edge.published, std::move(items), position, RuntimeClock::now());
  if (is_restore) {
    edge.merged_retained.reset();
    edge.metrics.Count("geranium_store_restores_total");
    LogEvent(LogLevel::kWarn, "store_restored",
             {{"era", position.era},
              {"revision", position.revision},
              {"previous_era", previous.era},
              {"previous_revision", previous.revision},
              {"changes", changes.size()},
              {"retained", edge.published.retained.size()}});
    LogRetained(edge);
  } else if (edge.published.position != position) {
    LogEvent(LogLevel::kInfo, "published_state_ignored",
             {{"era", position.era},
              {"revision", position.revision},
              {"current_era", previous.era},
              {"current_revision", previous.revision}});
  }
  ApplyBatch(edge, {.is_large = changes.size() > kMaxLoggedSingly, .is_restore = is_restore},
             changes);
}

void MergeRetained(EdgeState& edge, std::vector<dispatch::RetainedCopy> copies) {
  const auto changes =
      dispatch::MergeRetained(edge.published, std::move(copies), RuntimeClock::now());
  if (!changes.empty()) {
    LogRetained(edge);
  }
  ApplyPublished(edge, changes);
}

void EndRetentions(EdgeState& edge) {
  const auto changes = dispatch::EndRetentions(edge.published, RuntimeClock::now());
  for (const dispatch::PublishedItem& change : changes) {
    LogEvent(LogLevel::kWarn, "lost_change_dropped",
             {{"key", change.key}, {"revision", change.revision}});
  }
  ApplyPublished(edge, changes);
}

void ExpireHeldRemovals(EdgeState& edge) {
  for (const std::string& id : dispatch::ExpireRemovals(edge.upstreams, RuntimeClock::now())) {
    LogEvent(LogLevel::kInfo, "upstream_removed", {{"upstream", id}, {"reason", "not_relisted"}});
  }
}

}  // namespace geraniumspread::edge::detail
