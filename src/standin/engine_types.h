#ifndef STANDIN_ENGINE_TYPES_H_
#define STANDIN_ENGINE_TYPES_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "common/common_types.h"
#include "common/runtime_clock.h"

// Value types of the simulated model engine.
namespace geraniumspread::standin {

using RequestNumber = std::uint64_t;

struct EngineSettings {
  std::string id;
  std::string model;
  // Loaded at the start of each incarnation, beside the model.
  std::string adapter;
  std::string version;
  std::string role;
  int capacity = 16;      // requests in one batch
  int max_waiting = 256;  // further requests are refused as "not run"
  int cold_limit = 2;     // requests that a freshly started engine bears
  std::size_t cache_capacity_blocks = 4096;
  // Time of one decoding step: token_time + token_time_per_running * running.
  Duration token_time = std::chrono::milliseconds(8);
  Duration token_time_per_running = std::chrono::microseconds(500);
  Duration prefill_time_per_token = std::chrono::microseconds(200);
  double cold_slowdown = 2.0;  // factor on all times while cold
  // An engine that turns cold without a restart doesn't crash from the load
  // that arrives in this time, because no router can have heard of it yet.
  Duration cold_notice = std::chrono::milliseconds(1500);
  Duration restart_time = std::chrono::seconds(2);
  Duration report_interval = std::chrono::milliseconds(100);
  Duration report_lag = std::chrono::milliseconds(200);
  Duration cache_event_delay = std::chrono::milliseconds(500);
  double cache_event_loss = 0.02;  // share of cache events that are never published
  Duration order_time = std::chrono::milliseconds(500);
  bool ignores_fencing = false;
  bool starts_warm = false;     // only the first incarnation
  bool crash_on_marker = true;  // a prompt that contains kCrashMarker crashes the engine
  std::uint64_t seed = 1;
};

inline constexpr char kCrashMarker[] = "CRASH";

struct EngineRequest {
  std::string request_id;
  std::string idempotency_key;  // counted in the statistics when not empty
  std::string chat;             // empty: nothing is cached
  PriorityClass priority = PriorityClass::kDraft;
  std::string prompt;
  int max_tokens = 0;
  int resume_offset = 0;  // answer tokens that the caller has already
};

enum class SubmitStatus : std::uint8_t { kAccepted, kRefusedFull, kDown };

struct SubmitResult {
  SubmitStatus status = SubmitStatus::kAccepted;
  RequestNumber number = 0;
  std::string echoed_request_id;  // differs from the request's id when that fault is set
  int prompt_tokens = 0;
  int answer_tokens = 0;
};

enum class EngineEventKind : std::uint8_t {
  kTokens,     // tokens [from, to) of `request` are ready
  kFinished,   // after the last token of `request`
  kTruncated,  // `request` ends before its last token; its connection must close
  kCrashed,    // all requests are gone, all connections must close
  kRestarted,  // a new incarnation accepts connections
};

struct EngineEvent {
  EngineEventKind kind = EngineEventKind::kTokens;
  RequestNumber request = 0;
  int from = 0;
  int to = 0;
  int cached_tokens = 0;  // with kTokens and kFinished
};

// The members have the names of the wire form.
struct LoadReport {
  std::string instance;
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;
  std::string model;
  std::string adapter;
  std::string version;
  std::string role;
  int running = 0;
  int waiting = 0;
  int capacity = 0;
  int cold_limit = 0;  // what the engine bears now; grows while it warms up
  bool cold = false;
  std::size_t cache_blocks = 0;
  std::size_t cache_capacity = 0;
  double first_token_ms = 0;
};

enum class CacheEventKind : std::uint8_t { kStored, kEvicted };

struct CacheEvent {
  std::uint64_t sequence = 0;
  CacheEventKind kind = CacheEventKind::kStored;
  std::string chat;
  TimePoint visible_at;
};

// Events after a sequence that are visible. Gaps in the sequence are lost events.
struct CacheEventPage {
  std::uint64_t incarnation = 0;
  std::uint64_t first_sequence = 0;  // the oldest sequence that is still kept
  std::vector<CacheEvent> events;
};

// A fence is compared from its first number on. An empty fence is the oldest.
using FencingToken = std::vector<std::uint64_t>;

struct EngineOrder {
  FencingToken fence;
  // Empty members leave the value as it is.
  std::string model;
  std::string adapter;
  std::string version;
  std::string role;
};

enum class OrderStatus : std::uint8_t { kAccepted, kOldFence, kDown };

// Counters of the test harness. They survive crashes of the engine.
struct EngineStats {
  std::map<std::string, int> runs_by_key;
  std::map<std::string, int> runs_by_request_id;
  std::uint64_t requests = 0;
  std::uint64_t completed = 0;
  std::uint64_t cancelled = 0;
  std::uint64_t refused = 0;
  std::uint64_t lost_in_crashes = 0;
  std::uint64_t crashes = 0;
  std::uint64_t cold_crashes = 0;  // crashes by load over the cold limit
  std::uint64_t prompt_tokens = 0;
  std::uint64_t cached_tokens = 0;
  std::uint64_t answer_tokens = 0;
  std::uint64_t orders_accepted = 0;
  std::uint64_t orders_refused = 0;
  int peak_running = 0;         // running and waiting together
  int peak_running_cold = 0;    // the same while cold, once the cold start could be known
  int peak_cold_overshoot = 0;  // largest excess over the cold limit at that moment
};

}  // namespace geraniumspread::standin

#endif  // STANDIN_ENGINE_TYPES_H_
