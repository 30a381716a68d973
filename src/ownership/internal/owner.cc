#include <algorithm>
#include <utility>

#include "ownership/internal/views.h"
#include "ownership/ownership.h"

namespace geraniumspread::ownership {
namespace {

VoterLink& OpenLink(OwnerState& owner, RouterKey voter) {
  const auto found = std::find_if(owner.links.begin(), owner.links.end(),
                                  [voter](const VoterLink& link) { return link.voter == voter; });
  if (found != owner.links.end()) {
    return *found;
  }
  VoterLink& link = owner.links.emplace_back();
  link.voter = voter;
  return link;
}

Round& RoundOf(OwnerState& owner, std::uint64_t number) {
  return owner.rounds[number % owner.rounds.size()];
}

// Counts the members of the current list and the removed ones that may still use a reserve.
std::uint32_t CountMembers(const OwnershipState& state, TimePoint now) {
  const std::vector<RouterKey>& members = state.views.front().members;
  const auto departed = std::count_if(
      state.owner.claims.begin(), state.owner.claims.end(), [&](const ReserveClaim& claim) {
        return claim.no_reserve_until <= now && !detail::Contains(members, claim.router);
      });
  return static_cast<std::uint32_t>(members.size()) + static_cast<std::uint32_t>(departed);
}

LeaseRequest MakeRequest(OwnershipState& state, TimePoint now) {
  OwnerState& owner = state.owner;
  ++owner.round;
  LeaseRequest request;
  request.incarnation = state.incarnation;
  request.number = owner.round;
  request.member_count = CountMembers(state, now);
  request.reserve_divisor = owner.reserve_divisor;
  request.reserve_in_use = detail::ReserveInUse(owner);
  for (const MemberView& view : state.views) {
    request.views.push_back(view.digest);
  }
  for (const OwnedUpstream& owned : owner.upstreams) {
    if (owned.candidate) {
      request.upstreams.push_back(owned.upstream);
    }
  }
  RoundOf(owner, owner.round) = {now, request.member_count};
  return request;
}

void StartRound(OwnershipState& state, TimePoint now, OwnershipOutbox& outbox) {
  const LeaseRequest request = MakeRequest(state, now);
  state.owner.next_round = now + state.settings.lease_term / detail::kRoundsPerTerm;
  bool asks_itself = false;
  for (const RouterKey voter : detail::AllVoters(state)) {
    if (voter == state.self) {
      asks_itself = true;
      continue;
    }
    outbox.requests.push_back({voter, request});
    const VoterLink* link = detail::FindLink(state.owner, voter);
    outbox.requests.back().message.acknowledged = link == nullptr ? 0 : link->answered_number;
  }
  if (asks_itself) {
    LeaseRequest own = request;
    const VoterLink* link = detail::FindLink(state.owner, state.self);
    own.acknowledged = link == nullptr ? 0 : link->answered_number;
    if (const auto reply = HandleLeaseRequest(state, state.self, own, now)) {
      HandleLeaseReply(state, state.self, *reply, now);
    }
  }
}

void SendRelease(OwnershipState& state,
                 const LeaseRelease& release,
                 TimePoint now,
                 OwnershipOutbox& outbox) {
  for (const RouterKey voter : detail::AllVoters(state)) {
    if (voter == state.self) {
      HandleLeaseRelease(state, state.self, release, now);
    } else {
      outbox.releases.push_back({voter, release});
    }
  }
}

void SendDueReleases(OwnershipState& state, TimePoint now, OwnershipOutbox& outbox) {
  LeaseRelease release;
  release.incarnation = state.incarnation;
  release.number = state.owner.round;
  release.leaving = state.owner.leaving;
  for (OwnedUpstream& owned : state.owner.upstreams) {
    if (owned.release_at && *owned.release_at <= now) {
      release.upstreams.push_back(owned.upstream);
      owned.release_at.reset();
      owned.promises.clear();
      owned.lease_until = TimePoint::min();
      owned.has_report = false;
    }
  }
  if (!release.upstreams.empty()) {
    SendRelease(state, release, now, outbox);
  }
}

void AddPromise(OwnedUpstream& owned, RouterKey voter, TimePoint until) {
  const auto found =
      std::find_if(owned.promises.begin(), owned.promises.end(),
                   [voter](const PromiseReceived& promise) { return promise.voter == voter; });
  if (found == owned.promises.end()) {
    owned.promises.push_back({voter, until});
  } else {
    found->until = std::max(found->until, until);
  }
}

// The lease lasts as long as a majority of each list in force promises it.
void UpdateLease(const OwnershipState& state, OwnedUpstream& owned, TimePoint now) {
  TimePoint until = TimePoint::max();
  for (const MemberView& view : state.views) {
    const TimePoint reached = detail::MajorityTime(view, [&owned](RouterKey voter) {
      const auto found =
          std::find_if(owned.promises.begin(), owned.promises.end(),
                       [voter](const PromiseReceived& promise) { return promise.voter == voter; });
      return found == owned.promises.end() ? TimePoint::min() : found->until;
    });
    until = std::min(until, reached);
  }
  if (until <= now || until <= owned.lease_until) {
    return;
  }
  const bool newly_acquired = owned.lease_until <= now;
  owned.lease_until = until;
  if (newly_acquired) {
    owned.acquired_at = now;
    owned.has_report = false;
    owned.foreign = 0;
  }
}

void TakePromises(OwnershipState& state,
                  RouterKey from,
                  const LeaseReply& reply,
                  TimePoint requested_at,
                  TimePoint now) {
  const TimePoint measured_from = state.policy.expiry_by_own_clock ? requested_at : now;
  for (const UpstreamKey upstream : reply.granted) {
    OwnedUpstream* owned = detail::FindOwned(state.owner, upstream);
    if (owned != nullptr && owned->candidate) {
      AddPromise(*owned, from, measured_from + state.settings.lease_term);
      UpdateLease(state, *owned, now);
    }
  }
}

// If a majority of every list in force has answered this round or a later one, uses the
// member count of the round as the reserve divisor.
void UpdateDivisor(OwnershipState& state, std::uint64_t number) {
  OwnerState& owner = state.owner;
  for (const MemberView& view : state.views) {
    const auto answered =
        std::count_if(view.voters.begin(), view.voters.end(), [&owner, number](RouterKey voter) {
          const VoterLink* link = detail::FindLink(owner, voter);
          return link != nullptr && link->answered_number >= number;
        });
    if (static_cast<std::size_t>(answered) < detail::MajorityOf(view.voters.size())) {
      return;
    }
  }
  const Round& round = RoundOf(owner, number);
  if (round.sent >= owner.majority_requested_at) {
    owner.majority_requested_at = round.sent;
    owner.reserve_divisor = round.member_count;
  }
}

void UpdateLink(VoterLink& link, const LeaseReply& reply, TimePoint requested_at, TimePoint now) {
  link.answered_number = reply.number;
  link.answered_at = now;
  link.requested_at = requested_at;
  link.view = reply.view;
  link.no_reserve_for = reply.no_reserve_for;
  link.reserve_users = reply.reserve_users;
  link.records_complete = reply.records_complete;
}

void DropOldLinks(OwnershipState& state, TimePoint now) {
  std::erase_if(state.owner.links, [&state, now](const VoterLink& link) {
    return link.answered_at + state.settings.reserve_hold < now;
  });
}

}  // namespace

namespace detail {

const VoterLink* FindLink(const OwnerState& owner, RouterKey voter) {
  const auto found = std::find_if(owner.links.begin(), owner.links.end(),
                                  [voter](const VoterLink& link) { return link.voter == voter; });
  return found == owner.links.end() ? nullptr : &*found;
}

const OwnedUpstream* FindOwned(const OwnerState& owner, UpstreamKey upstream) {
  const auto found = std::lower_bound(
      owner.upstreams.begin(), owner.upstreams.end(), upstream,
      [](const OwnedUpstream& owned, UpstreamKey key) { return owned.upstream < key; });
  const bool known = found != owner.upstreams.end() && found->upstream == upstream;
  return known ? &*found : nullptr;
}

OwnedUpstream* FindOwned(OwnerState& owner, UpstreamKey upstream) {
  return const_cast<OwnedUpstream*>(FindOwned(std::as_const(owner), upstream));
}

}  // namespace detail

void TickOwnership(OwnershipState& state, TimePoint now, OwnershipOutbox& outbox) {
  detail::PruneViews(state, now);
  DropOldLinks(state, now);
  SendDueReleases(state, now, outbox);
  if (!state.views.empty() && !state.owner.leaving && now >= state.owner.next_round) {
    StartRound(state, now, outbox);
  }
}

void HandleLeaseReply(OwnershipState& state,
                      RouterKey from,
                      const LeaseReply& reply,
                      TimePoint now) {
  OwnerState& owner = state.owner;
  const bool current = reply.incarnation == state.incarnation && reply.number <= owner.round &&
                       reply.number > owner.last_ignored_round &&
                       reply.number + kRememberedRounds > owner.round;
  if (!current) {
    return;
  }
  const TimePoint requested_at = RoundOf(owner, reply.number).sent;
  VoterLink& link = OpenLink(owner, from);
  // The promises of a reply that took longer than a lease term have expired.
  const bool late =
      state.policy.expiry_by_own_clock && requested_at + state.settings.lease_term < now;
  if (late || reply.number <= link.answered_number) {
    return;
  }
  UpdateLink(link, reply, requested_at, now);
  for (const std::vector<RouterKey>& members : reply.missing_views) {
    detail::AddReportedView(state, members, now);
  }
  UpdateDivisor(state, reply.number);
  TakePromises(state, from, reply, requested_at, now);
  detail::UpdateClaims(state, now);
}

}  // namespace geraniumspread::ownership
