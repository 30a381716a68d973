#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <random>

#include "baselines.h"
#include "benches.h"
#include "common/hash.h"

namespace geraniumspread::bench {
namespace {

using placement::PlacementRequest;
using placement::PlacementState;

// Mean requests in flight per runner, as at the design size's peak.
constexpr int kMeanInFlight = 27;

struct Times {
  double median = 0.0;
  double p99 = 0.0;
};

Times Summarize(std::vector<double>& nanoseconds) {
  std::sort(nanoseconds.begin(), nanoseconds.end());
  return {nanoseconds[nanoseconds.size() / 2], nanoseconds[nanoseconds.size() * 99 / 100]};
}

// Times each call by itself. Includes the cost of reading the clock.
template <typename Call>
Times TimeEach(int count, Call call) {
  std::vector<double> nanoseconds;
  nanoseconds.reserve(static_cast<std::size_t>(count));
  for (int index = 0; index < count; ++index) {
    const auto begin = std::chrono::steady_clock::now();
    call(index);
    const auto end = std::chrono::steady_clock::now();
    nanoseconds.push_back(std::chrono::duration<double, std::nano>(end - begin).count());
  }
  return Summarize(nanoseconds);
}

PlacementRequest RequestOf(const FleetSpec& spec, std::uint64_t draw) {
  PlacementRequest request;
  request.pool = static_cast<placement::PoolIndex>(draw % static_cast<unsigned>(spec.pools));
  const std::uint64_t workspace = draw / 16 % static_cast<unsigned>(spec.workspaces);
  request.chat = static_cast<placement::ChatKey>(MixHash(workspace, draw));
  return request;
}

// Brings the state to the mean load and times decisions there.
Times TimePlacement(const FleetSpec& spec, int decisions, std::uint64_t seed) {
  PlacementState state = MakeWarmPlacement(spec, placement::PlacementSettings{}, TimePoint{});
  std::mt19937_64 random(seed);
  std::vector<placement::UpstreamIndex> running;
  running.reserve(static_cast<std::size_t>(spec.runners) * kMeanInFlight);
  const auto place = [&](const PlacementRequest& request) {
    const auto choice = placement::ChooseUpstream(state, request, TimePoint{});
    if (!choice) {
      return placement::kNoUpstream;
    }
    placement::RecordPlacement(state, request, choice.value(), TimePoint{});
    return choice.value().upstream;
  };
  for (int index = 0; index < spec.runners * kMeanInFlight; ++index) {
    running.push_back(place(RequestOf(spec, random())));
  }
  std::vector<PlacementRequest> requests;
  requests.reserve(static_cast<std::size_t>(decisions));
  for (int index = 0; index < decisions; ++index) {
    requests.push_back(RequestOf(spec, random()));
  }
  return TimeEach(decisions, [&](int index) {
    auto& slot = running[static_cast<std::size_t>(index) * 7919 % running.size()];
    if (slot != placement::kNoUpstream) {
      placement::RecordCompletion(state, slot);
    }
    slot = place(requests[static_cast<std::size_t>(index)]);
  });
}

Times TimeBaseline(const FleetSpec& spec, ChooserKind kind, int decisions, std::uint64_t seed) {
  ModelFleet fleet = MakeModelFleet(spec);
  std::mt19937_64 random(seed);
  for (ModelRunner& runner : fleet.runners) {
    runner.in_flight = kMeanInFlight - 5 + static_cast<std::int32_t>(random() % 11);
  }
  const auto chooser = MakeChooser(kind, spec);
  std::uint64_t sum = 0;
  const Times times = TimeEach(decisions, [&](int /*index*/) {
    ChatRequest request;
    const std::uint64_t draw = random();
    request.chat = static_cast<std::uint32_t>(draw);
    request.pool = static_cast<std::uint16_t>((draw >> 32U) % static_cast<unsigned>(spec.pools));
    sum += chooser->Choose(fleet, request, TimePoint{});
  });
  // Keeps the choices from being optimized away.
  return sum == 0 ? Times{} : times;
}

std::size_t AllocatedBytes() {
  return mallinfo2().uordblks;
}

// Without the exceptions table, whose size is a setting.
std::size_t PlacementBytes(const FleetSpec& spec) {
  placement::PlacementSettings settings;
  settings.exception_entries = placement::kExceptionWays;
  const std::size_t before = AllocatedBytes();
  const PlacementState state = MakeWarmPlacement(spec, settings, TimePoint{});
  return AllocatedBytes() - before;
}

struct Line {
  double slope = 0.0;
  double offset = 0.0;
};

// Least squares.
Line FitLine(const std::vector<std::pair<double, double>>& points) {
  const auto count = static_cast<double>(points.size());
  double x_sum = 0.0;
  double y_sum = 0.0;
  double xx_sum = 0.0;
  double xy_sum = 0.0;
  for (const auto& [x, y] : points) {
    x_sum += x;
    y_sum += y;
    xx_sum += x * x;
    xy_sum += x * y;
  }
  const double slope = (count * xy_sum - x_sum * y_sum) / (count * xx_sum - x_sum * x_sum);
  return {slope, (y_sum - slope * x_sum) / count};
}

struct Sums {
  std::vector<std::pair<double, double>> time_by_pool_size;
  std::vector<std::pair<double, double>> bytes_by_runners;
};

void AddFleet(Table& table, Sums& sums, const FleetSpec& spec, int decisions, std::uint64_t seed) {
  const Times placement = TimePlacement(spec, decisions, seed);
  const Times round_robin = TimeBaseline(spec, ChooserKind::kRoundRobin, decisions, seed);
  const Times least = TimeBaseline(spec, ChooserKind::kLeastOutstanding, decisions, seed);
  const Times rendezvous = TimeBaseline(spec, ChooserKind::kRendezvous, decisions, seed);
  const auto bytes = static_cast<double>(PlacementBytes(spec));
  const double per_pool = static_cast<double>(spec.runners) / spec.pools;
  if (spec.pools > 1) {
    sums.time_by_pool_size.emplace_back(per_pool, placement.median);
    sums.bytes_by_runners.emplace_back(spec.runners, bytes);
  }
  table.rows.push_back({spec.name, std::to_string(spec.runners), Whole(per_pool),
                        Whole(placement.median), Whole(placement.p99), Whole(round_robin.median),
                        Whole(least.median), Whole(rendezvous.median), Whole(bytes / 1024)});
}

// How many of the sampled chats have another upstream than in `before`.
std::int64_t CountMoved(const std::vector<std::uint32_t>& before,
                        const std::vector<std::uint32_t>& after) {
  std::int64_t moved = 0;
  for (std::size_t chat = 0; chat < before.size(); ++chat) {
    moved += before[chat] != after[chat] ? 1 : 0;
  }
  return moved;
}

constexpr std::uint32_t kSampledChats = 100000;

std::vector<std::uint32_t> PlaceAll(const PlacementState& state,
                                    const FleetSpec& spec,
                                    std::uint64_t seed,
                                    TimePoint now) {
  std::vector<std::uint32_t> upstreams;
  upstreams.reserve(kSampledChats);
  for (std::uint32_t chat = 0; chat < kSampledChats; ++chat) {
    const auto choice = placement::ChooseUpstream(state, RequestOf(spec, MixHash(seed, chat)), now);
    upstreams.push_back(choice ? choice.value().upstream : kNoRunner);
  }
  return upstreams;
}

struct Move {
  std::string what;
  double moved = 0.0;
  double minimum = 0.0;
};

void AddMoveRow(Table& table, const FleetSpec& spec, const Move& move) {
  // Without affinity the next request of a chat goes to any runner of the pool.
  const double per_pool = static_cast<double>(spec.runners) / spec.pools;
  const double without_affinity = kSampledChats * (1.0 - 1.0 / per_pool);
  table.rows.push_back({spec.name, move.what, Whole(move.minimum), Whole(move.moved),
                        Fixed(move.moved / move.minimum, 3),
                        Fixed(without_affinity / move.minimum, 1)});
}

std::int64_t CountAt(const std::vector<std::uint32_t>& places,
                     const PlacementState& state,
                     bool (*matches)(const PlacementState&, std::uint32_t)) {
  return std::count_if(places.begin(), places.end(),
                       [&](std::uint32_t upstream) { return matches(state, upstream); });
}

bool IsLeaving(const PlacementState& state, std::uint32_t upstream) {
  return state.upstreams[upstream].state == placement::UpstreamState::kLeaving;
}

bool IsInFirstDomain(const PlacementState& state, std::uint32_t upstream) {
  return state.upstreams[upstream].domain == 0;
}

}  // namespace

Table MeasureMovedChats(const FleetSpec& spec, std::uint64_t seed) {
  Table table;
  table.title = "Moved chats of " + std::to_string(kSampledChats) + ": " + spec.name;
  table.columns = {"fleet", "change",          "minimum",
                   "moved", "moved / minimum", "without affinity / minimum"};
  PlacementState state = MakeWarmPlacement(spec, placement::PlacementSettings{}, TimePoint{});
  const auto place = [&](TimePoint now) { return PlaceAll(state, spec, seed, now); };
  const auto steady = place(TimePoint{});
  const int leaving = std::max(1, spec.runners / 100);
  for (int index = 0; index < leaving; ++index) {
    placement::SetUpstreamState(state, static_cast<std::uint32_t>(spec.runners * index / leaving),
                                placement::UpstreamState::kLeaving);
  }
  const auto left = place(TimePoint{});
  AddMoveRow(table, spec,
             {"1% of the runners leave", static_cast<double>(CountMoved(steady, left)),
              static_cast<double>(CountAt(steady, state, IsLeaving))});
  const auto first_new = static_cast<std::uint32_t>(spec.runners);
  for (int index = 0; index < leaving; ++index) {
    const int place_of = spec.runners * index / leaving;
    AddToPlacement(state, first_new + static_cast<std::uint32_t>(index),
                   (place_of / spec.pools) % spec.domains, place_of % spec.pools);
    const auto joined = static_cast<placement::UpstreamIndex>(state.upstreams.size() - 1);
    placement::RecordReport(state, joined, ReportOf(1, 1), TimePoint{});
  }
  const auto replaced = place(TimePoint{});
  const auto at_new = std::count_if(replaced.begin(), replaced.end(),
                                    [first_new](auto upstream) { return upstream >= first_new; });
  AddMoveRow(table, spec,
             {"as many join", static_cast<double>(CountMoved(left, replaced)),
              static_cast<double>(at_new)});
  const auto in_first_domain = static_cast<double>(CountAt(replaced, state, IsInFirstDomain));
  placement::SetDomainInService(state, 0, false, TimePoint{});
  const auto out = place(TimePoint{});
  AddMoveRow(
      table, spec,
      {"a domain goes out", static_cast<double>(CountMoved(replaced, out)), in_first_domain});
  placement::SetDomainInService(state, 0, true, TimePoint{});
  const auto back = place(TimePoint{} + state.settings.return_ramp);
  AddMoveRow(
      table, spec,
      {"the domain comes back", static_cast<double>(CountMoved(out, back)), in_first_domain});
  return table;
}

Table MeasureDecisions(int decisions, std::uint64_t seed) {
  Table table;
  table.title = "Decision time (choice and accounting, ns) and placement state";
  table.columns = {"fleet",       "runners",           "per pool",         "median",   "p99",
                   "round robin", "least outstanding", "plain rendezvous", "state KiB"};
  Sums sums;
  AddFleet(table, sums, Crestline(), decisions, seed);
  AddFleet(table, sums, PecanBend(), decisions, seed);
  for (const int runners : {290, 725, 1450, 2900, 5800}) {
    AddFleet(table, sums, DesignSizeWith(runners), decisions, seed);
  }
  const Line time = FitLine(sums.time_by_pool_size);
  const Line bytes = FitLine(sums.bytes_by_runners);
  table.rows.push_back({"slope of 14 pools", "", "per runner of the pool: ns",
                        Fixed(time.slope, 2) + " + " + Whole(time.offset), "", "", "", "",
                        "bytes per runner: " + Whole(bytes.slope) + " + " + Whole(bytes.offset)});
  return table;
}

}  // namespace geraniumspread::bench
