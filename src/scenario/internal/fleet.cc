#include "scenario/fleet.h"

#include <algorithm>

#include "common/hash.h"
#include "scenario/internal/fleet_internal.h"

namespace geraniumspread::scenario {
namespace detail {
namespace {

constexpr Duration kTickPeriod = std::chrono::milliseconds(25);
constexpr Duration kListPeriod = std::chrono::seconds(1);
constexpr std::uint64_t kFirstIncarnation = 1000;
constexpr std::int64_t kMostRouters = 8;

void SendMessage(Fleet& fleet, std::size_t from, const fleet::OutgoingMessage& message) {
  const RouterNode& sender = fleet.routers[from];
  const LinkFault link = LinkOf(fleet, sender, message.to);
  const bool dropped =
      std::uniform_real_distribution<double>(0, 1)(fleet.random) < link.drop || link.cut;
  if (dropped) {
    return;
  }
  const fleet::ReceivedMessage received{.sender = sender.identity.id,
                                        .incarnation = sender.identity.incarnation,
                                        .sequence = ++fleet.last_order,
                                        .message = message.message};
  const std::size_t to = FindRouter(fleet, message.to);
  PostToRouter(fleet, to, kHop + link.delay, [&fleet, to, received](RouterNode& node) {
    CarryOut(fleet, to, router::HandleMessage(*node.state, received, fleet.now));
  });
}

void NoteVersion(Fleet& fleet, RouterNode& node) {
  const std::uint64_t version = VersionInForce(node);
  fleet.version_reversals += version < node.highest_version ? 1 : 0;
  if (version <= node.highest_version) {
    return;
  }
  node.highest_version = version;
  if (IsInForceEverywhere(fleet, version)) {
    fleet.in_force_at.try_emplace(version, fleet.now);
  }
}

// The system time of a scenario follows its own clock from a fixed day on.
std::chrono::system_clock::time_point WallTime(const Fleet& fleet) {
  using std::chrono::system_clock;
  constexpr std::chrono::sys_days kFirstDay{std::chrono::year{2026} / 12 / 4};
  return kFirstDay +
         std::chrono::duration_cast<system_clock::duration>(fleet.now.time_since_epoch());
}

void Tick(Fleet& fleet, std::size_t router) {
  RouterNode& node = fleet.routers[router];
  CarryOut(fleet, router, router::TickRouter(*node.state, fleet.now, WallTime(fleet)));
  PostToRouter(fleet, router, kTickPeriod, [&fleet, router](RouterNode&) { Tick(fleet, router); });
}

void PollList(Fleet& fleet, std::size_t router) {
  RouterNode& node = fleet.routers[router];
  if (!LinkOf(fleet, node, kPlatform).cut) {
    router::HandleInstanceList(*node.state, InstanceListText(fleet, node), fleet.now);
  }
  PostToRouter(fleet, router, kListPeriod,
               [&fleet, router](RouterNode&) { PollList(fleet, router); });
}

void AddInstances(Fleet& fleet) {
  const auto& domains = fleet.options.domains;
  for (std::int64_t index = 0; index < fleet.options.routers; ++index) {
    RouterNode node;
    node.identity = {.id = "router-" + std::to_string(index + 1),
                     .failure_domain = domains[static_cast<std::size_t>(index) % domains.size()],
                     .incarnation = kFirstIncarnation,
                     .shared_key = "scenario-key",
                     .endpoint = {"127.0.0.1", 1, 2, 3}};
    fleet.routers.push_back(std::move(node));
  }
  const auto add = [&](const char* prefix, std::int64_t count, UpstreamKind kind) {
    for (std::int64_t index = 0; index < count; ++index) {
      Upstream upstream;
      upstream.id = prefix + std::to_string(index + 1);
      upstream.domain = domains[static_cast<std::size_t>(index) % domains.size()];
      upstream.kind = kind;
      upstream.cold_since = fleet.now;
      fleet.upstreams.push_back(std::move(upstream));
    }
  };
  add("engine-", fleet.options.engines, UpstreamKind::kModelEngine);
  add("orders-", fleet.options.services, UpstreamKind::kPlainService);
}

config::Configuration MakeConfiguration(const FleetOptions& options) {
  using std::chrono::duration_cast;
  using std::chrono::milliseconds;
  config::Configuration configuration;
  configuration.settings.lease_term = duration_cast<milliseconds>(options.lease_term);
  configuration.settings.return_ramp = duration_cast<milliseconds>(options.return_ramp);
  configuration.settings.ticket_expiry = duration_cast<milliseconds>(options.ticket_expiry);
  for (const std::string& domain : options.domains) {
    configuration.failure_domains.push_back({domain, "region", true});
  }
  config::ModelPool pool;
  pool.name = kEnginePool;
  pool.model = "wording";
  pool.version = "1";
  pool.role = "generate";
  pool.load_multiple = options.load_multiple;
  pool.cold_limit = static_cast<std::uint32_t>(options.cold_limit);
  pool.capacity = static_cast<std::uint32_t>(options.capacity);
  configuration.pools = {pool};
  config::Service service;
  service.name = kServicePool;
  service.concurrency_per_upstream = static_cast<std::uint32_t>(options.capacity);
  configuration.services = {service};
  config::Workspace workspace;
  workspace.name = "w";
  workspace.allows_all_models = true;
  configuration.workspaces = {workspace};
  return configuration;
}

void CheckOptions(const FleetOptions& options) {
  if (options.routers < 2 || options.routers > kMostRouters || options.domains.empty() ||
      options.engines < 1) {
    throw ScenarioError("a fleet has 2 to 8 routers, a failure domain and an engine");
  }
}

}  // namespace

void PostEvent(Fleet& fleet, Duration delay, std::function<void()> action) {
  fleet.events.push_back({fleet.now + delay, ++fleet.last_order, std::move(action)});
  std::ranges::push_heap(fleet.events, LaterEvent());
}

void PostToRouter(Fleet& fleet,
                  std::size_t router,
                  Duration delay,
                  std::function<void(RouterNode&)> action) {
  const std::uint64_t incarnation = fleet.routers[router].identity.incarnation;
  auto run = [&fleet, router, incarnation, action = std::move(action)] {
    RouterNode& node = fleet.routers[router];
    if (node.state && node.identity.incarnation == incarnation) {
      action(node);
    }
  };
  PostEvent(fleet, delay, [&fleet, router, run = std::move(run)] {
    RouterNode& node = fleet.routers[router];
    if (node.paused) {
      node.held.emplace_back(run);
    } else {
      run();
    }
  });
}

void CarryOut(Fleet& fleet, std::size_t router, const router::TickOutput& output) {
  NoteVersion(fleet, fleet.routers[router]);
  for (const fleet::OutgoingMessage& message : output.messages) {
    SendMessage(fleet, router, message);
  }
  for (const fleet::ServiceCall& call : output.service_calls) {
    CallService(fleet, router, call);
  }
  for (const router::ReportRequest& request : output.reports) {
    FetchReport(fleet, router, request);
  }
  for (const router::QueueResult& result : output.queue_results) {
    HandleQueueResult(fleet, router, result);
  }
}

std::size_t FindRouter(const Fleet& fleet, std::string_view id) {
  for (std::size_t index = 0; index < fleet.routers.size(); ++index) {
    if (fleet.routers[index].identity.id == id) {
      return index;
    }
  }
  throw ScenarioError("there is no router " + std::string(id));
}

Upstream& FindUpstream(Fleet& fleet, std::string_view id) {
  const auto found = std::ranges::find(fleet.upstreams, id, &Upstream::id);
  if (found == fleet.upstreams.end()) {
    throw ScenarioError("there is no engine " + std::string(id));
  }
  return *found;
}

const Upstream& FindUpstream(const Fleet& fleet, std::string_view id) {
  return FindUpstream(const_cast<Fleet&>(fleet), id);
}

std::uint64_t VersionInForce(const RouterNode& node) {
  return node.state->configuration ? node.state->configuration->version : 0;
}

void StartProcess(Fleet& fleet, std::size_t router) {
  RouterNode& node = fleet.routers[router];
  router::RouterStateOptions options;
  options.seed = StableHash(node.identity.id, fleet.options.seed + node.identity.incarnation);
  node.state = router::MakeRouterState(node.identity, options, fleet.now);
  node.paused = false;
  node.held.clear();
  node.highest_version = 0;
  // Routers of a real fleet don't tick in step.
  const Duration phase(
      std::uniform_int_distribution<Duration::rep>(0, kTickPeriod.count())(fleet.random));
  PostToRouter(fleet, router, phase, [&fleet, router](RouterNode&) {
    PollList(fleet, router);
    Tick(fleet, router);
  });
}

}  // namespace detail

std::unique_ptr<Fleet> MakeFleet(const FleetOptions& options) {
  detail::CheckOptions(options);
  auto fleet = std::make_unique<Fleet>();
  fleet->options = options;
  fleet->now = RuntimeClock::now();
  fleet->random.seed(options.seed);
  fleet->configuration = detail::MakeConfiguration(options);
  detail::AddInstances(*fleet);
  Publish(*fleet, {});
  for (std::size_t router = 0; router < fleet->routers.size(); ++router) {
    detail::StartProcess(*fleet, router);
  }
  return fleet;
}

void Advance(Fleet& fleet, Duration time) {
  const TimePoint end = fleet.now + time;
  const auto move_to = [&fleet](TimePoint at) {
    RuntimeClock::Advance(at - fleet.now);
    fleet.now = at;
  };
  while (!fleet.events.empty() && fleet.events.front().at <= end) {
    std::ranges::pop_heap(fleet.events, LaterEvent());
    const Event event = std::move(fleet.events.back());
    fleet.events.pop_back();
    move_to(std::max(event.at, fleet.now));
    event.action();
  }
  move_to(end);
}

}  // namespace geraniumspread::scenario
