#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <set>
#include <stdexcept>

#include "edge/tests/edge_fixture.h"

// Requests that wait for a place at a full upstream.
namespace geraniumspread::edge {
namespace {

using namespace std::chrono_literals;
using test::EdgeFixture;
using test::Events;
using test::RawUpstream;
using test::Silence;
using transport::FindHeader;

constexpr std::size_t kPlaces = 4;

// One plain upstream with one slot, so that it may hold `kPlaces` requests. All of them are held by
// requests without an answer that end after `hold`, and one more request begins.
struct FullService {
  explicit FullService(std::chrono::milliseconds hold) {
    this->fixture.listing_details = "a 1";
    this->upstream =
        &this->fixture.AddUpstream({Silence(), Silence(), Silence(), Silence(), Events(1, 3)});
    for (std::size_t place = 0; place < kPlaces; ++place) {
      this->fixture.Begin("/stream/slow/1", {{"X-Deadline-Ms", std::to_string(hold.count())}});
      this->fixture.RunFor(10ms);
    }
    this->began_at = RuntimeClock::now();
    this->answer = this->fixture.Begin("/stream/slow/2");
  }

  // Waits for the answer to the last request.
  transport::HttpResponse Answer() {
    this->fixture.io.restart();
    while (!*this->answer && this->fixture.io.run_one() > 0) {
    }
    const std::optional<transport::Result<transport::HttpResponse>>& result = *this->answer;
    if (!result) {
      throw std::runtime_error("the request got no answer");
    }
    return result->value();
  }

  bool IsWaiting() {
    return this->fixture.Ask("/metrics").find("geranium_waiting_requests{service=\"app\"} 1\n") !=
           std::string::npos;
  }

  EdgeFixture fixture;
  RawUpstream* upstream = nullptr;
  TimePoint began_at;
  std::shared_ptr<std::optional<transport::Result<transport::HttpResponse>>> answer;
};

// Load pattern: all places of the service are taken for less than the latency goal of the next
// request. Guards against its refusal, and against more requests at the upstream than it may hold.
BOOST_AUTO_TEST_CASE(ARequestWaitsForAPlace) {
  FullService service(300ms);
  service.fixture.RunFor(20ms);
  BOOST_TEST(service.upstream->requests.size() == kPlaces);
  BOOST_TEST(service.IsWaiting());
  BOOST_TEST(service.Answer().status == 200);
  BOOST_TEST(service.upstream->requests.size() == kPlaces + 1);
  BOOST_TEST(!service.IsWaiting());
}

// Guards against a request that is held until its deadline: no place becomes free within its goal.
BOOST_AUTO_TEST_CASE(AWaitEndsWhenTheGoalCannotBeMet) {
  FullService service(5000ms);
  const auto refused = service.Answer();
  BOOST_TEST(refused.status == 503);
  BOOST_TEST(FindHeader(refused.headers, "X-Ran") == "no");
  BOOST_TEST(FindHeader(refused.headers, "X-Code") == "no_upstream");
  BOOST_TEST(!FindHeader(refused.headers, "X-Retry-After-Ms").empty());
  BOOST_TEST(service.upstream->requests.size() == kPlaces);
}

// Failure: a planned stop. Guards against a stop that holds waiting requests, and against a refusal
// that doesn't say that they were not run.
BOOST_AUTO_TEST_CASE(AStopRefusesWaitingRequests) {
  FullService service(5000ms);
  service.fixture.RunFor(20ms);
  BOOST_TEST(service.IsWaiting());
  service.fixture.edge->Stop([] {});
  const auto refused = service.Answer();
  BOOST_TEST(refused.status == 503);
  BOOST_TEST(FindHeader(refused.headers, "X-Ran") == "no");
  BOOST_TEST(FindHeader(refused.headers, "X-Code") == "stopping");
  BOOST_TEST((RuntimeClock::now() - service.began_at < 700ms));
}

// Failure: the service is taken out of the configuration. Guards against requests that wait for it.
BOOST_AUTO_TEST_CASE(ALostServiceEndsTheWait) {
  FullService service(5000ms);
  service.fixture.RunFor(20ms);
  const std::uint64_t revision = service.fixture.revision + 1;
  service.fixture.edge->OnPublishedChanges({{"config", "without-service", revision}},
                                           {0, revision});
  const auto refused = service.Answer();
  BOOST_TEST(FindHeader(refused.headers, "X-Ran") == "no");
  BOOST_TEST((RuntimeClock::now() - service.began_at < 700ms));
}

// Failure: the caller disconnects. Guards against a place that is kept for it and a request that is
// sent for nobody.
BOOST_AUTO_TEST_CASE(ADisconnectEndsTheWait) {
  FullService other(500ms);
  boost::asio::ip::tcp::socket caller(other.fixture.io);
  caller.connect(
      {boost::asio::ip::make_address("127.0.0.1"), other.fixture.settings.caller_endpoint.port});
  boost::asio::write(caller, boost::asio::buffer(std::string(
                                 "POST /stream/slow/3 HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Id: gone\r\n"
                                 "X-Key: key\r\nContent-Length: 0\r\n\r\n")));
  other.fixture.RunFor(20ms);
  BOOST_TEST(!other.IsWaiting());
  caller.close();
  other.fixture.RunFor(20ms);
  // Only the other request still waits.
  BOOST_TEST(other.IsWaiting());
  BOOST_TEST(other.Answer().status == 200);
  other.fixture.RunFor(300ms);
  BOOST_TEST(other.upstream->requests.size() == kPlaces + 1);
  BOOST_TEST(!other.IsWaiting());
}

// Guards against callers that are refused together and return together.
BOOST_AUTO_TEST_CASE(RefusedCallersReturnAtDifferentTimes) {
  EdgeFixture fixture;
  std::set<std::string> times;
  for (int call = 0; call < 20; ++call) {
    const auto refused = fixture.Call("/order/1").value();
    times.insert(std::string(FindHeader(refused.headers, "X-Retry-After-Ms")));
  }
  BOOST_TEST(times.size() > 10U);
}

}  // namespace
}  // namespace geraniumspread::edge
