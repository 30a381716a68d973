#ifndef OWNERSHIP_INTERNAL_VIEWS_H_
#define OWNERSHIP_INTERNAL_VIEWS_H_

#include <algorithm>
#include <cstdint>
#include <span>
#include <vector>

#include "ownership/ownership.h"

// Member lists, their panels and majorities.
namespace geraniumspread::ownership::detail {

// With more lists in force than this a voter promises nothing: membership
// changes too fast for leases to be safe.
inline constexpr std::size_t kMaxViews = 8;

// An owner renews its leases this many times in a term.
inline constexpr int kRoundsPerTerm = 3;

MemberView MakeView(std::span<const RouterKey> members, std::uint32_t panel_size);

constexpr std::size_t MajorityOf(std::size_t voters) {
  return voters / 2 + 1;
}

bool Contains(std::span<const RouterKey> sorted, RouterKey router);
const MemberView* FindView(const OwnershipState& state, std::uint64_t digest);

// Drops replaced lists that are no longer needed. Promises that were given for
// them are void then, since they no longer add up to the majorities they stood for.
void PruneViews(OwnershipState& state, TimePoint now);
// Adds a list that a voter reported.
void AddReportedView(OwnershipState& state, std::span<const RouterKey> members, TimePoint now);

// Voters of all lists in force, sorted.
std::vector<RouterKey> AllVoters(const OwnershipState& state);

// The latest time that a majority of the view's voters reaches, where
// `time_of(voter)` is the time that one voter reaches.
template <typename TimeOf>
TimePoint MajorityTime(const MemberView& view, TimeOf time_of) {
  std::vector<TimePoint> times;
  times.reserve(view.voters.size());
  for (const RouterKey voter : view.voters) {
    times.push_back(time_of(voter));
  }
  const auto nth = times.begin() + static_cast<std::ptrdiff_t>(MajorityOf(times.size()) - 1);
  std::nth_element(times.begin(), nth, times.end(), std::greater<>());
  return *nth;
}

const VoterLink* FindLink(const OwnerState& owner, RouterKey voter);
OwnedUpstream* FindOwned(OwnerState& owner, UpstreamKey upstream);
const OwnedUpstream* FindOwned(const OwnerState& owner, UpstreamKey upstream);

// After a router's last majority, how long until it may use its reserve. Two
// terms: one until its last request was certainly handled by its voters or was
// void, and one until every lease that was won without that knowledge ended.
constexpr Duration ReserveDelay(const OwnershipSettings& settings) {
  return 2 * settings.lease_term;
}

// Whether requests that were dispatched on the reserve are still running.
bool ReserveInUse(const OwnerState& owner);

// Lists anew which members may use a reserve, from the voters' latest replies.
void UpdateClaims(OwnershipState& state, TimePoint now);

}  // namespace geraniumspread::ownership::detail

#endif  // OWNERSHIP_INTERNAL_VIEWS_H_
