#include "edge/internal/attempt.h"

#include <algorithm>

#include "edge/internal/event_splitter.h"

namespace geraniumspread::edge::detail {
namespace {

namespace asio = boost::asio;
using observability::LogEvent;
using observability::LogLevel;
using transport::ExchangePhase;

// Covers one lost opening packet on a short path only; a connect that fails has
// sent nothing, so another upstream can take the request.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(200);
constexpr Duration kWriteTimeout = std::chrono::seconds(2);
// An answer that is not a stream is kept until it is whole.
constexpr std::size_t kMaxAnswerBytes = std::size_t{4} << 20U;
// A repeatable request waits this multiple of its goal for the first byte before
// it is sent elsewhere.
constexpr int kPatienceFactor = 3;
constexpr Duration kMinPatience = std::chrono::milliseconds(300);
// Callers give up a stream after a pause of this multiple of its pause goal.
constexpr int kPauseFactor = 8;
constexpr Duration kMinPause = std::chrono::seconds(2);
// A kept connection may have lost its path without a sign. A request that may not
// be repeated takes a new one unless the upstream was heard this recently.
constexpr Duration kTrustedSilence = std::chrono::milliseconds(250);
constexpr int kFirstFailureStatus = 500;

transport::ExchangeTimeouts TimeoutsOf(const RequestRun& run) {
  const Duration remaining = Remaining(run);
  transport::ExchangeTimeouts timeouts;
  timeouts.connect = std::min(kConnectTimeout, remaining);
  timeouts.write = std::min(kWriteTimeout, remaining);
  timeouts.first_byte = remaining;
  if (MayMoveOn(run)) {
    timeouts.first_byte =
        std::min(remaining, std::max(kMinPatience, run.route.latency_goal * kPatienceFactor));
  }
  timeouts.between_bytes =
      std::min(remaining, std::max(kMinPause, run.route.pause_goal * kPauseFactor));
  return timeouts;
}

// What the upstream says of itself. An answer of another process says nothing of it.
void TakeStatements(RequestRun& run, dispatch::Upstream& upstream, const UpstreamAnswer& answer) {
  if (answer.wrong_upstream) {
    return;
  }
  if (answer.is_leaving && !upstream.said.leaving) {
    upstream.said.leaving = true;
    LogEvent(LogLevel::kInfo, "upstream_leaving",
             {{"upstream", upstream.listing.id},
              {"started_at_ms", upstream.listing.started_at_ms},
              {"request_id", run.request.id},
              {"published_revision", run.edge->published.revision}});
  }
  if (answer.wanted_pause) {
    dispatch::NotePause(upstream, *answer.wanted_pause, RuntimeClock::now());
  }
  if (answer.wanted_pause || !answer.pause_fault.empty()) {
    LogEvent(LogLevel::kInfo, "upstream_wants_pause",
             {{"upstream", upstream.listing.id},
              {"started_at_ms", upstream.listing.started_at_ms},
              {"request_id", run.request.id},
              {"pause_ms", Milliseconds(answer.wanted_pause.value_or(Duration{0}))},
              {"fault", answer.pause_fault}});
  }
}

void TakeReport(RequestRun& run, dispatch::Upstream& upstream, const UpstreamAnswer& answer) {
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

Attempt Failed(RequestRun& run,
               dispatch::Upstream& upstream,
               const transport::TransportError& error) {
  Attempt attempt;
  attempt.reason = std::string(transport::ToString(error.code)) + "_while_" +
                   std::string(transport::ToString(error.phase));
  const TimePoint now = RuntimeClock::now();
  if (run.stopped != StopReason::kNone) {
    attempt.result = AttemptResult::kStopped;
  } else if (error.phase < ExchangePhase::kWritingRequest) {
    attempt.result = AttemptResult::kNotSent;
    dispatch::NoteConnectFailed(upstream.health, now);
  } else {
    attempt.result = AttemptResult::kOutcomeUnknown;
    dispatch::NoteAttemptFailed(upstream.health, now);
  }
  return attempt;
}

// Sends what is left of a stream. Returns an empty reason at its whole end.
asio::awaitable<std::string> RelayEvents(RequestRun& run,
                                         transport::HttpExchange& exchange,
                                         dispatch::RunningRequest& running,
                                         const transport::HttpResponse& head,
                                         const UpstreamAnswer& answer,
                                         transport::HttpResponder& responder) {
  EventSplitter splitter;
  splitter.last_id = run.last_event_id;
  splitter.skip_through = run.last_event_id;
  const Duration longest_pause = TimeoutsOf(run).between_bytes;
  TimePoint heard_at = RuntimeClock::now();
  while (true) {
    auto bytes = co_await exchange.ReadSome();
    if (!bytes) {
      co_return std::string(transport::ToString(bytes.error().code));
    }
    const TimePoint now = RuntimeClock::now();
    run.active_upstream->heard_at = now;
    const bool at_end = bytes.value().empty();
    const std::string events = TakeEvents(splitter, bytes.value());
    if (splitter.too_large) {
      co_return "event_too_large";
    }
    if (events.empty() && !at_end) {
      // Only events are progress: a stalled upstream may send a byte now and then.
      if (now - heard_at > longest_pause) {
        co_return "no_event_in_time";
      }
      continue;
    }
    if (run.stream_started) {
      run.edge->metrics.ObserveTime("geranium_pause_seconds", now - heard_at);
    }
    heard_at = now;
    if (!events.empty()) {
      running.NotePromptRead();
    }
    if (!run.stream_started && (!events.empty() || at_end)) {
      run.stream_started = true;
      run.edge->metrics.ObserveTime("geranium_first_byte_seconds",
                                    RuntimeClock::now() - run.started);
      transport::HttpHeaders headers = answer.caller_headers;
      if (!co_await responder.StartStream(head.status, std::move(headers))) {
        co_return "caller_gone";
      }
    }
    if (!events.empty() && !co_await responder.Write(events)) {
      co_return "caller_gone";
    }
    run.last_event_id = splitter.last_id;
    if (splitter.out_of_order) {
      co_return "events_out_of_order";
    }
    if (at_end) {
      co_return splitter.pending.empty() ? "" : "partial_event_at_end";
    }
  }
}

asio::awaitable<Attempt> RelayStream(RequestRun& run,
                                     dispatch::Upstream& upstream,
                                     transport::HttpExchange& exchange,
                                     dispatch::RunningRequest& running,
                                     const transport::HttpResponse& head,
                                     const UpstreamAnswer& answer,
                                     transport::HttpResponder& responder) {
  Attempt attempt;
  attempt.reason = co_await RelayEvents(run, exchange, running, head, answer, responder);
  if (attempt.reason.empty()) {
    dispatch::NoteAttemptSucceeded(upstream.health, RuntimeClock::now());
    attempt.result =
        co_await responder.Finish() ? AttemptResult::kDelivered : AttemptResult::kStopped;
    co_return attempt;
  }
  if (run.stopped != StopReason::kNone || attempt.reason == "caller_gone") {
    attempt.result = AttemptResult::kStopped;
    co_return attempt;
  }
  dispatch::NoteAttemptFailed(upstream.health, RuntimeClock::now());
  attempt.result = run.stream_started ? AttemptResult::kBrokenOff : AttemptResult::kOutcomeUnknown;
  co_return attempt;
}

asio::awaitable<Attempt> DeliverWhole(RequestRun& run,
                                      dispatch::Upstream& upstream,
                                      transport::HttpExchange& exchange,
                                      const transport::HttpResponse& head,
                                      const UpstreamAnswer& answer,
                                      transport::HttpResponder& responder) {
  auto body = co_await exchange.ReadAll(kMaxAnswerBytes);
  if (!body) {
    co_return Failed(run, upstream, body.error());
  }
  Attempt attempt;
  const TimePoint now = RuntimeClock::now();
  if (answer.wrong_upstream) {
    dispatch::NoteReplaced(upstream.health, now);
    attempt.result = AttemptResult::kMisdirected;
    attempt.reason = "address_of_another_upstream";
    co_return attempt;
  }
  if (answer.not_run) {
    // One that asks for a pause is left alone for that time and may be sound.
    if (!answer.wanted_pause) {
      dispatch::NoteAttemptFailed(upstream.health, now);
    }
    attempt.result = AttemptResult::kRejected;
    attempt.reason = "rejected_not_run";
    co_return attempt;
  }
  if (!answer.is_sealed || answer.is_encoded) {
    dispatch::NoteAttemptFailed(upstream.health, now);
    attempt.result = AttemptResult::kOutcomeUnknown;
    attempt.reason = answer.is_encoded ? "answer_was_encoded" : "answer_without_seal";
    co_return attempt;
  }
  transport::HttpResponse response(head.status, answer.caller_headers, std::move(body).value());
  if (head.status >= kFirstFailureStatus) {
    dispatch::NoteAttemptFailed(upstream.health, now);
    attempt.result = AttemptResult::kFailedAnswer;
    attempt.reason = "status_" + std::to_string(head.status);
    attempt.answer = std::move(response);
    co_return attempt;
  }
  dispatch::NoteAttemptSucceeded(upstream.health, now);
  attempt.result = co_await responder.Send(std::move(response)) ? AttemptResult::kDelivered
                                                                : AttemptResult::kStopped;
  co_return attempt;
}

transport::ConnectionPolicy PolicyOf(const RequestRun& run, const dispatch::Upstream& upstream) {
  const bool is_heard = upstream.heard_at + kTrustedSilence >= RuntimeClock::now();
  const bool is_silent_domain = dispatch::IsBehindCut(run.edge->upstreams, upstream);
  const bool may_reuse =
      !is_silent_domain &&
      (is_heard || run.route.repeatability != dispatch::Repeatability::kNonRepeatable);
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

void NoteSend(RequestRun& run, const dispatch::Candidate& chosen) {
  const TimePoint now = RuntimeClock::now();
  dispatch::Upstream& upstream = *chosen.row;
  if (run.sends == 0) {
    dispatch::NoteFirstSend(run.edge->retries, run.service.name, now);
  }
  ++run.sends;
  upstream.cold_sends.times.push_back(now);
  dispatch::CountSince(upstream.cold_sends, std::chrono::seconds(1), now);
  if (run.service.is_engine) {
    dispatch::RememberPrompt(upstream.memory, run.request.prompt, run.service.cache_tokens);
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
    case AttemptResult::kBrokenOff:
      return "broken_off";
    case AttemptResult::kStopped:
      return "stopped";
  }
  return "stopped";
}

asio::awaitable<Attempt> RunAttempt(RequestRun& run,
                                    dispatch::Candidate chosen,
                                    transport::HttpResponder& responder) {
  dispatch::Upstream& upstream = *chosen.row;
  const auto endpoint = transport::ParseEndpoint(upstream.listing.address);
  run.tried.push_back(upstream.listing.id);
  if (!endpoint) {
    co_return Attempt{AttemptResult::kNotSent, "bad_address", std::nullopt};
  }
  dispatch::RunningRequest running(chosen.row, chosen.uncached_tokens);
  NoteSend(run, chosen);
  transport::HttpExchange exchange(run.edge->connections, *endpoint, TimeoutsOf(run));
  UpstreamAnswer answer;
  exchange.SkipUnmatchedAnswers([&run, &answer](const transport::HttpResponse& head) {
    answer = run.edge->codec.decode_answer(head);
    return answer.echoed_request_id.empty() || answer.echoed_request_id == run.request.id;
  });
  run.active = &exchange;
  run.active_upstream = chosen.row;
  transport::HttpRequest request =
      run.edge->codec.encode_upstream_request(run.request, CallOf(run, chosen));
  auto head = co_await exchange.Start(std::move(request), PolicyOf(run, upstream));
  if (const auto connect_time = exchange.ConnectTime(); connect_time) {
    run.edge->metrics.ObserveTime("geranium_connect_seconds", *connect_time);
  }
  if (!head) {
    run.active = nullptr;
    const Attempt attempt = Failed(run, upstream, head.error());
    if (head.error().phase < ExchangePhase::kWritingRequest) {
      --run.sends;
      ++run.failed_connects;
    }
    co_return attempt;
  }
  upstream.heard_at = RuntimeClock::now();
  TakeStatements(run, upstream, answer);
  TakeReport(run, upstream, answer);
  const bool is_success = head.value().status >= 200 && head.value().status < 300;
  Attempt attempt;
  if (run.route.is_stream && is_success && answer.is_sealed && !answer.is_encoded) {
    attempt =
        co_await RelayStream(run, upstream, exchange, running, head.value(), answer, responder);
  } else {
    attempt = co_await DeliverWhole(run, upstream, exchange, head.value(), answer, responder);
  }
  run.active = nullptr;
  co_return attempt;
}

}  // namespace geraniumspread::edge::detail
