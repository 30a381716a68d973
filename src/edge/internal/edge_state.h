#ifndef EDGE_INTERNAL_EDGE_STATE_H_
#define EDGE_INTERNAL_EDGE_STATE_H_

#include <array>
#include <bitset>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <charconv>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "admission/waiting_room.h"
#include "common/hash.h"
#include "common/runtime_timer.h"
#include "dispatch/crash_quarantine.h"
#include "dispatch/freshness.h"
#include "dispatch/peer_table.h"
#include "dispatch/published_state.h"
#include "dispatch/selection.h"
#include "dispatch/send_limits.h"
#include "dispatch/store_outage.h"
#include "dispatch/stream_origins.h"
#include "dispatch/upstream_path.h"
#include "dispatch/upstream_table.h"
#include "edge/edge_types.h"
#include "observability/log.h"
#include "observability/metrics.h"
#include "transport/http_client.h"
#include "transport/http_server.h"

namespace geraniumspread::edge::detail {

struct RequestRun;

// Requests that lost their connection to an upstream while it is checked whether it crashed.
struct LostConnections {
  TimePoint at;
  std::vector<dispatch::RequestTraits> requests;
};

// A request that waits for a place at an upstream.
struct WaitingRequest {
  explicit WaitingRequest(boost::asio::io_context& io) : timer(io) {}

  // Cancelled when the wait ends early.
  RuntimeTimer timer;
  bool is_released = false;
  // As in admission::ReleasedRequest.
  std::uint64_t upstream = 0;
  std::optional<admission::Refusal> refusal;
};

// The waiting requests of one service.
struct ServiceRoom {
  admission::WaitingRoom room;
  std::unordered_map<admission::RequestHandle, WaitingRequest*> waiting;
};

struct EdgeState {
  EdgeState(boost::asio::io_context& context, EdgeSettings edge_settings, PlatformCodec platform)
      : io(context),
        settings(std::move(edge_settings)),
        codec(platform),
        connections(context.get_executor()),
        digest_socket(context),
        tick_timer(context),
        stop_timer(context),
        group_timer(context) {}

  boost::asio::io_context& io;
  EdgeSettings settings;
  PlatformCodec codec;

  dispatch::PublishedState published;
  std::optional<dispatch::RoutingConfig> config;
  // Era of the store when `config` took effect.
  std::uint64_t config_era = 0;
  dispatch::UpstreamTable upstreams;
  dispatch::PeerTable peers;
  dispatch::RetryBudgetShare retries;
  dispatch::CrashQuarantine crashes;
  dispatch::StreamOrigins origins;
  // Since when this instance has seen every listing of an upstream.
  TimePoint listings_followed_since;
  std::unordered_map<dispatch::UpstreamRow, LostConnections> lost_connections;
  TimePoint quarantines_repeated_at;
  // Requests in flight.
  std::unordered_set<RequestRun*> runs;
  dispatch::UpstreamPath path;
  // Timers of requests that wait for the end of a check of the path.
  std::unordered_set<RuntimeTimer*> waiting_for_path;
  // By service.
  std::unordered_map<std::string, ServiceRoom> waiting_rooms;
  admission::RequestHandle wait_sequence = 0;
  dispatch::RelayRules relays;
  dispatch::StoreOutage store_outage;
  bool feed_reachable = false;
  bool reads_store = false;
  dispatch::Freshness freshness;
  // The last confirmation of the published state is too old, so this instance queries the
  // store itself.
  bool queries_store = false;
  // Since when some peer has newer published state than this instance.
  std::optional<TimePoint> behind_since;
  bool pulling = false;
  // True while `group_timer` runs.
  bool tells_groups = false;
  // Fingerprints of the retained items that were copied from peers in this era.
  std::bitset<256> merged_retained;

  std::uint64_t incarnation = 0;
  std::uint64_t digest_sequence = 0;
  std::mt19937_64 random;
  TimePoint started_at;
  TimePoint last_tick;
  std::chrono::nanoseconds last_boot_time{0};

  transport::HttpConnectionPool connections;
  std::unique_ptr<transport::HttpServer> caller_server;
  std::unique_ptr<transport::HttpServer> readiness_server;
  std::unique_ptr<transport::HttpServer> peer_server;
  std::unique_ptr<transport::HttpServer> metrics_server;
  boost::asio::ip::udp::socket digest_socket;
  RuntimeTimer tick_timer;
  RuntimeTimer stop_timer;
  // Runs while an upstream is brittle.
  RuntimeTimer group_timer;
  observability::Metrics metrics;

  bool stopping = false;
  TimePoint stop_at;
  std::function<void()> stopped;
};

using Edge = std::shared_ptr<EdgeState>;

// Whole milliseconds, for log lines and status pages.
inline std::int64_t Milliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

// For ids in log lines.
inline std::string Hexadecimal(std::uint64_t number) {
  constexpr int kBase = 16;
  std::array<char, kBase> digits{};
  const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), number, kBase);
  return {digits.data(), end.ptr};
}

// Returns the input for selecting an upstream now for a request without a prompt.
// `rules` and `peer_hashes` must outlive the result.
inline dispatch::SelectionRequest MakeSelectionRequest(const EdgeState& edge,
                                                       const dispatch::ServiceRules& rules,
                                                       std::span<const std::uint64_t> peer_hashes) {
  dispatch::SelectionRequest selection_request;
  selection_request.service = rules.name;
  selection_request.is_engine = rules.is_engine;
  selection_request.cold_requests_per_second = rules.cold_requests_per_second;
  selection_request.tightest_goal = rules.tightest_goal;
  selection_request.own_domain = edge.settings.failure_domain;
  selection_request.own_hash = StableHash(edge.settings.address);
  selection_request.peer_hashes = peer_hashes;
  selection_request.instances =
      dispatch::AssumedInstances({.known = dispatch::KnownInstances(edge.peers)});
  selection_request.now = RuntimeClock::now();
  selection_request.knows_fleet = dispatch::KnowsFleet(edge.peers, selection_request.now);
  if (const auto room = edge.waiting_rooms.find(rules.name); room != edge.waiting_rooms.end()) {
    selection_request.places_per_slot = admission::PlacesPerSlot(
        room->second.room, rules.tightest_goal, selection_request.places_per_slot);
  }
  return selection_request;
}

// After SIGTERM the platform stops sending new connections once two readiness probes, a
// second apart, have failed.
constexpr Duration kReadinessPropagationTime = std::chrono::milliseconds(2600);
// The stop completes this long before the grace period ends.
constexpr Duration kStopMargin = std::chrono::milliseconds(400);

// Time at which a stopping process ends at the latest.
inline TimePoint StopDeadline(const EdgeState& edge) {
  return edge.stop_at + edge.settings.stop_grace - kStopMargin;
}

inline bool IsReady(const EdgeState& edge) {
  return edge.config.has_value() && !edge.stopping;
}

}  // namespace geraniumspread::edge::detail

#endif  // EDGE_INTERNAL_EDGE_STATE_H_
