#include <algorithm>
#include <future>
#include <queue>

#include "baselines.h"
#include "benches.h"
#include "common/hash.h"

namespace geraniumspread::bench {
namespace {

using std::chrono::seconds;

enum class Churn : std::uint8_t { kNone, kOnePercent, kTenPercent, kDomainOutAndBack };
constexpr Churn kAllChurn[] = {Churn::kNone, Churn::kOnePercent, Churn::kTenPercent,
                               Churn::kDomainOutAndBack};

std::string NameOf(Churn churn) {
  switch (churn) {
    case Churn::kNone:
      return "none";
    case Churn::kOnePercent:
      return "1%";
    case Churn::kTenPercent:
      return "10%";
    case Churn::kDomainOutAndBack:
      return "domain out and back";
  }
  return "";
}

// A runner is replaced by a new one after this time.
constexpr Duration kReplacementDelay = seconds(30);

struct Event {
  TimePoint at;
  enum class Kind : std::uint8_t { kLeave, kJoin, kDomainOut, kDomainBack } kind;
  std::uint32_t runner = 0;
};

std::vector<Event> MakeEvents(const FleetSpec& spec, Churn churn, Duration span) {
  std::vector<Event> events;
  const TimePoint start{};
  if (churn == Churn::kDomainOutAndBack) {
    events.push_back({start + span * 5 / 10, Event::Kind::kDomainOut});
    events.push_back({start + span * 7 / 10, Event::Kind::kDomainBack});
    return events;
  }
  if (churn == Churn::kNone) {
    return events;
  }
  const int divisor = churn == Churn::kOnePercent ? 100 : 10;
  const int count = std::max(1, spec.runners / divisor);
  for (int index = 0; index < count; ++index) {
    const TimePoint at = start + span * 4 / 10 + span * 5 / 10 * index / count;
    const auto runner = static_cast<std::uint32_t>(spec.runners * index / count);
    events.push_back({at, Event::Kind::kLeave, runner});
    events.push_back({at + kReplacementDelay, Event::Kind::kJoin, runner});
  }
  std::stable_sort(events.begin(), events.end(),
                   [](const Event& left, const Event& right) { return left.at < right.at; });
  return events;
}

struct Finish {
  TimePoint at;
  std::uint32_t runner;
  std::uint64_t incarnation;
  bool operator>(const Finish& other) const { return this->at > other.at; }
};

struct ReuseResult {
  std::int64_t returning = 0;
  std::int64_t hits = 0;
  std::int64_t refused = 0;
  std::int64_t requests = 0;
  double skew_sum = 0.0;
  std::int64_t skew_samples = 0;
  double skew_highest = 0.0;
  std::int32_t overshoot = 0;
  std::int64_t requests_over = 0;
};

struct Run {
  ModelFleet fleet;
  std::unique_ptr<Chooser> chooser;
  std::priority_queue<Finish, std::vector<Finish>, std::greater<>> finishes;
  ReuseResult result;
  TimePoint measured_from;
};

void EndRequest(Run& run, const Finish& finish) {
  ModelRunner& runner = run.fleet.runners[finish.runner];
  const bool counts = runner.incarnation == finish.incarnation;
  --runner.in_flight;
  run.chooser->Finished(finish.runner, counts);
  if (counts) {
    placement::RecordSuccess(runner.cold_start, placement::ColdStartPolicy{},
                             runner.cold_start.epoch);
  }
}

void Apply(Run& run, const Event& event, TimePoint now) {
  ModelFleet& fleet = run.fleet;
  switch (event.kind) {
    case Event::Kind::kLeave:
      fleet.runners[event.runner].usable = false;
      Clear(fleet.runners[event.runner].cache);
      run.chooser->Left(fleet, event.runner);
      break;
    case Event::Kind::kJoin: {
      const ModelRunner& gone = fleet.runners[event.runner];
      const std::uint32_t joined = AddRunner(fleet, gone.domain, gone.pool, now);
      run.chooser->Joined(fleet, joined);
      run.chooser->Tick(fleet, now);
      break;
    }
    case Event::Kind::kDomainOut:
    case Event::Kind::kDomainBack: {
      const bool back = event.kind == Event::Kind::kDomainBack;
      for (ModelRunner& runner : fleet.runners) {
        if (runner.domain != 0) {
          continue;
        }
        runner.usable = back;
        Clear(runner.cache);
        if (back) {
          StartCold(runner, now);
        }
      }
      run.chooser->SetDomain(0, back, now);
      run.chooser->Tick(fleet, now);
      break;
    }
  }
  ListUsable(fleet);
}

// Largest load over the mean, in the pool where it is largest. Cold runners are
// left out: they are kept below the mean on purpose.
void SampleSkew(Run& run) {
  double highest = 0.0;
  for (const auto& pool : run.fleet.of_pool) {
    std::int64_t sum = 0;
    std::int64_t warm = 0;
    std::int32_t largest = 0;
    for (const std::uint32_t index : pool) {
      const ModelRunner& runner = run.fleet.runners[index];
      if (!runner.cold_start.cold) {
        sum += runner.in_flight;
        ++warm;
        largest = std::max(largest, runner.in_flight);
      }
    }
    if (sum > 0) {
      highest = std::max(highest, static_cast<double>(largest * warm) / static_cast<double>(sum));
    }
  }
  run.result.skew_sum += highest;
  run.result.skew_highest = std::max(run.result.skew_highest, highest);
  ++run.result.skew_samples;
}

void Place(Run& run, const ChatRequest& request) {
  const bool measured = request.at >= run.measured_from;
  const std::uint32_t chosen = run.chooser->Choose(run.fleet, request, request.at);
  run.result.requests += measured ? 1 : 0;
  if (chosen == kNoRunner) {
    run.result.refused += measured ? 1 : 0;
    return;
  }
  ModelRunner& runner = run.fleet.runners[chosen];
  const bool hit = Touch(runner.cache, request.chat);
  ++runner.in_flight;
  if (measured && request.turn > 0) {
    ++run.result.returning;
    run.result.hits += hit ? 1 : 0;
  }
  const std::int32_t over = runner.in_flight - InFlightLimit(runner.cold_start);
  if (runner.cold_start.cold && over > 0) {
    run.result.overshoot = std::max(run.result.overshoot, over);
    ++run.result.requests_over;
  }
  run.finishes.push({request.at + request.length, chosen, runner.incarnation});
}

ReuseResult RunLoad(const FleetSpec& spec,
                    ChooserKind kind,
                    Churn churn,
                    const std::vector<ChatRequest>& requests,
                    Duration span) {
  Run run;
  run.fleet = MakeModelFleet(spec);
  run.chooser = MakeChooser(kind, spec);
  run.measured_from = TimePoint{} + span * 4 / 10;
  const std::vector<Event> events = MakeEvents(spec, churn, span);
  std::size_t next_event = 0;
  TimePoint next_tick{};
  for (const ChatRequest& request : requests) {
    while (!run.finishes.empty() && run.finishes.top().at <= request.at) {
      EndRequest(run, run.finishes.top());
      run.finishes.pop();
    }
    while (next_event < events.size() && events[next_event].at <= request.at) {
      Apply(run, events[next_event], events[next_event].at);
      ++next_event;
    }
    if (request.at >= next_tick) {
      next_tick = request.at + seconds(1);
      run.chooser->Tick(run.fleet, request.at);
      if (request.at >= run.measured_from) {
        SampleSkew(run);
      }
    }
    Place(run, request);
  }
  return run.result;
}

double Ratio(std::int64_t part, std::int64_t whole) {
  return static_cast<double>(part) / static_cast<double>(std::max<std::int64_t>(1, whole));
}

std::vector<std::string> MakeRow(const FleetSpec& spec,
                                 ChooserKind kind,
                                 Churn churn,
                                 const ReuseResult& result,
                                 const ReuseResult& best) {
  // A refused request of a returning chat reuses nothing.
  const double reuse = Ratio(result.hits, result.returning + result.refused);
  return {spec.name,
          NameOf(churn),
          NameOf(kind),
          Fixed(100 * reuse, 1),
          Fixed(100 * reuse / Ratio(best.hits, best.returning), 1),
          Fixed(result.skew_sum / static_cast<double>(result.skew_samples), 2),
          Fixed(result.skew_highest, 2),
          std::to_string(result.overshoot),
          std::to_string(result.requests_over),
          Fixed(100 * Ratio(result.refused, result.requests), 2)};
}

void AddRows(Table& table,
             const FleetSpec& spec,
             const std::vector<ChatRequest>& requests,
             Duration span,
             Churn churn) {
  std::vector<std::future<ReuseResult>> runs;
  runs.reserve(std::size(kAllChoosers));
  for (const ChooserKind kind : kAllChoosers) {
    runs.push_back(std::async(std::launch::async, [&spec, &requests, kind, churn, span] {
      return RunLoad(spec, kind, churn, requests, span);
    }));
  }
  std::vector<ReuseResult> results;
  results.reserve(runs.size());
  for (auto& run : runs) {
    results.push_back(run.get());
  }
  for (std::size_t index = 0; index < results.size(); ++index) {
    table.rows.push_back(MakeRow(spec, kAllChoosers[index], churn, results[index], results.back()));
  }
}

}  // namespace

Table MeasureReuse(const FleetSpec& spec, Duration span, std::uint64_t seed) {
  Table table;
  table.title = "Cache reuse, load skew and cold overshoot: " + spec.name;
  table.columns = {"fleet",         "churn",   "choice",         "reuse %",       "% of best",
                   "max/mean load", "highest", "cold overshoot", "requests over", "refused %"};
  LoadSpec load;
  load.span = span;
  const std::vector<ChatRequest> requests = MakeLoad(spec, load, seed);
  for (const Churn churn : kAllChurn) {
    AddRows(table, spec, requests, span, churn);
  }
  return table;
}

}  // namespace geraniumspread::bench
