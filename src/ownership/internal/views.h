#ifndef OWNERSHIP_INTERNAL_VIEWS_H_
#define OWNERSHIP_INTERNAL_VIEWS_H_

#include <algorithm>
#include <cstdint>
#include <span>
#include <vector>

#include "ownership/ownership.h"

// Member lists, their voters and majorities.
namespace geraniumspread::ownership::detail {

// A voter with more lists in force than this promises nothing: membership changes
// too fast for leases to be safe.
inline constexpr std::size_t kMaxViews = 8;

// Number of times that an owner renews its leases in a lease term.
inline constexpr int kRoundsPerTerm = 3;

MemberView MakeView(std::span<const RouterKey> members, std::uint32_t panel_size);

constexpr std::size_t MajorityOf(std::size_t voters) {
  return voters / 2 + 1;
}

bool Contains(std::span<const RouterKey> sorted, RouterKey router);
const MemberView* FindView(const OwnershipState& state, std::uint64_t digest);

// Drops replaced and reported lists that are no longer needed. If any is dropped, all
// received promises are discarded too, since they no longer form the majorities for which
// they were given.
void PruneViews(OwnershipState& state, TimePoint now);
// Adds a list that a voter reported.
void AddReportedView(OwnershipState& state, std::span<const RouterKey> members, TimePoint now);

// Returns the voters of all lists in force, sorted.
std::vector<RouterKey> AllVoters(const OwnershipState& state);

// Returns the latest time t such that time_of(voter) >= t for a majority of the view's
// voters.
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

// Time from a router's last majority until it may use its reserve. Two terms: after
// one, its last request has been handled by its voters or is void; after another, every
// lease acquired without that information has ended.
constexpr Duration ReserveDelay(const OwnershipSettings& settings) {
  return 2 * settings.lease_term;
}

// True if requests that were dispatched on the reserve are still running.
bool ReserveInUse(const OwnerState& owner);

// Recomputes from the voters' latest replies which routers may use a reserve.
void UpdateClaims(OwnershipState& state, TimePoint now);

}  // namespace geraniumspread::ownership::detail

#endif  // OWNERSHIP_INTERNAL_VIEWS_H_
