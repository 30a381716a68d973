#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "engines/engine_commands.h"

namespace geraniumspread::engines {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(1000)};
const EngineState kOld{"m", "", "v1", ""};
const EngineState kNew{"m", "", "v2", ""};

// One engine, its owner's orders, and the inputs of the next tick.
struct Fixture {
  Fixture() {
    this->load.upstream = "e1";
    this->orders.weight_tokens = 1;
    this->orders.settings.weight_loads_per_second = 1000;
    this->inputs.config_version = 7;
    this->inputs.highest_known_version = 7;
    this->inputs.engines = {{{"e1", kNew}, {true, 3, kStart + std::chrono::hours(1)}, &this->load}};
    this->ReadBack(kOld, kStart);
  }

  void ReadBack(const EngineState& state, TimePoint now) {
    LoadReport report;
    report.instance = "e1";
    report.sequence = ++this->sequence;
    report.state = state;
    RecordPollSent(this->load, now);
    BOOST_REQUIRE(ApplyLoadReport(this->load, report));
  }

  std::vector<EngineCommand> Tick(TimePoint now) {
    return PlanCommands(this->orders, this->inputs, now);
  }

  LoadRecord load;
  CommandState orders;
  CommandInputs inputs;
  std::uint64_t sequence = 0;
};

// Guards against routers that order different states for one configuration.
BOOST_AUTO_TEST_CASE(DesiredStateIsAPureFunction) {
  const std::vector<PoolSpec> pools = {{"p1", "m1", "a", "v1", {{"prefill", 1}, {"decode", 2}}},
                                       {"p2", "m2", "", "v2", {}}};
  std::vector<LiveEngine> live;
  live.reserve(12);
  for (int engine = 0; engine < 12; ++engine) {
    live.push_back({"e" + std::to_string(engine), engine < 9 ? "p1" : (engine < 11 ? "p2" : "p9")});
  }
  const auto desired = DesiredStates(pools, live);
  BOOST_TEST(desired.size() == 11U);
  std::ranges::reverse(live);
  const auto again = DesiredStates({pools[1], pools[0]}, live);
  std::size_t prefill = 0;
  for (std::size_t index = 0; index < desired.size(); ++index) {
    BOOST_TEST(desired[index].id == again[index].id);
    BOOST_TEST((desired[index].state == again[index].state));
    prefill += desired[index].state.role == "prefill" ? 1 : 0;
  }
  BOOST_TEST(prefill == 3U);
}

// Guards against a newer lease that beats a newer configuration, and against a
// token that wraps around.
BOOST_AUTO_TEST_CASE(FenceComparesVersionFirstAndNeverWraps) {
  BOOST_TEST((MakeFence(2, 1).value() > MakeFence(1, 1'000'000).value()));
  BOOST_TEST((MakeFence(2, 2).value() > MakeFence(2, 1).value()));
  BOOST_TEST(MakeFence((1U << 26U) - 1, (1U << 27U) - 1).value().token == (1ULL << 53U) - 1);
  BOOST_TEST(!MakeFence(1U << 26U, 0));
  BOOST_TEST(!MakeFence(0, 1U << 27U));
}

// Guards against orders by a router that isn't the owner, whose lease has run
// out, or that knows of a newer configuration.
BOOST_AUTO_TEST_CASE(OnlyTheCurrentLeaseHolderOrders) {
  Fixture fixture;
  EngineLease& lease = fixture.inputs.engines[0].lease;
  lease.held = false;
  BOOST_TEST(fixture.Tick(kStart).empty());
  lease = {true, 3, kStart + milliseconds(200)};
  BOOST_TEST(fixture.Tick(kStart).empty());
  lease.expires_at = kStart + seconds(3);
  fixture.inputs.highest_known_version = 8;
  BOOST_TEST(fixture.Tick(kStart).empty());
  fixture.inputs.highest_known_version = 7;
  BOOST_TEST(fixture.Tick(kStart).size() == 1U);
}

// Guards against a process that paused between the decision and the request.
BOOST_AUTO_TEST_CASE(LateProcessSendsNothing) {
  Fixture fixture;
  fixture.inputs.engines[0].lease.expires_at = kStart + seconds(3);
  const auto commands = fixture.Tick(kStart);
  BOOST_REQUIRE(commands.size() == 1U);
  BOOST_TEST(IsStillValid(commands[0], 7, kStart + seconds(2)));
  BOOST_TEST(!IsStillValid(commands[0], 7, kStart + seconds(3)));
  BOOST_TEST(!IsStillValid(commands[0], 8, kStart + seconds(1)));
}

// Guards against a fight between two routers over an engine with fencing: after
// a refusal only a higher token may be tried.
BOOST_AUTO_TEST_CASE(OldFenceIsNotTriedAgain) {
  Fixture fixture;
  const auto commands = fixture.Tick(kStart);
  HandleCommandResult(fixture.orders, commands.at(0), CommandResult::kFenceRejected, kStart);
  for (int second = 1; second < 200; ++second) {
    fixture.ReadBack(kOld, kStart + seconds(second));
    BOOST_TEST(fixture.Tick(kStart + seconds(second)).empty());
  }
  fixture.inputs.engines[0].lease.sequence = 4;
  fixture.ReadBack(kOld, kStart + seconds(200));
  const auto next = fixture.Tick(kStart + seconds(200));
  BOOST_REQUIRE(next.size() == 1U);
  BOOST_TEST((next[0].fence > commands[0].fence));
}

// Guards against an engine that ignores fencing and obeys a late order of
// another router: the state read back is corrected.
BOOST_AUTO_TEST_CASE(IgnoredFenceIsCorrectedFromReadBack) {
  Fixture fixture;
  const auto commands = fixture.Tick(kStart);
  HandleCommandResult(fixture.orders, commands.at(0), CommandResult::kAccepted, kStart);
  fixture.ReadBack(kNew, kStart + seconds(30));
  BOOST_TEST(fixture.Tick(kStart + seconds(30)).empty());
  fixture.ReadBack(kOld, kStart + seconds(59));  // may still be loading
  BOOST_TEST(fixture.Tick(kStart + seconds(59)).empty());
  fixture.ReadBack(kOld, kStart + seconds(61));
  BOOST_TEST(fixture.Tick(kStart + seconds(61)).size() == 1U);
  BOOST_TEST(fixture.orders.engines.at("e1").corrections == 1U);
}

// Guards against a lost order that leaves the engine in the old state, and
// against orders based on a report that is long out of date.
BOOST_AUTO_TEST_CASE(LostOrderIsSentAgain) {
  Fixture fixture;
  const auto commands = fixture.Tick(kStart);
  HandleCommandResult(fixture.orders, commands.at(0), CommandResult::kNoResponse, kStart);
  fixture.ReadBack(kOld, kStart + seconds(4));
  BOOST_TEST(fixture.Tick(kStart + seconds(4)).empty());
  BOOST_TEST(fixture.Tick(kStart + seconds(5)).size() == 1U);
  BOOST_TEST(fixture.Tick(kStart + seconds(20)).empty());
  fixture.ReadBack(kOld, kStart + seconds(20));
  BOOST_TEST(fixture.Tick(kStart + seconds(20)).size() == 1U);
}

// Guards against routers that together load weights faster than the store
// allows, also after a restart of all and on both sides of a partition.
BOOST_AUTO_TEST_CASE(WeightLoadsOfAllRoutersStayWithinTheRate) {
  constexpr std::uint32_t kRouters = 8;
  std::size_t sent = 0;
  for (std::uint32_t router = 0; router < kRouters; ++router) {
    Fixture fixture;
    fixture.orders = CommandState();
    fixture.orders.settings.weight_loads_per_second = 0.5;
    const EngineView view = fixture.inputs.engines[0];
    fixture.inputs.engines.assign(10, view);
    for (std::size_t engine = 0; engine < 10; ++engine) {
      fixture.inputs.engines[engine].desired.id = "e" + std::to_string(engine);
    }
    for (int second = 0; second <= 120; ++second) {
      fixture.inputs.router_count = second < 40 ? kRouters : kRouters / 2;
      fixture.ReadBack(kOld, kStart + seconds(second));
      const auto commands = fixture.Tick(kStart + seconds(second));
      sent += commands.size();
      for (const EngineCommand& command : commands) {
        HandleCommandResult(fixture.orders, command, CommandResult::kAccepted,
                            kStart + seconds(second));
      }
    }
  }
  BOOST_TEST(sent <= 60U);
  BOOST_TEST(sent >= 48U);
}

}  // namespace
}  // namespace geraniumspread::engines
