#include "dispatch/upstream_path.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <set>

namespace geraniumspread::dispatch {
namespace {

using namespace std::chrono_literals;

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr std::size_t kListed = 6;

UpstreamListing MakeListing(const std::string& id,
                            const std::string& service,
                            const std::string& domain) {
  UpstreamListing listing;
  listing.id = id;
  listing.service = service;
  listing.address = "10.0.0.1:80";
  listing.failure_domain = domain;
  listing.started_at_ms = 1;
  return listing;
}

struct Fixture {
  // Records that the path is lost: two failures, then a check without a success.
  void Lose() {
    BOOST_TEST(!RecordPathFailure(this->path, "u1", kListed, this->now));
    BOOST_TEST(RecordPathFailure(this->path, "u2", kListed, this->now));
    this->now += 200ms;
    BOOST_TEST(RecordPathUnreached(this->path, this->now));
  }

  void AddPeer(const std::string& address, const std::string& domain, bool able = true) {
    PeerDigest digest;
    digest.address = address;
    digest.failure_domain = domain;
    digest.incarnation = 1;
    digest.sequence = ++this->sequence;
    digest.reaches_upstreams = able;
    ApplyDigest(this->peers, this->upstreams, digest, this->now);
  }

  // The peers that are chosen in many draws.
  std::set<std::string> Chosen() {
    std::set<std::string> chosen;
    for (int draw = 0; draw < 200; ++draw) {
      const Peer* peer = ChooseRelayPeer(this->peers, this->rules, this->random, this->now);
      chosen.insert(peer == nullptr ? "" : peer->digest.address);
    }
    return chosen;
  }

  Fixture() {
    this->peers.self_address = "self";
    this->peers.self_domain = "a";
  }

  UpstreamPath path;
  TimePoint now = kStart;
  UpstreamTable upstreams;
  PeerTable peers;
  RelayRules rules;
  std::mt19937_64 random{7};
  std::uint64_t sequence = 0;
};

// Guards against an instance that never notices that its connects fail everywhere.
BOOST_FIXTURE_TEST_CASE(FailuresAtTwoUpstreamsAndAFailedCheckLoseThePath, Fixture) {
  this->Lose();
  BOOST_TEST((this->path.state == PathState::kLost));
  BOOST_TEST(RecordPathReached(this->path, this->now, this->now));
  BOOST_TEST((this->path.state == PathState::kReached));
}

// Guards against relaying because one upstream is down.
BOOST_FIXTURE_TEST_CASE(OneFailingUpstreamIsNotSuspicious, Fixture) {
  for (int count = 0; count < 20; ++count, this->now += 50ms) {
    BOOST_TEST(!RecordPathFailure(this->path, "u1", kListed, this->now));
  }
}

// The only upstream that is listed shows alone whether the path is lost.
BOOST_FIXTURE_TEST_CASE(TheOnlyUpstreamIsEnoughForACheck, Fixture) {
  BOOST_TEST(RecordPathFailure(this->path, "u1", 1, this->now));
}

BOOST_FIXTURE_TEST_CASE(FailuresFarApartDoNotCountTogether, Fixture) {
  BOOST_TEST(!RecordPathFailure(this->path, "u1", kListed, this->now));
  this->now += 2001ms;
  BOOST_TEST(!RecordPathFailure(this->path, "u2", kListed, this->now));
}

// Guards against counting failures of upstreams between which others were reached.
BOOST_FIXTURE_TEST_CASE(AConnectBetweenTwoFailuresSeparatesThem, Fixture) {
  BOOST_TEST(!RecordPathFailure(this->path, "u1", kListed, this->now));
  BOOST_TEST(!RecordPathReached(this->path, this->now, this->now));
  BOOST_TEST(!RecordPathFailure(this->path, "u2", kListed, this->now));
}

// Connections that were opened before the cut may live on, and show nothing about new ones.
BOOST_FIXTURE_TEST_CASE(AnAnswerOnAnOldConnectionRestoresNothing, Fixture) {
  BOOST_TEST(!RecordPathFailure(this->path, "u1", kListed, this->now));
  BOOST_TEST(!RecordPathReached(this->path, this->now - 10ms, this->now));
  BOOST_TEST(RecordPathFailure(this->path, "u2", kListed, this->now));
  BOOST_TEST(RecordPathUnreached(this->path, this->now));
  BOOST_TEST(!RecordPathReached(this->path, this->now - 10ms, this->now + 50ms));
  BOOST_TEST((this->path.state == PathState::kLost));
}

// Guards against a check that calls a path good on which connections open and requests die.
BOOST_FIXTURE_TEST_CASE(UnansweredRequestsOnNewConnectionsNeedAnAnswer, Fixture) {
  BOOST_TEST(!RecordPathFailure(this->path, "u1", kListed, this->now));
  BOOST_TEST(!this->path.needs_answer);
  BOOST_TEST(RecordPathFailure(this->path, "u2", kListed, this->now, PathSign::kUnanswered));
  BOOST_TEST(this->path.needs_answer);
  BOOST_TEST(RecordPathUnreached(this->path, this->now));
  BOOST_TEST(this->path.needs_answer);
  BOOST_TEST(RecordPathReached(this->path, this->now, this->now));
  BOOST_TEST(!this->path.needs_answer);
}

// One upstream that resets its requests says nothing about the checks after the next answer.
BOOST_FIXTURE_TEST_CASE(AnAnswerEndsTheNeedForAnswers, Fixture) {
  BOOST_TEST(!RecordPathFailure(this->path, "u1", kListed, this->now, PathSign::kUnanswered));
  BOOST_TEST(!RecordPathReached(this->path, this->now - 1ms, this->now));
  BOOST_TEST(this->path.needs_answer);
  BOOST_TEST(!RecordPathReached(this->path, this->now + 1ms, this->now + 2ms));
  BOOST_TEST(!this->path.needs_answer);
}

// A service whose upstreams are all gone lets every check succeed elsewhere; the checks must stay
// few.
BOOST_FIXTURE_TEST_CASE(ACheckThatSucceedsIsFollowedByAPause, Fixture) {
  int checks = 0;
  for (int step = 0; step < 400; ++step, this->now += 10ms) {
    const std::string upstream = step % 2 == 0 ? "u1" : "u2";
    if (RecordPathFailure(this->path, upstream, kListed, this->now)) {
      ++checks;
      BOOST_TEST(!RecordPathReached(this->path, this->now, this->now + 1ms));
    }
  }
  BOOST_TEST(checks >= 3);
  BOOST_TEST(checks <= 4);
}

// A request that reaches an upstream during the check outweighs the check.
BOOST_FIXTURE_TEST_CASE(AConnectDuringTheCheckKeepsThePath, Fixture) {
  std::ignore = RecordPathFailure(this->path, "u1", kListed, this->now);
  BOOST_TEST(RecordPathFailure(this->path, "u2", kListed, this->now));
  BOOST_TEST(!RecordPathReached(this->path, this->now, this->now));
  BOOST_TEST(!RecordPathUnreached(this->path, this->now));
  BOOST_TEST((this->path.state == PathState::kReached));
}

// Guards against timeouts that only show that this process stood still.
BOOST_FIXTURE_TEST_CASE(AStandstillOfTheProcessIsNoSign, Fixture) {
  std::ignore = RecordPathFailure(this->path, "u1", kListed, this->now);
  RecordPathStandstill(this->path, this->now);
  BOOST_TEST(!RecordPathFailure(this->path, "u2", kListed, this->now));
  BOOST_TEST(!TakeSilenceProbe(this->path, this->now - 5s, this->now));
  BOOST_TEST(RecordPathFailure(this->path, "u3", kListed, this->now));
  RecordPathUnchecked(this->path, this->now);
  BOOST_TEST((this->path.state == PathState::kReached));
  BOOST_TEST(!RecordPathFailure(this->path, "u1", kListed, this->now));
}

// Requests on kept connections that hang show no failed connect.
BOOST_FIXTURE_TEST_CASE(SilenceWhileRequestsWaitIsProbed, Fixture) {
  this->path.last_bytes_at = kStart;
  BOOST_TEST(!TakeSilenceProbe(this->path, kStart, kStart + 399ms));
  BOOST_TEST(TakeSilenceProbe(this->path, kStart, kStart + 400ms));
  // Connections may open and then stay silent.
  BOOST_TEST(this->path.needs_answer);
  BOOST_TEST(SuspectPath(this->path, kStart + 600ms));
  BOOST_TEST(!SuspectPath(this->path, kStart + 600ms));
}

// An upstream that stands still for a second or is slow costs few probes, and none while others
// answer or no request waits.
BOOST_FIXTURE_TEST_CASE(SlowUpstreamsCostFewProbes, Fixture) {
  this->path.last_bytes_at = kStart;
  int probes = 0;
  for (int step = 0; step < 40; ++step, this->now += 100ms) {
    probes += TakeSilenceProbe(this->path, kStart, this->now) ? 1 : 0;
  }
  BOOST_TEST(probes == 2);
  this->path.last_bytes_at = this->now + 10s;
  BOOST_TEST(!TakeSilenceProbe(this->path, kStart, this->now + 10s));
  this->path.last_bytes_at = kStart;
  BOOST_TEST(!TakeSilenceProbe(this->path, TimePoint::max(), this->now + 20s));
}

BOOST_FIXTURE_TEST_CASE(ALostPathIsProbedTwiceASecond, Fixture) {
  BOOST_TEST(!TakeRecoveryProbe(this->path, this->now));
  this->Lose();
  int probes = 0;
  for (int step = 0; step < 100; ++step, this->now += 20ms) {
    probes += TakeRecoveryProbe(this->path, this->now) ? 1 : 0;
  }
  BOOST_TEST(probes >= 3);
  BOOST_TEST(probes <= 4);
}

// A check of upstreams of one domain or service only would take its failure for a lost path.
BOOST_FIXTURE_TEST_CASE(ProbesSpreadOverDomainsAndServices, Fixture) {
  for (int index = 0; index < 20; ++index) {
    ApplyListing(this->upstreams, MakeListing("big" + std::to_string(index), "big", "a"), kStart);
  }
  ApplyListing(this->upstreams, MakeListing("other", "small", "a"), kStart);
  ApplyListing(this->upstreams, MakeListing("far", "big", "b"), kStart);
  ApplyListing(this->upstreams, MakeListing("silent", "rare", "c"), kStart);
  this->upstreams.domains_silent.insert("c");
  for (int draw = 0; draw < 50; ++draw) {
    std::set<std::string> ids;
    for (const UpstreamRow& row : ChooseProbedUpstreams(this->upstreams, 4, this->random)) {
      ids.insert(row->listing.id);
    }
    BOOST_TEST(ids.size() == 4U);
    BOOST_TEST(ids.contains("other"));
    BOOST_TEST(ids.contains("far"));
    BOOST_TEST(!ids.contains("silent"));
  }
  BOOST_TEST(ChooseProbedUpstreams(UpstreamTable{}, 4, this->random).empty());
}

// Guards against checks of upstreams that no request uses: dead ones would have a sound path called
// lost, a live one a lost path sound. A later configuration may name their service.
BOOST_FIXTURE_TEST_CASE(OnlyConfiguredUpstreamsAreProbed, Fixture) {
  ApplyListing(this->upstreams, MakeListing("u1", "app", "a"), kStart);
  ApplyListing(this->upstreams, MakeListing("u2", "app", "a"), kStart);
  for (int index = 0; index < 5; ++index) {
    const std::string number = std::to_string(index);
    ApplyListing(this->upstreams, MakeListing("other" + number, "s" + number, "d" + number),
                 kStart);
  }
  this->upstreams.configured_services = {"app", "unlisted"};
  BOOST_TEST(CountConfigured(this->upstreams) == 2U);
  for (int draw = 0; draw < 50; ++draw) {
    const auto chosen = ChooseProbedUpstreams(this->upstreams, 4, this->random);
    BOOST_TEST(chosen.size() == 2U);
    BOOST_TEST(std::ranges::all_of(
        chosen, [](const UpstreamRow& row) { return row->listing.service == "app"; }));
  }
  this->upstreams.configured_services = {"app", "s0", "s1"};
  BOOST_TEST(CountConfigured(this->upstreams) == 4U);
  BOOST_TEST(ChooseProbedUpstreams(this->upstreams, 4, this->random).size() == 4U);
}

// Guards against upstreams that are avoided after the path is back.
BOOST_FIXTURE_TEST_CASE(FailuresOfALostPathAreForgotten, Fixture) {
  for (const std::string id : {"u1", "u2", "u3"}) {
    ApplyListing(this->upstreams, MakeListing(id, "app", "a"), kStart);
    RecordConnectFailure(this->upstreams.rows.at(id)->health, this->now);
  }
  this->Lose();
  ForgetPathFailures(this->path, this->upstreams);
  BOOST_TEST(this->upstreams.rows.at("u1")->health.connect_failures == 0U);
  BOOST_TEST((this->upstreams.rows.at("u2")->health.avoid_until == TimePoint{}));
  // It failed before the path did.
  BOOST_TEST(this->upstreams.rows.at("u3")->health.connect_failures == 1U);
}

// Guards against requests that go to instances that can't relay them, or to another region.
BOOST_FIXTURE_TEST_CASE(RelaysAreLiveAbleAndOfTheOwnRegion, Fixture) {
  BOOST_TEST((this->Chosen() == std::set<std::string>{""}));
  this->rules.regions = {{"a", "north"}, {"b", "north"}, {"c", "south"}};
  this->AddPeer("gone", "b");
  this->now += 10s;
  this->AddPeer("south", "c");
  this->AddPeer("unknown", "d");
  this->AddPeer("unable", "b", false);
  BOOST_TEST((this->Chosen() == std::set<std::string>{""}));
  this->AddPeer("b1", "b");
  this->AddPeer("b2", "b");
  BOOST_TEST((this->Chosen() == std::set<std::string>{"b1", "b2"}));
  this->rules.avoided["b1"] = this->now + 2s;
  BOOST_TEST((this->Chosen() == std::set<std::string>{"b2"}));
  this->now += 2s;
  this->AddPeer("b1", "b");
  this->peers.peers.at("b1").digest.leaving = true;
  BOOST_TEST((this->Chosen() == std::set<std::string>{""}));
}

// Guards against a lone survivor of a failure domain that gets the load of the whole domain.
BOOST_FIXTURE_TEST_CASE(TheOwnDomainIsPreferredWhileItHasEnoughRelays, Fixture) {
  this->AddPeer("a1", "a");
  this->AddPeer("b1", "b");
  BOOST_TEST((this->Chosen() == std::set<std::string>{"a1"}));
  this->AddPeer("a2", "a", false);
  BOOST_TEST((this->Chosen() == std::set<std::string>{"a1", "b1"}));
  this->AddPeer("a3", "a");
  BOOST_TEST((this->Chosen() == std::set<std::string>{"a1", "a3"}));
}

}  // namespace
}  // namespace geraniumspread::dispatch
