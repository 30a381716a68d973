#include <boost/test/unit_test.hpp>

#include "edge/tests/path_fixture.h"

// Responses of upstreams that are invalid or incomplete, on the direct way and through a peer.
namespace geraniumspread::edge {
namespace {

using namespace std::chrono_literals;
using test::EdgeFixture;
using test::PathFault;
using test::PathFixture;
using test::RawUpstream;
using test::Reply;
using test::Sealed;
using transport::FindHeader;

constexpr std::size_t kLargeBody = 4'190'000;
// The reset comes while both the upload and the read wait.
constexpr auto kPauseBeforeEnd = 10ms;
constexpr int kUploads = 20;

// Two upstreams that the instance reaches itself.
struct DirectFixture : EdgeFixture {
  DirectFixture() {
    this->AddUpstream({Sealed("good")});
    this->AddUpstream({Sealed("good")});
  }
};

// Four upstreams that only the peer reaches.
struct RelayedFixture : PathFixture {
  RelayedFixture() {
    this->SetFault(PathFault::kReset);
    this->Trickle(1s);
    BOOST_TEST_REQUIRE(this->Ask("/status").find(R"("upstream_path":"lost")") != std::string::npos);
  }
};

void SetReplies(EdgeFixture& fixture, const Reply& reply) {
  for (const auto& upstream : fixture.upstreams) {
    upstream->SetReplies({reply});
  }
}

std::size_t Received(const EdgeFixture& fixture) {
  std::size_t received = 0;
  for (const auto& upstream : fixture.upstreams) {
    received += upstream->requests.size();
  }
  return received;
}

// Guards against statuses passed on to callers that no response to a request has, and against an
// order that is sent again after such a response.
void CheckInvalidStatuses(EdgeFixture& fixture) {
  for (const std::string status : {"000", "099", "101", "600", "999"}) {
    Reply reply = Sealed("bad");
    reply.bytes.replace(reply.bytes.find("200"), 3, status);
    SetReplies(fixture, reply);
    const std::size_t before = Received(fixture);
    const auto answer = fixture.Call("/order/1");
    BOOST_TEST_REQUIRE(answer.has_value(), status);
    BOOST_TEST(answer.value().status == 502, status << " gave " << answer.value().status);
    BOOST_TEST(FindHeader(answer.value().headers, "X-Ran") == "unknown", status);
    BOOST_TEST(Received(fixture) == before + 1, status);
    SetReplies(fixture, Sealed("good"));
    BOOST_TEST(fixture.Call("/order/2").value().status == 200, "after " << status);
  }
}

// Guards against an interim head that is passed on instead of the response.
void CheckInterimHeads(EdgeFixture& fixture) {
  Reply reply = Sealed("good");
  reply.bytes.insert(0,
                     "HTTP/1.1 100 Continue\r\n\r\n"
                     "HTTP/1.1 103 Early Hints\r\nLink: </style.css>\r\n\r\n");
  SetReplies(fixture, reply);
  const auto answer = fixture.Call("/order/1");
  BOOST_TEST_REQUIRE(answer.has_value());
  BOOST_TEST(answer.value().status == 200);
  BOOST_TEST(answer.value().body == "good");
}

// Guards against a part of a body without a length that passes for the whole, when its upstream
// ends the connection before the request was written.
void CheckPartsOfUploads(EdgeFixture& fixture, Reply::Then then, int calls) {
  Reply reply{"HTTP/1.1 200 OK\r\nX-Id: {id}\r\nX-Seal: s\r\n\r\npart", then};
  reply.pause = kPauseBeforeEnd;
  SetReplies(fixture, reply);
  for (const auto& upstream : fixture.upstreams) {
    upstream->ReplyEarly();
  }
  int taken_for_whole = 0;
  for (int call = 0; call < calls; ++call) {
    const auto answer = fixture.Call("/order/1", {}, std::string(kLargeBody, 'x'));
    taken_for_whole += answer && answer.value().status == 200 ? 1 : 0;
  }
  BOOST_TEST(taken_for_whole == 0, taken_for_whole << " of " << calls);
}

BOOST_FIXTURE_TEST_CASE(InvalidStatusesAreNotForwarded, DirectFixture) {
  CheckInvalidStatuses(*this);
}

BOOST_FIXTURE_TEST_CASE(InvalidStatusesAreNotForwardedThroughAPeer, RelayedFixture) {
  CheckInvalidStatuses(*this);
}

BOOST_FIXTURE_TEST_CASE(InterimHeadsAreSkipped, DirectFixture) {
  CheckInterimHeads(*this);
}

BOOST_FIXTURE_TEST_CASE(InterimHeadsAreSkippedThroughAPeer, RelayedFixture) {
  CheckInterimHeads(*this);
}

BOOST_FIXTURE_TEST_CASE(APartBeforeAResetIsNotWhole, DirectFixture) {
  CheckPartsOfUploads(*this, Reply::Then::kReset, kUploads);
}

BOOST_FIXTURE_TEST_CASE(APartBeforeAResetIsNotWholeThroughAPeer, RelayedFixture) {
  CheckPartsOfUploads(*this, Reply::Then::kReset, kUploads);
}

BOOST_FIXTURE_TEST_CASE(APartBeforeAnEarlyEndIsNotWhole, DirectFixture) {
  CheckPartsOfUploads(*this, Reply::Then::kEndHere, 2);
}

BOOST_FIXTURE_TEST_CASE(APartBeforeAnEarlyEndIsNotWholeThroughAPeer, RelayedFixture) {
  CheckPartsOfUploads(*this, Reply::Then::kEndHere, 2);
}

// Guards against refusing bodies that only the end of their connection delimits.
BOOST_FIXTURE_TEST_CASE(AWholeBodyWithoutALengthIsForwarded, DirectFixture) {
  SetReplies(*this,
             {"HTTP/1.1 200 OK\r\nX-Id: {id}\r\nX-Seal: s\r\n\r\nwhole", Reply::Then::kClose});
  const auto answer = this->Call("/order/1", {}, std::string(kLargeBody, 'x'));
  BOOST_TEST_REQUIRE(answer.has_value());
  BOOST_TEST(answer.value().status == 200);
  BOOST_TEST(answer.value().body == "whole");
}

}  // namespace
}  // namespace geraniumspread::edge
