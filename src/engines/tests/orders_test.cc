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

// One engine, the command state of its owner, and the inputs of the next call.
struct Fixture {
  Fixture() {
    this->load.upstream = "e1";
    this->command_state.weight_tokens = 1;
    this->command_state.settings.weight_loads_per_second = 1000;
    this->inputs.config_version = 7;
    this->inputs.highest_known_version = 7;
    this->inputs.engines = {{{"e1", kNew}, {true, 3, kStart + std::chrono::hours(1)}, &this->load}};
    this->ApplyReport(kOld, kStart);
  }

  void ApplyReport(const EngineState& state, TimePoint now) {
    LoadReport report;
    report.instance = "e1";
    report.sequence = ++this->sequence;
    report.state = state;
    RecordPollSent(this->load, now);
    BOOST_REQUIRE(ApplyLoadReport(this->load, report));
  }

  std::vector<EngineCommand> Tick(TimePoint now) {
    return PlanCommands(this->command_state, this->inputs, now);
  }

  LoadRecord load;
  CommandState command_state;
  CommandInputs inputs;
  std::uint64_t sequence = 0;
};

// Guards against routers that compute different states from one configuration.
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

// Guards against a newer lease that takes precedence over a newer configuration, and
// against a token that overflows.
BOOST_AUTO_TEST_CASE(FenceComparesVersionFirstAndNeverOverflows) {
  BOOST_TEST((MakeFence(2, 1).value() > MakeFence(1, 1'000'000).value()));
  BOOST_TEST((MakeFence(2, 2).value() > MakeFence(2, 1).value()));
  BOOST_TEST(MakeFence((1U << 26U) - 1, (1U << 27U) - 1).value().token == (1ULL << 53U) - 1);
  BOOST_TEST(!MakeFence(1U << 26U, 0));
  BOOST_TEST(!MakeFence(0, 1U << 27U));
}

// Guards against commands from a router that isn't the owner, whose lease has
// expired, or that knows of a newer configuration.
BOOST_AUTO_TEST_CASE(OnlyTheCurrentLeaseHolderSendsCommands) {
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

// Guards against a process that paused between the decision and the write of the
// request.
BOOST_AUTO_TEST_CASE(PausedProcessSendsNothing) {
  Fixture fixture;
  fixture.inputs.engines[0].lease.expires_at = kStart + seconds(3);
  const auto commands = fixture.Tick(kStart);
  BOOST_REQUIRE(commands.size() == 1U);
  BOOST_TEST(IsStillValid(commands[0], 7, kStart + seconds(2)));
  BOOST_TEST(!IsStillValid(commands[0], 7, kStart + seconds(3)));
  BOOST_TEST(!IsStillValid(commands[0], 8, kStart + seconds(1)));
}

// Guards against two routers that override each other's commands to an engine with
// fencing: after a rejection only a higher token may be tried.
BOOST_AUTO_TEST_CASE(RejectedFenceIsNotTriedAgain) {
  Fixture fixture;
  const auto commands = fixture.Tick(kStart);
  HandleCommandResult(fixture.command_state, commands.at(0), CommandResult::kFenceRejected, kStart);
  for (int second = 1; second < 200; ++second) {
    fixture.ApplyReport(kOld, kStart + seconds(second));
    BOOST_TEST(fixture.Tick(kStart + seconds(second)).empty());
  }
  fixture.inputs.engines[0].lease.sequence = 4;
  fixture.ApplyReport(kOld, kStart + seconds(200));
  const auto next = fixture.Tick(kStart + seconds(200));
  BOOST_REQUIRE(next.size() == 1U);
  BOOST_TEST((next[0].fence > commands[0].fence));
}

// Guards against an engine that ignores fencing and obeys a late command of another
// router: the reported state is corrected.
BOOST_AUTO_TEST_CASE(IgnoredFenceIsCorrectedFromReportedState) {
  Fixture fixture;
  const auto commands = fixture.Tick(kStart);
  HandleCommandResult(fixture.command_state, commands.at(0), CommandResult::kAccepted, kStart);
  fixture.ApplyReport(kNew, kStart + seconds(30));
  BOOST_TEST(fixture.Tick(kStart + seconds(30)).empty());
  fixture.ApplyReport(kOld, kStart + seconds(59));  // may still be loading
  BOOST_TEST(fixture.Tick(kStart + seconds(59)).empty());
  fixture.ApplyReport(kOld, kStart + seconds(61));
  BOOST_TEST(fixture.Tick(kStart + seconds(61)).size() == 1U);
  BOOST_TEST(fixture.command_state.engines.at("e1").corrections == 1U);
}

// Guards against a lost command that leaves the engine in the old state, and against
// commands based on a stale report.
BOOST_AUTO_TEST_CASE(LostCommandIsSentAgain) {
  Fixture fixture;
  const auto commands = fixture.Tick(kStart);
  HandleCommandResult(fixture.command_state, commands.at(0), CommandResult::kNoResponse, kStart);
  fixture.ApplyReport(kOld, kStart + seconds(4));
  BOOST_TEST(fixture.Tick(kStart + seconds(4)).empty());
  BOOST_TEST(fixture.Tick(kStart + seconds(5)).size() == 1U);
  BOOST_TEST(fixture.Tick(kStart + seconds(20)).empty());
  fixture.ApplyReport(kOld, kStart + seconds(20));
  BOOST_TEST(fixture.Tick(kStart + seconds(20)).size() == 1U);
}

// Guards against routers that together load weights faster than the weight store
// allows, also after a restart of all routers and on both sides of a partition.
BOOST_AUTO_TEST_CASE(WeightLoadsOfAllRoutersStayWithinTheRate) {
  constexpr std::uint32_t kRouters = 8;
  std::size_t sent = 0;
  for (std::uint32_t router = 0; router < kRouters; ++router) {
    Fixture fixture;
    fixture.command_state = CommandState();
    fixture.command_state.settings.weight_loads_per_second = 0.5;
    const EngineView view = fixture.inputs.engines[0];
    fixture.inputs.engines.assign(10, view);
    for (std::size_t engine = 0; engine < 10; ++engine) {
      fixture.inputs.engines[engine].desired.id = "e" + std::to_string(engine);
    }
    for (int second = 0; second <= 120; ++second) {
      fixture.inputs.router_count = second < 40 ? kRouters : kRouters / 2;
      fixture.ApplyReport(kOld, kStart + seconds(second));
      const auto commands = fixture.Tick(kStart + seconds(second));
      sent += commands.size();
      for (const EngineCommand& command : commands) {
        HandleCommandResult(fixture.command_state, command, CommandResult::kAccepted,
                            kStart + seconds(second));
      }
    }
  }
  BOOST_TEST(sent <= 60U);
  BOOST_TEST(sent >= 48U);
}

}  // namespace
}  // namespace geraniumspread::engines
