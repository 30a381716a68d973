#include "standin/engine.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "standin/answer_text.h"

namespace geraniumspread::standin {
namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t kFirstIncarnation = 10;

// One engine on a clock that the test moves in steps of 1 ms.
struct Fixture {
  TimePoint now = TimePoint(std::chrono::hours(1));
  EngineSettings settings = MakeSettings();
  Engine engine;
  std::vector<EngineEvent> events;

  Fixture() { this->Reset(); }

  static EngineSettings MakeSettings() {
    EngineSettings settings;
    settings.id = "engine-1";
    settings.model = "model";
    settings.capacity = 4;
    settings.cold_limit = 1;
    settings.cold_slowdown = 1;
    settings.token_time = milliseconds(10);
    settings.token_time_per_running = milliseconds(1);
    settings.prefill_time_per_token = milliseconds(1);
    settings.cache_event_loss = 0;
    settings.starts_warm = true;
    return settings;
  }

  void Reset() { this->engine = MakeEngine(this->settings, kFirstIncarnation, this->now); }

  SubmitResult Submit(const std::string& id,
                      const std::string& prompt,
                      int tokens,
                      PriorityClass priority = PriorityClass::kDraft) {
    EngineRequest request;
    request.request_id = id;
    request.chat = "chat-" + id;
    request.prompt = prompt;
    request.max_tokens = tokens;
    request.priority = priority;
    return SubmitRequest(this->engine, std::move(request), this->now);
  }

  void Run(Duration time) {
    for (const TimePoint end = this->now + time; this->now < end;) {
      this->now += milliseconds(1);
      TickEngine(this->engine, this->now, this->events);
    }
  }

  int Count(EngineEventKind kind) const {
    return static_cast<int>(std::ranges::count(this->events, kind, &EngineEvent::kind));
  }

  // Tokens of one request, or -1 when an event leaves out or repeats some.
  int TokensOf(RequestNumber number) const {
    int offset = 0;
    for (const EngineEvent& event : this->events) {
      if (event.kind == EngineEventKind::kTokens && event.request == number) {
        offset = event.from == offset ? event.to : -1;
      }
    }
    return offset;
  }
};

std::string Words(int count) {
  std::string text;
  for (int index = 0; index < count; ++index) {
    text += "word" + std::to_string(index) + " ";
  }
  return text;
}

// Guards against lost or doubled tokens, and against batching without a cost:
// the same answer must take longer beside other requests.
BOOST_FIXTURE_TEST_CASE(BatchSlowsEachRequest, Fixture) {
  const auto alone = this->Submit("a", "hello", 10);
  this->Run(milliseconds(130));
  BOOST_TEST(this->TokensOf(alone.number) == 10);
  BOOST_TEST(this->Count(EngineEventKind::kFinished) == 1);
  const auto beside = this->Submit("b", "hello", 10);
  for (const char* id : {"c", "d", "e"}) {
    this->Submit(id, "hello", 10);
  }
  this->Run(milliseconds(120));
  BOOST_TEST(this->TokensOf(beside.number) < 10);
  BOOST_TEST(this->TokensOf(beside.number) > 0);
  this->Run(milliseconds(40));
  BOOST_TEST(this->TokensOf(beside.number) == 10);
}

// Guards against a prefix cache that gives no gain or never forgets.
BOOST_FIXTURE_TEST_CASE(CachedPrefixShortensPrefillUntilEvicted, Fixture) {
  this->settings.cache_capacity_blocks = 8;
  this->Reset();
  const std::string prompt = Words(64);
  this->Submit("a", prompt, 1);
  this->Run(milliseconds(100));
  this->events.clear();
  this->Submit("a", prompt + "more", 1);
  this->Run(milliseconds(20));
  BOOST_REQUIRE(this->Count(EngineEventKind::kFinished) == 1);
  BOOST_TEST(this->events.back().cached_tokens == 64);
  this->Submit("b", Words(100), 1);
  this->Run(milliseconds(200));
  this->events.clear();
  this->Submit("a", prompt, 1);
  this->Run(milliseconds(100));
  BOOST_TEST(this->events.back().cached_tokens == 0);
  const auto page = ReportCacheEvents(this->engine, 0, this->now + milliseconds(500));
  BOOST_TEST(std::ranges::count(page.events, CacheEventKind::kEvicted, &CacheEvent::kind) == 2);
}

// Guards against a full batch that serves in order of arrival only.
BOOST_FIXTURE_TEST_CASE(HigherClassIsServedFirstWhenFull, Fixture) {
  for (const char* id : {"a", "b", "c", "d"}) {
    this->Submit(id, "hello", 5);
  }
  const auto batch = this->Submit("e", "hello", 5, PriorityClass::kBatch);
  const auto urgent = this->Submit("f", "hello", 5, PriorityClass::kSuggestion);
  CancelRequest(this->engine, 1);
  this->Run(milliseconds(1));
  BOOST_TEST(this->engine.running.back().number == urgent.number);
  BOOST_TEST(this->engine.waiting.front().number == batch.number);
  BOOST_TEST(this->engine.stats.cancelled == 1U);
}

// Guards against a cold engine that bears more than its limit, and against a
// limit that never grows.
BOOST_FIXTURE_TEST_CASE(ColdLimitGrowsBySuccessAndCrashesWhenExceeded, Fixture) {
  this->settings.starts_warm = false;
  this->Reset();
  this->Submit("a", "hello", 1);
  this->Run(milliseconds(20));
  BOOST_TEST(this->engine.cold_limit == 2);
  BOOST_TEST((this->Submit("b", "hello", 100).status == SubmitStatus::kAccepted));
  BOOST_TEST((this->Submit("c", "hello", 100).status == SubmitStatus::kAccepted));
  BOOST_TEST(this->engine.stats.peak_cold_overshoot == 0);
  BOOST_TEST((this->Submit("d", "hello", 100).status == SubmitStatus::kDown));
  BOOST_TEST(this->engine.stats.cold_crashes == 1U);
  BOOST_TEST(this->engine.stats.peak_cold_overshoot == 1);
  this->Run(this->settings.restart_time + milliseconds(1));
  BOOST_TEST(this->Count(EngineEventKind::kCrashed) == 1);
  BOOST_TEST(this->Count(EngineEventKind::kRestarted) == 1);
  BOOST_TEST(this->engine.incarnation == kFirstIncarnation + 1);
  BOOST_TEST(this->engine.cold_limit == 1);
}

// Guards against counting load as cold that arrived before anyone could know.
BOOST_FIXTURE_TEST_CASE(TurnsColdWithNotice, Fixture) {
  this->Submit("a", "hello", 1000);
  TurnCold(this->engine, this->now);
  this->Submit("b", "hello", 1000);
  this->Submit("c", "hello", 1000);
  BOOST_TEST(this->engine.up);
  this->Run(this->settings.cold_notice);
  BOOST_TEST((this->Submit("d", "hello", 1000).status == SubmitStatus::kAccepted));
  BOOST_TEST((this->Submit("e", "hello", 1000).status == SubmitStatus::kDown));
}

// Guards against a crash that keeps state: requests, cache and incarnation.
BOOST_FIXTURE_TEST_CASE(CrashLosesRequestsAndCache, Fixture) {
  this->Submit("a", Words(32), 1);
  this->Run(milliseconds(100));
  this->Submit("b", "hello", 1000);
  CrashEngine(this->engine, this->now, milliseconds(50));
  BOOST_TEST((this->Submit("c", "hello", 1).status == SubmitStatus::kDown));
  this->Run(milliseconds(60));
  BOOST_TEST(this->engine.up);
  BOOST_TEST(this->engine.cold);
  BOOST_TEST(ActiveCount(this->engine) == 0);
  BOOST_TEST(!ExportChat(this->engine, "chat-a").has_value());
  BOOST_TEST(this->engine.stats.lost_in_crashes == 1U);
  CrashEngine(this->engine, this->now, std::nullopt);
  this->Run(std::chrono::seconds(5));
  BOOST_TEST(!this->engine.up);
}

// Guards against a marked prompt that does no harm.
BOOST_FIXTURE_TEST_CASE(MarkedPromptCrashesTheEngine, Fixture) {
  this->Submit("a", "hello", 1000);
  this->Submit("b", "please CRASH now", 10);
  this->Run(milliseconds(50));
  BOOST_TEST(this->Count(EngineEventKind::kCrashed) == 1);
  BOOST_TEST(this->engine.stats.lost_in_crashes == 2U);
}

// Guards against faults of single answers that reach no answer or more than one.
BOOST_FIXTURE_TEST_CASE(TruncateAndWrongIdHitOneAnswer, Fixture) {
  this->engine.faults.truncate_next = true;
  this->engine.faults.wrong_id_next = true;
  const auto damaged = this->Submit("a", "hello", 10);
  BOOST_TEST(damaged.echoed_request_id != "a");
  const auto good = this->Submit("b", "hello", 10);
  BOOST_TEST(good.echoed_request_id == "b");
  this->Run(milliseconds(200));
  BOOST_TEST(this->Count(EngineEventKind::kTruncated) == 1);
  BOOST_TEST(this->TokensOf(damaged.number) == 5);
  BOOST_TEST(this->TokensOf(good.number) == 10);
}

// Guards against silent connections that still answer, or that stop new ones.
BOOST_FIXTURE_TEST_CASE(SilencedRequestsGiveNoEvents, Fixture) {
  const auto silent = this->Submit("a", "hello", 10);
  SilenceActiveRequests(this->engine);
  const auto heard = this->Submit("b", "hello", 10);
  this->Run(milliseconds(200));
  BOOST_TEST(this->TokensOf(silent.number) == 0);
  BOOST_TEST(this->TokensOf(heard.number) == 10);
  BOOST_TEST(this->engine.stats.completed == 2U);
}

// Guards against a delay that load reports don't show.
BOOST_FIXTURE_TEST_CASE(DelayRaisesTimeToFirstToken, Fixture) {
  this->engine.faults.delay = milliseconds(400);
  this->Submit("a", "hello", 1);
  this->Run(milliseconds(400));
  BOOST_TEST(this->events.empty());
  this->Run(std::chrono::seconds(1));
  BOOST_TEST(ReportLoad(this->engine, this->now).first_token_ms > 400);
}

// Guards against a resumed answer that starts over or ends without its end.
BOOST_FIXTURE_TEST_CASE(ResumeSkipsTokens, Fixture) {
  EngineRequest request;
  request.request_id = "a";
  request.prompt = "hello";
  request.max_tokens = 10;
  request.resume_offset = 7;
  SubmitRequest(this->engine, request, this->now);
  this->Run(milliseconds(100));
  BOOST_TEST(this->events.front().from == 7);
  BOOST_TEST(this->events.back().to == 10);
  request.resume_offset = 10;
  SubmitRequest(this->engine, request, this->now);
  this->Run(milliseconds(1));
  BOOST_TEST(this->Count(EngineEventKind::kFinished) == 2);
}

// Guards against load reports that are exact: they must be late, and restart
// with the incarnation.
BOOST_FIXTURE_TEST_CASE(LoadReportsLag, Fixture) {
  this->Run(milliseconds(500));
  this->Submit("a", "hello", 1000);
  this->Run(milliseconds(150));
  BOOST_TEST(ReportLoad(this->engine, this->now).running == 0);
  this->Run(milliseconds(200));
  const LoadReport late = ReportLoad(this->engine, this->now);
  BOOST_TEST(late.running == 1);
  CrashEngine(this->engine, this->now, milliseconds(1));
  this->Run(milliseconds(5));
  const LoadReport fresh = ReportLoad(this->engine, this->now);
  BOOST_TEST(fresh.incarnation == late.incarnation + 1);
  BOOST_TEST(fresh.sequence < late.sequence);
  BOOST_TEST(fresh.cold);
}

// Guards against cache events that are complete and at once: they must be late
// and have gaps, the same ones for the same seed.
BOOST_FIXTURE_TEST_CASE(CacheEventsAreLateAndHaveGaps, Fixture) {
  this->settings.cache_event_loss = 0.3;
  const auto run = [this] {
    this->Reset();
    for (int index = 0; index < 50; ++index) {
      this->Submit(std::to_string(index), Words(32), 1);
      this->Run(milliseconds(60));
    }
    std::vector<std::uint64_t> sequences;
    for (const CacheEvent& event : ReportCacheEvents(this->engine, 0, this->now).events) {
      sequences.push_back(event.sequence);
    }
    return sequences;
  };
  const auto sequences = run();
  BOOST_TEST(!sequences.empty());
  BOOST_TEST(sequences.back() < this->engine.last_cache_sequence);
  BOOST_TEST(sequences.size() < sequences.back());
  BOOST_TEST(run() == sequences, boost::test_tools::per_element());
  this->settings.cache_event_loss = 0;
  this->Reset();
  this->Submit("a", Words(32), 1);
  this->Run(milliseconds(100));
  BOOST_TEST(ReportCacheEvents(this->engine, 0, this->now).events.empty());
  this->Run(this->settings.cache_event_delay);
  BOOST_TEST(ReportCacheEvents(this->engine, 0, this->now).events.size() == 1U);
}

// Guards against an old order that undoes a newer one, and against a stand-in
// that fences although it is set to ignore fencing.
BOOST_FIXTURE_TEST_CASE(OrdersObeyOrIgnoreFencing, Fixture) {
  EngineOrder newer;
  newer.fence = {2, 5};
  newer.version = "v2";
  EngineOrder older;
  older.fence = {2, 4};
  older.version = "v1";
  BOOST_TEST((AcceptOrder(this->engine, newer, this->now) == OrderStatus::kAccepted));
  BOOST_TEST((AcceptOrder(this->engine, older, this->now) == OrderStatus::kOldFence));
  this->Run(this->settings.order_time + milliseconds(1));
  BOOST_TEST(this->engine.version == "v2");
  BOOST_TEST(this->engine.cold);
  this->engine.settings.ignores_fencing = true;
  BOOST_TEST((AcceptOrder(this->engine, older, this->now) == OrderStatus::kAccepted));
  this->Run(this->settings.order_time + milliseconds(1));
  BOOST_TEST(this->engine.version == "v1");
}

// Guards against a KV transfer that loses the prefix, and against damaged bytes.
BOOST_FIXTURE_TEST_CASE(ExportedPrefixWorksOnAnotherEngine, Fixture) {
  const std::string prompt = Words(32);
  this->Submit("a", prompt, 1);
  this->Run(milliseconds(100));
  const std::string bytes = ExportChat(this->engine, "chat-a").value_or("");
  BOOST_REQUIRE(!bytes.empty());
  this->Reset();
  BOOST_TEST(!ImportChat(this->engine, "chat-a", bytes.substr(0, bytes.size() - 1), this->now));
  BOOST_TEST(ImportChat(this->engine, "chat-a", bytes, this->now).value_or(0) == 2U);
  this->events.clear();
  this->Submit("a", prompt, 1);
  this->Run(milliseconds(20));
  BOOST_REQUIRE(!this->events.empty());
  BOOST_TEST(this->events.back().cached_tokens == 32);
}

// Guards against an unbounded queue.
BOOST_FIXTURE_TEST_CASE(FullQueueRefuses, Fixture) {
  this->settings.max_waiting = 1;
  this->Reset();
  for (int index = 0; index < 5; ++index) {
    this->Submit(std::to_string(index), "hello", 100);
  }
  BOOST_TEST((this->Submit("x", "hello", 100).status == SubmitStatus::kRefusedFull));
  BOOST_TEST(!this->engine.stats.runs_by_request_id.contains("x"));
}

}  // namespace
}  // namespace geraniumspread::standin
