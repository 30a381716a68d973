#include <boost/test/unit_test.hpp>
#include <random>
#include <string>

#include "engines/cache_events.h"
#include "engines/kv_transfers.h"
#include "engines/load_reports.h"

namespace geraniumspread::engines {
namespace {

using std::chrono::seconds;

constexpr TimePoint kStart{seconds(1000)};
constexpr std::uint64_t kSeed = 20261204;

const std::string kReport = R"({"instance": "e1", "incarnation": 3, "sequence": 8, "model": "m",
  "adapter": "a", "version": "v1", "role": "mixed", "running": 5, "waiting": 1, "capacity": 16,
  "cold_limit": 2, "cold": false, "cache_blocks": 10, "cache_capacity": 100,
  "first_token_ms": 12.5, "later": 1})";

LoadReport Report(std::uint64_t incarnation, std::uint64_t sequence, std::uint32_t running) {
  LoadReport report;
  report.instance = "e1";
  report.incarnation = incarnation;
  report.sequence = sequence;
  report.running = running;
  return report;
}

EnginesErrorCode ApplyError(LoadRecord& record, const LoadReport& report) {
  const auto effect = ApplyLoadReport(record, report);
  BOOST_REQUIRE(!effect);
  return effect.error().code;
}

// Guards against treating a report with an invalid field as a load of 0.
BOOST_AUTO_TEST_CASE(LoadReportFieldsAreChecked) {
  const auto report = ParseLoadReport(kReport);
  BOOST_REQUIRE(report.has_value());
  BOOST_TEST(report.value().running == 5U);
  BOOST_TEST(report.value().state.role == "mixed");
  BOOST_TEST(!report.value().cold);
  for (const std::string field : {"\"e1\"", "3,", "8,", "\"m\"", "5,", "16,", "false", "12.5"}) {
    std::string bad = kReport;
    bad.replace(bad.find(field), field.size(), field.ends_with(',') ? "-1," : "-1");
    const auto result = ParseLoadReport(bad);
    BOOST_REQUIRE_MESSAGE(!result, field);
    BOOST_TEST((result.error().code == EnginesErrorCode::kInvalidField));
  }
  BOOST_TEST((ParseLoadReport("[]").error().code == EnginesErrorCode::kMalformed));
  BOOST_TEST((ParseLoadReport(std::string(kMaxLoadReportBytes + 1, ' ')).error().code ==
              EnginesErrorCode::kTooLarge));
}

// Guards against a corrupt body that crashes the process.
BOOST_AUTO_TEST_CASE(CorruptBodiesGiveTypedErrors) {
  std::mt19937_64 random(kSeed);
  int refused = 0;
  for (int round = 0; round < 10'000; ++round) {
    std::string body = kReport;
    for (std::uint64_t change = 0; change <= random() % 4; ++change) {
      body[random() % body.size()] = static_cast<char>(random() % 128);
    }
    refused += ParseLoadReport(body) ? 0 : 1;
  }
  BOOST_TEST(refused > 1000);
}

// Guards against reports that are late, repeated or from another upstream, and
// against restarts and gaps in the sequence that go unnoticed.
BOOST_AUTO_TEST_CASE(ReportsAreOrderedAndGapsAreReported) {
  LoadRecord record;
  record.upstream = "e1";
  BOOST_TEST(!ApplyLoadReport(record, Report(3, 8, 0)).value().sequence_gap);
  BOOST_TEST(!ApplyLoadReport(record, Report(3, 9, 0)).value().sequence_gap);
  BOOST_TEST((ApplyError(record, Report(3, 9, 4)) == EnginesErrorCode::kStaleSequence));
  BOOST_TEST((ApplyError(record, Report(2, 99, 4)) == EnginesErrorCode::kStaleIncarnation));
  LoadReport foreign = Report(3, 10, 4);
  foreign.instance = "e2";
  BOOST_TEST((ApplyError(record, foreign) == EnginesErrorCode::kUnknownUpstream));
  BOOST_TEST(CorrectLoad(record).foreign == 0U);
  BOOST_TEST(ApplyLoadReport(record, Report(3, 12, 0)).value().sequence_gap);
  const auto restart = ApplyLoadReport(record, Report(4, 1, 0));
  BOOST_TEST(restart.value().new_incarnation);
  BOOST_TEST(!restart.value().sequence_gap);
}

// Guards against overload of an engine: requests that started after a delayed report
// and streams of a former owner are counted, and requests that have ended are not.
BOOST_AUTO_TEST_CASE(LoadIsCorrectedByOwnStartsAndEnds) {
  LoadRecord record;
  record.upstream = "e1";
  RecordRequestStart(record);
  RecordRequestStart(record);
  RecordPollSent(record, kStart);
  RecordRequestStart(record);  // after the poll: not in the report
  BOOST_REQUIRE(ApplyLoadReport(record, Report(1, 1, 5)));
  BOOST_TEST(CorrectLoad(record).foreign == 3U);
  BOOST_TEST(CorrectLoad(record).total == 6U);
  RecordRequestEnd(record);
  BOOST_TEST(CorrectLoad(record).total == 5U);
  RecordPollSent(record, kStart + seconds(1));
  BOOST_REQUIRE(ApplyLoadReport(record, Report(1, 2, 1)));
  BOOST_TEST(CorrectLoad(record).total == 2U);  // never below the own count
  BOOST_TEST(HasFreshReport(record, seconds(2), kStart + seconds(3)));
  BOOST_TEST(!HasFreshReport(record, seconds(2), kStart + seconds(4)));
}

// Guards against cache hints that are still used after events were lost or the engine
// restarted with an empty cache.
BOOST_AUTO_TEST_CASE(CacheEventGapsAndRestartsAreReported) {
  const auto batch = ParseCacheEvents(R"({"incarnation": 2, "first_sequence": 1, "events": [
    {"sequence": 1, "kind": "stored", "chat": "c1"},
    {"sequence": 4, "kind": "evicted", "chat": "c1"}]})");
  BOOST_REQUIRE(batch.has_value());
  CacheEventCursor cursor;
  auto update = ApplyCacheEvents(cursor, batch.value());
  BOOST_TEST(update.value().missed == 2U);
  BOOST_TEST(update.value().events.size() == 2U);
  update = ApplyCacheEvents(cursor, batch.value());
  BOOST_TEST(update.value().events.empty());
  update = ApplyCacheEvents(cursor, {2, 10, {{10, CacheEventKind::kStored, "c2"}}});
  BOOST_TEST(update.value().missed == 5U);
  BOOST_TEST(cursor.last_sequence == 10U);
  update = ApplyCacheEvents(cursor, {3, 1, {{1, CacheEventKind::kStored, "c3"}}});
  BOOST_TEST(update.value().cache_lost);
  BOOST_TEST(update.value().missed == 0U);
  BOOST_TEST(!ApplyCacheEvents(cursor, batch.value()));
  for (const std::string events :
       {R"({"sequence": 1, "kind": "moved", "chat": "c"})", R"({"kind": "stored", "chat": "c"})",
        R"({"sequence": 1, "kind": "stored"})", "1",
        R"({"sequence": 2, "kind": "stored", "chat": "c"},
           {"sequence": 2, "kind": "stored", "chat": "c"})"}) {
    std::string body = R"({"incarnation": 1, "first_sequence": 1, "events": [)";
    body.append(events).append("]}");
    const auto bad = ParseCacheEvents(body);
    BOOST_REQUIRE_MESSAGE(!bad, events);
    BOOST_TEST((bad.error().code == EnginesErrorCode::kInvalidField));
  }
}

// Guards against a planned leave that transfers more than its budget, fills a target
// beyond its cache, or spends the budget on chats that are not requested again soon.
BOOST_AUTO_TEST_CASE(KvTransfersStayWithinBudgetAndFreeBlocks) {
  const std::vector<CachedChat> chats = {
      {"old", 100, 1, kStart, "e2"},
      {"recent", 100, 1, kStart + seconds(9), "e2"},
      {"large", 900, 9, kStart + seconds(8), "e2"},
      {"full", 10, 1, kStart + seconds(7), "e3"},
      {"self", 10, 1, kStart + seconds(7), "e1"},
      {"gone", 10, 1, kStart + seconds(7), "e9"},
  };
  const auto moves = PlanKvTransfers("e1", chats, {{"e1", 9}, {"e2", 2}, {"e3", 0}}, 250);
  BOOST_REQUIRE(moves.size() == 2U);
  BOOST_TEST(moves[0].chat == "recent");
  BOOST_TEST(moves[1].chat == "old");
  BOOST_TEST(PlanKvTransfers("e1", chats, {{"e2", 20}}, 199).size() == 1U);
}

}  // namespace
}  // namespace geraniumspread::engines
