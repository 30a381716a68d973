#include "edge/internal/brittle_exchange.h"

#include "dispatch/brittle_upstreams.h"
#include "edge/internal/peer_codec.h"
#include "edge/internal/peer_exchange.h"

namespace geraniumspread::edge::detail {
namespace {

void LogBrittleChange(EdgeState& edge,
                      const dispatch::Upstream& upstream,
                      std::string_view source) {
  const std::optional<double>& limit = upstream.brittle.rejections.per_second;
  edge.metrics.Count("geranium_brittle_changes_total", {{"brittle", limit ? "yes" : "no"}});
  observability::LogEvent(observability::LogLevel::kInfo,
                          limit ? "upstream_brittle" : "upstream_brittle_ended",
                          {{"upstream", upstream.listing.id},
                           {"started_at_ms", upstream.listing.started_at_ms},
                           {"rejections_per_second", limit.value_or(0)},
                           {"source", source}});
}

// Tells the loads at brittle upstreams at short intervals, as long as there are such upstreams.
void TellGroups(const Edge& edge) {
  if (!dispatch::HasBrittle(edge->upstreams)) {
    edge->tells_groups = false;
    return;
  }
  const dispatch::GroupNews told =
      dispatch::TakeGroupNews(edge->upstreams, edge->peers, RuntimeClock::now());
  if (!told.addresses.empty()) {
    const std::string bytes = EncodeBrittleNews(told.news);
    for (const std::string& address : told.addresses) {
      SendDatagram(*edge, address, bytes);
    }
    edge->metrics.Count("geranium_brittle_load_messages_total");
  }
  edge->group_timer.expires_after(dispatch::kGroupInterval);
  edge->group_timer.async_wait([edge](const boost::system::error_code& error) {
    if (!error) {
      TellGroups(edge);
    }
  });
}

}  // namespace

void ApplyBrittle(EdgeState& edge,
                  dispatch::Upstream& upstream,
                  const UpstreamAnswer& answer,
                  std::string_view request_id,
                  TimePoint sent_at) {
  const TimePoint now = RuntimeClock::now();
  if (dispatch::RecordBrittle(upstream, answer.rejections_per_second, sent_at, now)) {
    LogBrittleChange(edge, upstream, request_id);
  }
  if (answer.rejections_per_second && answer.not_run) {
    dispatch::RecordBrittleRejection(upstream, now);
    edge.metrics.Count("geranium_brittle_rejections_total");
  }
}

void SendBrittleNews(const Edge& edge) {
  const auto news = dispatch::TakeBrittleNews(edge->upstreams, RuntimeClock::now());
  if (!news.empty()) {
    SendNews(*edge, EncodeBrittleNews(news));
  }
  if (!edge->tells_groups && dispatch::HasBrittle(edge->upstreams)) {
    edge->tells_groups = true;
    TellGroups(edge);
  }
}

bool ReceiveBrittleNews(EdgeState& edge, std::string_view bytes, std::string_view sender) {
  const auto news = DecodeBrittleNews(bytes);
  if (!news) {
    return false;
  }
  for (const dispatch::UpstreamRow& upstream :
       dispatch::MergeBrittleNews(edge.upstreams, *news, sender, RuntimeClock::now())) {
    LogBrittleChange(edge, *upstream, sender);
  }
  return true;
}

}  // namespace geraniumspread::edge::detail
