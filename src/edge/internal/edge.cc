#include "edge/edge.h"

#include <time.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <utility>

#include "edge/internal/brittle_exchange.h"
#include "edge/internal/crash_watch.h"
#include "edge/internal/edge_state.h"
#include "edge/internal/limit_exchange.h"
#include "edge/internal/path_watch.h"
#include "edge/internal/peer_exchange.h"
#include "edge/internal/published_feed.h"
#include "edge/internal/request_run.h"
#include "edge/internal/status_page.h"
#include "edge/internal/stream_resumption.h"
#include "edge/internal/upstream_news_exchange.h"
#include "edge/internal/waiting_room.h"

namespace geraniumspread::edge {
namespace detail {
namespace {

namespace asio = boost::asio;
using observability::LogEvent;
using observability::LogLevel;

// A new process receives digests from the instances of its failure domain that read the
// store within this time, a few digest intervals. Before that it doesn't watch the store,
// and queries it only if no peer confirms the published state.
constexpr Duration kReaderDiscoveryTime = std::chrono::seconds(1);
// A longer gap between ticks means that the process was frozen.
constexpr Duration kFreezeThreshold = std::chrono::milliseconds(700);

// A relayed request has the caller's headers, those for the upstream and those for the peer.
constexpr std::uint32_t kMaxAddedHeaderBytes = 8 * 1024;

// CLOCK_BOOTTIME, unlike the steady clock, also runs while the machine is suspended.
std::chrono::nanoseconds BootTime() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec);
}

void DetectFreeze(EdgeState& edge) {
  const TimePoint now = RuntimeClock::now();
  const std::chrono::nanoseconds boot_time = BootTime();
  const Duration gap = std::max<Duration>(now - edge.last_tick, boot_time - edge.last_boot_time);
  edge.last_tick = now;
  edge.last_boot_time = boot_time;
  if (gap > kFreezeThreshold) {
    // Upstreams may have closed or reused the idle connections meanwhile.
    edge.connections.CloseIdle();
    dispatch::RecordStandstill(edge.freshness, now);
    dispatch::RecordPathStandstill(edge.path, now);
    LogEvent(LogLevel::kWarn, "woke_after_standstill", {{"gap_ms", Milliseconds(gap)}});
  }
}

// False for the only instance of its fleet.
bool HasOtherSeeds(const EdgeSettings& settings) {
  return std::ranges::any_of(settings.seed_addresses, [&settings](const std::string& address) {
    return address != settings.address;
  });
}

bool IsReaderDiscoveryDone(const EdgeState& edge) {
  return RuntimeClock::now() >= edge.started_at + kReaderDiscoveryTime;
}

void FinishStopIfDrained(EdgeState& edge) {
  const TimePoint now = RuntimeClock::now();
  const TimePoint deadline = StopDeadline(edge);
  if (now < edge.stop_at + kReadinessPropagationTime) {
    return;
  }
  // New connections still arrive while few instances are ready. A refused connection is
  // retried at another instance at once, and requests in flight have time to finish.
  edge.caller_server->BeginDrain();
  edge.caller_server->CloseIdle();
  const bool is_done =
      edge.caller_server->OpenConnections() == 0 && edge.peer_server->ActiveRequests() == 0;
  if ((is_done || now >= deadline) && edge.stopped) {
    LogEvent(LogLevel::kInfo, "stopped",
             {{"open_connections", edge.caller_server->OpenConnections()},
              {"active_requests", edge.caller_server->ActiveRequests()}});
    std::exchange(edge.stopped, nullptr)();
  }
}

void Tick(const Edge& edge);

void ScheduleTick(const Edge& edge) {
  edge->tick_timer.expires_after(edge->peers.settings.interval);
  edge->tick_timer.async_wait([edge](const boost::system::error_code& error) {
    if (!error) {
      Tick(edge);
    }
  });
}

void Tick(const Edge& edge) {
  DetectFreeze(*edge);
  TickPath(edge);
  for (const std::string& peer :
       dispatch::ExpirePeers(edge->peers, edge->upstreams, RuntimeClock::now())) {
    LogEvent(LogLevel::kInfo, "peer", {{"peer", peer}, {"change", "silent"}});
  }
  for (const std::string& domain :
       dispatch::UpdateDomainSilence(edge->peers, edge->upstreams, RuntimeClock::now())) {
    LogEvent(LogLevel::kWarn, "failure_domain_silent", {{"failure_domain", domain}});
    CancelAttemptsInDomain(*edge, domain);
  }
  dispatch::RecordUnconfirmedTime(edge->store_outage,
                                  dispatch::UnconfirmedTime(edge->freshness, RuntimeClock::now()),
                                  RuntimeClock::now());
  EndRetentions(*edge);
  ExpireHeldRemovals(*edge);
  UpdateListingsFollowed(*edge);
  dispatch::ExpireOrigins(edge->origins, RuntimeClock::now());
  SendDigests(*edge);
  TickCrashEvidence(*edge);
  SendLimitNews(*edge);
  SendBrittleNews(edge);
  SendUpstreamNews(*edge);
  PullIfBehind(edge);
  PullRetained(edge);
  PumpWaitingRooms(*edge);
  if (edge->stopping) {
    FinishStopIfDrained(*edge);
  }
  ScheduleTick(edge);
}

asio::awaitable<void> ServeReadiness(Edge edge,
                                     transport::HttpRequest request,
                                     transport::HttpResponder& responder) {
  const bool known = request.target == edge->codec.readiness_path;
  transport::HttpResponse response(!known ? 404 : IsReady(*edge) ? 200 : 503);
  co_await responder.Send(std::move(response));
}

// Serves metrics and the operators' status and explain pages.
asio::awaitable<void> ServeMetrics(Edge edge,
                                   transport::HttpRequest request,
                                   transport::HttpResponder& responder) {
  static constexpr std::string_view kExplain = "/explain?service=";
  transport::HttpResponse response(200, {{"Content-Type", "application/json"}});
  if (request.target == "/status") {
    response.body = StatusPage(*edge);
  } else if (request.target.starts_with(kExplain)) {
    response.body = ExplainPage(*edge, std::string_view(request.target).substr(kExplain.size()));
  } else {
    response = transport::HttpResponse(200, {{"Content-Type", "text/plain; version=0.0.4"}},
                                       edge->metrics.Render());
  }
  co_await responder.Send(std::move(response));
}

template <typename Serve>
ResultOf<void, EdgeError> Listen(const Edge& edge,
                                 std::unique_ptr<transport::HttpServer>& server,
                                 const transport::Endpoint& endpoint,
                                 Serve serve,
                                 const transport::ServerLimits& limits = {}) {
  server = std::make_unique<transport::HttpServer>(
      edge->io.get_executor(), limits,
      [edge, serve](transport::HttpRequest request, transport::HttpResponder& responder) {
        return serve(edge, std::move(request), responder);
      });
  if (const auto port = server->Listen(endpoint); !port) {
    return EdgeError{port.error().message,
                     port.error().code == transport::TransportErrorCode::kAddressInUse};
  }
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

ResultOf<void, EdgeError> OpenDigestSocket(EdgeState& edge) {
  boost::system::error_code error;
  const auto ip = asio::ip::make_address(edge.settings.address, error);
  if (!error) {
    edge.digest_socket.open(asio::ip::udp::v4(), error);
  }
  if (!error) {
    edge.digest_socket.bind({ip, edge.settings.digest_port}, error);
  }
  if (!error) {
    edge.digest_socket.non_blocking(true, error);
  }
  if (error) {
    return EdgeError{"the digest port can't be opened: " + error.message(),
                     error == asio::error::address_in_use};
  }
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

// Opens the callers' port after those for peers and operators, so that no caller is accepted
// before the others are known to be free.
ResultOf<void, EdgeError> OpenPorts(const Edge& edge) {
  const EdgeSettings& settings = edge->settings;
  if (auto result = OpenDigestSocket(*edge); !result) {
    return result;
  }
  transport::ServerLimits peer_limits;
  peer_limits.max_header_bytes += kMaxAddedHeaderBytes;
  if (auto result =
          Listen(edge, edge->peer_server, settings.peer_endpoint, ServePeerState, peer_limits);
      !result) {
    return result;
  }
  if (auto result = Listen(edge, edge->metrics_server, settings.metrics_endpoint, ServeMetrics);
      !result) {
    return result;
  }
  if (auto result =
          Listen(edge, edge->readiness_server, settings.readiness_endpoint, ServeReadiness);
      !result) {
    return result;
  }
  return Listen(edge, edge->caller_server, settings.caller_endpoint, HandleCaller);
}

void ClosePorts(EdgeState& edge) {
  boost::system::error_code ignored;
  edge.digest_socket.close(ignored);
  edge.peer_server.reset();
  edge.metrics_server.reset();
  edge.readiness_server.reset();
  edge.caller_server.reset();
}

}  // namespace
}  // namespace detail

Edge::Edge(boost::asio::io_context& io, EdgeSettings settings, PlatformCodec codec)
    : state(std::make_shared<detail::EdgeState>(io, std::move(settings), codec)) {
  std::random_device seed;
  this->state->random.seed((std::uint64_t{seed()} << 32U) | seed());
  this->state->incarnation = this->state->random();
  this->state->peers.self_address = this->state->settings.address;
  this->state->peers.self_domain = this->state->settings.failure_domain;
  this->state->retries.settings = this->state->settings.retries;
  this->state->freshness.settings = this->state->settings.freshness;
  this->state->started_at = RuntimeClock::now();
  this->state->peers.started_at = this->state->started_at;
  if (!detail::HasOtherSeeds(this->state->settings)) {
    this->state->peers.settings.max_discovery_time = Duration{0};
  }
  this->state->freshness.running_since = this->state->started_at;
  this->state->listings_followed_since = this->state->started_at;
  this->state->path.last_bytes_at = this->state->started_at;
  this->state->relays.regions = this->state->settings.regions;
  this->state->store_outage.min_duration = this->state->settings.min_store_outage;
  dispatch::RestoreRules& restore_rules = this->state->published.restore_rules;
  restore_rules.stated_version = this->state->codec.stated_version;
  restore_rules.is_renewed = this->state->codec.is_renewed;
  restore_rules.renewal_time = this->state->settings.renewal_time;
  this->state->last_tick = this->state->started_at;
  this->state->last_boot_time = detail::BootTime();
}

Edge::~Edge() = default;

ResultOf<void, EdgeError> Edge::Start() {
  if (auto result = detail::OpenPorts(this->state); !result) {
    detail::ClosePorts(*this->state);
    return result;
  }
  this->state->caller_server->OnUnreadable(
      [edge = std::weak_ptr(this->state)](const transport::UnreadableRequest& request) {
        if (const auto current = edge.lock(); current) {
          detail::RecordUnreadableRequest(*current, request);
        }
      });
  boost::asio::co_spawn(this->state->io, detail::ReceiveDigests(this->state),
                        boost::asio::detached);
  detail::SendDigests(*this->state);
  detail::ScheduleTick(this->state);
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void Edge::Reload(const EdgeSettings& settings) {
  EdgeSettings& current = this->state->settings;
  current.seed_addresses = settings.seed_addresses;
  this->state->relays.regions = settings.regions;
  current.selection = settings.selection;
  current.retries = settings.retries;
  current.stop_grace = settings.stop_grace;
  this->state->retries.settings = settings.retries;
  this->state->freshness.settings = settings.freshness;
  this->state->store_outage.min_duration = settings.min_store_outage;
  this->state->published.restore_rules.renewal_time = settings.renewal_time;
}

void Edge::Stop(std::function<void()> stopped) {
  if (this->state->stopping) {
    return;
  }
  this->state->stopping = true;
  this->state->stop_at = RuntimeClock::now();
  this->state->stopped = std::move(stopped);
  this->state->caller_server->StopKeepAlive();
  detail::CloseWaitingRooms(*this->state);
  detail::SendDigests(*this->state);
}

void Edge::OnPublishedChanges(std::vector<dispatch::PublishedItem> changes,
                              dispatch::StorePosition position) {
  const dispatch::StorePosition before = this->state->published.position;
  detail::ApplyPublished(
      *this->state, dispatch::ApplyChanges(this->state->published, std::move(changes), position));
  if (this->state->published.position > before) {
    detail::SendDigests(*this->state);
  }
}

void Edge::OnPublishedState(std::vector<dispatch::PublishedItem> items,
                            dispatch::StorePosition position) {
  const std::uint64_t era = this->state->published.position.era;
  detail::ReplacePublished(*this->state, std::move(items), position);
  if (this->state->published.position.era > era) {
    detail::SendDigests(*this->state);
  }
}

void Edge::OnFeedConfirmed(TimePoint confirmed_at) {
  dispatch::RecordConfirmation(this->state->freshness, confirmed_at);
}

dispatch::StorePosition Edge::PublishedPosition() const {
  return this->state->published.position;
}

const dispatch::FreshnessSettings& Edge::FreshnessBounds() const {
  return this->state->freshness.settings;
}

dispatch::StoreReadMode Edge::UpdateStoreReadMode() {
  detail::EdgeState& edge = *this->state;
  const TimePoint now = RuntimeClock::now();
  const bool reads =
      detail::IsReaderDiscoveryDone(edge) && dispatch::ShouldReadStore(edge.peers, now);
  const std::size_t place = dispatch::StoreReaderRank(edge.peers, now);
  const bool asks = dispatch::ShouldQueryStore(edge.freshness, place, now);
  if (reads != edge.reads_store) {
    observability::LogEvent(observability::LogLevel::kInfo, "store_reading",
                            {{"reads", reads}, {"revision", edge.published.position.revision}});
    edge.reads_store = reads;
  }
  if (!asks) {
    edge.queries_store = false;
    return reads ? dispatch::StoreReadMode::kWatch : dispatch::StoreReadMode::kNone;
  }
  const auto age = dispatch::ConfirmationAge(edge.freshness, now);
  edge.metrics.Count("geranium_store_questions_total");
  if (!edge.queries_store) {
    observability::LogEvent(observability::LogLevel::kInfo, "store_asked",
                            {{"confirmation_age_ms", age ? detail::Milliseconds(*age) : -1},
                             {"place", place},
                             {"revision", edge.published.position.revision}});
  }
  edge.queries_store = true;
  return dispatch::StoreReadMode::kQuery;
}

void Edge::RecordFeedCall(Duration elapsed, bool answered) {
  this->state->metrics.ObserveTime("geranium_feed_call_seconds", elapsed,
                                   {{"result", answered ? "answered" : "failed"}});
}

void Edge::OnFeedReachable(bool reachable) {
  if (this->state->feed_reachable && !reachable) {
    observability::LogEvent(observability::LogLevel::kWarn, "store_lost",
                            {{"revision", this->state->published.position.revision}});
  } else if (!this->state->feed_reachable && reachable) {
    observability::LogEvent(observability::LogLevel::kInfo, "store_reached",
                            {{"revision", this->state->published.position.revision}});
  }
  this->state->feed_reachable = reachable;
}

}  // namespace geraniumspread::edge
