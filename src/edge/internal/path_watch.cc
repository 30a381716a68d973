#include "edge/internal/path_watch.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "edge/internal/attempt.h"
#include "edge/internal/peer_exchange.h"
#include "edge/internal/request_run.h"

namespace geraniumspread::edge::detail {
namespace {

namespace asio = boost::asio;
using dispatch::PathState;
using observability::LogEvent;
using observability::LogLevel;

// A path that is lost may still accept connections, and reset them at once.
constexpr Duration kHoldTime = std::chrono::milliseconds(50);
// Upstreams answer health checks at once; the work for one takes less than 8 ms.
constexpr Duration kAnswerTimeout = std::chrono::milliseconds(200);

// A check that took longer than this stood still itself, and its timeouts prove nothing.
constexpr Duration MaxCheckTime(bool needs_answer) {
  return 2 * (kConnectTimeout + (needs_answer ? kAnswerTimeout : kHoldTime));
}

struct Probe {
  explicit Probe(asio::io_context& io) : done(io) {}

  RuntimeTimer done;
  std::size_t pending = 0;
  bool reached = false;
};

// Returns the path for a health check of the upstream; empty if a connect is enough or its service
// has none.
std::string HealthPathOf(const EdgeState& edge, const dispatch::Upstream& upstream) {
  if (!edge.path.needs_answer || !edge.config) {
    return {};
  }
  const auto service = edge.config->services.find(upstream.listing.service);
  return service == edge.config->services.end() ? std::string() : service->second.health_path;
}

// Sends a health check on a new connection. Any response shows that the path carries requests.
asio::awaitable<bool> HasAnswer(Edge edge, transport::Endpoint endpoint, std::string health_path) {
  transport::ExchangeTimeouts timeouts;
  timeouts.connect = kConnectTimeout;
  timeouts.write = kAnswerTimeout;
  timeouts.first_byte = kAnswerTimeout;
  timeouts.total = kConnectTimeout + kAnswerTimeout;
  transport::HttpExchange exchange(edge->connections, std::move(endpoint), timeouts);
  transport::HttpRequest request("GET", std::move(health_path));
  const auto head =
      co_await exchange.Start(std::move(request), transport::ConnectionPolicy::kFresh);
  co_return head.has_value();
}

asio::awaitable<bool> Connects(Edge edge, transport::Endpoint endpoint) {
  const auto error = co_await transport::TryConnect(edge->io.get_executor(), std::move(endpoint),
                                                    kConnectTimeout, kHoldTime);
  co_return !error;
}

asio::awaitable<void> ProbeOne(std::shared_ptr<Probe> probe,
                               Edge edge,
                               transport::Endpoint endpoint,
                               std::string health_path) {
  const bool needs_answer = !health_path.empty();
  const bool reached = needs_answer ? co_await HasAnswer(edge, endpoint, health_path)
                                    : co_await Connects(edge, endpoint);
  edge->metrics.Count("geranium_path_probes_total", {{"kind", needs_answer ? "answer" : "connect"},
                                                     {"result", reached ? "reached" : "failed"}});
  --probe->pending;
  probe->reached = probe->reached || reached;
  if (probe->reached || probe->pending == 0) {
    probe->done.cancel();
  }
}

std::string DescribeFailures(const dispatch::UpstreamPath& path) {
  constexpr std::size_t kShown = 8;
  std::string text;
  for (std::size_t index = 0; index < path.failures.size() && index < kShown; ++index) {
    text.append(index == 0 ? "" : " ").append(path.failures[index].id);
  }
  return text;
}

std::string DescribeUpstreams(const std::vector<dispatch::UpstreamRow>& upstreams) {
  std::string text;
  for (const dispatch::UpstreamRow& row : upstreams) {
    text.append(text.empty() ? "" : " ").append(row->listing.id);
  }
  return text;
}

void WakeWaiting(EdgeState& edge) {
  for (RuntimeTimer* waiting : edge.waiting_for_path) {
    waiting->cancel();
  }
}

std::vector<dispatch::UpstreamRow> ChooseProbed(EdgeState& edge, std::size_t count) {
  return dispatch::ChooseProbedUpstreams(edge.upstreams, count, edge.random);
}

// Checks whether the suspected path is lost.
asio::awaitable<void> CheckPath(Edge edge) {
  TimePoint began = RuntimeClock::now();
  const auto upstreams = ChooseProbed(*edge, edge->path.settings.checked_upstreams);
  LogEvent(LogLevel::kInfo, "upstream_path_suspected",
           {{"failed", DescribeFailures(edge->path)},
            {"checked", DescribeUpstreams(upstreams)},
            {"needs_answer", edge->path.needs_answer}});
  bool needs_answer = edge->path.needs_answer;
  bool reached = co_await ReachesAny(edge, upstreams);
  if (reached && !needs_answer && edge->path.needs_answer) {
    // A request on a new connection got no answer during the check.
    needs_answer = true;
    began = RuntimeClock::now();
    reached = co_await ReachesAny(edge, upstreams);
  }
  const TimePoint now = RuntimeClock::now();
  if (reached) {
    RecordPathReached(*edge, began);
  } else if (now - began > MaxCheckTime(needs_answer) || upstreams.empty()) {
    dispatch::RecordPathUnchecked(edge->path, now);
  } else if (dispatch::RecordPathUnreached(edge->path, now)) {
    LogEvent(LogLevel::kWarn, "upstream_path_lost",
             {{"failed", DescribeFailures(edge->path)},
              {"checked", DescribeUpstreams(upstreams)},
              {"has_relay", dispatch::ChooseRelayPeer(edge->peers, edge->relays, edge->random,
                                                      now) != nullptr}});
    edge->metrics.Count("geranium_path_losses_total");
    edge->metrics.SetGauge("geranium_upstream_path_lost", 1);
    dispatch::ForgetPathFailures(edge->path, edge->upstreams);
    // Connections that are open may be dead.
    edge->connections.CloseIdle();
    SendDigests(*edge);
    CancelDirectAttempts(*edge);
  }
  WakeWaiting(*edge);
}

// Probes one upstream, and checks several if it isn't reached.
asio::awaitable<void> ProbeSilence(Edge edge) {
  const auto upstreams = ChooseProbed(*edge, 1);
  if (upstreams.empty()) {
    co_return;
  }
  const TimePoint began = RuntimeClock::now();
  if (co_await ReachesAny(edge, upstreams)) {
    RecordPathReached(*edge, began);
    co_return;
  }
  if (dispatch::SuspectPath(edge->path, RuntimeClock::now())) {
    co_await CheckPath(edge);
  }
}

asio::awaitable<void> ProbeRecovery(Edge edge) {
  const auto upstreams = ChooseProbed(*edge, 1);
  const TimePoint began = RuntimeClock::now();
  if (upstreams.empty() || co_await ReachesAny(edge, upstreams)) {
    RecordPathReached(*edge, began);
  }
}

// Returns since when the oldest request waits for bytes from an upstream.
TimePoint OldestWait(const EdgeState& edge) {
  TimePoint oldest = TimePoint::max();
  for (const RequestRun* run : edge.runs) {
    if (run->active != nullptr && run->relay.empty()) {
      oldest = std::min(oldest, std::max(run->sent_at, run->active_upstream->last_received_at));
    }
  }
  return oldest;
}

}  // namespace

dispatch::PathSign SignOf(const transport::TransportError& error,
                          const transport::HttpExchange& exchange) {
  const bool was_sent = error.phase == transport::ExchangePhase::kWritingRequest ||
                        error.phase == transport::ExchangePhase::kWaitingForResponse;
  return was_sent && exchange.ConnectTime() ? dispatch::PathSign::kUnanswered
                                            : dispatch::PathSign::kConnectionFailed;
}

void RecordPathFailure(const Edge& edge,
                       const dispatch::Upstream& upstream,
                       dispatch::PathSign sign) {
  if (dispatch::RecordPathFailure(edge->path, upstream.listing.id,
                                  dispatch::CountConfigured(edge->upstreams), RuntimeClock::now(),
                                  sign)) {
    asio::co_spawn(edge->io, CheckPath(edge), asio::detached);
  }
}

void RecordPathReached(EdgeState& edge, TimePoint connected_at) {
  const TimePoint now = RuntimeClock::now();
  const TimePoint since = edge.path.changed_at;
  if (!dispatch::RecordPathReached(edge.path, connected_at, now)) {
    return;
  }
  LogEvent(LogLevel::kInfo, "upstream_path_restored", {{"lost_ms", Milliseconds(now - since)}});
  edge.metrics.SetGauge("geranium_upstream_path_lost", 0);
  // Connections from before may have been dropped by the upstreams meanwhile.
  edge.connections.CloseIdle();
  edge.relays.avoided.clear();
  SendDigests(edge);
}

asio::awaitable<void> WaitForPathCheck(Edge edge) {
  if (edge->path.state != PathState::kSuspected) {
    co_return;
  }
  RuntimeTimer timer(edge->io);
  // A check may be repeated once with answers.
  timer.expires_after(MaxCheckTime(false) + MaxCheckTime(true));
  edge->waiting_for_path.insert(&timer);
  co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  edge->waiting_for_path.erase(&timer);
}

asio::awaitable<bool> ReachesAny(Edge edge, std::vector<dispatch::UpstreamRow> upstreams) {
  const auto probe = std::make_shared<Probe>(edge->io);
  probe->pending = upstreams.size();
  for (const dispatch::UpstreamRow& row : upstreams) {
    if (auto endpoint = transport::ParseEndpoint(row->listing.address); endpoint) {
      asio::co_spawn(edge->io,
                     ProbeOne(probe, edge, std::move(*endpoint), HealthPathOf(*edge, *row)),
                     asio::detached);
    } else {
      --probe->pending;
    }
  }
  if (probe->pending > 0 && !probe->reached) {
    probe->done.expires_at(TimePoint::max());
    co_await probe->done.async_wait(asio::as_tuple(asio::use_awaitable));
  }
  co_return probe->reached;
}

void TickPath(const Edge& edge) {
  const TimePoint now = RuntimeClock::now();
  std::erase_if(edge->relays.avoided, [now](const auto& entry) { return entry.second <= now; });
  if (dispatch::TakeRecoveryProbe(edge->path, now)) {
    asio::co_spawn(edge->io, ProbeRecovery(edge), asio::detached);
  } else if (dispatch::TakeSilenceProbe(edge->path, OldestWait(*edge), now)) {
    asio::co_spawn(edge->io, ProbeSilence(edge), asio::detached);
  }
}

}  // namespace geraniumspread::edge::detail
