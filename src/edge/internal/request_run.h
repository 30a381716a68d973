#ifndef EDGE_INTERNAL_REQUEST_RUN_H_
#define EDGE_INTERNAL_REQUEST_RUN_H_

#include <boost/asio/awaitable.hpp>
#include <optional>
#include <string>
#include <vector>

#include "edge/internal/edge_state.h"

namespace geraniumspread::edge::detail {

enum class StopReason : std::uint8_t { kNone, kCallerDisconnected, kDeadlineExceeded };

// One caller's request, across all its attempts.
struct RequestRun {
  RequestRun(Edge edge_state, CallerRequest caller_request)
      : edge(std::move(edge_state)), request(std::move(caller_request)), expiry(edge->io) {
    this->edge->runs.insert(this);
  }
  RequestRun(const RequestRun&) = delete;
  RequestRun& operator=(const RequestRun&) = delete;
  ~RequestRun() { this->edge->runs.erase(this); }

  Edge edge;
  CallerRequest request;
  // Copies, since the configuration may change while the request runs.
  dispatch::Route route;
  dispatch::Workspace workspace;
  dispatch::ServiceRules service;
  TimePoint started;
  TimePoint ends_at;
  RuntimeTimer expiry;
  dispatch::RequestTraits traits;
  // An upstream has answered the request and survived.
  bool is_answered = false;

  // Upstreams already tried, including those that could not be reached.
  std::vector<std::string> tried;
  // Attempts of which at least one byte may have reached the upstream.
  std::uint32_t sends = 0;
  // Retries taken from the service's retry budget.
  std::uint32_t granted_retries = 0;
  std::uint32_t failed_connects = 0;
  // Failed connects that weren't refused at once but may have taken the connect timeout.
  std::uint32_t slow_connects = 0;
  // Sends that reached a process other than the addressed upstream.
  std::uint32_t misdirected = 0;
  // At least one attempt may have run the request, and no response rules that out.
  bool may_have_run = false;
  StopReason stopped = StopReason::kNone;
  transport::HttpExchange* active = nullptr;
  dispatch::UpstreamRow active_upstream;
  TimePoint sent_at;
  // When the first event of a stream arrived, if it did.
  TimePoint answer_began_at;
  // The upstream at which the request holds a place; null while it waits.
  dispatch::UpstreamRow place;
  // Hash of the upstream whose place the request may take although it looks full, or 0.
  std::uint64_t inherited_place = 0;
  // Set while the request waits for a place.
  RuntimeTimer* wait_timer = nullptr;
  // The request was released from a wait and has not been sent since.
  bool is_returning = false;
  // Time in which the upstream usually answers; unset if that is unknown.
  std::optional<Duration> expected_time;
  // Address of the peer that relays the current attempt; empty for a direct one.
  std::string relay;
  // Upstreams that this instance could not reach itself.
  std::vector<std::string> unreached;
  // The failed connects were forgotten because the path was found lost.
  bool has_forgotten_connects = false;

  // The headers of a streamed response were sent to the caller.
  bool stream_started = false;
  std::optional<std::uint64_t> last_event_id;
  // Version of the upstream at which the stream began, once it has begun.
  std::optional<std::uint64_t> stream_version;
};

Duration Remaining(const RequestRun& run);
// True if another upstream may be tried although this attempt may have run the request.
bool CanFailOver(const RequestRun& run);
// Cancels the current attempt and prevents further ones.
void CancelRun(RequestRun& run, StopReason reason);
// Cancels the current attempts at upstreams of a failure domain that became silent, for
// requests that can fail over to another upstream.
void CancelAttemptsInDomain(EdgeState& edge, std::string_view failure_domain);
// Cancels the current attempts at upstreams that this instance no longer reaches, if the request
// was not sent or can fail over. Attempts whose upstream still sends bytes go on.
void CancelDirectAttempts(EdgeState& edge);
// True if the request may be sent to one more upstream when the last attempt ended with
// `ran`. Takes a retry from the service's retry budget if the request was already sent.
bool TryAcquireRetry(RequestRun& run, RunState ran);

// Logs and counts a request that could not be read, with its id if its head was read.
void RecordUnreadableRequest(EdgeState& edge, const transport::UnreadableRequest& request);

// Handles one caller's request up to the end of its response.
boost::asio::awaitable<void> HandleCaller(Edge edge,
                                          transport::HttpRequest raw,
                                          transport::HttpResponder& responder);

}  // namespace geraniumspread::edge::detail

#endif  // EDGE_INTERNAL_REQUEST_RUN_H_
