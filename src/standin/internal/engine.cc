#include "standin/engine.h"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

#include "common/hash.h"
#include "standin/answer_text.h"

namespace geraniumspread::standin {
namespace {

constexpr std::size_t kMaxCacheEvents = 4096;
constexpr std::size_t kMaxSnapshots = 64;
// Weight of the newest sample in the moving average of the time to first token.
constexpr double kFirstTokenWeight = 0.2;

Duration Slowed(const Engine& engine, Duration duration) {
  if (!engine.cold) {
    return duration;
  }
  return std::chrono::duration_cast<Duration>(duration * engine.settings.cold_slowdown);
}

Duration StepTime(const Engine& engine) {
  const auto running = static_cast<std::int64_t>(engine.running.size());
  return Slowed(engine,
                engine.settings.token_time + engine.settings.token_time_per_running * running);
}

void BecomeCold(Engine& engine, TimePoint known_from) {
  engine.cold = true;
  engine.cold_known_from = known_from;
  engine.cold_limit = engine.settings.cold_limit;
  engine.cold_successes = 0;
}

// The limit doubles after as many successes as the limit, up to the capacity.
void CountColdSuccess(Engine& engine) {
  if (!engine.cold || ++engine.cold_successes < engine.cold_limit) {
    return;
  }
  engine.cold_successes = 0;
  engine.cold_limit *= 2;
  if (engine.cold_limit >= engine.settings.capacity) {
    engine.cold = false;
    engine.cold_limit = engine.settings.capacity;
  }
}

void AddCacheEvent(Engine& engine, CacheEventKind kind, const std::string& chat, TimePoint now) {
  const std::uint64_t sequence = ++engine.last_cache_sequence;
  const bool lost =
      std::uniform_real_distribution<>(0, 1)(engine.random) < engine.settings.cache_event_loss;
  if (lost) {
    return;
  }
  engine.cache_events.push_back({sequence, kind, chat, now + engine.settings.cache_event_delay});
  if (engine.cache_events.size() > kMaxCacheEvents) {
    engine.cache_events.pop_front();
  }
}

void StoreChat(Engine& engine, const std::string& chat, BlockHashes blocks, TimePoint now) {
  for (const std::string& evicted : StorePrefix(engine.cache, chat, std::move(blocks))) {
    AddCacheEvent(engine, CacheEventKind::kEvicted, evicted, now);
  }
  AddCacheEvent(engine, CacheEventKind::kStored, chat, now);
}

LoadReport CurrentReport(const Engine& engine) {
  LoadReport report;
  report.instance = engine.settings.id;
  report.incarnation = engine.incarnation;
  report.sequence = engine.last_report_sequence;
  report.model = engine.model;
  report.adapter = engine.adapter;
  report.version = engine.version;
  report.role = engine.role;
  report.running = static_cast<int>(engine.running.size());
  report.waiting = static_cast<int>(engine.waiting.size());
  report.capacity = engine.settings.capacity;
  report.cold_limit = engine.cold_limit;
  report.cold = engine.cold;
  report.cache_blocks = engine.cache.used_blocks;
  report.cache_capacity = engine.cache.capacity_blocks;
  report.first_token_ms = engine.first_token_ms;
  return report;
}

void TakeSnapshot(Engine& engine, TimePoint now) {
  ++engine.last_report_sequence;
  engine.snapshots.push_back({CurrentReport(engine), now});
  // The newest snapshot that is old enough must stay; older ones are never served again.
  const TimePoint served_time = now - engine.settings.report_lag;
  while (engine.snapshots.size() > kMaxSnapshots ||
         (engine.snapshots.size() > 1 && engine.snapshots[1].taken_at <= served_time)) {
    engine.snapshots.pop_front();
  }
}

void Start(Engine& engine, TimePoint now) {
  engine.up = true;
  engine.restart_at.reset();
  BecomeCold(engine, now);
  ClearPrefixes(engine.cache);
  engine.cache_events.clear();
  engine.last_cache_sequence = 0;
  engine.snapshots.clear();
  engine.last_report_sequence = 0;
  engine.first_token_ms = 0;
  engine.highest_fence.clear();
  engine.orders.clear();
  TakeSnapshot(engine, now);
}

int ColdCount(const Engine& engine) {
  const auto counts = [](const ActiveRequest& active) { return active.counts_cold; };
  return static_cast<int>(std::ranges::count_if(engine.running, counts) +
                          std::ranges::count_if(engine.waiting, counts));
}

// Returns false when the load is over the cold limit.
bool CheckColdLoad(Engine& engine, bool counts_cold) {
  if (!engine.cold || !counts_cold) {
    return true;
  }
  const int load = ColdCount(engine);
  EngineStats& stats = engine.stats;
  stats.peak_running_cold = std::max(stats.peak_running_cold, load);
  stats.peak_cold_overshoot = std::max(stats.peak_cold_overshoot, load - engine.cold_limit);
  return load <= engine.cold_limit;
}

ActiveRequest PrepareRequest(Engine& engine, EngineRequest request, TimePoint now) {
  ActiveRequest active;
  active.number = ++engine.last_number;
  active.prompt_tokens = static_cast<int>(CountTokens(request.prompt));
  active.prompt_blocks = HashBlocks(request.prompt);
  active.answer_tokens = AnswerTokenCount(request.prompt, request.max_tokens);
  active.answer_tag = AnswerTag(request.prompt);
  active.next_offset = std::clamp(request.resume_offset, 0, active.answer_tokens);
  active.arrived = now;
  active.counts_cold = engine.cold && now >= engine.cold_known_from;
  active.crashes_engine =
      engine.settings.crash_on_marker && request.prompt.find(kCrashMarker) != std::string::npos;
  if (std::exchange(engine.faults.truncate_next, false)) {
    active.truncate_at = (active.next_offset + active.answer_tokens) / 2;
  }
  active.request = std::move(request);
  return active;
}

// Moves a request into the batch and plans its first token.
void BeginRequest(Engine& engine, ActiveRequest active, TimePoint now) {
  if (!active.request.chat.empty()) {
    const std::size_t blocks = MatchPrefix(engine.cache, active.request.chat, active.prompt_blocks);
    active.cached_tokens = static_cast<int>(blocks * kCacheBlockTokens);
  }
  EngineStats& stats = engine.stats;
  stats.prompt_tokens += static_cast<std::uint64_t>(active.prompt_tokens);
  stats.cached_tokens += static_cast<std::uint64_t>(active.cached_tokens);
  ++stats.runs_by_request_id[active.request.request_id];
  if (!active.request.idempotency_key.empty()) {
    ++stats.runs_by_key[active.request.idempotency_key];
  }
  // A resumed answer needs the skipped tokens in the cache too.
  const int prefill_tokens = active.prompt_tokens - active.cached_tokens + active.next_offset;
  active.next_token_at = now + engine.faults.delay +
                         Slowed(engine, engine.settings.prefill_time_per_token * prefill_tokens) +
                         StepTime(engine);
  engine.running.push_back(std::move(active));
}

void FillBatch(Engine& engine, TimePoint now) {
  while (!engine.waiting.empty() &&
         static_cast<int>(engine.running.size()) < engine.settings.capacity) {
    const auto next = std::ranges::min_element(engine.waiting, {}, [](const ActiveRequest& active) {
      return std::pair(active.request.priority, active.number);
    });
    ActiveRequest active = std::move(*next);
    engine.waiting.erase(next);
    BeginRequest(engine, std::move(active), now);
  }
}

void CountFirstToken(Engine& engine, const ActiveRequest& active) {
  const std::chrono::duration<double, std::milli> elapsed = active.next_token_at - active.arrived;
  engine.first_token_ms =
      engine.first_token_ms == 0
          ? elapsed.count()
          : engine.first_token_ms + kFirstTokenWeight * (elapsed.count() - engine.first_token_ms);
}

// Produces the tokens of one request that are due. Returns the event, without
// tokens when none is due.
EngineEvent ProduceTokens(Engine& engine, ActiveRequest& active, TimePoint now) {
  EngineEvent event;
  event.request = active.number;
  event.from = active.next_offset;
  event.cached_tokens = active.cached_tokens;
  const int end = active.truncate_at.value_or(active.answer_tokens);
  const Duration step = StepTime(engine);
  while (active.next_offset < end && active.next_token_at <= now) {
    if (active.next_offset == active.request.resume_offset) {
      CountFirstToken(engine, active);
    }
    ++active.next_offset;
    active.next_token_at += step;
  }
  event.to = active.next_offset;
  engine.stats.answer_tokens += static_cast<std::uint64_t>(event.to - event.from);
  return event;
}

void FinishRequest(Engine& engine, const ActiveRequest& active, TimePoint now) {
  ++engine.stats.completed;
  CountColdSuccess(engine);
  if (active.request.chat.empty()) {
    return;
  }
  std::string text = active.request.prompt;
  for (int offset = 0; offset < active.answer_tokens; ++offset) {
    text += AnswerToken(active.answer_tag, offset);
  }
  StoreChat(engine, active.request.chat, HashBlocks(text), now);
}

bool IsDone(const ActiveRequest& active) {
  return active.next_offset >= active.truncate_at.value_or(active.answer_tokens);
}

void RunBatch(Engine& engine, TimePoint now, std::vector<EngineEvent>& events) {
  for (ActiveRequest& active : engine.running) {
    EngineEvent event = ProduceTokens(engine, active, now);
    if (event.to > event.from && !active.silent) {
      events.push_back(event);
    }
    if (!IsDone(active)) {
      continue;
    }
    event.kind = active.truncate_at ? EngineEventKind::kTruncated : EngineEventKind::kFinished;
    if (!active.silent) {
      events.push_back(event);
    }
    if (!active.truncate_at) {
      FinishRequest(engine, active, now);
    }
  }
  std::erase_if(engine.running, IsDone);
}

bool HasCrashingRequest(const Engine& engine, TimePoint now) {
  return std::ranges::any_of(engine.running, [now](const ActiveRequest& active) {
    return active.crashes_engine && active.next_token_at <= now;
  });
}

void ApplyOrders(Engine& engine, TimePoint now) {
  const auto set_unless_empty = [](std::string& value, const std::string& wanted) {
    if (!wanted.empty()) {
      value = wanted;
    }
  };
  while (!engine.orders.empty() && engine.orders.front().apply_at <= now) {
    const EngineOrder order = std::move(engine.orders.front().order);
    engine.orders.erase(engine.orders.begin());
    const auto loaded = std::tuple(engine.model, engine.adapter, engine.version);
    set_unless_empty(engine.model, order.model);
    set_unless_empty(engine.adapter, order.adapter);
    set_unless_empty(engine.version, order.version);
    set_unless_empty(engine.role, order.role);
    if (loaded != std::tuple(engine.model, engine.adapter, engine.version)) {
      ClearPrefixes(engine.cache);
      TurnCold(engine, now);
    }
  }
}

void RestartWhenDue(Engine& engine, TimePoint now) {
  if (!engine.up && engine.restart_at && *engine.restart_at <= now) {
    ++engine.incarnation;
    Start(engine, now);
    engine.outbox.push_back({.kind = EngineEventKind::kRestarted});
  }
}

void FlushOutbox(Engine& engine, std::vector<EngineEvent>& events) {
  events.insert(events.end(), engine.outbox.begin(), engine.outbox.end());
  engine.outbox.clear();
}

}  // namespace

Engine MakeEngine(EngineSettings settings, std::uint64_t incarnation, TimePoint now) {
  Engine engine;
  engine.settings = std::move(settings);
  engine.incarnation = incarnation;
  engine.model = engine.settings.model;
  engine.adapter = engine.settings.adapter;
  engine.version = engine.settings.version;
  engine.role = engine.settings.role;
  engine.cache.capacity_blocks = engine.settings.cache_capacity_blocks;
  engine.random.seed(engine.settings.seed);
  Start(engine, now);
  if (engine.settings.starts_warm) {
    engine.cold = false;
    engine.cold_limit = engine.settings.capacity;
    engine.snapshots.clear();
    TakeSnapshot(engine, now);
  }
  return engine;
}

SubmitResult SubmitRequest(Engine& engine, EngineRequest request, TimePoint now) {
  SubmitResult result;
  if (!engine.up) {
    result.status = SubmitStatus::kDown;
    return result;
  }
  ++engine.stats.requests;
  if (static_cast<int>(engine.waiting.size()) >= engine.settings.max_waiting) {
    ++engine.stats.refused;
    result.status = SubmitStatus::kRefusedFull;
    return result;
  }
  result.echoed_request_id = request.request_id;
  if (std::exchange(engine.faults.wrong_id_next, false)) {
    result.echoed_request_id += "-wrong";
  }
  ActiveRequest active = PrepareRequest(engine, std::move(request), now);
  result.number = active.number;
  result.prompt_tokens = active.prompt_tokens;
  result.answer_tokens = active.answer_tokens;
  const bool counts_cold = active.counts_cold;
  engine.waiting.push_back(std::move(active));
  engine.stats.peak_running = std::max(engine.stats.peak_running, ActiveCount(engine));
  if (!CheckColdLoad(engine, counts_cold)) {
    ++engine.stats.cold_crashes;
    CrashEngine(engine, now, engine.settings.restart_time);
    result.status = SubmitStatus::kDown;
    return result;
  }
  FillBatch(engine, now);
  return result;
}

void CancelRequest(Engine& engine, RequestNumber number) {
  const auto has_number = [number](const ActiveRequest& active) { return active.number == number; };
  engine.stats.cancelled += std::erase_if(engine.running, has_number);
  engine.stats.cancelled += std::erase_if(engine.waiting, has_number);
}

void TickEngine(Engine& engine, TimePoint now, std::vector<EngineEvent>& events) {
  RestartWhenDue(engine, now);
  FlushOutbox(engine, events);
  if (!engine.up) {
    return;
  }
  ApplyOrders(engine, now);
  if (HasCrashingRequest(engine, now)) {
    CrashEngine(engine, now, engine.settings.restart_time);
    FlushOutbox(engine, events);
    return;
  }
  RunBatch(engine, now, events);
  FillBatch(engine, now);
  if (now - engine.snapshots.back().taken_at >= engine.settings.report_interval) {
    TakeSnapshot(engine, now);
  }
}

LoadReport ReportLoad(const Engine& engine, TimePoint now) {
  const TimePoint served_time = now - engine.settings.report_lag;
  const auto newer = std::ranges::find_if(
      engine.snapshots,
      [served_time](const LoadSnapshot& snapshot) { return snapshot.taken_at > served_time; });
  return newer == engine.snapshots.begin() ? engine.snapshots.front().report
                                           : std::prev(newer)->report;
}

CacheEventPage ReportCacheEvents(const Engine& engine, std::uint64_t after, TimePoint now) {
  CacheEventPage page;
  page.incarnation = engine.incarnation;
  page.first_sequence = engine.cache_events.empty() ? engine.last_cache_sequence + 1
                                                    : engine.cache_events.front().sequence;
  std::ranges::copy_if(
      engine.cache_events, std::back_inserter(page.events),
      [&](const CacheEvent& event) { return event.sequence > after && event.visible_at <= now; });
  return page;
}

OrderStatus AcceptOrder(Engine& engine, const EngineOrder& order, TimePoint now) {
  if (!engine.up) {
    return OrderStatus::kDown;
  }
  if (!engine.settings.ignores_fencing && order.fence < engine.highest_fence) {
    ++engine.stats.orders_refused;
    return OrderStatus::kOldFence;
  }
  engine.highest_fence = std::max(engine.highest_fence, order.fence);
  ++engine.stats.orders_accepted;
  engine.orders.push_back({order, now + engine.settings.order_time});
  return OrderStatus::kAccepted;
}

std::optional<std::string> ExportChat(const Engine& engine, const std::string& chat) {
  return engine.up ? ExportPrefix(engine.cache, chat) : std::nullopt;
}

std::optional<std::size_t> ImportChat(Engine& engine,
                                      const std::string& chat,
                                      std::string_view bytes,
                                      TimePoint now) {
  std::optional<BlockHashes> blocks = ParseExportedPrefix(bytes);
  if (!engine.up || !blocks) {
    return std::nullopt;
  }
  const std::size_t count = std::min(blocks->size(), engine.cache.capacity_blocks);
  StoreChat(engine, chat, std::move(*blocks), now);
  return count;
}

void CrashEngine(Engine& engine, TimePoint now, std::optional<Duration> restart_after) {
  ++engine.stats.crashes;
  engine.stats.lost_in_crashes += static_cast<std::uint64_t>(ActiveCount(engine));
  engine.running.clear();
  engine.waiting.clear();
  engine.up = false;
  engine.restart_at.reset();
  if (restart_after) {
    engine.restart_at = now + *restart_after;
  }
  engine.outbox.push_back({.kind = EngineEventKind::kCrashed});
}

void TurnCold(Engine& engine, TimePoint now) {
  BecomeCold(engine, now + engine.settings.cold_notice);
  const auto forget = [](ActiveRequest& active) { active.counts_cold = false; };
  std::ranges::for_each(engine.running, forget);
  std::ranges::for_each(engine.waiting, forget);
}

void SilenceActiveRequests(Engine& engine) {
  const auto silence = [](ActiveRequest& active) { active.silent = true; };
  std::ranges::for_each(engine.running, silence);
  std::ranges::for_each(engine.waiting, silence);
}

int ActiveCount(const Engine& engine) {
  return static_cast<int>(engine.running.size() + engine.waiting.size());
}

}  // namespace geraniumspread::standin
