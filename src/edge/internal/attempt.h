#ifndef EDGE_INTERNAL_ATTEMPT_H_
#define EDGE_INTERNAL_ATTEMPT_H_

#include <boost/asio/awaitable.hpp>
#include <optional>

#include "edge/internal/request_run.h"

namespace geraniumspread::edge::detail {

enum class AttemptResult : std::uint8_t {
  // The answer went to the caller, whole.
  kDelivered,
  // No byte of the request left.
  kNotSent,
  // The upstream says that it did not run the request.
  kRejected,
  // Another process answered at the upstream's address and did not run it.
  kMisdirected,
  // An upstream's own failure, kept in `answer`.
  kFailedAnswer,
  // Sent, and nothing says whether it ran.
  kOutcomeUnknown,
  // The answer broke off after a part of it went to the caller.
  kInterrupted,
  // The caller left or the time is up.
  kStopped,
};
std::string_view ToString(AttemptResult result);

struct Attempt {
  AttemptResult result = AttemptResult::kNotSent;
  std::string reason;
  std::optional<transport::HttpResponse> answer;
};

// Sends the request to one upstream and delivers its answer, if it has a good one.
boost::asio::awaitable<Attempt> RunAttempt(RequestRun& run,
                                           dispatch::Candidate chosen,
                                           transport::HttpResponder& responder);

}  // namespace geraniumspread::edge::detail

#endif  // EDGE_INTERNAL_ATTEMPT_H_
