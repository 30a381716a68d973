#include <algorithm>
#include <boost/asio/ip/udp.hpp>
#include <boost/test/unit_test.hpp>
#include <set>

#include "common/runtime_timer.h"
#include "edge/internal/peer_codec.h"
#include "edge/tests/edge_fixture.h"

// Streams that break off while upstreams of two software versions serve.
namespace geraniumspread::edge {
namespace {

using namespace std::chrono_literals;
using test::EdgeFixture;
using test::Events;
using test::RawUpstream;
using transport::FindHeader;

struct Fixture : EdgeFixture {
  // Takes up, after its first event, the stream that began with a request.
  transport::HttpResponse TakeUp(const std::string& first_request) {
    return this->Call("/resume/1", {{"X-Last-Event-Id", "0"}, {"X-Resumes", first_request}})
        .value();
  }

  // Lets time pass while the store confirms the listings of all instances.
  void PassConfirmed(Duration time) {
    constexpr Duration kStep = 100ms;
    const ScopedPausedClock paused;
    // Timers that were set before look at the paused clock only when they fire.
    this->RunFor(300ms);
    for (Duration passed{0}; passed < time; passed += kStep) {
      RuntimeClock::Advance(kStep);
      this->edge->OnFeedConfirmed(RuntimeClock::now());
      for (const auto& other : this->other_instances) {
        other->OnFeedConfirmed(RuntimeClock::now());
      }
      this->RunFor(2ms);
    }
  }

  // Adds an instance that lists one upstream, and no other change up to the newest revision.
  void AddInstanceOutOfStep(const std::string& upstream, const std::string& version) {
    this->AddInstance("127.0.0.2");
    this->other_instances.back()->OnPublishedChanges(
        {{"config", "", this->revision - 1}, {"u9", upstream + " " + version, this->revision}},
        {this->era, this->revision});
  }

  // Sends a digest of a peer.
  void HearPeer() {
    dispatch::PeerDigest digest;
    digest.instance = "peer";
    digest.incarnation = 1;
    digest.sequence = 1;
    digest.address = "127.0.0.2";
    digest.failure_domain = "a";
    const std::string bytes = detail::EncodeDigest(digest);
    boost::asio::ip::udp::socket socket(this->io,
                                        {boost::asio::ip::make_address(digest.address), 0});
    socket.send_to(boost::asio::buffer(bytes),
                   {boost::asio::ip::make_address("127.0.0.1"), this->settings.digest_port});
    this->RunFor(50ms);
  }

  // Returns the index of the upstream that got a request.
  std::size_t UpstreamOf(const std::string& id) const {
    const auto got = std::ranges::find_if(this->upstreams, [&id](const auto& upstream) {
      return std::ranges::any_of(upstream->requests, [&id](const std::string& request) {
        return request.find("X-Id: " + id + "\r\n") != std::string::npos;
      });
    });
    return static_cast<std::size_t>(got - this->upstreams.begin());
  }

  // Calls, and gets a stream that breaks off. Returns the id of the request.
  std::string BreakOff() {
    const auto answer = this->Call("/resume/1", {{"X-Id", "first"}});
    BOOST_TEST(!answer.has_value());
    return "first";
  }
};

// Guards against a text whose first part is from one version and the rest from another, in
// one answer.
BOOST_FIXTURE_TEST_CASE(AnAnswerContinuesOnlyAtTheVersionThatBeganIt, Fixture) {
  const std::vector<std::string> versions = {"v1", "v2", "v1", "v2"};
  for (const std::string& version : versions) {
    this->AddUpstream({Events(0, 1, false)}, version);
  }
  std::size_t continued = 0;
  for (const std::string id : {"a", "b", "c", "d", "e", "f", "g", "h"}) {
    std::ignore = this->Call("/resume/1", {{"X-Id", id}});
    std::set<std::string> used;
    for (std::size_t index = 0; index < versions.size(); ++index) {
      for (const std::string& request : this->upstreams[index]->requests) {
        if (request.find("X-Id: " + id + "\r\n") != std::string::npos) {
          used.insert(versions[index]);
          continued += request.find("X-Resume-After: 1\r\n") != std::string::npos ? 1 : 0;
        }
      }
    }
    BOOST_TEST(used.size() == 1U);
  }
  BOOST_TEST(continued == 8U);
}

// The same over two attempts of the caller, at the same and at another instance.
BOOST_FIXTURE_TEST_CASE(ATakenUpStreamContinuesAtTheVersionThatBeganIt, Fixture) {
  this->AddInstance("127.0.0.2");
  this->RunFor(500ms);
  RawUpstream& first = this->AddUpstream({Events(0, 0, false)}, "v1");
  const std::string stream = this->BreakOff();
  BOOST_TEST(first.requests.size() >= 1U);
  RawUpstream& other = this->AddUpstream({Events(1, 2)}, "v2");
  RawUpstream& same = this->AddUpstream({Events(1, 2)}, "v1");
  this->RunFor(100ms);
  for (const std::size_t instance : {0U, 1U, 0U, 1U}) {
    this->current = instance;
    std::ignore = this->TakeUp(stream);
  }
  BOOST_TEST(other.requests.empty());
  BOOST_TEST(same.requests.size() + first.requests.size() >= 4U);
}

// Guards against a guess after all instances have lost their memory: that one version is
// left doesn't tell which one began the stream. The refusal says that nothing ran.
BOOST_FIXTURE_TEST_CASE(AStreamOfUnknownVersionIsRefusedAtOnce, Fixture) {
  RawUpstream& upstream = this->AddUpstream({Events(1, 2)}, "v2");
  const TimePoint asked_at = RuntimeClock::now();
  const auto refused = this->TakeUp("unknown");
  BOOST_TEST((RuntimeClock::now() - asked_at < 1s));
  BOOST_TEST(refused.status == 503);
  BOOST_TEST(FindHeader(refused.headers, "X-Ran") == "no");
  BOOST_TEST(FindHeader(refused.headers, "X-Retry-After-Ms").empty());
  BOOST_TEST(upstream.requests.empty());
}

// Guards against a caller that waits or comes back for a version that has left.
BOOST_FIXTURE_TEST_CASE(AStreamWhoseVersionHasLeftIsRefusedAtOnce, Fixture) {
  this->AddUpstream({Events(0, 0, false)}, "v1");
  const std::string stream = this->BreakOff();
  RawUpstream& other = this->AddUpstream({Events(1, 2)}, "v2");
  this->edge->OnPublishedChanges({{"u1", "", this->revision + 1, true}},
                                 {this->era, this->revision + 1});
  const auto refused = this->TakeUp(stream);
  BOOST_TEST(refused.status == 503);
  BOOST_TEST(FindHeader(refused.headers, "X-Ran") == "no");
  BOOST_TEST(FindHeader(refused.headers, "X-Retry-After-Ms").empty());
  BOOST_TEST(other.requests.empty());
}

// Guards against an instance that was cut off or stood still while upstreams of another version
// joined: its listings have one version only, but peers know where the stream began.
BOOST_FIXTURE_TEST_CASE(PeersDecideBeforeTheListingsOfOneInstance, Fixture) {
  RawUpstream old(this->io, {Events(1, 2)});
  this->AddUpstream({Events(0, 0, false)}, "v2");
  const std::string stream = this->BreakOff();
  this->AddInstanceOutOfStep(old.Address(), "v1");
  this->PassConfirmed(11s);
  this->current = 1;
  const auto refused = this->TakeUp(stream);
  BOOST_TEST(old.requests.empty());
  BOOST_TEST(refused.status == 503);
  BOOST_TEST(FindHeader(refused.headers, "X-Ran") == "no");
}

// The same while the instance reaches neither peers nor the store. Listings that were complete
// a moment ago may lack the version that began the stream.
BOOST_FIXTURE_TEST_CASE(ListingsWithoutANewConfirmationDecideNothing, Fixture) {
  RawUpstream& upstream = this->AddUpstream({Events(1, 2)}, "v1");
  this->PassConfirmed(11s);
  const auto refused = this->TakeUp("unknown");
  BOOST_TEST(upstream.requests.empty());
  BOOST_TEST(refused.status == 503);
  BOOST_TEST(FindHeader(refused.headers, "X-Ran") == "no");
  BOOST_TEST(FindHeader(refused.headers, "X-Retry-After-Ms") != "");
}

// Listings that the store confirms after the take-up are complete, so the only version in them
// is that of the stream.
BOOST_FIXTURE_TEST_CASE(ConfirmedListingsOfOneVersionDecide, Fixture) {
  RawUpstream& upstream = this->AddUpstream({Events(1, 2)}, "v1");
  this->PassConfirmed(11s);
  RuntimeTimer timer(this->io, 50ms);
  timer.async_wait([this](const boost::system::error_code&) {
    this->edge->OnFeedConfirmed(RuntimeClock::now());
  });
  BOOST_TEST(this->TakeUp("unknown").status == 200);
  BOOST_TEST(upstream.requests.size() == 1U);
}

// Guards against take-ups that are refused after all instances have lost power, although the
// listings tell at which version requests of the chat begin, and against another version.
BOOST_FIXTURE_TEST_CASE(AStreamThatNobodyKnowsContinuesAtTheVersionOfItsChat, Fixture) {
  for (int index = 0; index < 12; ++index) {
    this->AddUpstream({Events(0, 2)}, index % 2 == 0 ? "v1" : "v2");
  }
  std::size_t continued = 0;
  std::set<std::size_t> versions;
  for (int chat = 0; chat < 20; ++chat) {
    const std::string parts = "1," + std::to_string(100 + chat) + ",2";
    const std::string id = "chat-" + std::to_string(chat);
    BOOST_TEST(this->Call("/resume/1", {{"X-Id", id}, {"X-Parts", parts}}).value().status == 200);
    RuntimeTimer timer(this->io, 10ms);
    timer.async_wait([this](const boost::system::error_code&) {
      this->edge->OnFeedConfirmed(RuntimeClock::now());
    });
    const auto answer = this->Call("/resume/1", {{"X-Id", id + "-again"},
                                                 {"X-Parts", parts},
                                                 {"X-Last-Event-Id", "0"},
                                                 {"X-Resumes", "lost-" + id}});
    versions.insert(this->UpstreamOf(id) % 2);
    if (answer.value().status == 200) {
      ++continued;
      BOOST_TEST(this->UpstreamOf(id) % 2 == this->UpstreamOf(id + "-again") % 2);
    }
  }
  BOOST_TEST(versions.size() == 2U);
  BOOST_TEST(continued >= 10U);
}

// Guards against a version that is inferred from listings that may lack upstreams.
BOOST_FIXTURE_TEST_CASE(UnconfirmedListingsTellNoVersionOfAChat, Fixture) {
  for (int index = 0; index < 12; ++index) {
    this->AddUpstream({Events(1, 2)}, index % 2 == 0 ? "v1" : "v2");
  }
  const auto refused = this->Call(
      "/resume/1", {{"X-Parts", "1,100,2"}, {"X-Last-Event-Id", "0"}, {"X-Resumes", "lost"}});
  BOOST_TEST(refused.value().status == 503);
  BOOST_TEST(FindHeader(refused.value().headers, "X-Ran") == "no");
}

// Guards against a stream that begins at the version that its chat had some time ago, at an
// instance that no longer sees changes. Where all versions are the same, it goes on.
BOOST_FIXTURE_TEST_CASE(AnInstanceThatMayBeCutOffBeginsNoStreamOfSeveralVersions, Fixture) {
  this->AddUpstream({Events(0, 2)}, "v1");
  this->AddUpstream({Events(0, 2)}, "v1");
  this->HearPeer();
  {
    const ScopedPausedClock paused;
    RuntimeClock::Advance(5s);
  }
  BOOST_TEST(this->Call("/resume/1").value().status == 200);
  this->AddUpstream({Events(0, 2)}, "v2");
  this->AddUpstream({Events(0, 2)}, "v2");
  const auto refused = this->Call("/resume/1").value();
  BOOST_TEST(refused.status == 503);
  BOOST_TEST(FindHeader(refused.headers, "X-Ran") == "no");
  BOOST_TEST(this->Call("/lookup/1").value().status == 200);
  this->edge->OnFeedConfirmed(RuntimeClock::now());
  BOOST_TEST(this->Call("/resume/1").value().status == 200);
}

// A stream that has not begun may begin at any version, also after a failed attempt.
BOOST_FIXTURE_TEST_CASE(AnAttemptWithoutAnEventLeavesTheChoiceOfTheVersion, Fixture) {
  this->AddUpstream({test::NotRun()}, "v1");
  this->AddUpstream({Events(0, 2)}, "v2");
  BOOST_TEST(this->Call("/resume/1").value().status == 200);
}

}  // namespace
}  // namespace geraniumspread::edge
