#ifndef SCENARIO_FLEET_H_
#define SCENARIO_FLEET_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <stdexcept>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "config/compile.h"
#include "outcomes/request_attempts.h"
#include "router/router_state.h"
#include "scenario/scenario_types.h"

// A fleet of router states whose time a script advances. Unknown names and
// invalid options throw ScenarioError.
namespace geraniumspread::scenario {

class ScenarioError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

struct Event {
  TimePoint at;
  std::uint64_t order = 0;
  std::function<void()> action;
};
struct LaterEvent {
  bool operator()(const Event& left, const Event& right) const {
    return std::pair(left.at, left.order) > std::pair(right.at, right.order);
  }
};

// One router process. Events of a paused one are held until it resumes.
struct RouterNode {
  router::RouterIdentity identity;
  std::unique_ptr<router::RouterState> state;  // nullptr while the process is dead
  bool paused = false;
  std::vector<std::function<void()>> held;
  std::set<std::string> hidden;  // instances that its instance list lacks
  std::uint64_t highest_version = 0;
};

// A model engine or an instance of a plain service. It is cold until it has
// finished as many requests as its cold limit.
struct Upstream {
  std::string id;
  std::string domain;
  UpstreamKind kind = UpstreamKind::kModelEngine;
  std::uint64_t incarnation = 1;
  std::uint64_t sequence = 0;
  bool up = true;
  bool leaving = false;
  bool listed = true;
  bool cold = true;
  TimePoint cold_since;
  TimePoint left_at = TimePoint::max();
  std::int64_t finished_cold = 0;
  std::int64_t running = 0;
  std::int64_t peak = 0;
};

// Running requests at the arrival of one at a cold engine.
struct ColdArrival {
  Duration cold_for{0};
  std::int64_t running = 0;
};

// A request of a caller at its entry router, or at the router of its ticket.
struct Request {
  std::string pool;
  std::string workspace;
  std::string chat;
  PriorityClass priority = PriorityClass::kDraft;
  std::size_t entry = 0;
  std::uint64_t entry_incarnation = 0;
  TimePoint deadline;
  Duration run_time{0};
  std::int64_t placements = 0;
  bool ended = false;
  std::uint64_t attempt = 0;  // the one that runs; results of others are ignored
  placement::UpstreamIndex upstream = placement::kNoUpstream;  // at the entry router
  outcomes::RequestAttempts attempts;
  std::string ticket;
  std::int64_t call = 0;  // of the ticket; 0 for other requests
};

// One attempt of a request at the owner of an upstream.
struct Attempt {
  std::uint64_t request = 0;
  std::size_t owner = 0;
  std::uint64_t owner_incarnation = 0;
  std::string upstream;
  // Where the owner counts a forwarded request.
  placement::UpstreamIndex forwarded = placement::kNoUpstream;
  bool granted = false;
  bool running = false;
  TimePoint started;
  router::DispatchEnd end;
};

enum class AttemptResult : std::uint8_t { kAnswered, kNotRun, kLost };

struct ConfigService {
  bool down = false;
  std::optional<std::uint64_t> frozen_version;  // stale: serves no newer one
  std::map<std::uint64_t, config::CompiledConfiguration> versions;
  std::map<std::uint64_t, TimePoint> published_at;
  std::map<std::string, std::string, std::less<>> shards;
};

struct Fleet {
  FleetOptions options;
  TimePoint now;
  std::mt19937_64 random;
  std::vector<Event> events;  // heap by LaterEvent
  std::uint64_t last_order = 0;
  std::vector<RouterNode> routers;
  std::vector<Upstream> upstreams;
  std::map<LinkEnds, LinkFault> links;
  config::Configuration configuration;
  ConfigService service;
  std::uint64_t list_revision = 1;
  std::unordered_map<std::uint64_t, Request> requests;
  std::unordered_map<std::uint64_t, Attempt> attempts;  // by admission::RequestHandle
  std::uint64_t last_request = 0;
  std::uint64_t last_attempt = 0;
  // What the checks look at.
  RequestCounts counts;
  std::map<std::string, std::int64_t> refusals;  // of owners and entry routers, by code
  std::vector<StartedRun> starts;
  std::vector<ColdArrival> cold_arrivals;
  std::vector<std::pair<TimePoint, std::int64_t>> load_excess;
  std::map<std::string, TimePoint> taken_out_at;
  std::map<std::string, TimePoint> brought_back_at;
  std::map<std::uint64_t, TimePoint> in_force_at;  // when the last live router had the version
  std::int64_t version_reversals = 0;
  std::map<std::string, std::int64_t> ticket_runs;
  std::vector<std::string> call_answers;
};

std::unique_ptr<Fleet> MakeFleet(const FleetOptions& options);
void Advance(Fleet& fleet, Duration time);

// --- Traffic ---
void Send(Fleet& fleet, const LoadOptions& load);
// A ticket of the router, or an empty text when it gives none.
std::string IssueTicket(Fleet& fleet, const std::string& router);
// Starts a non-repeatable call. Returns its number for AnswerOf.
std::int64_t CallWithTicket(Fleet& fleet,
                            const std::string& ticket,
                            const std::string& router,
                            const std::string& body);
// "running" until there is an answer, then "answered", "replayed" or the wire form of the error.
std::string AnswerOf(const Fleet& fleet, std::int64_t call);

// --- Faults ---
void SetLink(Fleet& fleet, const LinkEnds& ends, const LinkFault& fault);
void Heal(Fleet& fleet);
void Pause(Fleet& fleet, const std::string& router);
void Resume(Fleet& fleet, const std::string& router);
// Its requests go on at the engines, as after the loss of a machine.
void KillRouter(Fleet& fleet, const std::string& router);
void StartRouter(Fleet& fleet, const std::string& router);
// The instance is missing in the list that this router reads.
void HideInstance(Fleet& fleet, const std::string& router, const std::string& instance);
void ShowAllInstances(Fleet& fleet);
void LeaveEngine(Fleet& fleet, const std::string& engine);
void ReturnEngine(Fleet& fleet, const std::string& engine);
// Ends all requests of the engine. It is back, cold, after `down_for`.
void CrashEngine(Fleet& fleet, const std::string& engine, Duration down_for);
// The engine turns cold and goes on with its requests.
void ColdEngine(Fleet& fleet, const std::string& engine);

// --- Configuration ---
std::uint64_t Publish(Fleet& fleet, const ConfigChange& change);
std::uint64_t SetDomain(Fleet& fleet, const std::string& domain, bool in_service);

// --- Checks ---
// Most requests at a cold engine, counted at arrivals `after` it turned cold.
std::int64_t RunningPeakCold(const Fleet& fleet, Duration after);
// Most requests at an engine above max(1, ceil(multiple x mean)), at arrivals in the last `span`.
std::int64_t LoadExcess(const Fleet& fleet, Duration span);
// Runs that started in a domain while it was out of service, `after` it was taken out.
std::int64_t NewWorkIn(const Fleet& fleet, const std::string& domain, Duration after);
// Runs that started at an engine `after` it began to leave.
std::int64_t NewWorkAt(const Fleet& fleet, const std::string& engine, Duration after);
// The router that holds the lease of the engine by its own clock, or an empty text.
std::string OwnerOf(const Fleet& fleet, const std::string& engine);
// What the owner of the engine bases its limit on, for notes.
std::string ExplainLimit(const Fleet& fleet, const std::string& engine);
// Requests that wait at the owners of upstreams.
std::int64_t Queued(const Fleet& fleet);
// Share of the runs of the last `span` that started in the domain.
double ShareIn(const Fleet& fleet, const std::string& domain, Duration span);
bool IsInForceEverywhere(const Fleet& fleet, std::uint64_t version);
// Seconds from publishing until the last live router had the version; -1 before that.
double SecondsToForce(const Fleet& fleet, std::uint64_t version);

}  // namespace geraniumspread::scenario

#endif  // SCENARIO_FLEET_H_
