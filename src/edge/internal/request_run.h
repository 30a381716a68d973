#ifndef EDGE_INTERNAL_REQUEST_RUN_H_
#define EDGE_INTERNAL_REQUEST_RUN_H_

#include <boost/asio/awaitable.hpp>
#include <optional>
#include <string>
#include <vector>

#include "edge/internal/edge_state.h"

namespace geraniumspread::edge::detail {

enum class StopReason : std::uint8_t { kNone, kCallerDisconnected, kDeadlineExceeded };

// One caller's request over all its attempts.
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
  // Copies: the configuration may change while the request runs.
  dispatch::Route route;
  dispatch::Workspace workspace;
  dispatch::ServiceRules service;
  TimePoint started;
  TimePoint ends_at;
  RuntimeTimer expiry;

  // Upstreams that the request has reached or could not reach.
  std::vector<std::string> tried;
  // Attempts of which a byte may have arrived.
  std::uint32_t sends = 0;
  std::uint32_t failed_connects = 0;
  // Sends that reached another process than the upstream addressed.
  std::uint32_t misdirected = 0;
  // An attempt may have run the request and no answer says otherwise.
  bool may_have_run = false;
  StopReason stopped = StopReason::kNone;
  transport::HttpExchange* active = nullptr;
  dispatch::UpstreamRow active_upstream;

  // A stream's headers were sent to the caller.
  bool stream_started = false;
  std::optional<std::uint64_t> last_event_id;
};

Duration Remaining(const RequestRun& run);
// Another upstream may be tried although this attempt may have run the request.
bool CanFailOver(const RequestRun& run);
// Ends the attempt under way.
void CancelRun(RequestRun& run, StopReason reason);
// Ends the attempts under way at upstreams of a failure domain that turned
// silent, where another upstream may take the request.
void CancelAttemptsInDomain(EdgeState& edge, std::string_view failure_domain);
// Whether the request may be sent to one more upstream after `ran`.
bool TryAcquireRetry(RequestRun& run, RunState ran);

// A request that could not be read; it has no id.
void RecordUnreadableRequest(EdgeState& edge, const transport::UnreadableRequest& request);

// Handles one request of a caller from its head to the end of its answer.
boost::asio::awaitable<void> HandleCaller(Edge edge,
                                          transport::HttpRequest raw,
                                          transport::HttpResponder& responder);

}  // namespace geraniumspread::edge::detail

#endif  // EDGE_INTERNAL_REQUEST_RUN_H_
