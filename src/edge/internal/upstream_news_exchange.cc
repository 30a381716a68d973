#include "edge/internal/upstream_news_exchange.h"

#include <algorithm>

#include "edge/internal/peer_codec.h"
#include "edge/internal/peer_exchange.h"

namespace geraniumspread::edge::detail {

void SendUpstreamNews(EdgeState& edge) {
  const auto news =
      dispatch::TakeUpstreamNews(edge.upstreams, edge.path.state, RuntimeClock::now());
  if (!news.empty()) {
    const bool has_sign =
        std::ranges::any_of(news, [](const auto& entry) { return entry.ended_age.has_value(); });
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
