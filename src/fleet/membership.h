#ifndef FLEET_MEMBERSHIP_H_
#define FLEET_MEMBERSHIP_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "common/runtime_clock.h"
#include "fleet/fleet_types.h"
#include "fleet/instance_list.h"
#include "fleet/peer_messages.h"

namespace geraniumspread::fleet {

struct MembershipSettings {
  // A member is removed once it has been neither listed nor in contact for this long.
  Duration member_timeout = std::chrono::seconds(10);
  // A member that reappears or changes its incarnation more than `flap_limit` times
  // within `flap_window` is damped (gets no new work or ownership) for
  // `damping_period`, which doubles with each further change up to
  // `max_damping_period`.
  Duration flap_window = std::chrono::seconds(60);
  int flap_limit = 3;
  Duration damping_period = std::chrono::seconds(10);
  Duration max_damping_period = std::chrono::seconds(80);
  // A router without contact for this long is not a candidate for new ownership,
  // even if a stale instance list still names it. Must exceed the time between
  // heartbeats of domain peers: 1 s up to 9 peers, about 7 s with 50
  // (docs/measurements/fleet.md), so 10 s at design size.
  Duration contact_timeout = std::chrono::seconds(3);
  // A list that removes more than half of the routers or upstreams is applied only
  // after the platform has sent such lists for this long.
  Duration mass_removal_delay = std::chrono::seconds(30);
};

// Recent changes of a member, for flap damping.
struct FlapRecord {
  int changes = 0;
  TimePoint window_start;
  TimePoint damped_until;
};

struct RouterMember {
  std::string id;
  std::string failure_domain;
  Endpoint endpoint;  // empty address: not known yet, can't be connected to
  std::uint64_t incarnation = 0;
  RouterState state = RouterState::kStarting;
  // Counts for majorities. False once the router has been neither listed nor in
  // contact for `member_timeout`. The record is kept for at least
  // `flap_window`, for its incarnation and flaps.
  bool member = true;
  bool listed = false;   // in the last list that was applied
  bool leaving = false;  // listed as leaving
  TimePoint last_listed;
  std::optional<TimePoint> last_contact;
  FlapRecord flaps;
  // From the last heartbeat of the current incarnation.
  std::vector<PoolLoad> pool_loads;
};

struct UpstreamMember {
  std::string id;
  UpstreamKind kind = UpstreamKind::kModelEngine;
  std::string pool;
  std::string failure_domain;
  Endpoint endpoint;
  std::uint64_t incarnation = 0;
  bool listed = false;
  bool leaving = false;
  TimePoint last_listed;
  FlapRecord flaps;
};

// This router's view of the whole fleet. Both tables are sorted by id. `routers`
// always contains this router.
struct Membership {
  MembershipSettings settings;
  std::string self_id;
  std::string self_domain;
  std::vector<RouterMember> routers;
  std::vector<UpstreamMember> upstreams;
  std::uint64_t list_revision = 0;  // 0: no list applied yet
  std::optional<TimePoint> last_list;
  // Start of the current series of lists that remove too many members.
  std::optional<TimePoint> implausible_since;
  std::uint64_t lists_rejected = 0;
};

// Changes made by a list, a heartbeat, a load report or expiry.
struct MembershipChange {
  std::vector<std::string> routers_added;
  std::vector<std::string> routers_restarted;  // newer incarnation
  std::vector<std::string> routers_removed;
  std::vector<std::string> upstreams_added;
  std::vector<std::string> upstreams_restarted;
  // Newly leaving or no longer listed; they get no new work.
  std::vector<std::string> upstreams_unusable;
};

Membership MakeMembership(const MembershipSettings& settings,
                          std::string self_id,
                          std::string self_domain,
                          std::uint64_t self_incarnation,
                          Endpoint self_endpoint,
                          TimePoint now);

// Applies a parsed list. Errors, none of which changes the tables:
// kStaleList, kImplausibleList.
Result<MembershipChange> ApplyInstanceList(Membership& membership,
                                           const InstanceList& list,
                                           TimePoint now);

// Records a heartbeat received directly from `sender`. Errors:
// kStaleIncarnation, kSelfSender; neither changes the tables.
Result<MembershipChange> ApplyHeartbeat(Membership& membership,
                                        std::string_view sender,
                                        const Heartbeat& heartbeat,
                                        TimePoint now);

// Records an upstream's incarnation from its load report, which can be newer than
// the list. Errors: kStaleIncarnation. Unknown ids change nothing.
Result<MembershipChange> RecordUpstreamIncarnation(Membership& membership,
                                                   std::string_view upstream,
                                                   std::uint64_t incarnation,
                                                   TimePoint now);

// Records the time of any other authenticated frame. Frames of unknown routers, or
// with an incarnation other than the known one, change nothing.
void RecordPeerContact(Membership& membership,
                       std::string_view sender,
                       std::uint64_t incarnation,
                       TimePoint now);

// Sets the state that this router announces in its heartbeats.
void SetSelfState(Membership& membership, RouterState state);

// Removes members that were neither listed nor in contact within `member_timeout`.
MembershipChange ExpireMembers(Membership& membership, TimePoint now);

const RouterMember* FindRouter(const Membership& membership, std::string_view id);
const UpstreamMember* FindUpstream(const Membership& membership, std::string_view id);

// Member routers of `failure_domain`, sorted by id, including this router if it is in
// that domain. Majorities and voter panels are computed over this set.
std::vector<const RouterMember*> DomainRouters(const Membership& membership,
                                               std::string_view failure_domain);

// True if the router may get new ownership: a serving member that is neither leaving
// nor damped, with contact within `contact_timeout` (always true of this router).
bool IsCandidate(const Membership& membership, const RouterMember& router, TimePoint now);

// True if the upstream may get new work: listed, not leaving and not damped.
bool IsUsable(const UpstreamMember& upstream, TimePoint now);

// Usable upstreams of a pool over all failure domains, sorted by id.
std::vector<const UpstreamMember*> UsableUpstreams(const Membership& membership,
                                                   std::string_view pool,
                                                   TimePoint now);

// Rendezvous hashing score of a member for a key. The highest score ranks first.
std::uint64_t RendezvousScore(std::string_view member_id, std::string_view key);

// Member routers of a domain in rendezvous order for `key`, best first. This is
// the order of voter panels.
std::vector<const RouterMember*> RankRouters(const Membership& membership,
                                             std::string_view failure_domain,
                                             std::string_view key);

// Like RankRouters, restricted to routers for which IsCandidate is true. The first is
// the candidate owner of the upstream with id `key`.
std::vector<const RouterMember*> RankCandidates(const Membership& membership,
                                                std::string_view failure_domain,
                                                std::string_view key,
                                                TimePoint now);

// Rank of this router (0 is first) in RankRouters of its own domain.
std::size_t OwnRank(const Membership& membership, std::string_view key);

}  // namespace geraniumspread::fleet

#endif  // FLEET_MEMBERSHIP_H_
