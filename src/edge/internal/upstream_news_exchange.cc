#include "edge/internal/upstream_news_exchange.h"

#include <algorithm>

#include "edge/internal/peer_codec.h"
#include "edge/internal/peer_exchange.h"
#include "edge/internal/request_run.h"

namespace geraniumspread::edge::detail {
namespace {

// Each running request slows the first event by about a step of the engine.
constexpr Duration kRunningTime = std::chrono::milliseconds(2);

Duration FromMilliseconds(double milliseconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(milliseconds));
}

void LogSlowUpstreams(EdgeState& edge) {
  const TimePoint now = RuntimeClock::now();
  std::size_t slow = 0;
  for (const auto& [id, row] : edge.upstreams.rows) {
    if (const auto change = dispatch::UpdateSlowness(row->pace, now); change) {
      observability::LogEvent(observability::LogLevel::kInfo,
                              *change ? "upstream_slow" : "upstream_slow_ended",
                              {{"upstream", id},
                               {"started_at_ms", row->listing.started_at_ms},
                               {"pace", dispatch::ExpectedPace(row->pace, now)},
                               {"average", row->pace.average},
                               {"measured", row->pace.current.ratio}});
    }
    slow += row->pace.is_slow ? 1 : 0;
  }
  edge.metrics.SetGauge("geranium_slow_upstreams", static_cast<double>(slow));
}

}  // namespace

std::optional<Duration> ExpectedAnswerTime(const RequestRun& run,
                                           const dispatch::Candidate& chosen) {
  const dispatch::UpstreamTable& upstreams = run.edge->upstreams;
  if (run.service.is_engine) {
    // Parts that are believed to be cached may have been evicted, so all tokens count.
    const auto tokens =
        static_cast<double>(dispatch::EstimatedPrefillTokens(upstreams, *chosen.row)) +
        run.request.prompt.input_tokens;
    return FromMilliseconds(tokens / run.edge->settings.selection.prefill_tokens_per_ms) +
           kRunningTime * chosen.running;
  }
  const auto mean = upstreams.service_times.find(run.service.name);
  const auto usual = mean == upstreams.service_times.end()
                         ? std::nullopt
                         : dispatch::MeanServiceTime(mean->second);
  if (!usual) {
    return std::nullopt;
  }
  const std::uint32_t slots = std::max<std::uint32_t>(chosen.row->listing.slots, 1);
  return *usual * std::max<std::uint32_t>(1, (chosen.running + slots) / slots);
}

void RecordAnswerTime(RequestRun& run, dispatch::Upstream& upstream) {
  // A stream that continues elsewhere, and one through a peer, take other times.
  if (!run.relay.empty() || run.last_event_id || run.service.is_engine != run.route.is_stream) {
    return;
  }
  const TimePoint now = RuntimeClock::now();
  const Duration measured = now - run.sent_at;
  if (run.expected_time) {
    dispatch::RecordMeasuredTime(upstream.pace, *run.expected_time, measured, now);
  }
  if (!run.service.is_engine) {
    dispatch::RecordServiceTime(run.edge->upstreams.service_times[run.service.name], measured);
  }
}

void ApplyPace(const RequestRun& run, dispatch::Upstream& upstream, const UpstreamAnswer& answer) {
  if (!answer.pace || answer.wrong_upstream) {
    return;
  }
  if (run.relay.empty()) {
    dispatch::RecordOwnStatedPace(upstream.pace, *answer.pace, RuntimeClock::now());
  } else {
    dispatch::RecordStatedPace(upstream.pace, *answer.pace, RuntimeClock::now());
  }
}

void SendUpstreamNews(EdgeState& edge) {
  LogSlowUpstreams(edge);
  const auto news =
      dispatch::TakeUpstreamNews(edge.upstreams, edge.path.state, RuntimeClock::now());
  if (!news.empty()) {
    // A stated pace is heard often.
    const bool has_sign = std::ranges::any_of(
        news, [](const auto& entry) { return entry.ended_age.has_value() || entry.is_measured; });
    SendNews(edge, EncodeUpstreamNews(news), has_sign);
    edge.metrics.Count("geranium_upstream_news_messages_total");
  }
}

bool ReceiveUpstreamNews(EdgeState& edge, std::string_view bytes, std::string_view sender) {
  const auto news = DecodeUpstreamNews(bytes);
  if (!news) {
    return false;
  }
  const TimePoint now = RuntimeClock::now();
  for (const dispatch::UpstreamRow& upstream :
       dispatch::MergeUpstreamNews(edge.upstreams, *news, now)) {
    const bool is_replaced = upstream->ended.newest.is_replaced;
    edge.metrics.Count("geranium_upstreams_avoided_total",
                       {{"sign", is_replaced ? "replaced" : "refused"}});
    observability::LogEvent(observability::LogLevel::kInfo, "upstream_avoided",
                            {{"upstream", upstream->listing.id},
                             {"started_at_ms", upstream->listing.started_at_ms},
                             {"sign", is_replaced ? "replaced" : "refused"},
                             {"avoided_ms", Milliseconds(upstream->health.avoid_until - now)},
                             {"source", sender}});
  }
  return true;
}

}  // namespace geraniumspread::edge::detail
