#include "edge/internal/limit_exchange.h"

#include "dispatch/named_limits.h"
#include "edge/internal/peer_codec.h"
#include "edge/internal/peer_exchange.h"

namespace geraniumspread::edge::detail {

void LogLimitChange(const dispatch::Upstream& upstream, std::string_view source) {
  const std::optional<double>& limit = upstream.limit.requests.per_second;
  observability::LogEvent(observability::LogLevel::kInfo,
                          limit ? "upstream_limit" : "upstream_limit_ended",
                          {{"upstream", upstream.listing.id},
                           {"started_at_ms", upstream.listing.started_at_ms},
                           {"requests_per_second", limit.value_or(0)},
                           {"source", source}});
}

void SendLimitNews(EdgeState& edge) {
  const auto news = dispatch::TakeLimitNews(edge.upstreams, RuntimeClock::now());
  if (!news.empty()) {
    SendNews(edge, EncodeLimitNews(news));
  }
}

bool ReceiveLimitNews(EdgeState& edge, std::string_view bytes, std::string_view sender) {
  const auto news = DecodeLimitNews(bytes);
  if (!news) {
    return false;
  }
  for (const dispatch::UpstreamRow& upstream :
       dispatch::MergeLimitNews(edge.upstreams, *news, RuntimeClock::now())) {
    LogLimitChange(*upstream, sender);
  }
  return true;
}

}  // namespace geraniumspread::edge::detail
