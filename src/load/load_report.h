#ifndef LOAD_LOAD_REPORT_H_
#define LOAD_LOAD_REPORT_H_

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "load/answer_check.h"
#include "load/measured_times.h"
#include "load/standin_stats.h"
#include "load/workload.h"

namespace geraniumspread::load {

// Exit codes of geranium_load. When several apply, the lowest but 0 is used.
enum class ExitCode : int {
  kGood = 0,
  kDamagedAnswer = 1,  // an answer was damaged or belongs to another request
  kBadUsage = 2,
  kRanTwice = 3,        // a non-repeatable request ran more than once
  kFalseNotRun = 4,     // a refusal said "not run" of a request that had run
  kRunNotStated = 5,    // a refusal didn't say whether the request ran
  kNothingChecked = 6,  // no good answer, or the stand-ins' statistics can't be read
};

struct KindCounts {
  std::uint64_t sent = 0;
  std::uint64_t good = 0;
  std::uint64_t refused = 0;
  std::uint64_t failed = 0;  // the connection gave no whole answer
  std::uint64_t damaged = 0;
};

// One second of the run.
struct SecondCounts {
  std::uint64_t sent = 0;
  std::uint64_t good = 0;
  std::uint64_t refused = 0;
  std::uint64_t failed = 0;
  std::uint64_t damaged = 0;
  std::uint64_t first_tokens = 0;
  double first_token_ms_sum = 0;
};

struct RouterTraffic {
  std::string router;
  double control_bytes_per_second = 0;
};

// Everything a run has counted.
struct LoadTotals {
  std::array<KindCounts, kWorkKindCount> by_kind{};
  std::vector<SecondCounts> seconds;
  std::map<std::string, std::uint64_t> refusals;     // by "<status> <code>"
  std::map<std::string, std::uint64_t> refused_ran;  // by the value of X-Ran, or "not stated"
  std::map<std::string, std::uint64_t> failures;     // by transport error and phase
  std::map<std::string, std::uint64_t> damage;       // by AnswerFault
  std::map<std::string, std::uint64_t> events;       // by "done <path>" or "failed <path>"
  std::uint64_t unreachable_routers = 0;  // connects that failed and went to the next router
  std::uint64_t sent_within_limits = 0;   // by workspaces within their limits
  std::uint64_t refused_within_limits = 0;
  std::uint64_t not_sent = 0;  // arrivals over the limit of open requests
  std::uint64_t resumed_streams = 0;
  std::uint64_t repeated_orders = 0;
  std::uint64_t replayed_orders = 0;       // repeats that got the whole answer too
  std::uint64_t reusable_tokens = 0;       // whole blocks of prompt seen before in the chat
  std::uint64_t cached_tokens = 0;         // of the same answers
  std::set<std::string> tickets;           // of this run
  std::set<std::string> answered_tickets;  // got a good answer
  std::set<std::string> not_run_tickets;   // every attempt was refused as "not run"
  std::set<std::string> not_run_requests;  // request ids refused as "not run"
  MeasuredTimes first_token;
  MeasuredTimes between_tokens;
  MeasuredTimes lookup;
  MeasuredTimes draft;
};

struct LoadReport {
  const LoadTotals& totals;
  Duration elapsed{0};
  std::optional<StandinCounts> before;
  std::optional<StandinCounts> after;
  std::vector<RouterTraffic> traffic;
};

// Violations that only the stand-ins' counters show.
struct RunViolations {
  std::uint64_t ran_twice = 0;         // tickets
  std::uint64_t answered_not_run = 0;  // tickets with a good answer and no run
  std::uint64_t false_not_run = 0;     // tickets and requests
};

RunViolations FindViolations(const LoadReport& report);
ExitCode Judge(const LoadReport& report);

// One "name: value" line per figure.
std::string FormatReport(const LoadReport& report);
// One line per second, with a header line.
std::string FormatCsv(const LoadTotals& totals);
// Answers, refusals and failures over time.
std::string FormatSvg(const LoadTotals& totals);

}  // namespace geraniumspread::load

#endif  // LOAD_LOAD_REPORT_H_
