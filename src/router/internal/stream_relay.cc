#include "router/internal/stream_relay.h"

#include <string>
#include <vector>

namespace geraniumspread::router::detail {
namespace {

using outcomes::ExchangeEvent;
using outcomes::StreamAction;

enum class RelayStep : std::uint8_t { kContinue, kFinished, kFault, kCallerLeft };

// The text to pass on for `events`, and how the stream goes on after them.
RelayStep TakeEvents(RequestRun& run,
                     const std::vector<outcomes::SseEvent>& events,
                     std::string& text) {
  for (const outcomes::SseEvent& event : events) {
    switch (outcomes::OnStreamEvent(run.progress, event)) {
      case StreamAction::kForward:
        outcomes::AppendSse(event, text);
        break;
      case StreamAction::kDrop:
        break;
      case StreamAction::kFinish:
        outcomes::AppendSse(event, text);
        return RelayStep::kFinished;
      case StreamAction::kFault:
        return RelayStep::kFault;
    }
  }
  return RelayStep::kContinue;
}

boost::asio::awaitable<bool> WriteToCaller(RequestRun& run, std::string text) {
  if (text.empty()) {
    co_return true;
  }
  if (!run.stream->HasStarted()) {
    transport::HttpHeaders headers;
    transport::SetHeader(headers, "Content-Type", "text/event-stream");
    transport::SetHeader(headers, "Cache-Control", "no-store");
    transport::SetHeader(headers, "X-Request-Id", run.request.request_id);
    if (!co_await run.stream->StartStream(200, std::move(headers))) {
      co_return false;
    }
  }
  co_return co_await run.stream->Write(text);
}

boost::asio::awaitable<RelayStep> RelaySome(RequestRun& run,
                                            outcomes::SseParser& parser,
                                            std::string_view bytes) {
  std::vector<outcomes::SseEvent> events;
  const bool well_formed = outcomes::FeedSse(parser, bytes, events);
  std::string text;
  const RelayStep step = TakeEvents(run, events, text);
  if (!co_await WriteToCaller(run, std::move(text))) {
    co_return RelayStep::kCallerLeft;
  }
  co_return step == RelayStep::kContinue && !well_formed ? RelayStep::kFault : step;
}

// After the final marker only the end of the body may follow.
boost::asio::awaitable<void> ReadEnd(Attempt& attempt) {
  const auto rest = co_await attempt.http->ReadSome();
  if (!rest) {
    // The caller has the whole stream already; only the connection is lost.
    outcomes::Apply(attempt.exchange, ExchangeEvent::kBodyComplete);
    co_return;
  }
  EndWithAnswer(attempt);
}

}  // namespace

boost::asio::awaitable<void> RelayStream(RouterContext& context,
                                         RequestRun& run,
                                         Attempt& attempt) {
  outcomes::SseParser parser;
  while (true) {
    const auto bytes = co_await attempt.http->ReadSome();
    if (!bytes) {
      EndWithFailure(attempt, bytes.error());
      co_return;
    }
    if (bytes.value().empty()) {
      // The body ended without the final marker.
      outcomes::Apply(attempt.exchange, ExchangeEvent::kDamaged);
      co_return;
    }
    outcomes::OnAnswerBytes(attempt.check, bytes.value().size());
    const RelayStep step = co_await RelaySome(run, parser, bytes.value());
    if (step == RelayStep::kContinue) {
      continue;
    }
    if (step == RelayStep::kFinished) {
      co_await ReadEnd(attempt);
      co_return;
    }
    context.metrics.Count("geranium_stream_faults_total",
                          {{"cause", step == RelayStep::kFault ? "damaged" : "caller_left"}});
    attempt.http->Cancel();
    outcomes::Apply(attempt.exchange,
                    step == RelayStep::kFault ? ExchangeEvent::kDamaged : ExchangeEvent::kClosed);
    run.cancellation.cancelled = run.cancellation.cancelled || step == RelayStep::kCallerLeft;
    co_return;
  }
}

}  // namespace geraniumspread::router::detail
