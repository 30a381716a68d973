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
  // How long a member counts after it was last listed or heard.
  Duration member_timeout = std::chrono::seconds(10);
  // A member that comes back or changes incarnation more than `flap_limit`
  // times within `flap_window` is damped for `damping_period`, doubled with each
  // further change up to `max_damping_period`.
  Duration flap_window = std::chrono::seconds(60);
  int flap_limit = 3;
  Duration damping_period = std::chrono::seconds(10);
  Duration max_damping_period = std::chrono::seconds(80);
  // A router that was heard before and is silent for this long is no candidate
  // for new ownership, even while the lagging list still names it. It must be
  // above the time between heartbeats of domain peers: 1 s up to 9 peers, about
  // 7 s with 50 (docs/measurements/fleet.md), so 10 s at design size.
  Duration contact_timeout = std::chrono::seconds(3);
  // A list that removes more than half of the routers or upstreams is applied
  // only after the platform has repeated such lists for this long.
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
  Endpoint endpoint;  // empty address: not known yet, can't be dialled
  std::uint64_t incarnation = 0;
  RouterState state = RouterState::kStarting;
  // Counts for majorities. False once neither listed nor heard for
  // `member_timeout`; the record is kept longer for its incarnation and flaps.
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

// The full membership as this router knows it. Both tables are sorted by id.
// This router is always in `routers`.
struct Membership {
  MembershipSettings settings;
  std::string self_id;
  std::string self_domain;
  std::vector<RouterMember> routers;
  std::vector<UpstreamMember> upstreams;
  std::uint64_t list_revision = 0;  // 0: no list applied yet
  std::optional<TimePoint> last_list;
  // Since when the platform has sent only lists that remove too much.
  std::optional<TimePoint> implausible_since;
  std::uint64_t lists_rejected = 0;
};

// What a list or a heartbeat changed.
struct MembershipChange {
  std::vector<std::string> routers_added;
  std::vector<std::string> routers_restarted;  // newer incarnation
  std::vector<std::string> routers_removed;
  std::vector<std::string> upstreams_added;
  std::vector<std::string> upstreams_restarted;
  // Leaving or no longer listed: no new work from now on.
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

// Records the incarnation of an upstream that a load report shows before the
// list does. Errors: kStaleIncarnation. Unknown ids change nothing.
Result<MembershipChange> RecordUpstreamIncarnation(Membership& membership,
                                                   std::string_view upstream,
                                                   std::uint64_t incarnation,
                                                   TimePoint now);

// Records any other authenticated frame from a known router. Frames of an older
// or unknown incarnation and of unknown routers change nothing.
void RecordPeerContact(Membership& membership,
                       std::string_view sender,
                       std::uint64_t incarnation,
                       TimePoint now);

// Sets the state that this router announces in its heartbeats.
void SetSelfState(Membership& membership, RouterState state);

// Drops members that were neither listed nor heard within `member_timeout`.
MembershipChange ExpireMembers(Membership& membership, TimePoint now);

const RouterMember* FindRouter(const Membership& membership, std::string_view id);
const UpstreamMember* FindUpstream(const Membership& membership, std::string_view id);

// Members of `failure_domain`, sorted by id; this router included where it
// belongs. Majorities and voter panels are taken over this set.
std::vector<const RouterMember*> DomainRouters(const Membership& membership,
                                               std::string_view failure_domain);

// True when the router may be a candidate for new ownership: heard within
// `contact_timeout` as serving, not leaving, not damped.
bool IsCandidate(const Membership& membership, const RouterMember& router, TimePoint now);

// True when the upstream may get new work: listed, not leaving, not damped.
bool IsUsable(const UpstreamMember& upstream, TimePoint now);

// Usable upstreams of a pool over all failure domains, sorted by id.
std::vector<const UpstreamMember*> UsableUpstreams(const Membership& membership,
                                                   std::string_view pool,
                                                   TimePoint now);

// Rendezvous score of a member for a key. The higher score ranks first.
std::uint64_t RendezvousScore(std::string_view member_id, std::string_view key);

// Member routers of a domain in rendezvous order for `key`, best first. This is
// the order of voter panels.
std::vector<const RouterMember*> RankRouters(const Membership& membership,
                                             std::string_view failure_domain,
                                             std::string_view key);

// As RankRouters, but only routers for which IsCandidate holds. The first one
// is the candidate owner of the upstream whose id is `key`.
std::vector<const RouterMember*> RankCandidates(const Membership& membership,
                                                std::string_view failure_domain,
                                                std::string_view key,
                                                TimePoint now);

// This router's place (0 is best) in RankRouters of its own domain.
std::size_t OwnRank(const Membership& membership, std::string_view key);

}  // namespace geraniumspread::fleet

#endif  // FLEET_MEMBERSHIP_H_
