#include "router/router_state.h"

#include <algorithm>
#include <iterator>
#include <utility>
#include <variant>

#include "common/hash.h"
#include "router/internal/engine_orders.h"
#include "router/internal/lease_messages.h"
#include "router/internal/share_loans.h"

namespace geraniumspread::router {
namespace {

// Membership is copied into the other modules when it changes, and at least
// this often because silence and damping depend on time.
constexpr Duration kSyncPeriod = std::chrono::seconds(1);
// Between the loss of a connection and the report that shows a new incarnation.
constexpr Duration kLostRequestHold = std::chrono::seconds(10);
constexpr std::uint32_t kFailedReportsOfDeadUpstream = 3;
constexpr std::size_t kLargeDomainMembers = 12;
constexpr Duration kSilentAfter = std::chrono::seconds(3);
constexpr Duration kSilentAfterInLargeDomain = std::chrono::seconds(10);
constexpr std::uint32_t kDefaultEngineCapacity = 8;

fleet::OfferOutcome ToFleet(const config::OfferOutcome& outcome) {
  switch (outcome.verdict) {
    case config::OfferVerdict::kAccepted:
    case config::OfferVerdict::kPending:
      return fleet::OfferOutcome::kTaken;
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
  if (store.candidates.empty()) {
    return {};
  }
  return {store.candidates.front().manifest.version, store.candidates.front().digest};
}

fleet::ConfigExchange MakeExchange(RouterState& state) {
  config::ConfigStore& store = state.store;
  fleet::ConfigExchange exchange;
  exchange.in_force = [&store] { return ToFleet(store.in_force); };
  exchange.pending = [&store] { return PendingVersion(store); };
  exchange.missing_digests = [&store] { return config::MissingShards(store); };
  exchange.bytes = [&store](std::string_view digest) -> std::string_view {
    const std::string* part = config::FindPart(store, digest);
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

// --- Configuration ---

std::int32_t CapacityOf(const config::Configuration& configuration,
                        const fleet::UpstreamMember& member) {
  if (member.kind == UpstreamKind::kPlainService) {
    const config::Service* service = config::FindService(configuration, member.pool);
    return service == nullptr ? 1 : static_cast<std::int32_t>(service->concurrency_per_upstream);
  }
  const config::ModelPool* pool = config::FindPool(configuration, member.pool);
  return static_cast<std::int32_t>(pool == nullptr ? kDefaultEngineCapacity : pool->capacity);
}

void ApplyWorkspaceLimits(RouterState& state, TimePoint now) {
  std::vector<admission::WorkspaceLimit> limits;
  limits.reserve(state.configuration->workspaces.size());
  for (const config::Workspace& workspace : state.configuration->workspaces) {
    const auto rate = static_cast<float>(workspace.requests_per_second);
    // One second's worth may arrive at once.
    limits.push_back({.workspace = StableHash(workspace.name),
                      .max_concurrent = workspace.concurrency_limit,
                      .requests_per_second = rate,
                      .burst = std::max(rate, 1.0F)});
  }
  admission::SetWorkspaceLimits(state.limits, limits, now);
}

void ApplyConfiguration(RouterState& state, TimePoint now) {
  const auto in_force = config::InForce(state.store);
  if (in_force == state.configuration) {
    return;
  }
  state.configuration = in_force;
  const config::FleetSettings& settings = in_force->settings;
  state.placement.settings.return_ramp = settings.return_ramp;
  for (const config::ModelPool& pool : in_force->pools) {
    placement::SetPoolBound(state.placement, pool.name, pool.load_multiple);
  }
  state.ownership.settings.lease_term = settings.lease_term;
  state.retries.policy.ratio = settings.retry_budget_percent / 100.0;
  state.quarantine.policy.deaths_to_quarantine = settings.quarantine_deaths;
  state.quarantine.policy.quarantine_time = settings.quarantine_time;
  state.tickets.policy.lifetime = settings.ticket_expiry;
  for (const config::FailureDomain& domain : in_force->failure_domains) {
    placement::SetDomainInService(state.placement,
                                  placement::InternDomain(state.placement, domain.name),
                                  domain.in_service, now);
  }
  ApplyWorkspaceLimits(state, now);
  state.membership_changed = true;
}

// --- Membership ---

// Whether the router may be the owner of an upstream of its domain. Routers of
// other domains send heartbeats to few random members, so their silence for a
// few seconds says nothing; the platform's list tells when they are gone.
bool MayOwn(const RouterState& state, const fleet::RouterMember& router, TimePoint now) {
  if (router.id == state.identity.id) {
    return !state.draining;
  }
  if (router.failure_domain == state.identity.failure_domain) {
    return fleet::IsCandidate(state.membership, router, now);
  }
  const bool may_serve = !router.last_heard || router.state == fleet::RouterState::kServing;
  return router.member && !router.leaving && may_serve && now >= router.flaps.damped_until;
}

void SyncRouters(RouterState& state, TimePoint now) {
  std::vector<ownership::RouterKey> members;
  std::vector<ownership::RouterKey> candidates;
  std::vector<admission::RouterKey> live;
  for (const fleet::RouterMember& router : state.membership.routers) {
    const ownership::RouterKey key = ownership::MakeRouterKey(router.id);
    state.router_ids.insert_or_assign(static_cast<std::uint64_t>(key), router.id);
    if (!router.member) {
      continue;
    }
    live.push_back(StableHash(router.id));
    if (router.failure_domain != state.identity.failure_domain) {
      continue;
    }
    members.push_back(key);
    if (MayOwn(state, router, now)) {
      candidates.push_back(key);
    }
  }
  // In a large domain the bound on heartbeat bytes makes peers hear each other
  // only every 5 to 7 s.
  state.membership.settings.silent_after =
      members.size() > kLargeDomainMembers ? kSilentAfterInLargeDomain : kSilentAfter;
  ownership::SetMembers(state.ownership, members, candidates, now);
  admission::SetLiveRouters(state.limits, StableHash(state.identity.id), live, now);
}

DomainUpstreamRow& UpsertRow(RouterState& state, const fleet::UpstreamMember& member) {
  auto [entry, added] = state.upstreams.try_emplace(member.id);
  DomainUpstreamRow& row = entry->second;
  if (added) {
    row.id = member.id;
    row.key = ownership::MakeUpstreamKey(member.id);
    row.kind = member.kind;
    row.queue = admission::MakeOwnerQueue({});
    row.load.upstream = member.id;
  }
  row.endpoint = {member.endpoint.address, member.endpoint.port};
  return row;
}

void SyncUpstream(RouterState& state, const fleet::UpstreamMember& member, TimePoint now) {
  const placement::UpstreamIndex index = placement::UpsertUpstream(
      state.placement, {.name = member.id,
                        .pool = member.pool,
                        .domain = member.failure_domain,
                        .kind = member.kind,
                        .capacity = CapacityOf(*state.configuration, member)});
  if (!fleet::IsUsable(member, now)) {
    placement::SetUpstreamState(
        state.placement, index,
        member.listed ? placement::UpstreamState::kLeaving : placement::UpstreamState::kGone);
  }
  if (member.failure_domain == state.identity.failure_domain) {
    UpsertRow(state, member).index = index;
  }
}

void SyncUpstreams(RouterState& state, TimePoint now) {
  for (const fleet::UpstreamMember& member : state.membership.upstreams) {
    SyncUpstream(state, member, now);
  }
  std::vector<ownership::DomainUpstream> domain_upstreams;
  for (auto entry = state.upstreams.begin(); entry != state.upstreams.end();) {
    const DomainUpstreamRow& row = entry->second;
    const bool is_idle = row.in_flight.empty() && row.queue.waiting.empty();
    if (fleet::FindUpstream(state.membership, row.id) == nullptr && is_idle) {
      placement::SetUpstreamState(state.placement, row.index, placement::UpstreamState::kGone);
      entry = state.upstreams.erase(entry);
      continue;
    }
    domain_upstreams.push_back(
        {.upstream = row.key, .reports_load = row.kind == UpstreamKind::kModelEngine});
    ++entry;
  }
  ownership::SetUpstreams(state.ownership, domain_upstreams, now);
}

void SyncMembership(RouterState& state, TimePoint now) {
  if (!state.configuration || (!state.membership_changed && now < state.next_sync)) {
    return;
  }
  state.membership_changed = false;
  state.next_sync = now + kSyncPeriod;
  SyncRouters(state, now);
  SyncUpstreams(state, now);
}

// --- Load ---

void PublishLoad(RouterState& state) {
  state.gossip.pool_loads.clear();
  std::unordered_map<std::string_view, std::int64_t> elsewhere;
  for (const fleet::RouterMember& router : state.membership.routers) {
    if (router.id == state.identity.id || !router.member) {
      continue;
    }
    for (const fleet::PoolLoad& load : router.pool_loads) {
      elsewhere[load.pool] += load.in_flight;
    }
  }
  for (std::size_t index = 0; index < state.placement.pools.size(); ++index) {
    const auto pool = static_cast<placement::PoolIndex>(index);
    const std::string& name = state.placement.pools[pool].name;
    placement::SetInFlightElsewhere(state.placement, pool, elsewhere[name]);
    if (const std::int64_t own = placement::OwnedInFlight(state.placement, pool); own > 0) {
      state.gossip.pool_loads.push_back({name, static_cast<std::uint32_t>(own)});
    }
  }
}

// Plain services report no load. They count as warm with the concurrency that
// the configuration gives them.
void RefreshPlainService(RouterState& state, DomainUpstreamRow& row, TimePoint now) {
  const std::int32_t capacity = state.placement.upstreams[row.index].capacity;
  placement::NoteReport(
      state.placement, row.index,
      {.incarnation = 1, .sequence = ++row.service_sequence, .capacity = capacity}, now);
}

bool NeedsReports(const RouterState& state, const DomainUpstreamRow& row, TimePoint now) {
  const auto allowance = ownership::AllowedInFlight(state.ownership, row.key, 1, now);
  return allowance.basis != ownership::AllowanceBasis::kNoLease ||
         ownership::CandidateOwner(state.ownership, row.key) == state.ownership.self;
}

void RequestReports(RouterState& state, TickOutput& output, TimePoint now) {
  for (auto& [id, row] : state.upstreams) {
    if (row.index == placement::kNoUpstream) {
      continue;
    }
    const bool is_due = now >= row.next_report && !row.report_pending;
    if (!is_due || !NeedsReports(state, row, now)) {
      continue;
    }
    row.next_report = now + state.options.load_report_period;
    if (row.kind == UpstreamKind::kPlainService) {
      RefreshPlainService(state, row, now);
      continue;
    }
    row.report_pending = true;
    engines::NotePollSent(row.load, now);
    ownership::NoteReportAsked(state.ownership, row.key);
    output.reports.push_back({id, row.endpoint});
  }
}

// --- Queues ---

void AppendShed(TickOutput& output,
                const std::string& upstream,
                const std::vector<admission::ShedRequest>& shed) {
  for (const admission::ShedRequest& entry : shed) {
    output.queue_results.push_back(
        {.request = entry.request.request, .upstream = upstream, .refusal = entry.refusal});
  }
}

// The limit of an upstream that may have restarted is its cold limit: requests
// that waited for its slots would otherwise all reach the new process.
std::int32_t LimitNow(const RouterState& state, const DomainUpstreamRow& row) {
  const std::int32_t limit = placement::UpstreamLimit(state.placement, row.index);
  const bool is_confirmed = row.kind == UpstreamKind::kPlainService ||
                            row.connection_lost_at == TimePoint::min() ||
                            row.load.report_asked_at > row.connection_lost_at;
  return is_confirmed ? limit : std::min(limit, state.placement.cold_start[row.index].base_limit);
}

std::int32_t FreeSlots(const RouterState& state, const DomainUpstreamRow& row, TimePoint now) {
  const std::int32_t limit = LimitNow(state, row);
  const auto allowance = ownership::AllowedInFlight(state.ownership, row.key, limit, now);
  return allowance.limit - ownership::InFlight(state.ownership, row.key);
}

// Whether the router may queue requests at the upstream: it holds the lease or
// may use its reserve.
bool MayQueue(const RouterState& state, const DomainUpstreamRow& row, TimePoint now) {
  using ownership::AllowanceBasis;
  const AllowanceBasis basis = ownership::AllowedInFlight(state.ownership, row.key, 1, now).basis;
  return basis != AllowanceBasis::kNoLease && basis != AllowanceBasis::kReleasing &&
         basis != AllowanceBasis::kUnknownUpstream;
}

// A router on its reserve needs the cold limit as well. What the limit grew to
// under a lease is not kept for the reserve, nor the other way round: the
// lease may be at another router, where the upstream starts cold.
void UpdateOwned(RouterState& state, DomainUpstreamRow& row, TimePoint now) {
  const bool has_lease = ownership::HoldsLease(state.ownership, row.key, now);
  const bool on_reserve = !has_lease && MayQueue(state, row, now);
  if (on_reserve != row.on_reserve) {
    placement::SetOwned(state.placement, row.index, false);
  }
  row.on_reserve = on_reserve;
  placement::SetOwned(state.placement, row.index, has_lease || on_reserve);
}

// Hands free slots of one upstream to waiting requests. Without a lease they are
// refused, so that the entry router places them at the new owner.
void PumpQueue(RouterState& state, DomainUpstreamRow& row, TickOutput& output, TimePoint now) {
  if (row.queue.waiting.empty()) {
    return;
  }
  UpdateOwned(state, row, now);
  if (!placement::AcceptsNewWork(state.placement, row.index)) {
    AppendShed(output, row.id,
               admission::RefuseAll(row.queue, admission::RefusalCode::kDomainOutOfService));
    return;
  }
  if (!MayQueue(state, row, now)) {
    AppendShed(output, row.id, admission::RefuseAll(row.queue, admission::RefusalCode::kNotOwner));
    return;
  }
  for (std::int32_t free = FreeSlots(state, row, now); free > 0; --free) {
    const admission::DispatchDecision decision = admission::NextToDispatch(row.queue, now);
    AppendShed(output, row.id, decision.shed);
    if (!decision.request) {
      return;
    }
    output.queue_results.push_back({.request = decision.request->request,
                                    .upstream = row.id,
                                    .granted = true,
                                    .token = ownership::NoteDispatch(state.ownership, row.key, now),
                                    .cold_epoch = state.placement.cold_start[row.index].epoch});
  }
}

void TickQueues(RouterState& state, TickOutput& output, TimePoint now) {
  for (auto& [id, row] : state.upstreams) {
    if (row.index == placement::kNoUpstream) {
      continue;
    }
    UpdateOwned(state, row, now);
    const std::int32_t limit = placement::UpstreamLimit(state.placement, row.index);
    admission::SetSlots(row.queue, static_cast<std::uint32_t>(std::max(limit, 1)));
    AppendShed(output, id, admission::ExpireQueued(row.queue, now));
    PumpQueue(state, row, output, now);
  }
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

void NotePeerVersion(RouterState& state, const fleet::ReceivedMessage& received, TimePoint now) {
  const auto* heartbeat = std::get_if<fleet::Heartbeat>(&received.message);
  if (heartbeat != nullptr && heartbeat->config.version != 0) {
    config::NotePeerVersion(state.store, {heartbeat->config.version, heartbeat->config.digest},
                            now);
  }
}

// --- Quarantine ---

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
      state, outcomes::NoteUpstreamDeath(state.quarantine, StableHash(row.id), suspects, now), now);
}

// An upstream that died and stays away sends no report with a new incarnation.
void NoteMissingReport(RouterState& state, DomainUpstreamRow& row, TimePoint now) {
  ++row.failed_reports;
  if (row.failed_reports == kFailedReportsOfDeadUpstream && !row.lost.empty()) {
    NoteDeath(state, row, now);
  }
}

// The lower of what the operators allow and what the upstream reports to bear.
std::int32_t ColdLimitOf(const RouterState& state,
                         const DomainUpstreamRow& row,
                         const engines::LoadReport& report) {
  const auto reported = static_cast<std::int32_t>(report.cold_limit);
  const fleet::UpstreamMember* member = fleet::FindUpstream(state.membership, row.id);
  const config::ModelPool* pool =
      member == nullptr ? nullptr : config::FindPool(*state.configuration, member->pool);
  if (pool == nullptr) {
    return reported;
  }
  const auto configured = static_cast<std::int32_t>(pool->cold_limit);
  return reported == 0 ? configured : std::min(configured, reported);
}

void ApplyReport(RouterState& state,
                 DomainUpstreamRow& row,
                 const engines::LoadReport& report,
                 TimePoint asked_at,
                 TimePoint now) {
  const bool had_report = row.load.report.has_value();
  const auto effect = engines::ApplyLoadReport(row.load, report);
  if (!effect) {
    return;
  }
  if (effect.value().new_incarnation && had_report) {
    row.ordered_state.reset();
    NoteDeath(state, row, now);
  }
  const auto running = static_cast<std::int32_t>(report.running + report.waiting);
  ownership::NoteLoadReport(state.ownership, row.key, asked_at, running, now);
  placement::NoteReport(state.placement, row.index,
                        {.incarnation = report.incarnation,
                         .sequence = report.sequence,
                         .capacity = static_cast<std::int32_t>(report.capacity),
                         .cold_limit = ColdLimitOf(state, row, report),
                         .cold = report.cold,
                         .first_token_ms = static_cast<std::uint32_t>(report.first_token.count())},
                        asked_at);
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
  ApplyConfiguration(state, now);
  SyncMembership(state, now);
  ownership::OwnershipOutbox outbox;
  ownership::TickOwnership(state.ownership, now, outbox);
  AppendLeaseMessages(state, outbox, output);
  PublishLoad(state);
  placement::TickPlacement(state.placement, now);
  admission::TickWorkspaceLimits(state.limits, now);
  detail::TickShareLoans(state, now);
  RequestReports(state, output, now);
  TickQueues(state, output, now);
  output.orders = detail::TickEngineOrders(state, now, wall_time);
  outcomes::TickTickets(state.tickets, now);
  outcomes::TickSuccessors(state.successors, now);
  outcomes::TickQuarantine(state.quarantine, now);
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
    NotePeerVersion(state, message, now);
  } else {
    fleet::NoteHeard(state.membership, message.sender, message.incarnation, now);
  }
  HandleLeaseMessage(state, message, output, now);
  detail::HandleShareMessage(state, message, output, now);
  MergeQuarantine(state, message, now);
  AppendGossip(output, fleet::HandlePeerMessage(state.gossip, state.membership, state.exchange,
                                                message.sender, message.message, now));
  ApplyConfiguration(state, now);
  return output;
}

TickOutput HandleServiceAnswer(RouterState& state,
                               const fleet::ServiceAnswer& answer,
                               TimePoint now) {
  TickOutput output;
  AppendGossip(output, fleet::HandleServiceAnswer(state.gossip, state.membership, state.exchange,
                                                  answer, now));
  ApplyConfiguration(state, now);
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

TickOutput HandleLoadReport(RouterState& state,
                            const std::string& upstream,
                            TimePoint asked_at,
                            std::string_view body,
                            TimePoint now) {
  TickOutput output;
  const auto found = state.upstreams.find(upstream);
  if (found == state.upstreams.end()) {
    return output;
  }
  DomainUpstreamRow& row = found->second;
  row.report_pending = false;
  const auto report = engines::ParseLoadReport(body);
  if (!report) {
    NoteMissingReport(state, row, now);
    return output;
  }
  row.failed_reports = 0;
  ApplyReport(state, row, report.value(), asked_at, now);
  PumpQueue(state, row, output, now);
  return output;
}

TickOutput EnqueueDispatch(RouterState& state, const DispatchRequest& request, TimePoint now) {
  TickOutput output;
  const auto refuse = [&](admission::RefusalCode code) {
    output.queue_results.push_back({.request = request.queued.request,
                                    .upstream = request.upstream,
                                    .refusal = admission::MakeRefusal(
                                        code, admission::kMinRetryAfter, request.queued.request)});
  };
  const auto found = state.upstreams.find(request.upstream);
  if (found == state.upstreams.end() || found->second.index == placement::kNoUpstream) {
    refuse(admission::RefusalCode::kNotOwner);
    return output;
  }
  DomainUpstreamRow& row = found->second;
  if (!MayQueue(state, row, now)) {
    refuse(admission::RefusalCode::kNotOwner);
    return output;
  }
  if (!placement::AcceptsNewWork(state.placement, row.index)) {
    refuse(admission::RefusalCode::kDomainOutOfService);
    return output;
  }
  if (!request.may_wait && !row.queue.waiting.empty() && FreeSlots(state, row, now) <= 0) {
    refuse(admission::RefusalCode::kUpstreamAtLimit);
    return output;
  }
  const admission::EnqueueDecision decision = admission::Enqueue(row.queue, request.queued, now);
  if (decision.shed) {
    AppendShed(output, row.id, {*decision.shed});
  }
  if (decision.refusal) {
    output.queue_results.push_back(
        {.request = request.queued.request, .upstream = row.id, .refusal = *decision.refusal});
    return output;
  }
  PumpQueue(state, row, output, now);
  return output;
}

void CancelDispatch(RouterState& state,
                    const std::string& upstream,
                    admission::RequestHandle request) {
  if (const auto found = state.upstreams.find(upstream); found != state.upstreams.end()) {
    admission::CancelQueued(found->second.queue, request);
  }
}

void NoteDispatched(RouterState& state,
                    const std::string& upstream,
                    const outcomes::Fingerprint& fingerprint) {
  if (const auto found = state.upstreams.find(upstream); found != state.upstreams.end()) {
    found->second.in_flight.push_back(fingerprint);
  }
}

TickOutput FinishDispatch(RouterState& state,
                          const std::string& upstream,
                          const DispatchEnd& end,
                          TimePoint now) {
  TickOutput output;
  ownership::NoteFinish(state.ownership, end.token);
  const auto found = state.upstreams.find(upstream);
  if (found == state.upstreams.end()) {
    return output;
  }
  DomainUpstreamRow& row = found->second;
  if (const auto fingerprint = std::ranges::find(row.in_flight, end.fingerprint);
      fingerprint != row.in_flight.end()) {
    row.in_flight.erase(fingerprint);
  }
  if (end.connection_lost) {
    row.lost.push_back({end.fingerprint, now});
    row.connection_lost_at = now;
    row.next_report = now;
  }
  if (end.succeeded) {
    admission::NoteRunTime(row.queue, end.priority, end.run_time);
    if (!end.token.on_reserve) {
      placement::NoteSuccess(state.placement, row.index, end.cold_epoch);
    }
    outcomes::NoteCompleted(state.quarantine, end.fingerprint);
  }
  PumpQueue(state, row, output, now);
  return output;
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
    if (router.failure_domain == member->failure_domain && MayOwn(state, router, now)) {
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
         fleet::MayServe(state.gossip, state.membership, state.exchange, now);
}

void BeginDrain(RouterState& state, TimePoint now) {
  state.draining = true;
  state.membership_changed = true;
  ownership::LeaveOwnership(state.ownership, now);
}

}  // namespace geraniumspread::router
