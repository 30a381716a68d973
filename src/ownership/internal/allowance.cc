#include <algorithm>
#include <optional>

#include "ownership/internal/views.h"
#include "ownership/ownership.h"

namespace geraniumspread::ownership {
namespace {

// Returns until when the member uses no reserve according to the voter's latest reply.
TimePoint NoReserveUntil(const OwnershipState& state, RouterKey voter, RouterKey member) {
  const VoterLink* link = detail::FindLink(state.owner, voter);
  if (link == nullptr) {
    return TimePoint::min();
  }
  const MemberView* view = detail::FindView(state, link->view);
  const bool covered = view != nullptr && detail::Contains(view->members, member);
  const bool listed =
      std::any_of(link->reserve_users.begin(), link->reserve_users.end(),
                  [member](const ReserveInfo& info) { return info.router == member; });
  return covered && !listed ? link->requested_at + link->no_reserve_for : TimePoint::min();
}

bool IsRecent(const OwnershipState& state, const VoterLink& link, TimePoint now) {
  return now <= link.requested_at + state.settings.lease_term;
}

// Returns the smallest divisor that a voter reported for the member; 0 if it has no reserve.
std::uint32_t DivisorOf(const OwnershipState& state, RouterKey member, TimePoint now) {
  std::uint32_t smallest = 0;
  bool all_complete = true;
  for (const VoterLink& link : state.owner.links) {
    if (!IsRecent(state, link, now)) {
      continue;
    }
    all_complete = all_complete && link.records_complete;
    for (const ReserveInfo& info : link.reserve_users) {
      const bool smaller =
          info.router == member && info.divisor != 0 && (smallest == 0 || info.divisor < smallest);
      smallest = smaller ? info.divisor : smallest;
    }
  }
  if (smallest != 0 || all_complete) {
    return smallest;
  }
  // A restarted voter may have lost its record of the member's reserve.
  const std::vector<RouterKey>& members = state.views.front().members;
  return detail::Contains(members, member) ? static_cast<std::uint32_t>(members.size()) : 0;
}

// Returns the members of the current list and every router that a voter listed as a
// possible user of a reserve, without this router.
std::vector<RouterKey> PossibleClaimants(const OwnershipState& state, TimePoint now) {
  std::vector<RouterKey> routers = state.views.front().members;
  for (const VoterLink& link : state.owner.links) {
    if (IsRecent(state, link, now)) {
      for (const ReserveInfo& info : link.reserve_users) {
        routers.push_back(info.router);
      }
    }
  }
  std::sort(routers.begin(), routers.end());
  routers.erase(std::unique(routers.begin(), routers.end()), routers.end());
  std::erase(routers, state.self);
  return routers;
}

std::int32_t LeftForReserves(const OwnershipState& state, std::int32_t limit, TimePoint now) {
  std::int32_t left = 0;
  for (const ReserveClaim& claim : state.owner.claims) {
    if (claim.divisor != 0 && claim.no_reserve_until <= now) {
      left += limit / static_cast<std::int32_t>(claim.divisor);
    }
  }
  return left;
}

// Returns the latest time since which a majority of at least one list in force has answered.
TimePoint LastMajority(const OwnershipState& state) {
  TimePoint latest = TimePoint::min();
  for (const MemberView& view : state.views) {
    latest = std::max(latest, detail::MajorityTime(view, [&state](RouterKey voter) {
                        const VoterLink* link = detail::FindLink(state.owner, voter);
                        return link == nullptr ? TimePoint::min() : link->answered_at;
                      }));
  }
  return latest;
}

// Returns since when this router may use its reserve, or nullopt if it may not.
std::optional<TimePoint> ReserveSince(const OwnershipState& state, TimePoint now) {
  const OwnerState& owner = state.owner;
  if (state.views.empty() || owner.leaving) {
    return std::nullopt;
  }
  if (owner.reserve_divisor == 0) {
    return state.policy.reserve_needs_answer ? std::nullopt : std::optional(state.started_at);
  }
  const TimePoint since = LastMajority(state) + detail::ReserveDelay(state.settings);
  const bool open = now >= since && now < owner.majority_requested_at + state.settings.reserve_hold;
  return open ? std::optional(since) : std::nullopt;
}

Allowance AllowedByLease(const OwnershipState& state,
                         const OwnedUpstream& owned,
                         std::int32_t limit,
                         TimePoint now) {
  if (owned.release_at) {
    return {.basis = AllowanceBasis::kReleasing};
  }
  const bool needs_report = state.policy.fresh_report && owned.reports_load;
  if (needs_report && !owned.has_report) {
    return {.basis = AllowanceBasis::kAwaitingReport};
  }
  Allowance allowance;
  allowance.basis = AllowanceBasis::kLease;
  allowance.left_for_reserves = state.policy.leave_reserve ? LeftForReserves(state, limit, now) : 0;
  allowance.foreign = state.policy.count_foreign_load ? owned.foreign : 0;
  allowance.limit = std::max(0, limit - allowance.left_for_reserves - allowance.foreign);
  return allowance;
}

// Returns the reserve that is left beside requests of other routers. Streams of an owner
// that died, or that used the whole limit before it detected the partition, may still
// run. All routers with a reserve share the remaining slots, and each must assume that
// the others use their part although it can't see it.
std::int32_t ReserveBesideOthers(std::int32_t limit,
                                 std::int32_t divisor,
                                 std::int32_t max_foreign) {
  const std::int32_t reserve = limit / divisor;
  const std::int32_t other_users = divisor - 1;
  if (max_foreign <= limit - other_users * reserve) {
    return reserve;
  }
  return other_users == 0 ? 0 : std::min(reserve, std::max(0, limit - max_foreign) / other_users);
}

Allowance AllowedByReserve(const OwnershipState& state,
                           const OwnedUpstream& owned,
                           std::int32_t limit,
                           TimePoint since,
                           TimePoint now) {
  const auto members = static_cast<std::uint32_t>(state.views.front().members.size());
  const auto divisor = static_cast<std::int32_t>(
      state.owner.reserve_divisor == 0 ? members : state.owner.reserve_divisor);
  Allowance allowance{.limit = limit / divisor, .basis = AllowanceBasis::kReserve};
  if (!owned.reports_load) {
    return allowance;
  }
  const Duration age = state.settings.reserve_report_age;
  // By this time the holder leaves this reserve unused, and a new report includes the
  // requests that other routers dispatched because of an earlier report.
  const TimePoint settled = since + age + state.settings.dispatch_guard;
  const bool fresh = owned.report_requested_at >= settled && now <= owned.report_requested_at + age;
  if (!fresh && state.policy.fresh_report) {
    return {.basis = AllowanceBasis::kAwaitingReport};
  }
  if (state.policy.count_foreign_load) {
    allowance.foreign = owned.max_foreign;
    allowance.limit = ReserveBesideOthers(limit, divisor, owned.max_foreign);
  }
  return allowance;
}

std::int32_t OwnInFlight(const OwnedUpstream& owned) {
  return owned.since_last_request + owned.since_previous_request + owned.before_previous_request;
}

}  // namespace

namespace detail {

bool ReserveInUse(const OwnerState& owner) {
  return std::any_of(owner.upstreams.begin(), owner.upstreams.end(),
                     [](const OwnedUpstream& owned) { return owned.on_reserve > 0; });
}

void UpdateClaims(OwnershipState& state, TimePoint now) {
  state.owner.claims.clear();
  for (const RouterKey router : PossibleClaimants(state, now)) {
    ReserveClaim claim;
    claim.router = router;
    claim.divisor = DivisorOf(state, router, now);
    claim.no_reserve_until = MajorityTime(state.views.front(), [&state, router](RouterKey voter) {
      return NoReserveUntil(state, voter, router);
    });
    state.owner.claims.push_back(claim);
  }
}

}  // namespace detail

bool HoldsLease(const OwnershipState& state, UpstreamKey upstream, TimePoint now) {
  const OwnedUpstream* owned = detail::FindOwned(state.owner, upstream);
  return owned != nullptr && owned->lease_until != TimePoint::min() &&
         now < owned->lease_until - state.settings.dispatch_guard;
}

std::optional<TimePoint> LeaseExpiry(const OwnershipState& state,
                                     UpstreamKey upstream,
                                     TimePoint now) {
  if (!HoldsLease(state, upstream, now)) {
    return std::nullopt;
  }
  const OwnedUpstream* owned = detail::FindOwned(state.owner, upstream);
  return std::min(owned->lease_until, owned->release_at.value_or(TimePoint::max()));
}

Allowance AllowedInFlight(const OwnershipState& state,
                          UpstreamKey upstream,
                          std::int32_t limit,
                          TimePoint now) {
  const OwnedUpstream* owned = detail::FindOwned(state.owner, upstream);
  if (owned == nullptr) {
    return {.basis = AllowanceBasis::kUnknownUpstream};
  }
  if (HoldsLease(state, upstream, now)) {
    return AllowedByLease(state, *owned, limit, now);
  }
  if (const auto since = ReserveSince(state, now)) {
    return AllowedByReserve(state, *owned, limit, *since, now);
  }
  return {.basis = AllowanceBasis::kNoLease};
}

std::int32_t InFlight(const OwnershipState& state, UpstreamKey upstream) {
  const OwnedUpstream* owned = detail::FindOwned(state.owner, upstream);
  return owned == nullptr ? 0 : OwnInFlight(*owned);
}

DispatchToken RecordDispatch(OwnershipState& state, UpstreamKey upstream, TimePoint now) {
  OwnedUpstream* owned = detail::FindOwned(state.owner, upstream);
  if (owned == nullptr) {
    return {.upstream = upstream};
  }
  const bool on_reserve = !HoldsLease(state, upstream, now);
  ++owned->since_last_request;
  ++owned->dispatched_since_request;
  owned->on_reserve += on_reserve ? 1 : 0;
  owned->last_dispatch = now;
  return {upstream, owned->report_generation, on_reserve};
}

void RecordCompletion(OwnershipState& state, const DispatchToken& token) {
  OwnedUpstream* owned = detail::FindOwned(state.owner, token.upstream);
  if (owned == nullptr) {
    return;
  }
  switch (owned->report_generation - token.report_generation) {
    case 0:
      --owned->since_last_request;
      break;
    case 1:
      --owned->since_previous_request;
      break;
    default:
      --owned->before_previous_request;
      break;
  }
  owned->on_reserve -= token.on_reserve ? 1 : 0;
}

void RecordReportRequest(OwnershipState& state, UpstreamKey upstream) {
  OwnedUpstream* owned = detail::FindOwned(state.owner, upstream);
  if (owned == nullptr) {
    return;
  }
  owned->before_previous_request += owned->since_previous_request;
  owned->since_previous_request = owned->since_last_request;
  owned->since_last_request = 0;
  owned->in_flight_at_request = OwnInFlight(*owned);
  owned->dispatched_since_request = 0;
  ++owned->report_generation;
}

void RecordLoadReport(OwnershipState& state,
                      UpstreamKey upstream,
                      TimePoint requested_at,
                      std::int32_t running,
                      TimePoint now) {
  OwnedUpstream* owned = detail::FindOwned(state.owner, upstream);
  if (owned == nullptr || requested_at < owned->report_requested_at) {
    return;
  }
  owned->report_requested_at = requested_at;
  owned->max_foreign = std::max(0, running - owned->before_previous_request);
  const bool after_acquisition = now < owned->lease_until && requested_at >= owned->acquired_at;
  if (!after_acquisition) {
    return;
  }
  if (!owned->has_report) {
    owned->has_report = true;
    owned->foreign = std::max(0, running - OwnInFlight(*owned));
    return;
  }
  // The report was made between its request and now. It certainly includes the own
  // requests in flight since before the previous report request, which gives the upper
  // bound of the foreign load. It includes at most all own requests in flight at some time
  // since its request, which gives the lower bound.
  const std::int32_t at_least =
      running - (owned->in_flight_at_request + owned->dispatched_since_request);
  owned->foreign = std::min(std::max(owned->foreign, at_least), owned->max_foreign);
}

}  // namespace geraniumspread::ownership
