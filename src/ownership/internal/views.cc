#include "ownership/internal/views.h"

#include "common/hash.h"

namespace geraniumspread::ownership {
namespace {

constexpr std::uint64_t kPanelSeed = 0x70616e656cU;
constexpr std::uint64_t kViewSeed = 0x76696577U;

std::uint64_t Value(RouterKey router) {
  return static_cast<std::uint64_t>(router);
}

std::vector<RouterKey> Sorted(std::span<const RouterKey> routers) {
  std::vector<RouterKey> sorted(routers.begin(), routers.end());
  std::sort(sorted.begin(), sorted.end());
  sorted.erase(std::unique(sorted.begin(), sorted.end()), sorted.end());
  return sorted;
}

// Schedules the release of a lease that this router should no longer hold. The release
// waits for dispatch_guard after the last dispatch, by which time the dispatched request
// appears in the upstream's load report.
void UpdateHandover(OwnershipState& state, OwnedUpstream& owned, TimePoint now) {
  if (owned.candidate) {
    owned.release_at.reset();
    return;
  }
  const bool holds = !owned.promises.empty() || owned.lease_until > now;
  if (!holds || owned.release_at) {
    return;
  }
  const bool waits = state.policy.release_after_guard && owned.last_dispatch != TimePoint::min();
  owned.release_at =
      waits ? std::max(now, owned.last_dispatch + state.settings.dispatch_guard) : now;
}

void UpdateCandidates(OwnershipState& state, TimePoint now) {
  for (OwnedUpstream& owned : state.owner.upstreams) {
    owned.candidate = !state.owner.leaving && CandidateOwner(state, owned.upstream) == state.self;
    UpdateHandover(state, owned, now);
  }
}

void ReplaceView(OwnershipState& state, MemberView view, TimePoint now) {
  std::erase_if(state.views,
                [&view](const MemberView& other) { return other.digest == view.digest; });
  if (!state.policy.joint_views) {
    state.views.clear();
  }
  if (!state.views.empty() && state.views.front().needed_until == TimePoint::max()) {
    state.views.front().needed_until = now + state.settings.view_hold;
  }
  state.views.insert(state.views.begin(), std::move(view));
}

}  // namespace

namespace detail {

MemberView MakeView(std::span<const RouterKey> members, std::uint32_t panel_size) {
  MemberView view;
  view.members = Sorted(members);
  view.digest = kViewSeed;
  for (const RouterKey member : view.members) {
    view.digest = MixHash(view.digest, Value(member));
  }
  view.voters = view.members;
  if (view.voters.size() > panel_size) {
    std::sort(view.voters.begin(), view.voters.end(), [](RouterKey left, RouterKey right) {
      return MixHash(kPanelSeed, Value(left)) > MixHash(kPanelSeed, Value(right));
    });
    view.voters.resize(panel_size);
    std::sort(view.voters.begin(), view.voters.end());
  }
  return view;
}

bool Contains(std::span<const RouterKey> sorted, RouterKey router) {
  return std::binary_search(sorted.begin(), sorted.end(), router);
}

const MemberView* FindView(const OwnershipState& state, std::uint64_t digest) {
  const auto found =
      std::find_if(state.views.begin(), state.views.end(),
                   [digest](const MemberView& view) { return view.digest == digest; });
  return found == state.views.end() ? nullptr : &*found;
}

void PruneViews(OwnershipState& state, TimePoint now) {
  const auto dropped = std::erase_if(
      state.views, [now](const MemberView& view) { return view.needed_until <= now; });
  if (dropped == 0) {
    return;
  }
  state.owner.last_ignored_round = state.owner.round;
  for (OwnedUpstream& owned : state.owner.upstreams) {
    owned.promises.clear();
  }
  state.owner.next_round = now;
}

void AddReportedView(OwnershipState& state, std::span<const RouterKey> members, TimePoint now) {
  MemberView view = MakeView(members, state.settings.panel_size);
  if (FindView(state, view.digest) != nullptr || state.views.empty() || view.members.empty()) {
    return;
  }
  view.reported_by_voter = true;
  view.needed_until = now + state.settings.view_hold;
  state.views.push_back(std::move(view));
  state.owner.next_round = now;
}

std::vector<RouterKey> AllVoters(const OwnershipState& state) {
  std::vector<RouterKey> voters;
  for (const MemberView& view : state.views) {
    voters.insert(voters.end(), view.voters.begin(), view.voters.end());
  }
  return Sorted(voters);
}

}  // namespace detail

OwnershipState MakeOwnershipState(const OwnershipSettings& settings,
                                  RouterKey self,
                                  std::uint64_t incarnation,
                                  TimePoint now) {
  OwnershipState state;
  state.settings = settings;
  state.self = self;
  state.incarnation = incarnation;
  state.started_at = now;
  return state;
}

void SetMembers(OwnershipState& state,
                std::span<const RouterKey> members,
                std::span<const RouterKey> candidates,
                TimePoint now) {
  std::vector<RouterKey> with_self(members.begin(), members.end());
  with_self.push_back(state.self);
  MemberView view = detail::MakeView(with_self, state.settings.panel_size);
  if (state.views.empty() || state.views.front().digest != view.digest) {
    ReplaceView(state, std::move(view), now);
    state.owner.next_round = now;
    detail::UpdateClaims(state, now);
  }
  state.candidates = Sorted(candidates);
  UpdateCandidates(state, now);
}

void SetUpstreams(OwnershipState& state, std::span<const DomainUpstream> upstreams, TimePoint now) {
  std::vector<OwnedUpstream> next;
  for (const DomainUpstream& upstream : upstreams) {
    const OwnedUpstream* known = detail::FindOwned(state.owner, upstream.upstream);
    next.push_back(known != nullptr ? *known : OwnedUpstream{});
    next.back().upstream = upstream.upstream;
    next.back().reports_load = upstream.reports_load;
  }
  std::sort(next.begin(), next.end(), [](const OwnedUpstream& left, const OwnedUpstream& right) {
    return left.upstream < right.upstream;
  });
  state.owner.upstreams = std::move(next);
  UpdateCandidates(state, now);
}

RouterKey CandidateOwner(std::span<const RouterKey> routers, UpstreamKey upstream) {
  return *std::max_element(routers.begin(), routers.end(),
                           [upstream](RouterKey left, RouterKey right) {
                             const auto key = static_cast<std::uint64_t>(upstream);
                             return MixHash(key, Value(left)) < MixHash(key, Value(right));
                           });
}

std::optional<RouterKey> CandidateOwner(const OwnershipState& state, UpstreamKey upstream) {
  if (state.candidates.empty()) {
    return std::nullopt;
  }
  return CandidateOwner(state.candidates, upstream);
}

void ReleaseAllLeases(OwnershipState& state, TimePoint now) {
  state.owner.leaving = true;
  UpdateCandidates(state, now);
}

}  // namespace geraniumspread::ownership
