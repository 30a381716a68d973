#ifndef STANDIN_ENGINE_H_
#define STANDIN_ENGINE_H_

#include <deque>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "standin/engine_types.h"
#include "standin/prefix_cache.h"

// A simulated model engine with continuous batching. Deterministic: the same
// calls with the same times and seed give the same events.
namespace geraniumspread::standin {

struct ActiveRequest {
  RequestNumber number = 0;
  EngineRequest request;
  BlockHashes prompt_blocks;
  int prompt_tokens = 0;
  int cached_tokens = 0;
  int answer_tokens = 0;
  std::uint32_t answer_tag = 0;
  int next_offset = 0;
  std::optional<int> truncate_at;
  bool crashes_engine = false;
  bool silent = false;       // runs on, but its events are withheld
  bool counts_cold = false;  // arrived when the cold state could be known
  TimePoint arrived;
  TimePoint next_token_at;
};

struct EngineFaults {
  Duration delay{0};  // added to the time to first token
  bool truncate_next = false;
  bool wrong_id_next = false;
};

struct PendingOrder {
  EngineOrder order;
  TimePoint apply_at;
};

struct LoadSnapshot {
  LoadReport report;
  TimePoint taken_at;
};

struct Engine {
  EngineSettings settings;
  EngineFaults faults;
  EngineStats stats;
  bool up = true;
  std::uint64_t incarnation = 0;
  std::optional<TimePoint> restart_at;  // unset while down: stays down
  std::string model;
  std::string adapter;
  std::string version;
  std::string role;

  bool cold = true;
  TimePoint cold_known_from;  // load that arrives earlier doesn't count as cold load
  int cold_limit = 0;
  int cold_successes = 0;

  RequestNumber last_number = 0;
  std::vector<ActiveRequest> running;
  std::vector<ActiveRequest> waiting;  // in order of arrival
  PrefixCache cache;
  std::deque<CacheEvent> cache_events;
  std::uint64_t last_cache_sequence = 0;
  std::mt19937_64 random;
  std::deque<LoadSnapshot> snapshots;
  std::uint64_t last_report_sequence = 0;
  double first_token_ms = 0;  // moving average
  FencingToken highest_fence;
  std::vector<PendingOrder> orders;
  std::vector<EngineEvent> outbox;  // events for the next tick
};

// Starts cold, with an empty cache.
Engine MakeEngine(EngineSettings settings, std::uint64_t incarnation, TimePoint now);

// Queues a request. Load over the cold limit crashes the engine (kDown).
SubmitResult SubmitRequest(Engine& engine, EngineRequest request, TimePoint now);

// Ends a request whose caller has gone. Unknown numbers are ignored.
void CancelRequest(Engine& engine, RequestNumber number);

// Runs the engine up to `now` and appends what happened to `events`.
void TickEngine(Engine& engine, TimePoint now, std::vector<EngineEvent>& events);

// The report as of `report_lag` ago, or the first of this incarnation.
LoadReport ReportLoad(const Engine& engine, TimePoint now);
CacheEventPage ReportCacheEvents(const Engine& engine, std::uint64_t after, TimePoint now);
OrderStatus AcceptOrder(Engine& engine, const EngineOrder& order, TimePoint now);
std::optional<std::string> ExportChat(const Engine& engine, const std::string& chat);
// The number of blocks stored; empty when the bytes are not valid.
std::optional<std::size_t> ImportChat(Engine& engine,
                                      const std::string& chat,
                                      std::string_view bytes,
                                      TimePoint now);

// Drops all requests and the cache. Without `restart_after` the engine stays down.
void CrashEngine(Engine& engine, TimePoint now, std::optional<Duration> restart_after);
// Turns cold in the same incarnation, with the cache kept.
void TurnCold(Engine& engine, TimePoint now);
// Requests that run or wait now give no more events, as on dead connections.
void SilenceActiveRequests(Engine& engine);

// Requests that run or wait.
int ActiveCount(const Engine& engine);

}  // namespace geraniumspread::standin

#endif  // STANDIN_ENGINE_H_
