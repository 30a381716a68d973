#include "edge/internal/attempt.h"

#include <algorithm>
#include <array>

#include "common/hash.h"
#include "dispatch/brittle_upstreams.h"
#include "dispatch/named_limits.h"
#include "edge/internal/brittle_exchange.h"
#include "edge/internal/crash_watch.h"
#include "edge/internal/event_splitter.h"
#include "edge/internal/limit_exchange.h"
#include "edge/internal/path_watch.h"
#include "edge/internal/relay.h"
#include "edge/internal/stream_resumption.h"
#include "edge/internal/upstream_news_exchange.h"

namespace geraniumspread::edge::detail {
namespace {

namespace asio = boost::asio;
using observability::LogEvent;
using observability::LogLevel;
using transport::ExchangePhase;
using transport::TransportErrorCode;

// Limit for responses that are not streamed, since those are buffered whole.
constexpr std::size_t kMaxAnswerBytes = std::size_t{4} << 20U;
// A repeatable request waits this multiple of its latency goal for the first byte before
// it fails over to another upstream.
constexpr int kFirstByteTimeoutFactor = 3;
constexpr Duration kMinFirstByteTimeout = std::chrono::milliseconds(300);
// Callers abandon a stream after a pause of these multiples of its pause goal and its latency
// goal, whichever is longer.
constexpr int kEventTimeoutFactor = 8;
constexpr int kEventTimeoutLatencyFactor = 4;
constexpr Duration kMinEventTimeout = std::chrono::seconds(2);
// A peer that relays an attempt gets this much longer to state that the upstream did not answer in
// time. It may need the connect timeout before it sends the request.
constexpr Duration kRelayMargin = kConnectTimeout;
// A pooled connection may be dead without this being noticed. A non-repeatable request
// opens a new connection unless data arrived from the upstream this recently.
constexpr Duration kMaxIdleBeforeReuse = std::chrono::milliseconds(250);
constexpr int kFirstFailureStatus = 500;
// A request that crashes its upstream does so within this time after its first event.
constexpr Duration kCrashTime = std::chrono::seconds(1);
constexpr std::string_view kCallerGone = "caller_gone";
// Statuses that tell a caller that a non-repeatable request did not run.
constexpr std::array kNotRunStatuses = {408, 421, 429, 503};

// Returns the longest pause between events. A stream that can't continue elsewhere is kept as
// long as its caller waits.
Duration EventTimeout(const RequestRun& run) {
  const Duration pause = std::max(kMinEventTimeout, run.route.pause_goal * kEventTimeoutFactor);
  return CanFailOver(run) ? pause
                          : std::max(pause, run.route.latency_goal * kEventTimeoutLatencyFactor);
}

transport::ExchangeTimeouts TimeoutsOf(const RequestRun& run) {
  const Duration remaining = Remaining(run);
  transport::ExchangeTimeouts timeouts;
  timeouts.connect = std::min(kConnectTimeout, remaining);
  timeouts.write = std::min(kWriteTimeout, remaining);
  timeouts.first_byte = remaining;
  if (CanFailOver(run)) {
    timeouts.first_byte =
        std::min(remaining,
                 std::max(kMinFirstByteTimeout, run.route.latency_goal * kFirstByteTimeoutFactor));
  }
  timeouts.between_bytes = std::min(remaining, EventTimeout(run));
  return timeouts;
}

// The timeouts of the connection to the upstream, or to the peer that relays the attempt.
transport::ExchangeTimeouts ExchangeTimeoutsOf(const RequestRun& run) {
  transport::ExchangeTimeouts timeouts = TimeoutsOf(run);
  if (!run.relay.empty()) {
    timeouts.first_byte += kRelayMargin;
  }
  return timeouts;
}

void ApplyLoadReport(RequestRun& run, dispatch::Upstream& upstream, const UpstreamAnswer& answer) {
  const TimePoint now = RuntimeClock::now();
  if (answer.running && answer.waiting) {
    upstream.report = dispatch::LoadReport{*answer.running, *answer.waiting, now, upstream.running};
  }
  if (answer.cold_left) {
    upstream.cold_until = now + *answer.cold_left;
    LogEvent(LogLevel::kInfo, "upstream_cold",
             {{"upstream", upstream.listing.id},
              {"request_id", run.request.id},
              {"cold_left_ms", Milliseconds(*answer.cold_left)}});
  }
}

// True if the failure may come from a lost path. While other upstreams answer, a missing answer
// is the upstream's own.
bool IsPathSign(const RequestRun& run,
                const transport::TransportError& error,
                const Attempt& attempt) {
  if (error.code == TransportErrorCode::kTimedOut && attempt.result != AttemptResult::kNotSent) {
    const dispatch::UpstreamPath& path = run.edge->path;
    return RuntimeClock::now() - path.last_bytes_at >= path.settings.max_silence;
  }
  return attempt.connection_lost || (attempt.result == AttemptResult::kNotSent &&
                                     error.code != TransportErrorCode::kCancelled);
}

Attempt MakeFailedAttempt(RequestRun& run,
                          dispatch::Upstream& upstream,
                          const transport::HttpExchange& exchange,
                          const transport::TransportError& error) {
  Attempt attempt;
  attempt.reason = DescribeFailure(error);
  const TimePoint now = RuntimeClock::now();
  const bool not_sent = error.phase < ExchangePhase::kWritingRequest;
  if (run.stopped != StopReason::kNone) {
    attempt.result = AttemptResult::kStopped;
    return attempt;
  }
  attempt.result = not_sent ? AttemptResult::kNotSent : AttemptResult::kOutcomeUnknown;
  if (!run.relay.empty()) {
    attempt.reason.insert(0, "relay_");
    return attempt;
  }
  attempt.connection_lost = !not_sent && error.code == TransportErrorCode::kConnectionClosed;
  if (not_sent) {
    run.unreached.push_back(upstream.listing.id);
  }
  if (IsPathLost(*run.edge)) {
    // The failure tells nothing about the upstream.
    return attempt;
  }
  if (not_sent) {
    dispatch::RecordConnectFailure(upstream.health, now);
    if (error.is_refused) {
      dispatch::RecordEndedProcess(upstream, dispatch::EndedProcess::kRefusesConnects, now);
    }
  } else {
    dispatch::RecordAttemptFailure(upstream.health, now);
  }
  if (IsPathSign(run, error, attempt)) {
    RecordPathFailure(run.edge, upstream, SignOf(error, exchange));
  }
  return attempt;
}

// How a stream ended.
struct StreamEnd {
  // Empty if the stream is complete.
  std::string failure;
  bool connection_lost = false;
};

// Bytes that come through a peer say nothing about the own connections to the upstream.
void RecordBytes(const RequestRun& run, dispatch::Upstream& upstream) {
  if (run.relay.empty()) {
    upstream.last_received_at = RuntimeClock::now();
    RecordUpstreamBytes(*run.edge);
  }
}

// Relays the rest of a stream.
asio::awaitable<StreamEnd> RelayEvents(RequestRun& run,
                                       transport::HttpExchange& exchange,
                                       dispatch::RunningRequest& running,
                                       const transport::HttpResponse& head,
                                       const UpstreamAnswer& answer,
                                       bool ends_with_connection,
                                       transport::HttpResponder& responder) {
  EventSplitter splitter;
  splitter.last_id = run.last_event_id;
  splitter.skip_through = run.last_event_id;
  const Duration event_timeout = TimeoutsOf(run).between_bytes;
  TimePoint last_event_at = RuntimeClock::now();
  std::optional<TimePoint> first_event_at;
  while (true) {
    auto bytes = co_await exchange.ReadSome();
    if (!bytes) {
      const bool connection_lost = bytes.error().code == TransportErrorCode::kConnectionClosed;
      co_return StreamEnd{std::string(transport::ToString(bytes.error().code)), connection_lost};
    }
    const TimePoint now = RuntimeClock::now();
    RecordBytes(run, *run.active_upstream);
    const bool at_end = bytes.value().empty();
    const std::string events = ExtractEvents(splitter, bytes.value());
    if (splitter.too_large || !exchange.RecordBuffered(splitter.pending.size())) {
      co_return StreamEnd{"event_too_large"};
    }
    if (events.empty() && !at_end) {
      // Only whole events count as progress, since a stalled upstream may still send single
      // bytes.
      if (now - last_event_at > event_timeout) {
        co_return StreamEnd{"no_event_in_time"};
      }
      continue;
    }
    if (run.stream_started) {
      run.edge->metrics.ObserveTime("geranium_pause_seconds", now - last_event_at);
    }
    last_event_at = now;
    if (at_end && !first_event_at && events.empty() && ends_with_connection) {
      // An upstream that crashes also ends the connection.
      co_return StreamEnd{"connection_closed_before_first_event", true};
    }
    if (!events.empty()) {
      running.RecordPrefillDone();
      if (!first_event_at) {
        first_event_at = now;
        run.answer_began_at = now;
        RecordAnswerBegin(run);
        RecordStreamBegin(run, *run.active_upstream);
        RecordAnswerTime(run, *run.active_upstream);
      }
      if (now - *first_event_at > kCrashTime) {
        RecordAnswered(run);
      }
    }
    if (!run.stream_started && (!events.empty() || at_end)) {
      run.stream_started = true;
      run.edge->metrics.ObserveTime("geranium_first_byte_seconds",
                                    RuntimeClock::now() - run.started);
      transport::HttpHeaders headers = answer.caller_headers;
      if (!co_await responder.StartStream(head.status, std::move(headers))) {
        co_return StreamEnd{std::string(kCallerGone)};
      }
    }
    if (!events.empty() && !co_await responder.Write(events)) {
      co_return StreamEnd{std::string(kCallerGone)};
    }
    run.last_event_id = splitter.last_id;
    if (splitter.out_of_order) {
      co_return StreamEnd{"events_out_of_order"};
    }
    if (at_end && !splitter.pending.empty()) {
      co_return StreamEnd{"partial_event_at_end", true};
    }
    if (at_end) {
      co_return StreamEnd{};
    }
  }
}

asio::awaitable<Attempt> RelayStream(RequestRun& run,
                                     dispatch::Upstream& upstream,
                                     transport::HttpExchange& exchange,
                                     dispatch::RunningRequest& running,
                                     const transport::HttpResponse& head,
                                     const UpstreamAnswer& answer,
                                     bool ends_with_connection,
                                     transport::HttpResponder& responder) {
  Attempt attempt;
  StreamEnd end =
      co_await RelayEvents(run, exchange, running, head, answer, ends_with_connection, responder);
  attempt.reason = std::move(end.failure);
  attempt.connection_lost = end.connection_lost && run.relay.empty();
  if (attempt.reason.empty()) {
    dispatch::RecordAttemptSuccess(upstream.health, RuntimeClock::now());
    attempt.result =
        co_await responder.Finish() ? AttemptResult::kDelivered : AttemptResult::kStopped;
    co_return attempt;
  }
  if (run.stopped != StopReason::kNone || attempt.reason == kCallerGone) {
    attempt.result = AttemptResult::kStopped;
    co_return attempt;
  }
  if (run.relay.empty() && !IsPathLost(*run.edge)) {
    dispatch::RecordAttemptFailure(upstream.health, RuntimeClock::now());
    if (attempt.connection_lost) {
      RecordPathFailure(run.edge, upstream);
    }
  }
  attempt.result =
      run.stream_started ? AttemptResult::kInterrupted : AttemptResult::kOutcomeUnknown;
  co_return attempt;
}

asio::awaitable<Attempt> DeliverResponse(RequestRun& run,
                                         dispatch::Upstream& upstream,
                                         transport::HttpExchange& exchange,
                                         const transport::HttpResponse& head,
                                         const UpstreamAnswer& answer,
                                         transport::HttpResponder& responder) {
  auto body = co_await exchange.ReadAll(kMaxAnswerBytes);
  if (!body) {
    co_return MakeFailedAttempt(run, upstream, exchange, body.error());
  }
  Attempt attempt;
  const TimePoint now = RuntimeClock::now();
  if (answer.wrong_upstream) {
    dispatch::RecordReplacement(upstream.health, now);
    if (run.relay.empty() && !IsPathLost(*run.edge)) {
      dispatch::RecordEndedProcess(upstream, dispatch::EndedProcess::kReplaced, now);
    }
    attempt.result = AttemptResult::kMisdirected;
    attempt.reason = "address_of_another_upstream";
    co_return attempt;
  }
  if (answer.not_run) {
    // An upstream that sends Retry-After gets no requests for that time and may be healthy,
    // so this doesn't count as a failure.
    if (!answer.retry_after) {
      dispatch::RecordAttemptFailure(upstream.health, now);
    }
    attempt.result = AttemptResult::kRejected;
    attempt.reason = "rejected_not_run";
    co_return attempt;
  }
  if (!answer.is_sealed || answer.has_content_encoding) {
    dispatch::RecordAttemptFailure(upstream.health, now);
    attempt.result = AttemptResult::kOutcomeUnknown;
    attempt.reason = answer.has_content_encoding ? "answer_was_encoded" : "answer_without_seal";
    co_return attempt;
  }
  if (run.route.repeatability == dispatch::Repeatability::kNonRepeatable &&
      std::ranges::find(kNotRunStatuses, head.status) != kNotRunStatuses.end()) {
    dispatch::RecordAttemptFailure(upstream.health, now);
    attempt.result = AttemptResult::kOutcomeUnknown;
    attempt.reason = "status_" + std::to_string(head.status) + "_without_statement";
    co_return attempt;
  }
  if (run.stream_started) {
    // The caller already has the head and some events of another answer.
    dispatch::RecordAttemptFailure(upstream.health, now);
    attempt.result = AttemptResult::kFailedAnswer;
    attempt.reason = "status_" + std::to_string(head.status) + "_instead_of_stream";
    co_return attempt;
  }
  transport::HttpResponse response(head.status, answer.caller_headers, std::move(body).value());
  if (head.status >= kFirstFailureStatus) {
    dispatch::RecordAttemptFailure(upstream.health, now);
    attempt.result = AttemptResult::kFailedAnswer;
    attempt.reason = "status_" + std::to_string(head.status);
    attempt.answer = std::move(response);
    attempt.answer_memory = exchange.Memory();
    co_return attempt;
  }
  dispatch::RecordAttemptSuccess(upstream.health, now);
  RecordAnswerTime(run, upstream);
  attempt.result = co_await responder.Send(std::move(response)) ? AttemptResult::kDelivered
                                                                : AttemptResult::kStopped;
  co_return attempt;
}

transport::ConnectionPolicy PolicyOf(const RequestRun& run, const dispatch::Upstream& upstream) {
  const bool was_recently_active =
      upstream.last_received_at + kMaxIdleBeforeReuse >= RuntimeClock::now();
  if (!run.relay.empty()) {
    return run.route.repeatability == dispatch::Repeatability::kNonRepeatable
               ? transport::ConnectionPolicy::kFresh
               : transport::ConnectionPolicy::kReuse;
  }
  const bool is_in_silent_domain = dispatch::IsInSilentDomain(run.edge->upstreams, upstream);
  const bool may_reuse =
      !is_in_silent_domain &&
      (was_recently_active || run.route.repeatability != dispatch::Repeatability::kNonRepeatable);
  return may_reuse ? transport::ConnectionPolicy::kReuse : transport::ConnectionPolicy::kFresh;
}

UpstreamCall CallOf(const RequestRun& run, const dispatch::Candidate& chosen) {
  const dispatch::Upstream& upstream = *chosen.row;
  UpstreamCall call;
  call.upstream = upstream.listing.id;
  call.workspace = run.workspace.name;
  call.remaining = Remaining(run);
  call.priority = run.workspace.priority.value_or(run.route.priority);
  call.fetch_prompt_from = chosen.fetch_from;
  call.resume_after = run.last_event_id;
  return call;
}

void RecordSend(RequestRun& run, const dispatch::Candidate& chosen) {
  const TimePoint now = RuntimeClock::now();
  dispatch::Upstream& upstream = *chosen.row;
  if (run.sends == 0) {
    dispatch::RecordFirstSend(run.edge->retries, run.service.name, now);
  }
  ++run.sends;
  dispatch::RecordLimitedSend(upstream, now);
  dispatch::RecordBrittleSend(upstream, now);
  upstream.cold_sends.times.push_back(now);
  dispatch::CountWithin(upstream.cold_sends, std::chrono::seconds(1), now);
  if (run.service.is_engine) {
    dispatch::RecordPrompt(upstream.prompt_cache, run.request.prompt, run.service.cache_tokens);
  }
}

// Records whether the upstream survived the request. A failed answer shows neither: the upstream
// may have given up before it processed the prompt.
void RecordOutcome(RequestRun& run, const dispatch::UpstreamRow& upstream, const Attempt& attempt) {
  if (attempt.result == AttemptResult::kDelivered) {
    RecordAnswered(run);
  } else if (attempt.connection_lost) {
    RecordLostConnection(run, upstream);
  }
}

// The upstream, or the peer that relays the attempt.
std::optional<transport::Endpoint> EndpointOf(const RequestRun& run,
                                              const dispatch::Upstream& upstream) {
  if (run.relay.empty()) {
    return transport::ParseEndpoint(upstream.listing.address);
  }
  return transport::Endpoint(run.relay, run.edge->settings.peer_endpoint.port);
}

transport::HttpRequest EncodeAttempt(const RequestRun& run,
                                     const dispatch::Candidate& chosen,
                                     transport::ConnectionPolicy policy) {
  transport::HttpRequest request =
      run.edge->codec.encode_upstream_request(run.request, CallOf(run, chosen));
  if (!run.relay.empty()) {
    const dispatch::UpstreamListing& listing = chosen.row->listing;
    AddRelayHeaders(request, {.upstream = listing.id,
                              .address = listing.address,
                              .started_at_ms = listing.started_at_ms,
                              .request_id = run.request.id,
                              .remaining = Remaining(run),
                              .first_byte = TimeoutsOf(run).first_byte,
                              .may_reuse = policy == transport::ConnectionPolicy::kReuse});
  }
  return request;
}

void RecordConnect(const RequestRun& run,
                   const transport::HttpExchange& exchange,
                   bool has_answer) {
  const auto connect_time = exchange.ConnectTime();
  if (!connect_time || !run.relay.empty()) {
    return;
  }
  run.edge->metrics.ObserveTime("geranium_connect_seconds", *connect_time);
  if (has_answer) {
    RecordPathReached(*run.edge, run.sent_at);
  }
}

// Returns how an attempt failed that the peer did not relay, or whose answer can't be attributed
// to the request. Only what the peer states proves that nothing was sent.
std::optional<Attempt> MakeUnrelayedAttempt(const RequestRun& run,
                                            const RelayStatement& statement,
                                            const UpstreamAnswer& answer) {
  using Result = RelayStatement::Result;
  Attempt attempt;
  attempt.result = AttemptResult::kOutcomeUnknown;
  if (run.stopped != StopReason::kNone) {
    attempt.result = AttemptResult::kStopped;
  } else if (statement.result == Result::kNotSent) {
    attempt.result = AttemptResult::kNotSent;
  } else if (statement.result == Result::kRelayed) {
    if (answer.echoed_request_id.empty() || answer.echoed_request_id == run.request.id) {
      return std::nullopt;
    }
    attempt.reason = "answer_to_another_request";
    return attempt;
  }
  attempt.reason = "relay_" + statement.reason;
  return attempt;
}

// True if the peer failed that relayed an attempt without an answer. A peer states in time that the
// upstream is silent. An attempt that this instance cancelled itself says nothing about the peer.
bool IsPeerAtFault(const RequestRun& run,
                   const RelayStatement& statement,
                   const std::optional<transport::TransportError>& error) {
  if (statement.result != RelayStatement::Result::kNone) {
    return statement.is_unable;
  }
  const bool is_cancelled = error && error->code == TransportErrorCode::kCancelled;
  return run.stopped == StopReason::kNone && !is_cancelled;
}

// Corrects what was counted for an attempt without an answer. `error` is set if no head came.
void RecordUnanswered(RequestRun& run,
                      const dispatch::UpstreamRow& upstream,
                      const Attempt& attempt,
                      const RelayStatement& statement,
                      const std::optional<transport::TransportError>& error) {
  const bool is_unsent = error ? error->phase < ExchangePhase::kWritingRequest
                               : statement.result == RelayStatement::Result::kNotSent;
  // A relaying peer doesn't say how long its connect took.
  const bool may_be_slow = !error || error->code == TransportErrorCode::kTimedOut;
  if (is_unsent) {
    --run.sends;
    ++run.failed_connects;
    run.slow_connects += may_be_slow ? 1 : 0;
  }
  if (run.relay.empty()) {
    RecordOutcome(run, upstream, attempt);
    return;
  }
  run.edge->metrics.Count("geranium_relay_failures_total", {{"result", ToString(attempt.result)}});
  const bool is_peer_at_fault = IsPeerAtFault(run, statement, error);
  if (is_peer_at_fault) {
    AvoidRelay(*run.edge, run.relay);
  }
  if (is_peer_at_fault && is_unsent) {
    // Another peer may reach this upstream.
    run.tried.pop_back();
  }
}

}  // namespace

std::string_view ToString(AttemptResult result) {
  switch (result) {
    case AttemptResult::kDelivered:
      return "delivered";
    case AttemptResult::kNotSent:
      return "not_sent";
    case AttemptResult::kRejected:
      return "rejected";
    case AttemptResult::kMisdirected:
      return "misdirected";
    case AttemptResult::kFailedAnswer:
      return "failed_answer";
    case AttemptResult::kOutcomeUnknown:
      return "outcome_unknown";
    case AttemptResult::kInterrupted:
      return "broken_off";
    case AttemptResult::kStopped:
      return "stopped";
  }
  return "stopped";
}

std::string DescribeFailure(const transport::TransportError& error) {
  return std::string(transport::ToString(error.code)) + "_while_" +
         std::string(transport::ToString(error.phase));
}

bool IsAnswerTo(const UpstreamAnswer& answer,
                std::string_view request_id,
                const transport::HttpExchange& exchange) {
  return answer.echoed_request_id == request_id ||
         (!exchange.UsedPooledConnection() && answer.echoed_request_id.empty());
}

void ApplyAvailability(EdgeState& edge,
                       const std::string& request_id,
                       dispatch::Upstream& upstream,
                       const UpstreamAnswer& answer,
                       TimePoint sent_at) {
  if (answer.wrong_upstream) {
    return;
  }
  if (answer.is_leaving && !upstream.announced.leaving) {
    upstream.announced.leaving = true;
    LogEvent(LogLevel::kInfo, "upstream_leaving",
             {{"upstream", upstream.listing.id},
              {"started_at_ms", upstream.listing.started_at_ms},
              {"request_id", request_id},
              {"published_revision", edge.published.position.revision}});
  }
  if (dispatch::RecordNamedLimit(upstream, answer.requests_per_second, sent_at,
                                 RuntimeClock::now())) {
    LogLimitChange(upstream, request_id);
  }
  ApplyBrittle(edge, upstream, answer, request_id, sent_at);
  if (answer.retry_after) {
    dispatch::RecordPause(upstream, *answer.retry_after, RuntimeClock::now());
  }
  if (answer.retry_after || !answer.retry_after_error.empty()) {
    LogEvent(LogLevel::kInfo, "upstream_wants_pause",
             {{"upstream", upstream.listing.id},
              {"started_at_ms", upstream.listing.started_at_ms},
              {"request_id", request_id},
              {"pause_ms", Milliseconds(answer.retry_after.value_or(Duration{0}))},
              {"fault", answer.retry_after_error}});
  }
}

asio::awaitable<Attempt> RunAttempt(RequestRun& run,
                                    dispatch::Candidate chosen,
                                    transport::HttpResponder& responder) {
  dispatch::Upstream& upstream = *chosen.row;
  run.relay = ChooseRelay(*run.edge);
  const auto endpoint = EndpointOf(run, upstream);
  run.tried.push_back(upstream.listing.id);
  if (!endpoint) {
    Attempt attempt;
    attempt.reason = "bad_address";
    co_return attempt;
  }
  run.expected_time = ExpectedAnswerTime(run, chosen);
  dispatch::RunningRequest running(chosen.row, chosen.uncached_tokens);
  run.sent_at = RuntimeClock::now();
  RecordSend(run, chosen);
  transport::HttpExchange exchange(run.edge->connections, *endpoint, ExchangeTimeoutsOf(run));
  exchange.IdentifyRequest(StableHash(run.request.id));
  UpstreamAnswer answer;
  exchange.SkipUnmatchedAnswers([&](const transport::HttpResponse& head) {
    answer = run.edge->codec.decode_answer(head);
    // A peer has dropped the answers to other requests already.
    return !run.relay.empty() || IsAnswerTo(answer, run.request.id, exchange);
  });
  run.active = &exchange;
  run.active_upstream = chosen.row;
  const transport::ConnectionPolicy policy = PolicyOf(run, upstream);
  transport::HttpRequest request = EncodeAttempt(run, chosen, policy);
  auto head = co_await exchange.Start(std::move(request), policy);
  RecordConnect(run, exchange, head.has_value());
  RelayStatement relayed;
  std::optional<Attempt> failed;
  if (!head) {
    failed = MakeFailedAttempt(run, upstream, exchange, head.error());
  } else if (!run.relay.empty()) {
    relayed = TakeRelayStatement(head.value());
    answer = run.edge->codec.decode_answer(head.value());
    failed = MakeUnrelayedAttempt(run, relayed, answer);
  }
  if (failed) {
    run.active = nullptr;
    failed->connection = exchange.Use();
    const auto error = head ? std::nullopt : std::optional(head.error());
    RecordUnanswered(run, chosen.row, *failed, relayed, error);
    co_return std::move(*failed);
  }
  RecordBytes(run, upstream);
  ApplyAvailability(*run.edge, run.request.id, upstream, answer, run.sent_at);
  ApplyLoadReport(run, upstream, answer);
  ApplyPace(run, upstream, answer);
  const bool is_success = head.value().status >= 200 && head.value().status < 300;
  const bool ends_with_connection = exchange.EndsWithConnection() || relayed.ends_with_connection;
  Attempt attempt;
  if (run.route.is_stream && is_success && answer.is_sealed && !answer.has_content_encoding) {
    attempt = co_await RelayStream(run, upstream, exchange, running, head.value(), answer,
                                   ends_with_connection, responder);
  } else {
    attempt = co_await DeliverResponse(run, upstream, exchange, head.value(), answer, responder);
  }
  attempt.status = head.value().status;
  attempt.connection = exchange.Use();
  run.active = nullptr;
  RecordOutcome(run, chosen.row, attempt);
  co_return attempt;
}

}  // namespace geraniumspread::edge::detail
