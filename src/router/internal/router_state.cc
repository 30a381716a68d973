#include "router/router_state.h"

#include <algorithm>
#include <iterator>
#include <utility>
#include <variant>

#include "common/hash.h"
#include "router/internal/engine_orders.h"
#include "router/internal/lease_messages.h"
#include "router/internal/quarantine_spread.h"
#include "router/internal/share_loans.h"
#include "router/internal/state_sync.h"
#include "router/internal/upstream_queues.h"
#include "router/internal/upstream_reports.h"

namespace geraniumspread::router {
namespace {

fleet::OfferOutcome ToFleet(const config::OfferOutcome& outcome) {
  switch (outcome.verdict) {
    case config::OfferVerdict::kAccepted:
    case config::OfferVerdict::kPending:
      return fleet::OfferOutcome::kStored;
    case config::OfferVerdict::kConflict:
    case config::OfferVerdict::kRejected:
      return fleet::OfferOutcome::kRefused;
    default:
      return fleet::OfferOutcome::kIgnored;
  }
}

fleet::ConfigVersion ToFleet(const config::VersionDigest& version) {
  return version.version == 0 ? fleet::ConfigVersion{}
                              : fleet::ConfigVersion{version.version, version.digest};
}

fleet::ConfigVersion PendingVersion(const config::ConfigStore& store) {
  if (store.pending_manifests.empty()) {
    return {};
  }
  return {store.pending_manifests.front().manifest.version, store.pending_manifests.front().digest};
}

fleet::ConfigExchange MakeExchange(RouterState& state) {
  config::ConfigStore& store = state.store;
  fleet::ConfigExchange exchange;
  exchange.in_force = [&store] { return ToFleet(store.in_force); };
  exchange.pending = [&store] { return PendingVersion(store); };
  exchange.missing_digests = [&store] { return config::MissingShards(store); };
  exchange.bytes = [&store](std::string_view digest) -> std::string_view {
    const std::string* part = config::FindObjectBytes(store, digest);
    return part == nullptr ? std::string_view() : std::string_view(*part);
  };
  exchange.offer_manifest = [&store](std::string_view manifest) {
    return ToFleet(config::OfferManifest(store, std::string(manifest), RuntimeClock::now()));
  };
  exchange.offer_shard = [&store](std::string_view, std::string_view shard) {
    return ToFleet(config::OfferShard(store, std::string(shard), RuntimeClock::now()));
  };
  return exchange;
}

// --- Leases ---

void AppendLeaseMessages(const RouterState& state,
                         const ownership::OwnershipOutbox& outbox,
                         TickOutput& output) {
  const auto append = [&](ownership::RouterKey to, fleet::PeerMessage message) {
    const auto found = state.router_ids.find(static_cast<std::uint64_t>(to));
    if (found != state.router_ids.end() && found->second != state.identity.id) {
      output.messages.push_back({found->second, std::move(message)});
    }
  };
  for (const auto& [to, message] : outbox.requests) {
    append(to, detail::ToWire(message));
  }
  for (const auto& [to, message] : outbox.releases) {
    append(to, detail::ToWire(message));
  }
}

void HandleLeaseMessage(RouterState& state,
                        const fleet::ReceivedMessage& received,
                        TickOutput& output,
                        TimePoint now) {
  const ownership::RouterKey from = ownership::MakeRouterKey(received.sender);
  if (const auto* request = std::get_if<fleet::LeaseRequest>(&received.message)) {
    const auto reply = ownership::HandleLeaseRequest(
        state.ownership, from, detail::FromWire(*request, received.incarnation), now);
    if (reply) {
      output.messages.push_back({received.sender, detail::ToWire(*reply)});
    }
  } else if (const auto* reply = std::get_if<fleet::LeaseReply>(&received.message)) {
    ownership::HandleLeaseReply(state.ownership, from, detail::FromWire(*reply), now);
  } else if (const auto* release = std::get_if<fleet::LeaseRelease>(&received.message)) {
    ownership::HandleLeaseRelease(state.ownership, from,
                                  detail::FromWire(*release, received.incarnation), now);
  }
}

void AppendGossip(TickOutput& output, fleet::GossipOutput gossip) {
  std::ranges::move(gossip.messages, std::back_inserter(output.messages));
  std::ranges::move(gossip.service_calls, std::back_inserter(output.service_calls));
  output.config_changed = output.config_changed || gossip.config_changed;
}

void RecordPeerVersion(RouterState& state, const fleet::ReceivedMessage& received, TimePoint now) {
  const auto* heartbeat = std::get_if<fleet::Heartbeat>(&received.message);
  if (heartbeat != nullptr && heartbeat->config.version != 0) {
    config::RecordPeerVersion(state.store, {heartbeat->config.version, heartbeat->config.digest},
                              now);
  }
}

}  // namespace

std::unique_ptr<RouterState> MakeRouterState(const RouterIdentity& identity,
                                             const RouterStateOptions& options,
                                             TimePoint now) {
  auto state = std::make_unique<RouterState>();
  state->identity = identity;
  state->options = options;
  state->started_at = now;
  state->store = config::MakeConfigStore({}, now);
  state->membership = fleet::MakeMembership({}, identity.id, identity.failure_domain,
                                            identity.incarnation, identity.endpoint, now);
  state->gossip = fleet::MakeGossip({}, {}, options.seed, now);
  state->exchange = MakeExchange(*state);
  state->ownership = ownership::MakeOwnershipState({}, ownership::MakeRouterKey(identity.id),
                                                   identity.incarnation, now);
  state->placement = placement::MakePlacementState({}, now);
  state->own_domain = placement::InternDomain(state->placement, identity.failure_domain);
  admission::LimitsPolicy limits;
  limits.router_max_concurrent = options.max_concurrent_requests;
  state->limits = admission::MakeWorkspaceLimitTable(limits, now);
  state->retries = admission::MakeRetryBudget({});
  state->tickets =
      outcomes::MakeTicketTable({}, {identity.id, identity.incarnation}, identity.shared_key, now);
  state->quarantine = outcomes::MakeQuarantineTable({}, StableHash(identity.id));
  return state;
}

TickOutput TickRouter(RouterState& state,
                      TimePoint now,
                      std::chrono::system_clock::time_point wall_time) {
  TickOutput output;
  fleet::ExpireMembers(state.membership, now);
  const bool serving = IsServing(state, now);
  fleet::SetSelfState(state.membership, state.draining ? fleet::RouterState::kDraining
                                        : serving      ? fleet::RouterState::kServing
                                                       : fleet::RouterState::kStarting);
  AppendGossip(output, fleet::TickGossip(state.gossip, state.membership, state.exchange, now));
  detail::ApplyConfiguration(state, now);
  detail::SyncMembership(state, now);
  ownership::OwnershipOutbox outbox;
  ownership::TickOwnership(state.ownership, now, outbox);
  AppendLeaseMessages(state, outbox, output);
  detail::PublishLoad(state);
  placement::TickPlacement(state.placement, now);
  admission::TickWorkspaceLimits(state.limits, now);
  detail::TickShareLoans(state, now);
  detail::RequestReports(state, output, now);
  detail::TickQueues(state, output, now);
  output.orders = detail::TickEngineOrders(state, now, wall_time);
  outcomes::RemoveExpiredTickets(state.tickets, now);
  outcomes::RemoveExpiredSuccessors(state.successors, now);
  outcomes::RemoveExpiredSuspects(state.quarantine, now);
  return output;
}

TickOutput HandleMessage(RouterState& state, const fleet::ReceivedMessage& message, TimePoint now) {
  TickOutput output;
  if (const auto* heartbeat = std::get_if<fleet::Heartbeat>(&message.message)) {
    const auto change = fleet::ApplyHeartbeat(state.membership, message.sender, *heartbeat, now);
    if (!change) {
      return output;
    }
    state.membership_changed = true;
    RecordPeerVersion(state, message, now);
  } else {
    fleet::RecordPeerContact(state.membership, message.sender, message.incarnation, now);
  }
  HandleLeaseMessage(state, message, output, now);
  detail::HandleShareMessage(state, message, output, now);
  detail::MergeQuarantine(state, message, now);
  AppendGossip(output, fleet::HandlePeerMessage(state.gossip, state.membership, state.exchange,
                                                message.sender, message.message, now));
  detail::ApplyConfiguration(state, now);
  return output;
}

TickOutput HandleServiceAnswer(RouterState& state,
                               const fleet::ServiceResponse& answer,
                               TimePoint now) {
  TickOutput output;
  AppendGossip(output, fleet::HandleServiceResponse(state.gossip, state.membership, state.exchange,
                                                    answer, now));
  detail::ApplyConfiguration(state, now);
  return output;
}

bool HandleInstanceList(RouterState& state, std::string_view body, TimePoint now) {
  const auto list = fleet::ParseInstanceList(body);
  if (!list) {
    return false;
  }
  const auto change = fleet::ApplyInstanceList(state.membership, list.value(), now);
  state.membership_changed = state.membership_changed || change.has_value();
  return change.has_value();
}

const fleet::RouterMember* FindOwner(const RouterState& state,
                                     std::string_view upstream,
                                     TimePoint now) {
  const fleet::UpstreamMember* member = fleet::FindUpstream(state.membership, upstream);
  if (member == nullptr) {
    return nullptr;
  }
  const ownership::UpstreamKey key = ownership::MakeUpstreamKey(upstream);
  if (member->failure_domain == state.identity.failure_domain) {
    if (ownership::HoldsLease(state.ownership, key, now)) {
      return fleet::FindRouter(state.membership, state.identity.id);
    }
  }
  std::vector<ownership::RouterKey> candidates;
  for (const fleet::RouterMember& router : state.membership.routers) {
    if (router.failure_domain == member->failure_domain && detail::MayOwn(state, router, now)) {
      candidates.push_back(ownership::MakeRouterKey(router.id));
    }
  }
  if (candidates.empty()) {
    return nullptr;
  }
  const auto owner = ownership::CandidateOwner(candidates, key);
  const auto found = state.router_ids.find(static_cast<std::uint64_t>(owner));
  return found == state.router_ids.end() ? nullptr
                                         : fleet::FindRouter(state.membership, found->second);
}

bool IsServing(const RouterState& state, TimePoint now) {
  return state.configuration != nullptr &&
         fleet::IsReadyToServe(state.gossip, state.membership, state.exchange, now);
}

void BeginDrain(RouterState& state, TimePoint now) {
  state.draining = true;
  state.membership_changed = true;
  ownership::ReleaseAllLeases(state.ownership, now);
}

}  // namespace geraniumspread::router
