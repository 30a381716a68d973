#include "edge/internal/status_page.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <chrono>
#include <cmath>

#include "dispatch/selection.h"

namespace geraniumspread::edge::detail {
namespace {

namespace json = boost::json;

// Returns 0 if `time` has passed.
std::int64_t MillisecondsUntil(TimePoint time, TimePoint now) {
  return Milliseconds(std::max(Duration{0}, time - now));
}

std::string_view ToString(dispatch::PathState state) {
  switch (state) {
    case dispatch::PathState::kReached:
      return "reached";
    case dispatch::PathState::kSuspected:
      return "suspected";
    case dispatch::PathState::kLost:
      return "lost";
  }
  return "reached";
}

json::array NamesOf(const std::set<std::string, std::less<>>& names) {
  json::array list;
  for (const std::string& name : names) {
    list.emplace_back(name);
  }
  return list;
}

json::object PeerRow(const EdgeState& edge, const dispatch::Peer& peer, TimePoint now) {
  return {{"instance", peer.digest.instance},
          {"address", peer.digest.address},
          {"failure_domain", peer.digest.failure_domain},
          {"live", dispatch::IsLive(edge.peers, peer, now)},
          {"leaving", peer.digest.leaving},
          {"reads_store", peer.digest.reads_store},
          {"reaches_upstreams", peer.digest.reaches_upstreams},
          {"published_revision", peer.digest.published.revision},
          {"heard_ms_ago", Milliseconds(now - peer.last_digest_at)}};
}

json::object UpstreamRow(const EdgeState& edge, const dispatch::Upstream& upstream, TimePoint now) {
  const bool is_configured = dispatch::IsConfigured(edge.upstreams, upstream);
  return {{"id", upstream.listing.id},
          {"service", upstream.listing.service},
          {"address", upstream.listing.address},
          {"failure_domain", upstream.listing.failure_domain},
          {"configured", is_configured},
          {"takes_new_work", is_configured && dispatch::TakesNewWork(edge.upstreams, upstream)},
          {"leaving", upstream.announced.leaving},
          {"requests_per_second", upstream.limit.requests.per_second
                                      ? json::value(*upstream.limit.requests.per_second)
                                      : json::value(nullptr)},
          {"rejections_per_second", upstream.brittle.rejections.per_second
                                        ? json::value(*upstream.brittle.rejections.per_second)
                                        : json::value(nullptr)},
          {"wants_pause_ms", MillisecondsUntil(upstream.announced.pause_until, now)},
          {"removal_held", upstream.removal_at.has_value()},
          {"cold_left_ms", MillisecondsUntil(upstream.cold_until, now)},
          {"avoided_ms", MillisecondsUntil(upstream.health.avoid_until, now)},
          {"pace", dispatch::ExpectedPace(upstream.pace, now)},
          {"failure_rate", dispatch::FailureRate(upstream.health, now)},
          {"slots", upstream.listing.slots},
          {"running_here", upstream.running},
          {"running", dispatch::EstimatedRunning(edge.upstreams, upstream, now)}};
}

json::array QuarantineRows(const dispatch::CrashQuarantine& quarantine, TimePoint now) {
  json::array rows;
  for (const auto& [trait, suspect] : quarantine.suspects) {
    if (suspect.quarantines > 0) {
      const TimePoint end = dispatch::QuarantineEnd(quarantine.settings, suspect);
      rows.emplace_back(json::object{{"trait", Hexadecimal(trait)},
                                     {"quarantines", suspect.quarantines},
                                     {"remaining_ms", MillisecondsUntil(end, now)}});
    }
  }
  return rows;
}

json::array RetainedRows(const dispatch::PublishedState& published, TimePoint now) {
  json::array rows;
  for (const auto& [key, retained] : published.retained) {
    if (!retained.ended) {
      rows.emplace_back(json::object{{"key", key},
                                     {"revision", retained.origin.revision},
                                     {"era", retained.origin.era},
                                     {"age_ms", Milliseconds(now - retained.since)}});
    }
  }
  return rows;
}

}  // namespace

std::string StatusPage(const EdgeState& edge) {
  const TimePoint now = RuntimeClock::now();
  json::array peers;
  for (const auto& [address, peer] : edge.peers.peers) {
    peers.emplace_back(PeerRow(edge, peer, now));
  }
  // Sorted by id, so that two pages can be compared.
  std::map<std::string, json::object> upstreams;
  for (const auto& [id, row] : edge.upstreams.rows) {
    upstreams.emplace(id, UpstreamRow(edge, *row, now));
  }
  json::array listed;
  for (auto& [id, row] : upstreams) {
    listed.emplace_back(std::move(row));
  }
  const auto confirmation_age = dispatch::ConfirmationAge(edge.freshness, RuntimeClock::now());
  return json::serialize(
      json::object{{"instance", edge.settings.instance},
                   {"failure_domain", edge.settings.failure_domain},
                   {"state", edge.stopping   ? "stopping"
                             : IsReady(edge) ? "ready"
                                             : "starting"},
                   {"config", edge.config ? edge.config->version : 0},
                   {"store_era", edge.published.position.era},
                   {"published_revision", edge.published.position.revision},
                   {"retained", RetainedRows(edge.published, now)},
                   {"confirmation_age_ms", confirmation_age ? Milliseconds(*confirmation_age) : -1},
                   {"store_reachable", edge.feed_reachable},
                   {"reads_store", edge.reads_store},
                   {"domains_out", NamesOf(edge.upstreams.domains_out_of_service)},
                   {"domains_silent", NamesOf(edge.upstreams.domains_silent)},
                   {"requests_waiting", edge.runs.size()},
                   {"upstream_path", ToString(edge.path.state)},
                   {"quarantined", QuarantineRows(edge.crashes, now)},
                   {"peers", std::move(peers)},
                   {"upstreams", std::move(listed)}});
}

std::string ExplainPage(const EdgeState& edge, std::string_view service) {
  const std::vector<std::uint64_t> peer_hashes = dispatch::PeerHashes(edge.peers);
  dispatch::ServiceRules rules{.name = std::string(service)};
  if (edge.config) {
    if (const auto found = edge.config->services.find(rules.name);
        found != edge.config->services.end()) {
      rules = found->second;
    }
  }
  const dispatch::SelectionRequest selection_request =
      MakeSelectionRequest(edge, rules, peer_hashes);
  const dispatch::Selection selection =
      dispatch::SelectUpstream(edge.upstreams, edge.settings.selection, selection_request);
  json::array candidates;
  for (const dispatch::Candidate& candidate : selection.candidates) {
    candidates.emplace_back(json::object{{"upstream", candidate.row->listing.id},
                                         {"failure_domain", candidate.row->listing.failure_domain},
                                         {"cost_ms", std::lround(candidate.cost_ms)},
                                         {"running", candidate.running}});
  }
  return json::serialize(json::object{{"instance", edge.settings.instance},
                                      {"service", service},
                                      {"failure", dispatch::ToString(selection.failure)},
                                      {"candidates", std::move(candidates)}});
}

}  // namespace geraniumspread::edge::detail
