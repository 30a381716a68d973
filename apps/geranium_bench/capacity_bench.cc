#include <malloc.h>

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <chrono>
#include <cstdio>
#include <functional>
#include <random>
#include <stdexcept>
#include <utility>

#include "admission/workspace_limits.h"
#include "benches.h"
#include "common/hash.h"
#include "config/compile.h"
#include "fleet/gossip.h"
#include "outcomes/tickets.h"
#include "router/router_state.h"

namespace geraniumspread::bench {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::chrono::sys_days kWallTime{std::chrono::year{2026} / 12 / 4};
constexpr int kDomains = 8;
constexpr int kPools = 14;
constexpr Duration kTick = milliseconds(25);  // as in the router
constexpr TimePoint kStart{seconds(1'000)};
constexpr double kBytesPerKib = 1024.0;
// Simulated time over which ticks are timed, after a warm-up of the same length.
constexpr Duration kSpan = seconds(2);

struct Point {
  double size = 0;
  double value = 0;
};

std::string FitText(const std::vector<Point>& points) {
  double sum_x = 0;
  double sum_y = 0;
  for (const Point& point : points) {
    sum_x += point.size;
    sum_y += point.value;
  }
  const auto count = static_cast<double>(points.size());
  double covariance = 0;
  double variance_x = 0;
  double variance_y = 0;
  for (const auto& [size, value] : points) {
    covariance += (size - sum_x / count) * (value - sum_y / count);
    variance_x += (size - sum_x / count) * (size - sum_x / count);
    variance_y += (value - sum_y / count) * (value - sum_y / count);
  }
  const double slope = covariance / variance_x;
  const double offset = (sum_y - slope * sum_x) / count;
  const double fit = variance_y == 0 ? 1 : covariance * covariance / (variance_x * variance_y);
  return Fixed(slope, 5) + " * n + " + Fixed(offset, 1) + " (R2 " + Fixed(fit, 3) + ")";
}

// Adds the rows of one sweep and, below them, the linear fit of each column.
void AddSweep(Table& table, const std::string& name, const std::vector<std::vector<double>>& rows) {
  for (const std::vector<double>& row : rows) {
    std::vector<std::string> cells{name, Whole(row.front())};
    cells.reserve(row.size() + 1);
    for (std::size_t column = 1; column < row.size(); ++column) {
      cells.push_back(Fixed(row[column], 2));
    }
    table.rows.push_back(std::move(cells));
  }
  std::vector<std::string> fits{name, "fit"};
  for (std::size_t column = 1; column < rows.front().size(); ++column) {
    std::vector<Point> points;
    points.reserve(rows.size());
    for (const std::vector<double>& row : rows) {
      points.push_back({row.front(), row[column]});
    }
    fits.push_back(FitText(points));
  }
  table.rows.push_back(std::move(fits));
}

double HeapKib() {
  const auto info = mallinfo2();
  return static_cast<double>(info.uordblks + info.hblkhd) / kBytesPerKib;
}

template <typename Call>
double MicrosecondsOf(Call call) {
  const auto begin = std::chrono::steady_clock::now();
  call();
  const auto end = std::chrono::steady_clock::now();
  return std::chrono::duration<double, std::micro>(end - begin).count();
}

double Median(std::vector<double> values) {
  std::sort(values.begin(), values.end());
  return values[values.size() / 2];
}

std::string DomainName(int domain) {
  return "domain-" + std::to_string(domain);
}
std::string PoolName(int pool) {
  return "pool-" + std::to_string(pool);
}
std::string RouterName(int router) {
  return "router-" + std::to_string(router);
}

boost::json::object ListEntry(const std::string& id, int domain) {
  return {{"id", id},           {"kind", "router"},
          {"pool", ""},         {"failure_domain", DomainName(domain)},
          {"state", "live"},    {"address", "127.0.0.1"},
          {"port", 10'000},     {"peer_port", 10'001},
          {"incarnation", 100}, {"control_port", 10'002}};
}

std::string ListBody(int routers, int upstreams) {
  boost::json::array instances;
  for (int router = 0; router < routers; ++router) {
    instances.push_back(ListEntry(RouterName(router), router % kDomains));
  }
  for (int upstream = 0; upstream < upstreams; ++upstream) {
    boost::json::object entry =
        ListEntry("runner-" + std::to_string(upstream), upstream / kPools % kDomains);
    entry["kind"] = "model_engine";
    entry["pool"] = PoolName(upstream % kPools);
    instances.push_back(std::move(entry));
  }
  return boost::json::serialize(
      boost::json::object{{"revision", 1}, {"instances", std::move(instances)}});
}

config::Configuration MakeConfiguration(int workspaces) {
  config::Configuration configuration;
  configuration.version = 1;
  configuration.settings.lease_term = seconds(10);
  for (int domain = 0; domain < kDomains; ++domain) {
    configuration.failure_domains.push_back({DomainName(domain), "region", true});
  }
  for (int pool = 0; pool < kPools; ++pool) {
    configuration.pools.push_back(
        {PoolName(pool), "model-" + std::to_string(pool), "", "1", "generate", 1.25, 2, 64});
  }
  std::ranges::sort(configuration.pools, {}, &config::ModelPool::name);
  for (int workspace = 0; workspace < workspaces; ++workspace) {
    configuration.workspaces.push_back(
        {"workspace-of-foundry-" + std::to_string(100'000 + workspace),
         2,
         24,
         7.5,
         false,
         {"model-0"},
         PriorityClass::kDraft});
  }
  return configuration;
}

config::CompiledConfiguration CompileFor(int workspaces) {
  auto compiled = config::Compile(MakeConfiguration(workspaces));
  if (!compiled) {
    throw std::runtime_error(compiled.error().message);
  }
  return std::move(compiled.value());
}

void Offer(config::ConfigStore& store, const config::CompiledConfiguration& compiled) {
  config::OfferManifest(store, compiled.manifest_bytes, kStart);
  for (const config::CompiledShard& shard : compiled.shards) {
    config::OfferShard(store, shard.bytes, kStart);
  }
  if (store.in_force.version != 1) {
    throw std::runtime_error("the configuration of the benchmark is not in force");
  }
}

fleet::ReceivedMessage HeartbeatOf(int router, const fleet::ConfigVersion& version) {
  fleet::Heartbeat heartbeat;
  heartbeat.incarnation = 100;
  heartbeat.failure_domain = DomainName(router % kDomains);
  heartbeat.state = fleet::RouterState::kServing;
  heartbeat.config = version;
  for (int pool = 0; pool < kPools; ++pool) {
    heartbeat.pool_loads.push_back({PoolName(pool), 20});
  }
  return {.sender = RouterName(router), .incarnation = 100, .message = std::move(heartbeat)};
}

// Router 0 of a fleet. Its peers answer no lease requests, so that it holds no leases; the
// ownership module is measured by itself.
std::unique_ptr<router::RouterState> MakeRouter(int routers,
                                                int upstreams,
                                                const config::CompiledConfiguration& compiled,
                                                std::uint64_t seed) {
  auto state = router::MakeRouterState({.id = RouterName(0),
                                        .failure_domain = DomainName(0),
                                        .incarnation = 100,
                                        .shared_key = std::string(32, 'k')},
                                       {.seed = seed}, kStart);
  Offer(state->store, compiled);
  if (!router::HandleInstanceList(*state, ListBody(routers, upstreams), kStart)) {
    throw std::runtime_error("the instance list of the benchmark was refused");
  }
  return state;
}

// Cost of one router in its steady state.
struct RouterCost {
  double kib = 0;
  double tick_us = 0;         // median of ticks after which nothing had changed
  double heartbeat_us = 0;    // median of handling one heartbeat
  double synced_tick_us = 0;  // median of ticks after a heartbeat
  double core_percent = 0;    // all ticks and heartbeats over the simulated span
};

// Peers in the own domain are heard every second where there are at most 9 of them, otherwise at
// the rate of the bounded fan-out, which is 9 a second; 3 more messages come from other members.
int HeartbeatsPerSecond(int routers) {
  return std::min(routers / kDomains, 9) + 3;
}

RouterCost MeasureRouter(int routers, int upstreams, int workspaces, std::uint64_t seed) {
  const config::CompiledConfiguration compiled = CompileFor(workspaces);
  const double before = HeapKib();
  const auto state = MakeRouter(routers, upstreams, compiled, seed);
  const fleet::ConfigVersion version{1, compiled.manifest_digest};
  std::mt19937_64 random(seed);
  std::vector<double> quiet;
  std::vector<double> synced;
  std::vector<double> heartbeats;
  double total = 0;
  const Duration heartbeat_gap = Duration(seconds(1)) / HeartbeatsPerSecond(routers);
  TimePoint next_heartbeat = kStart;
  for (TimePoint now = kStart; now < kStart + 2 * kSpan; now += kTick) {
    const bool is_measured = now >= kStart + kSpan;
    bool heard = false;
    for (; next_heartbeat <= now; next_heartbeat += heartbeat_gap) {
      const int peer = 1 + static_cast<int>(random() % static_cast<unsigned>(routers - 1));
      const auto message = HeartbeatOf(peer, version);
      const double spent = MicrosecondsOf([&] { router::HandleMessage(*state, message, now); });
      heartbeats.push_back(spent);
      total += is_measured ? spent : 0;
      heard = true;
    }
    const double spent = MicrosecondsOf([&] { router::TickRouter(*state, now, kWallTime); });
    if (is_measured) {
      (heard ? synced : quiet).push_back(spent);
      total += spent;
    }
  }
  const double span_us = std::chrono::duration<double, std::micro>(kSpan).count();
  return {.kib = HeapKib() - before,
          .tick_us = Median(quiet),
          .heartbeat_us = Median(heartbeats),
          .synced_tick_us = Median(synced),
          .core_percent = 100 * total / span_us};
}

std::vector<double> RouterRow(double size, const RouterCost& cost) {
  return {size, cost.kib, cost.tick_us, cost.synced_tick_us, cost.heartbeat_us, cost.core_percent};
}

// --- Single tables ---

std::vector<admission::WorkspaceLimit> RandomLimits(int workspaces, std::uint64_t seed) {
  std::mt19937_64 random(seed);
  std::vector<admission::WorkspaceLimit> limits(static_cast<std::size_t>(workspaces));
  for (admission::WorkspaceLimit& limit : limits) {
    limit = {.workspace = random(),
             .max_concurrent = 100'000,
             .requests_per_second = 1e6F,
             .burst = 1e6F};
  }
  return limits;
}

std::vector<double> WorkspaceRow(int workspaces, std::uint64_t seed) {
  const auto limits = RandomLimits(workspaces, seed);
  std::vector<admission::RouterKey> live(410);
  for (std::size_t router = 0; router < live.size(); ++router) {
    live[router] = router + 1;
  }
  auto table = admission::MakeWorkspaceLimitTable({}, kStart - seconds(100));
  const double set_us =
      MicrosecondsOf([&] { admission::SetWorkspaceLimits(table, limits, kStart); });
  admission::SetLiveRouters(table, 1, live, kStart - seconds(100));
  std::mt19937_64 random(seed + 1);
  constexpr int kCalls = 100'000;
  const double admit_us = MicrosecondsOf([&] {
    for (int call = 0; call < kCalls; ++call) {
      const auto key = limits[random() % limits.size()].workspace;
      if (!admission::Admit(table, key, static_cast<admission::RequestHandle>(call), kStart)) {
        admission::Release(table, key, milliseconds(1));
      }
    }
  });
  return {static_cast<double>(workspaces),
          static_cast<double>(admission::MemoryOf(table)) / kBytesPerKib, set_us,
          1000 * admit_us / kCalls};
}

std::vector<double> StoreRow(int workspaces) {
  const config::CompiledConfiguration compiled = CompileFor(workspaces);
  std::size_t bytes = compiled.manifest_bytes.size();
  for (const config::CompiledShard& shard : compiled.shards) {
    bytes += shard.bytes.size();
  }
  const double before = HeapKib();
  auto store = config::MakeConfigStore({}, kStart);
  const double load_us = MicrosecondsOf([&] { Offer(store, compiled); });
  return {static_cast<double>(workspaces), HeapKib() - before, load_us,
          static_cast<double>(bytes) / kBytesPerKib};
}

std::vector<double> TicketRow(int tickets, std::uint64_t seed) {
  constexpr std::size_t kAnswerBytes = 512;
  std::mt19937_64 random(seed);
  const double before = HeapKib();
  auto table = outcomes::MakeTicketTable({}, {RouterName(0), 1}, std::string(32, 'k'), kStart);
  const double calls_us = MicrosecondsOf([&] {
    for (int index = 0; index < tickets; ++index) {
      std::array<char, outcomes::kTicketRandomLength + 1> digits{};
      std::snprintf(digits.data(), digits.size(), "%016llx%016llx",
                    static_cast<unsigned long long>(random()),
                    static_cast<unsigned long long>(random()));
      const auto text = outcomes::IssueTicket(table, digits.data(), kStart);
      const auto ticket = outcomes::ParseTicket(text.value(), table.shared_key);
      const auto digest = outcomes::CallDigest("workspace", "/v1/services/orders/new", "body");
      if (!outcomes::BeginTicket(table, ticket.value(), digest, kStart) ||
          !outcomes::MarkTicketDispatched(table, ticket.value(), kStart)) {
        throw std::runtime_error("the ticket table refused a call");
      }
      outcomes::FinishTicket(table, ticket.value(),
                             {200, "application/json", std::string(kAnswerBytes, 'x')});
    }
  });
  const double kib = HeapKib() - before;
  const double expire_us = MicrosecondsOf(
      [&] { outcomes::RemoveExpiredTickets(table, kStart + table.policy.lifetime + seconds(1)); });
  return {static_cast<double>(tickets), kib, calls_us / tickets, expire_us};
}

fleet::ConfigExchange EmptyExchange() {
  fleet::ConfigExchange exchange;
  exchange.in_force = [] { return fleet::ConfigVersion{1, std::string(64, 'a')}; };
  exchange.pending = [] { return fleet::ConfigVersion{}; };
  exchange.missing_digests = [] { return std::vector<std::string>(); };
  exchange.bytes = [](std::string_view) { return std::string_view(); };
  exchange.offer_manifest = [](std::string_view) { return fleet::OfferOutcome::kIgnored; };
  exchange.offer_shard = [](std::string_view, std::string_view) {
    return fleet::OfferOutcome::kIgnored;
  };
  return exchange;
}

std::vector<double> FleetRow(int routers, std::uint64_t seed) {
  const fleet::ConfigExchange exchange = EmptyExchange();
  const auto list = fleet::ParseInstanceList(ListBody(routers, 0));
  const double before = HeapKib();
  auto membership =
      fleet::MakeMembership({}, RouterName(0), DomainName(0), 100, fleet::Endpoint{}, kStart);
  if (!list || !fleet::ApplyInstanceList(membership, list.value(), kStart)) {
    throw std::runtime_error("the instance list of the benchmark was refused");
  }
  auto gossip = fleet::MakeGossip({}, {}, seed, kStart);
  std::vector<double> heard;
  for (int router = 1; router < routers; ++router) {
    const auto message = HeartbeatOf(router, {1, std::string(64, 'a')});
    heard.push_back(MicrosecondsOf([&] {
      (void)fleet::ApplyHeartbeat(membership, message.sender,
                                  std::get<fleet::Heartbeat>(message.message), kStart);
      fleet::HandlePeerMessage(gossip, membership, exchange, message.sender, message.message,
                               kStart);
    }));
  }
  std::vector<double> ticks;
  for (TimePoint now = kStart; now < kStart + kSpan; now += kTick) {
    ticks.push_back(MicrosecondsOf([&] {
      fleet::ExpireMembers(membership, now);
      fleet::TickGossip(gossip, membership, exchange, now);
    }));
  }
  return {static_cast<double>(routers), HeapKib() - before, Median(ticks), Median(heard)};
}

}  // namespace

Table MeasureRouterState(std::uint64_t seed) {
  Table table;
  table.title = "State and tick of one router, without leases and requests";
  table.columns = {
      "sweep",        "n",          "heap KiB", "quiet tick us", "tick after a heartbeat us",
      "heartbeat us", "% of a core"};
  std::vector<std::vector<double>> rows;
  for (const int upstreams : {290, 725, 1450, 2900}) {
    rows.push_back(RouterRow(upstreams, MeasureRouter(410, upstreams, 100, seed)));
  }
  AddSweep(table, "upstreams (410 routers, 100 workspaces)", rows);
  rows.clear();
  for (const int routers : {52, 104, 205, 410}) {
    rows.push_back(RouterRow(routers, MeasureRouter(routers, 2900, 100, seed)));
  }
  AddSweep(table, "routers (2900 upstreams, 100 workspaces)", rows);
  rows.clear();
  for (const int workspaces : {2875, 5750, 11'500, 23'000}) {
    rows.push_back(RouterRow(workspaces, MeasureRouter(410, 2900, workspaces, seed)));
  }
  AddSweep(table, "workspaces (410 routers, 2900 upstreams)", rows);
  return table;
}

Table MeasureTables(std::uint64_t seed) {
  Table table;
  table.title = "Single tables of a router";
  table.columns = {"sweep and columns", "n", "first", "second", "third"};
  std::vector<std::vector<double>> limits;
  std::vector<std::vector<double>> stores;
  for (const int workspaces : {2875, 5750, 11'500, 23'000}) {
    limits.push_back(WorkspaceRow(workspaces, seed));
    stores.push_back(StoreRow(workspaces));
  }
  AddSweep(table, "limits by workspaces: KiB; us to set all; ns to admit and release", limits);
  AddSweep(table, "configuration store by workspaces: heap KiB; us to load; KiB of bytes", stores);
  std::vector<std::vector<double>> tickets;
  for (const int count : {1000, 2000, 4000, 8000, 16'000}) {
    tickets.push_back(TicketRow(count, seed));
  }
  AddSweep(table, "tickets with answers of 512 bytes: heap KiB; us a call; us to drop all",
           tickets);
  std::vector<std::vector<double>> fleets;
  for (const int routers : {52, 104, 205, 410, 820}) {
    fleets.push_back(FleetRow(routers, seed));
  }
  AddSweep(table, "membership and gossip by routers: heap KiB; us a tick; us a heartbeat", fleets);
  return table;
}

}  // namespace geraniumspread::bench
