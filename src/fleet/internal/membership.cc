#include "fleet/membership.h"

#include <algorithm>
#include <utility>

#include "common/hash.h"

namespace geraniumspread::fleet {
namespace {

// Minimum group size for the "more than half" rule. In smaller groups only a list
// that removes all members is implausible.
constexpr std::size_t kSmallGroup = 4;

template <typename Table>
auto* FindById(Table& table, std::string_view id) {
  const auto found = std::ranges::lower_bound(
      table, id, std::less<>{}, [](const auto& entry) { return std::string_view(entry.id); });
  return found != table.end() && found->id == id ? &*found : nullptr;
}

template <typename Table>
auto& InsertById(Table& table, std::string_view id) {
  const auto place = std::ranges::lower_bound(
      table, id, std::less<>{}, [](const auto& entry) { return std::string_view(entry.id); });
  auto& entry = *table.emplace(place);
  entry.id = id;
  return entry;
}

void RecordFlap(FlapRecord& flaps, const MembershipSettings& settings, TimePoint now) {
  if (flaps.changes == 0 || now - flaps.window_start > settings.flap_window) {
    flaps.changes = 0;
    flaps.window_start = now;
  }
  ++flaps.changes;
  if (flaps.changes <= settings.flap_limit) {
    return;
  }
  Duration damping = settings.damping_period;
  for (int step = settings.flap_limit + 1;
       step < flaps.changes && damping < settings.max_damping_period; ++step) {
    damping *= 2;
  }
  flaps.damped_until = now + std::min(damping, settings.max_damping_period);
}

bool RemovesTooMany(std::size_t present, std::size_t removed) {
  return removed * 2 > present && (present >= kSmallGroup || removed == present);
}

// Counts entries that are listed as live and missing in `list`. Instances that
// were listed as leaving are expected to disappear.
template <typename Table>
bool RemovesTooManyOf(const Table& table, const InstanceList& list) {
  std::size_t present = 0;
  std::size_t removed = 0;
  for (const auto& entry : table) {
    if (entry.listed && !entry.leaving) {
      ++present;
      removed += FindById(list.instances, entry.id) == nullptr ? 1 : 0;
    }
  }
  return present > 0 && RemovesTooMany(present, removed);
}

bool IsImplausible(Membership& membership, const InstanceList& list, TimePoint now) {
  if (list.instances.empty()) {
    return true;
  }
  if (!RemovesTooManyOf(membership.routers, list) &&
      !RemovesTooManyOf(membership.upstreams, list)) {
    membership.implausible_since.reset();
    return false;
  }
  if (!membership.implausible_since) {
    membership.implausible_since = now;
  }
  return now - *membership.implausible_since < membership.settings.mass_removal_delay;
}

void ApplyListedRouter(Membership& membership,
                       const ListedInstance& listed,
                       TimePoint now,
                       MembershipChange& change) {
  RouterMember* router = FindById(membership.routers, listed.id);
  const bool is_new = router == nullptr;
  if (is_new) {
    router = &InsertById(membership.routers, listed.id);
  }
  if (is_new || !router->member) {
    change.routers_added.push_back(listed.id);
  }
  if (!is_new && (!router->listed || listed.incarnation > router->incarnation) &&
      listed.id != membership.self_id) {
    RecordFlap(router->flaps, membership.settings, now);
  }
  router->member = true;
  router->listed = true;
  router->last_listed = now;
  if (listed.incarnation < router->incarnation) {
    return;  // the list is older than a restart, and so are its other fields
  }
  router->leaving = listed.leaving;
  if (listed.id == membership.self_id) {
    return;
  }
  if (!is_new && listed.incarnation > router->incarnation) {
    change.routers_restarted.push_back(listed.id);
    router->state = RouterState::kStarting;
    router->pool_loads.clear();
  }
  router->incarnation = listed.incarnation;
  router->failure_domain = listed.failure_domain;
  router->endpoint = listed.endpoint;
}

void ApplyListedUpstream(Membership& membership,
                         const ListedInstance& listed,
                         TimePoint now,
                         MembershipChange& change) {
  UpstreamMember* upstream = FindById(membership.upstreams, listed.id);
  const bool is_new = upstream == nullptr;
  if (is_new) {
    upstream = &InsertById(membership.upstreams, listed.id);
  }
  const bool restarted = !is_new && listed.incarnation > upstream->incarnation;
  if (is_new || !upstream->listed) {
    change.upstreams_added.push_back(listed.id);
  }
  if (restarted) {
    change.upstreams_restarted.push_back(listed.id);
  }
  if (!is_new && (restarted || !upstream->listed)) {
    RecordFlap(upstream->flaps, membership.settings, now);
  }
  upstream->listed = true;
  upstream->last_listed = now;
  if (listed.incarnation < upstream->incarnation) {
    // The list is older than a restart. "leaving" still takes effect: the instance
    // gets work again once the list shows its current incarnation as live.
    upstream->leaving = upstream->leaving || listed.leaving;
    return;
  }
  upstream->kind = listed.kind == InstanceKind::kModelEngine ? UpstreamKind::kModelEngine
                                                             : UpstreamKind::kPlainService;
  upstream->pool = listed.pool;
  upstream->failure_domain = listed.failure_domain;
  upstream->endpoint = listed.endpoint;
  upstream->incarnation = listed.incarnation;
  upstream->leaving = listed.leaving;
}

void ReportUnusable(Membership& membership,
                    const std::vector<std::string>& usable_before,
                    MembershipChange& change) {
  for (const std::string& id : usable_before) {
    const UpstreamMember* upstream = FindById(membership.upstreams, id);
    if (!upstream->listed || upstream->leaving) {
      change.upstreams_unusable.push_back(id);
    }
  }
}

template <typename Table>
void UnlistMissing(Table& table, const InstanceList& list) {
  for (auto& entry : table) {
    entry.listed = entry.listed && FindById(list.instances, entry.id) != nullptr;
  }
}

std::vector<std::string> UsableIds(const Membership& membership) {
  std::vector<std::string> ids;
  for (const UpstreamMember& upstream : membership.upstreams) {
    if (upstream.listed && !upstream.leaving) {
      ids.push_back(upstream.id);
    }
  }
  return ids;
}

TimePoint LastSeen(const RouterMember& router) {
  return router.last_contact ? std::max(router.last_listed, *router.last_contact)
                             : router.last_listed;
}

struct ScoredRouter {
  std::uint64_t score;
  const RouterMember* router;
};

std::vector<const RouterMember*> SortByScore(std::vector<const RouterMember*> routers,
                                             std::string_view key) {
  std::vector<ScoredRouter> scored;
  scored.reserve(routers.size());
  for (const RouterMember* router : routers) {
    scored.push_back({RendezvousScore(router->id, key), router});
  }
  std::ranges::sort(scored, [](const ScoredRouter& left, const ScoredRouter& right) {
    return left.score != right.score ? left.score > right.score
                                     : left.router->id < right.router->id;
  });
  std::ranges::transform(scored, routers.begin(), &ScoredRouter::router);
  return routers;
}

}  // namespace

Membership MakeMembership(const MembershipSettings& settings,
                          std::string self_id,
                          std::string self_domain,
                          std::uint64_t self_incarnation,
                          Endpoint self_endpoint,
                          TimePoint now) {
  Membership membership;
  membership.settings = settings;
  membership.self_id = std::move(self_id);
  membership.self_domain = std::move(self_domain);
  RouterMember& self = InsertById(membership.routers, membership.self_id);
  self.failure_domain = membership.self_domain;
  self.endpoint = std::move(self_endpoint);
  self.incarnation = self_incarnation;
  self.last_contact = now;
  return membership;
}

Result<MembershipChange> ApplyInstanceList(Membership& membership,
                                           const InstanceList& list,
                                           TimePoint now) {
  if (list.revision < membership.list_revision) {
    ++membership.lists_rejected;
    return FleetError{FleetErrorCode::kStaleList,
                      "revision " + std::to_string(list.revision) + " is below revision " +
                          std::to_string(membership.list_revision) + " in force"};
  }
  if (IsImplausible(membership, list, now)) {
    ++membership.lists_rejected;
    return FleetError{FleetErrorCode::kImplausibleList,
                      "the instance list removes more than half of the members at once"};
  }
  MembershipChange change;
  const auto usable_before = UsableIds(membership);
  for (const ListedInstance& listed : list.instances) {
    if (listed.kind == InstanceKind::kRouter) {
      ApplyListedRouter(membership, listed, now, change);
    } else {
      ApplyListedUpstream(membership, listed, now, change);
    }
  }
  UnlistMissing(membership.routers, list);
  UnlistMissing(membership.upstreams, list);
  ReportUnusable(membership, usable_before, change);
  membership.list_revision = list.revision;
  membership.last_list = now;
  membership.implausible_since.reset();
  return change;
}

Result<MembershipChange> ApplyHeartbeat(Membership& membership,
                                        std::string_view sender,
                                        const Heartbeat& heartbeat,
                                        TimePoint now) {
  if (sender == membership.self_id) {
    return FleetError{FleetErrorCode::kSelfSender, "a heartbeat names this router as its sender"};
  }
  MembershipChange change;
  RouterMember* router = FindById(membership.routers, sender);
  if (router != nullptr && heartbeat.incarnation < router->incarnation) {
    return FleetError{FleetErrorCode::kStaleIncarnation,
                      "heartbeat of an older incarnation of " + std::string(sender)};
  }
  const bool is_new = router == nullptr;
  if (is_new) {
    router = &InsertById(membership.routers, sender);
  } else if (heartbeat.incarnation > router->incarnation) {
    change.routers_restarted.emplace_back(sender);
    router->leaving = false;
    RecordFlap(router->flaps, membership.settings, now);
  }
  if (is_new || !router->member) {
    change.routers_added.emplace_back(sender);
  }
  router->member = true;
  router->incarnation = heartbeat.incarnation;
  router->failure_domain = heartbeat.failure_domain;
  router->state = heartbeat.state;
  router->last_contact = now;
  router->pool_loads = heartbeat.pool_loads;
  if (heartbeat.endpoint) {
    router->endpoint = *heartbeat.endpoint;
  }
  return change;
}

Result<MembershipChange> RecordUpstreamIncarnation(Membership& membership,
                                                   std::string_view upstream,
                                                   std::uint64_t incarnation,
                                                   TimePoint now) {
  MembershipChange change;
  UpstreamMember* found = FindById(membership.upstreams, upstream);
  if (found == nullptr || incarnation == found->incarnation) {
    return change;
  }
  if (incarnation < found->incarnation) {
    return FleetError{FleetErrorCode::kStaleIncarnation,
                      "load report of an older incarnation of " + std::string(upstream)};
  }
  found->incarnation = incarnation;
  RecordFlap(found->flaps, membership.settings, now);
  change.upstreams_restarted.emplace_back(upstream);
  return change;
}

void RecordPeerContact(Membership& membership,
                       std::string_view sender,
                       std::uint64_t incarnation,
                       TimePoint now) {
  RouterMember* router = FindById(membership.routers, sender);
  if (router != nullptr && router->incarnation == incarnation && sender != membership.self_id) {
    router->last_contact = now;
  }
}

void SetSelfState(Membership& membership, RouterState state) {
  FindById(membership.routers, membership.self_id)->state = state;
}

MembershipChange ExpireMembers(Membership& membership, TimePoint now) {
  const MembershipSettings& settings = membership.settings;
  const Duration keep = std::max(settings.member_timeout, settings.flap_window);
  MembershipChange change;
  for (RouterMember& router : membership.routers) {
    if (router.member && !router.listed && router.id != membership.self_id &&
        now - LastSeen(router) > settings.member_timeout) {
      router.member = false;
      change.routers_removed.push_back(router.id);
    }
  }
  std::erase_if(membership.routers, [&](const RouterMember& router) {
    return !router.member && now - LastSeen(router) > keep;
  });
  std::erase_if(membership.upstreams, [&](const UpstreamMember& upstream) {
    return !upstream.listed && now - upstream.last_listed > keep;
  });
  return change;
}

const RouterMember* FindRouter(const Membership& membership, std::string_view id) {
  return FindById(membership.routers, id);
}

const UpstreamMember* FindUpstream(const Membership& membership, std::string_view id) {
  return FindById(membership.upstreams, id);
}

std::vector<const RouterMember*> DomainRouters(const Membership& membership,
                                               std::string_view failure_domain) {
  std::vector<const RouterMember*> found;
  for (const RouterMember& router : membership.routers) {
    if (router.member && router.failure_domain == failure_domain) {
      found.push_back(&router);
    }
  }
  return found;
}

bool IsCandidate(const Membership& membership, const RouterMember& router, TimePoint now) {
  if (!router.member || router.leaving || router.state != RouterState::kServing ||
      now < router.flaps.damped_until) {
    return false;
  }
  return router.id == membership.self_id ||
         (router.last_contact && now - *router.last_contact <= membership.settings.contact_timeout);
}

bool IsUsable(const UpstreamMember& upstream, TimePoint now) {
  return upstream.listed && !upstream.leaving && now >= upstream.flaps.damped_until;
}

std::vector<const UpstreamMember*> UsableUpstreams(const Membership& membership,
                                                   std::string_view pool,
                                                   TimePoint now) {
  std::vector<const UpstreamMember*> found;
  for (const UpstreamMember& upstream : membership.upstreams) {
    if (upstream.pool == pool && IsUsable(upstream, now)) {
      found.push_back(&upstream);
    }
  }
  return found;
}

std::uint64_t RendezvousScore(std::string_view member_id, std::string_view key) {
  return MixHash(StableHash(key), StableHash(member_id));
}

std::vector<const RouterMember*> RankRouters(const Membership& membership,
                                             std::string_view failure_domain,
                                             std::string_view key) {
  return SortByScore(DomainRouters(membership, failure_domain), key);
}

std::vector<const RouterMember*> RankCandidates(const Membership& membership,
                                                std::string_view failure_domain,
                                                std::string_view key,
                                                TimePoint now) {
  auto routers = DomainRouters(membership, failure_domain);
  std::erase_if(routers,
                [&](const RouterMember* router) { return !IsCandidate(membership, *router, now); });
  return SortByScore(std::move(routers), key);
}

std::size_t OwnRank(const Membership& membership, std::string_view key) {
  const auto ranked = RankRouters(membership, membership.self_domain, key);
  const auto self = std::ranges::find(ranked, membership.self_id, &RouterMember::id);
  return static_cast<std::size_t>(self - ranked.begin());
}

}  // namespace geraniumspread::fleet
