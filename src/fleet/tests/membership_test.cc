#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "fleet/membership.h"

namespace geraniumspread::fleet {
namespace {

using std::chrono::seconds;

constexpr TimePoint kStart{seconds(1000)};

ListedInstance Listed(const std::string& id, InstanceKind kind, std::uint64_t incarnation = 1) {
  return {id,
          kind,
          kind == InstanceKind::kRouter ? "" : "pool",
          "zone-a",
          {"127.0.0.1", 1, 2, 3},
          incarnation,
          false};
}

InstanceList List(std::uint64_t revision, std::vector<ListedInstance> instances) {
  std::ranges::sort(instances, {}, &ListedInstance::id);
  return {revision, std::move(instances), 0};
}

InstanceList FullList(std::uint64_t revision) {
  return List(revision,
              {Listed("r1", InstanceKind::kRouter), Listed("r2", InstanceKind::kRouter),
               Listed("r3", InstanceKind::kRouter), Listed("e1", InstanceKind::kModelEngine),
               Listed("e2", InstanceKind::kModelEngine)});
}

Membership Fresh() {
  return MakeMembership({}, "r1", "zone-a", 5, {"127.0.0.1", 1, 2, 3}, kStart);
}

Heartbeat Beat(std::uint64_t incarnation, RouterState state = RouterState::kServing) {
  Heartbeat heartbeat;
  heartbeat.incarnation = incarnation;
  heartbeat.failure_domain = "zone-a";
  heartbeat.state = state;
  return heartbeat;
}

FleetErrorCode ParseError(const std::string& body) {
  const auto list = ParseInstanceList(body);
  BOOST_REQUIRE(!list);
  return list.error().code;
}

std::string ListJson(const std::string& entry) {
  return R"({"revision": 3, "instances": [)" + entry + "]}";
}

// Guards against an instance list that is applied in part or without checks.
BOOST_AUTO_TEST_CASE(ListParserChecksEveryField) {
  const std::string good = R"({"id": "e1", "kind": "model_engine", "pool": "p",
    "failure_domain": "z", "address": "127.0.0.1", "port": 80, "incarnation": 7,
    "state": "leaving", "later_field": {}})";
  const auto list = ParseInstanceList(ListJson(good + R"(, {"id": "x", "kind": "later_kind"})"));
  BOOST_REQUIRE(list.has_value());
  BOOST_TEST(list.value().revision == 3U);
  BOOST_TEST(list.value().skipped == 1U);
  BOOST_TEST(list.value().instances.at(0).leaving);
  BOOST_TEST((ParseError(ListJson(good + "," + good)) == FleetErrorCode::kInvalidField));
  BOOST_TEST((ParseError("[1]") == FleetErrorCode::kMalformed));
  BOOST_TEST((ParseError("{\"revision\": 1") == FleetErrorCode::kMalformed));
  BOOST_TEST(
      (ParseError(std::string(kMaxInstanceListBytes + 1, ' ')) == FleetErrorCode::kTooLarge));
  for (const std::string field :
       {"\"e1\"", "\"p\"", "\"z\"", "\"127.0.0.1\"", "80", " 7", "\"leaving\""}) {
    std::string bad = good;
    bad.replace(bad.find(field), field.size(), " -1");
    BOOST_TEST((ParseError(ListJson(bad)) == FleetErrorCode::kInvalidField), field);
  }
}

// Guards against a stale list that restores a replaced process.
BOOST_AUTO_TEST_CASE(OlderIncarnationNeverReplacesNewer) {
  Membership membership = Fresh();
  BOOST_REQUIRE(ApplyInstanceList(membership, FullList(1), kStart));
  BOOST_REQUIRE(ApplyHeartbeat(membership, "r2", Beat(9), kStart));
  BOOST_REQUIRE(ApplyInstanceList(membership, FullList(2), kStart));
  BOOST_TEST(FindRouter(membership, "r2")->incarnation == 9U);
  const auto stale = ApplyHeartbeat(membership, "r2", Beat(8), kStart);
  BOOST_REQUIRE(!stale);
  BOOST_TEST((stale.error().code == FleetErrorCode::kStaleIncarnation));
  BOOST_REQUIRE(RecordUpstreamIncarnation(membership, "e1", 4, kStart));
  BOOST_TEST(!RecordUpstreamIncarnation(membership, "e1", 3, kStart));
  BOOST_REQUIRE(ApplyInstanceList(membership, FullList(3), kStart));
  BOOST_TEST(FindUpstream(membership, "e1")->incarnation == 4U);
  BOOST_TEST(!ApplyHeartbeat(membership, "r1", Beat(6), kStart));
}

// Guards against a faulty list that removes most of the fleet, and against a real mass
// removal that is never accepted.
BOOST_AUTO_TEST_CASE(ImplausibleListChangesNothingUntilConfirmed) {
  Membership membership = Fresh();
  BOOST_REQUIRE(ApplyInstanceList(membership, FullList(1), kStart));
  const auto small =
      List(2, {Listed("r1", InstanceKind::kRouter), Listed("r2", InstanceKind::kRouter),
               Listed("r3", InstanceKind::kRouter)});
  const auto refused = ApplyInstanceList(membership, small, kStart);
  BOOST_REQUIRE(!refused);
  BOOST_TEST((refused.error().code == FleetErrorCode::kImplausibleList));
  BOOST_TEST(UsableUpstreams(membership, "pool", kStart).size() == 2U);
  BOOST_TEST(!ApplyInstanceList(membership, List(9, {}), kStart + seconds(100)));
  BOOST_TEST(!ApplyInstanceList(membership, FullList(0), kStart));
  BOOST_REQUIRE(ApplyInstanceList(membership, FullList(3), kStart + seconds(20)));
  const auto later = List(4, small.instances);
  BOOST_TEST(!ApplyInstanceList(membership, later, kStart + seconds(40)));
  BOOST_TEST(!ApplyInstanceList(membership, later, kStart + seconds(69)));
  BOOST_TEST(ApplyInstanceList(membership, later, kStart + seconds(70)).has_value());
  BOOST_TEST(UsableUpstreams(membership, "pool", kStart + seconds(70)).empty());
}

// Guards against new work on a leaving or removed upstream.
BOOST_AUTO_TEST_CASE(LeavingOrRemovedUpstreamIsUnusableAtOnce) {
  Membership membership = Fresh();
  BOOST_REQUIRE(ApplyInstanceList(membership, FullList(1), kStart));
  BOOST_REQUIRE(RecordUpstreamIncarnation(membership, "e1", 2, kStart));
  InstanceList list = FullList(2);
  list.instances.at(0).leaving = true;  // e1, with the incarnation before its restart
  const auto change = ApplyInstanceList(membership, list, kStart);
  BOOST_REQUIRE(change.has_value());
  BOOST_TEST(change.value().upstreams_unusable == std::vector<std::string>{"e1"});
  BOOST_TEST(!IsUsable(*FindUpstream(membership, "e1"), kStart));
  list.revision = 3;
  list.instances.erase(list.instances.begin());
  list.instances.erase(list.instances.begin());
  list.instances.push_back(Listed("e3", InstanceKind::kModelEngine));
  std::ranges::sort(list.instances, {}, &ListedInstance::id);
  membership.settings.mass_removal_delay = seconds(0);
  BOOST_REQUIRE(ApplyInstanceList(membership, list, kStart));
  BOOST_TEST(!IsUsable(*FindUpstream(membership, "e2"), kStart));
  BOOST_TEST(UsableUpstreams(membership, "pool", kStart).size() == 1U);
}

// Guards against members removed by a single late list, and against dead ones that
// count for majorities forever.
BOOST_AUTO_TEST_CASE(MembersExpireAfterLastListingOrContact) {
  Membership membership = Fresh();
  BOOST_REQUIRE(ApplyInstanceList(membership, FullList(1), kStart));
  const auto without_r2 =
      List(2, {Listed("r1", InstanceKind::kRouter), Listed("r3", InstanceKind::kRouter),
               Listed("e1", InstanceKind::kModelEngine), Listed("e2", InstanceKind::kModelEngine)});
  BOOST_REQUIRE(ApplyInstanceList(membership, without_r2, kStart + seconds(2)));
  BOOST_REQUIRE(ApplyHeartbeat(membership, "r2", Beat(1), kStart + seconds(5)));
  ExpireMembers(membership, kStart + seconds(15));
  BOOST_TEST(DomainRouters(membership, "zone-a").size() == 3U);
  const auto change = ExpireMembers(membership, kStart + seconds(16));
  BOOST_TEST(change.routers_removed == std::vector<std::string>{"r2"});
  // r3 is silent but listed, and this router always counts.
  ExpireMembers(membership, kStart + seconds(500));
  BOOST_TEST(DomainRouters(membership, "zone-a").size() == 2U);
}

// Guards against an upstream or router that restarts in a loop and gets work after
// each start.
BOOST_AUTO_TEST_CASE(FlapsAreDampedAndDampingEnds) {
  Membership membership = Fresh();
  BOOST_REQUIRE(ApplyInstanceList(membership, FullList(1), kStart));
  for (std::uint64_t restart = 2; restart <= 4; ++restart) {
    BOOST_REQUIRE(RecordUpstreamIncarnation(membership, "e1", restart, kStart));
  }
  BOOST_TEST(IsUsable(*FindUpstream(membership, "e1"), kStart));
  BOOST_REQUIRE(RecordUpstreamIncarnation(membership, "e1", 5, kStart));
  BOOST_TEST(!IsUsable(*FindUpstream(membership, "e1"), kStart + seconds(9)));
  BOOST_REQUIRE(RecordUpstreamIncarnation(membership, "e1", 6, kStart + seconds(9)));
  BOOST_TEST(!IsUsable(*FindUpstream(membership, "e1"), kStart + seconds(28)));
  BOOST_TEST(IsUsable(*FindUpstream(membership, "e1"), kStart + seconds(29)));
}

// Guards against a silent, draining or damped router that stays the candidate
// owner, and against routers that disagree on the order of candidates.
BOOST_AUTO_TEST_CASE(CandidatesAreServingRoutersWithContactInRendezvousOrder) {
  Membership membership = Fresh();
  BOOST_REQUIRE(ApplyInstanceList(membership, FullList(1), kStart));
  SetSelfState(membership, RouterState::kServing);
  BOOST_TEST(RankCandidates(membership, "zone-a", "e1", kStart).size() == 1U);
  BOOST_REQUIRE(ApplyHeartbeat(membership, "r2", Beat(1), kStart));
  BOOST_REQUIRE(ApplyHeartbeat(membership, "r3", Beat(1, RouterState::kDraining), kStart));
  BOOST_TEST(RankCandidates(membership, "zone-a", "e1", kStart).size() == 2U);
  BOOST_TEST(RankCandidates(membership, "zone-a", "e1", kStart + seconds(4)).size() == 1U);
  RecordPeerContact(membership, "r2", 1, kStart + seconds(4));
  BOOST_TEST(RankCandidates(membership, "zone-a", "e1", kStart + seconds(4)).size() == 2U);
  const auto ranked = RankRouters(membership, "zone-a", "e1");
  BOOST_TEST(ranked.size() == 3U);
  BOOST_TEST(RendezvousScore(ranked[0]->id, "e1") > RendezvousScore(ranked[1]->id, "e1"));
  BOOST_TEST(ranked[OwnRank(membership, "e1")]->id == "r1");
}

}  // namespace
}  // namespace geraniumspread::fleet
