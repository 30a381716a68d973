#include "edge/internal/crash_watch.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "edge/internal/path_watch.h"
#include "edge/internal/peer_codec.h"
#include "edge/internal/peer_exchange.h"

namespace geraniumspread::edge::detail {
namespace {

namespace asio = boost::asio;
using observability::LogEvent;
using observability::LogLevel;

// A process that is gone refuses a connection within one round trip. A slower answer proves
// nothing.
constexpr Duration kCheckTimeout = std::chrono::milliseconds(250);
// If the connections to more upstreams are lost at once, the network is at fault.
constexpr std::size_t kMaxChecks = 16;
// Quarantines are repeated at this interval for peers that missed them.
constexpr Duration kRepeatInterval = std::chrono::seconds(2);

void LogChange(EdgeState& edge, const dispatch::QuarantineChange& change, std::string_view source) {
  for (const dispatch::Trait trait : change.began) {
    const auto suspect = edge.crashes.suspects.find(trait);
    if (suspect == edge.crashes.suspects.end()) {
      continue;
    }
    const Duration length =
        dispatch::QuarantineEnd(edge.crashes.settings, suspect->second) - RuntimeClock::now();
    LogEvent(LogLevel::kWarn, "request_trait_quarantined",
             {{"trait", Hexadecimal(trait)},
              {"quarantines", suspect->second.quarantines},
              {"remaining_ms", Milliseconds(length)},
              {"source", source}});
    edge.metrics.Count("geranium_trait_quarantines_total");
  }
  for (const dispatch::Trait trait : change.ended) {
    LogEvent(LogLevel::kInfo, "request_trait_released",
             {{"trait", Hexadecimal(trait)}, {"reason", "answered"}, {"source", source}});
  }
}

void RecordUpstreamCrash(EdgeState& edge,
                         const dispatch::Upstream& upstream,
                         const LostConnections& lost) {
  LogEvent(LogLevel::kWarn, "upstream_crashed",
           {{"upstream", upstream.listing.id},
            {"started_at_ms", upstream.listing.started_at_ms},
            {"unanswered_requests", lost.requests.size()}});
  edge.metrics.Count("geranium_upstream_crashes_total");
  const auto change = dispatch::RecordCrash(
      edge.crashes, {dispatch::ProcessKey(upstream.listing), lost.at}, lost.requests);
  LogChange(edge, change, "own");
  SendCrashEvidence(edge);
}

// True if this instance reaches some upstream, or only knows one. If it reaches none, its own path
// may be lost, and a refused connect proves no crash.
asio::awaitable<bool> ReachesOthers(Edge edge, dispatch::UpstreamRow crashed) {
  co_await WaitForPathCheck(edge);
  if (IsPathLost(*edge)) {
    co_return false;
  }
  auto others = dispatch::ChooseProbedUpstreams(
      edge->upstreams, edge->path.settings.checked_upstreams + 1, edge->random);
  std::erase(others, crashed);
  co_return others.empty() || co_await ReachesAny(edge, std::move(others));
}

asio::awaitable<void> CheckForCrash(Edge edge, dispatch::UpstreamRow upstream) {
  const auto endpoint = transport::ParseEndpoint(upstream->listing.address);
  const auto error =
      endpoint ? co_await transport::TryConnect(edge->io.get_executor(), *endpoint, kCheckTimeout)
               : std::nullopt;
  const bool is_proof = error == transport::TransportErrorCode::kConnectFailed &&
                        co_await ReachesOthers(edge, upstream);
  const auto lost = edge->lost_connections.extract(upstream);
  if (is_proof && !lost.empty()) {
    RecordUpstreamCrash(*edge, *upstream, lost.mapped());
  }
}

}  // namespace

void RecordLostConnection(RequestRun& run, const dispatch::UpstreamRow& upstream) {
  if (run.is_answered) {
    return;
  }
  EdgeState& edge = *run.edge;
  const bool is_first = !edge.lost_connections.contains(upstream);
  if (is_first && edge.lost_connections.size() >= kMaxChecks) {
    return;
  }
  LostConnections& lost = edge.lost_connections[upstream];
  if (is_first) {
    lost.at = RuntimeClock::now();
    asio::co_spawn(edge.io, CheckForCrash(run.edge, upstream), asio::detached);
  }
  lost.requests.push_back(run.traits);
}

void RecordAnswerBegin(RequestRun& run) {
  dispatch::RecordBegin(run.edge->crashes, run.traits);
}

void RecordAnswered(RequestRun& run) {
  if (!run.is_answered) {
    run.is_answered = true;
    LogChange(*run.edge, dispatch::RecordAnswer(run.edge->crashes, run.traits, RuntimeClock::now()),
              "own");
  }
}

std::optional<dispatch::QuarantineHit> FindQuarantine(const RequestRun& run,
                                                      std::span<const std::uint64_t> peer_hashes) {
  const EdgeState& edge = *run.edge;
  return dispatch::FindQuarantine(edge.crashes, run.traits, StableHash(edge.settings.address),
                                  peer_hashes, RuntimeClock::now());
}

void SendCrashEvidence(EdgeState& edge) {
  const auto evidence = dispatch::TakeEvidenceToSend(edge.crashes, RuntimeClock::now());
  if (!evidence.empty()) {
    SendNews(edge, EncodeCrashEvidence(evidence));
  }
}

bool ReceiveCrashEvidence(EdgeState& edge, std::string_view bytes, std::string_view sender) {
  const auto evidence = DecodeCrashEvidence(bytes);
  if (!evidence) {
    return false;
  }
  const auto change = dispatch::MergeEvidence(edge.crashes, *evidence, RuntimeClock::now());
  LogChange(edge, change, sender);
  if (!change.began.empty()) {
    // Each further request with the trait may cost an upstream, so peers hear of it at once.
    SendCrashEvidence(edge);
  }
  return true;
}

void TickCrashEvidence(EdgeState& edge) {
  const TimePoint now = RuntimeClock::now();
  if (edge.quarantines_repeated_at + kRepeatInterval <= now) {
    edge.quarantines_repeated_at = now;
    dispatch::RepeatQuarantines(edge.crashes);
  }
  SendCrashEvidence(edge);
  dispatch::ExpireEvidence(edge.crashes, now);
}

}  // namespace geraniumspread::edge::detail
