#include <boost/test/unit_test.hpp>
#include <set>

#include "common/runtime_timer.h"
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

// A stream that has not begun may begin at any version, also after a failed attempt.
BOOST_FIXTURE_TEST_CASE(AnAttemptWithoutAnEventLeavesTheChoiceOfTheVersion, Fixture) {
  this->AddUpstream({test::NotRun()}, "v1");
  this->AddUpstream({Events(0, 2)}, "v2");
  BOOST_TEST(this->Call("/resume/1").value().status == 200);
}

}  // namespace
}  // namespace geraniumspread::edge
