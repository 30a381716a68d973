#include <algorithm>
#include <boost/asio/write.hpp>
#include <boost/json/parse.hpp>
#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <fstream>
#include <iterator>

#include "edge/tests/edge_fixture.h"
#include "observability/log.h"

// Tests that each decision about a request is logged.
namespace geraniumspread::edge {
namespace {

namespace json = boost::json;
using namespace std::chrono_literals;
using test::EdgeFixture;
using test::Events;
using test::NotRun;
using test::Reply;
using test::Sealed;
using test::Silence;

// Captures the lines logged during the lifetime of this object.
class LogFile {
 public:
  explicit LogFile(const std::string& name)
      : path(std::filesystem::temp_directory_path() / ("geranium_edge_log_" + name + ".jsonl")) {
    std::filesystem::remove(this->path);
    observability::InitializeLog({.file = this->path.string(), .instance = "edge-1"});
  }

  std::string Text() const {
    std::ifstream file(this->path);
    return {std::istreambuf_iterator<char>(file), {}};
  }

  // Returns the lines of the event, in order.
  std::vector<json::object> Lines(std::string_view event) const {
    std::ifstream file(this->path);
    std::vector<json::object> lines;
    for (std::string line; std::getline(file, line);) {
      const json::value parsed = json::parse(line);
      if (parsed.at("event").as_string() == event) {
        lines.push_back(parsed.as_object());
      }
    }
    return lines;
  }

  // True if a line of the event has `value` in the field and a request id.
  bool Has(std::string_view event, std::string_view field, std::string_view value) const {
    return std::ranges::any_of(this->Lines(event), [&](const json::object& line) {
      return line.at(field).as_string() == value && !line.at("request_id").as_string().empty();
    });
  }

 private:
  std::filesystem::path path;
};

// Guards against a response without a log line that explains it.
BOOST_AUTO_TEST_CASE(AServedRequestIsLoggedWithItsCandidates) {
  const LogFile log("served");
  EdgeFixture fixture;
  fixture.AddUpstream({Sealed("whole")});
  fixture.Call("/order/1").value();
  const auto attempts = log.Lines("attempt");
  BOOST_REQUIRE(attempts.size() == 1U);
  BOOST_TEST(attempts.front().at("result").as_string() == "delivered");
  BOOST_TEST(attempts.front().at("candidates").as_string().starts_with("u1:"));
  BOOST_TEST(attempts.front().at("config").to_number<std::uint64_t>() > 0U);
}

BOOST_AUTO_TEST_CASE(RefusedRequestsAreLoggedWithTheReason) {
  const LogFile log("refused");
  EdgeFixture fixture;
  fixture.Call("/order/1").value();
  BOOST_TEST(log.Has("request_refused", "code", "no_configuration"));
  fixture.AddUpstream({NotRun()});
  fixture.Call("/nowhere/1").value();
  fixture.Call("/order/1", {{"X-Key", "revoked"}}).value();
  fixture.Call("/order/1").value();
  for (const std::string_view code : {"no_route", "unknown_key", "rejected"}) {
    BOOST_TEST(log.Has("request_refused", "code", code), code);
  }
  BOOST_TEST(log.Has("attempt", "result", "rejected"));
  fixture.edge->OnPublishedState({{"config", "", fixture.revision + 9}}, {0, fixture.revision + 9});
  fixture.Call("/order/1").value();
  BOOST_TEST(log.Has("request_refused", "code", "no_upstream"));
  for (const json::object& line : log.Lines("request_refused")) {
    BOOST_TEST(line.at("ran").as_string() == "no");
  }
}

BOOST_AUTO_TEST_CASE(UnreadableRequestsAreLogged) {
  const LogFile log("unreadable");
  EdgeFixture fixture;
  fixture.AddUpstream({Sealed("whole")});
  fixture.CallRaw("GET /order/1 HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Long: " +
                  std::string(20'000, 'x') + "\r\n\r\n");
  fixture.CallRaw("POST /order/1 HTTP/1.1\r\nContent-Length: -1\r\n\r\n");
  fixture.CallRaw("GET /order/1 HTTP/1.1\r\nHost: 127.0.0.1\r\n\r\n");
  const auto lines = log.Lines("request_unreadable");
  BOOST_REQUIRE(lines.size() == 2U);
  BOOST_TEST(lines.front().at("status").as_int64() == 431);
  BOOST_TEST(lines.back().at("status").as_int64() == 400);
  BOOST_TEST(log.Lines("request_refused").size() == 1U);
}

// Guards against a refusal whose log line doesn't name the request: the instance holds too many
// request bodies.
BOOST_AUTO_TEST_CASE(ARefusalForTooManyBodiesIsLoggedWithTheId) {
  const LogFile log("overloaded");
  EdgeFixture fixture;
  const std::string head =
      "POST /order/1 HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Id: held\r\nX-Key: key\r\n"
      "Transfer-Encoding: chunked\r\n\r\n";
  const transport::ServerLimits limits;
  const transport::Endpoint& endpoint = fixture.settings.caller_endpoint;
  std::vector<boost::asio::ip::tcp::socket> senders;
  for (std::uint64_t held = 0; held <= limits.max_buffered_body_bytes / limits.max_body_bytes;
       ++held) {
    senders.emplace_back(fixture.io)
        .connect({boost::asio::ip::make_address(endpoint.address), endpoint.port});
    boost::asio::write(senders.back(), boost::asio::buffer(head));
  }
  fixture.RunFor(100ms);
  const auto lines = log.Lines("request_unreadable");
  BOOST_REQUIRE(lines.size() == 1U);
  BOOST_TEST(lines.front().at("status").as_int64() == 503);
  BOOST_TEST(lines.front().at("request_id").as_string() == "held");
}

// Guards against an answer of an upstream that no line explains: it is not a success, and its id
// is not among the sampled ones.
BOOST_AUTO_TEST_CASE(AnAnswerThatIsNoSuccessIsAlwaysLogged) {
  const LogFile log("no_success");
  EdgeFixture fixture;
  fixture.settings.log_one_in = 1'000'000'007;
  fixture.AddInstance("127.0.0.2");
  fixture.AddUpstream({Sealed("none", 404), Sealed("whole")});
  fixture.current = 1;
  fixture.Call("/order/1").value();
  fixture.Call("/order/1").value();
  const auto attempts = log.Lines("attempt");
  BOOST_REQUIRE(attempts.size() == 1U);
  BOOST_TEST(attempts.front().at("status").as_int64() == 404);
}

// The attempts of a request show whether it used a connection that had been used before, and how
// many answers to other requests came first.
BOOST_AUTO_TEST_CASE(AttemptsAreLoggedWithTheirConnection) {
  const LogFile log("connection");
  EdgeFixture fixture;
  const std::string late = "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 0\r\n\r\n";
  fixture.AddUpstream({Sealed("first"), {late + Sealed("second").bytes}});
  fixture.Call("/order/1").value();
  fixture.Call("/order/2").value();
  const auto attempts = log.Lines("attempt");
  BOOST_REQUIRE(attempts.size() == 2U);
  BOOST_TEST(attempts.front().at("connection").as_int64() ==
             attempts.back().at("connection").as_int64());
  BOOST_TEST(attempts.front().at("connection_exchanges").as_int64() == 1);
  BOOST_TEST(attempts.back().at("connection_exchanges").as_int64() == 2);
  BOOST_TEST(attempts.front().at("skipped_answers").as_int64() == 0);
  BOOST_TEST(attempts.back().at("skipped_answers").as_int64() == 1);
}

BOOST_AUTO_TEST_CASE(AnOrderWithAnUnknownOutcomeLogsOneAttempt) {
  const LogFile log("unknown");
  EdgeFixture fixture;
  fixture.AddUpstream({{"", Reply::Then::kReset}});
  fixture.Call("/order/1").value();
  BOOST_TEST(log.Lines("attempt").size() == 1U);
  BOOST_TEST(log.Has("attempt", "result", "outcome_unknown"));
  BOOST_TEST(log.Has("request_refused", "ran", "unknown"));
}

BOOST_AUTO_TEST_CASE(EachAttemptOfARetriedRequestIsLogged) {
  const LogFile log("repeated");
  EdgeFixture fixture;
  fixture.AddUpstream({{"", Reply::Then::kReset}, Sealed("whole")});
  fixture.AddUpstream({{"", Reply::Then::kReset}, Sealed("whole")});
  fixture.Call("/lookup/1").value();
  const auto attempts = log.Lines("attempt");
  BOOST_REQUIRE(!attempts.empty());
  BOOST_TEST(attempts.front().at("result").as_string() == "outcome_unknown");
  BOOST_TEST(attempts.back().at("attempt").as_int64() == 2);
}

BOOST_AUTO_TEST_CASE(InterruptedAndResumedStreamsAreLogged) {
  const LogFile log("streams");
  EdgeFixture fixture;
  fixture.AddUpstream({Events(0, 2, false), Events(2, 4)});
  fixture.AddUpstream({Events(2, 4)});
  fixture.Call("/resume/1").value();
  BOOST_TEST(log.Has("attempt", "result", "broken_off"));
  BOOST_TEST(log.Has("attempt", "result", "delivered"));
}

BOOST_AUTO_TEST_CASE(CancelledRequestsAreLoggedWithTheCause) {
  const LogFile log("stopped");
  EdgeFixture fixture;
  fixture.AddUpstream({Silence()});
  fixture.Call("/order/1", {{"X-Deadline-Ms", "100"}}).value();
  BOOST_TEST(log.Has("attempt", "stopped", "time_up"));
  BOOST_TEST(log.Has("request_refused", "code", "time_up"));
  fixture.CallRaw(
      "POST /order/1 HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Id: r\r\nX-Key: key\r\n"
      "Content-Length: 0\r\n\r\n");
  fixture.RunFor(100ms);
  BOOST_TEST(log.Has("attempt", "stopped", "caller_gone"));
}

BOOST_AUTO_TEST_CASE(ChangesOfPublishedStateAreLogged) {
  const LogFile log("beliefs");
  EdgeFixture fixture;
  fixture.AddUpstream({Sealed("whole")});
  fixture.edge->OnFeedReachable(true);
  fixture.edge->OnFeedReachable(false);
  fixture.edge->OnPublishedChanges({{"u1", "", fixture.revision + 1, true}},
                                   {0, fixture.revision + 1});
  for (const std::string_view event :
       {"config_in_force", "upstream_listed", "upstream_removed", "store_reached", "store_lost"}) {
    BOOST_TEST(!log.Lines(event).empty(), event);
  }
}

// Guards against a start that exhausts the log's rate limit, so that the lines of later
// changes are dropped.
BOOST_AUTO_TEST_CASE(ASnapshotLogsOneLineForAllAddedUpstreams) {
  const LogFile log("state");
  EdgeFixture fixture;
  std::vector<dispatch::PublishedItem> changes(100);
  for (std::size_t upstream = 0; upstream < changes.size(); ++upstream) {
    changes[upstream] = {"many" + std::to_string(upstream), "127.0.0.1:1", ++fixture.revision};
  }
  fixture.edge->OnPublishedChanges(std::move(changes), {0, fixture.revision});
  BOOST_TEST(log.Lines("published_state_applied").size() == 1U);
  BOOST_TEST(log.Lines("upstream_listed").empty());
  fixture.edge->OnPublishedChanges({{"many7", "", fixture.revision + 1, true}},
                                   {0, fixture.revision + 1});
  BOOST_TEST(log.Lines("upstream_removed").size() == 1U);
}

// Guards against API keys, prompts and responses in the logs, which many people may read.
BOOST_AUTO_TEST_CASE(NoLogLineContainsKeysOrContents) {
  const LogFile log("secrets");
  EdgeFixture fixture;
  fixture.AddUpstream({Sealed("s3cret-answer"),
                       Sealed("s3cret-failure", 500),
                       {"s3cret-garbage\r\n\r\n", Reply::Then::kClose},
                       Events(0, 2, false)});
  const transport::HttpHeaders headers = {{"X-Key", "s3cret-key"},
                                          {"Authorization", "Bearer s3cret-token"}};
  for (const std::string target :
       {"/order/1?q=s3cret-query", "/order/2", "/order/3", "/stream/1"}) {
    std::ignore = fixture.Call(target, headers, "s3cret-body");
  }
  std::ignore = fixture.Call("/order/4", {{"X-Key", "s3cret-wrong-key"}}, "s3cret-body");
  fixture.CallRaw("GET /order/1 HTTP/1.1\r\nX-Key: s3cret-key\r\ns3cret header\r\n\r\n");
  BOOST_TEST(log.Lines("attempt").size() == 4U);
  BOOST_TEST(log.Text().find("s3cret") == std::string::npos);
}

}  // namespace
}  // namespace geraniumspread::edge
