#ifndef EDGE_INTERNAL_ATTEMPT_H_
#define EDGE_INTERNAL_ATTEMPT_H_

#include <boost/asio/awaitable.hpp>
#include <optional>

#include "edge/internal/request_run.h"

namespace geraniumspread::edge::detail {

enum class AttemptResult : std::uint8_t {
  // The whole response was sent to the caller.
  kDelivered,
  // No byte of the request was sent.
  kNotSent,
  // The upstream reports that it did not run the request.
  kRejected,
  // Another process responded at the upstream's address and did not run the request.
  kMisdirected,
  // The upstream responded with a 5xx status; the response is in `answer`.
  kFailedAnswer,
  // The request was sent, but it is unknown whether it ran.
  kOutcomeUnknown,
  // The response stream failed after a part of it was sent to the caller.
  kInterrupted,
  // The caller disconnected or the deadline passed.
  kStopped,
};
std::string_view ToString(AttemptResult result);

struct Attempt {
  AttemptResult result = AttemptResult::kNotSent;
  std::string reason;
  // Status of the upstream's response; 0 if there was none.
  int status = 0;
  transport::ConnectionUse connection;
  std::optional<transport::HttpResponse> answer;
  transport::AnswerMemory answer_memory;
  // The upstream closed the connection before the response was complete.
  bool connection_lost = false;
};

// Covers a lost SYN packet only on a short path. A failed connect has sent nothing, so
// another upstream can take the request.
inline constexpr Duration kConnectTimeout = std::chrono::milliseconds(200);
inline constexpr Duration kWriteTimeout = std::chrono::seconds(2);

// Describes the failure as "<code>_while_<phase>", for log lines.
std::string DescribeFailure(const transport::TransportError& error);
// True if the exchange may take this answer for that to the request. On a reused connection an
// answer without an id may belong to an earlier request.
bool IsAnswerTo(const UpstreamAnswer& answer,
                std::string_view request_id,
                const transport::HttpExchange& exchange);

// Applies what the upstream reports about its availability: that it is shutting down, rejects
// requests for a time, or accepts a limited rate. Ignores responses of other processes.
void ApplyAvailability(EdgeState& edge,
                       const std::string& request_id,
                       dispatch::Upstream& upstream,
                       const UpstreamAnswer& answer,
                       TimePoint sent_at);

// Sends the request to one upstream and passes a usable response on to the caller.
boost::asio::awaitable<Attempt> RunAttempt(RequestRun& run,
                                           dispatch::Candidate chosen,
                                           transport::HttpResponder& responder);

}  // namespace geraniumspread::edge::detail

#endif  // EDGE_INTERNAL_ATTEMPT_H_
