#include "dispatch/prefill_contention.h"

#include <boost/test/unit_test.hpp>
#include <memory>

#include "dispatch/tests/simulated_load.h"
#include "dispatch/tests/test_tables.h"

namespace geraniumspread::dispatch {
namespace {

using namespace std::chrono_literals;
using test::EngineRequest;
using test::MakeTable;

// A request without shared parts, whose body makes another failure domain cost about `remote_ms`.
SelectionRequest Request(std::uint32_t tokens, Duration goal, std::size_t remote_ms) {
  Prompt prompt;
  prompt.parts = {{1, tokens}};
  prompt.input_tokens = tokens;
  SelectionRequest request = EngineRequest(prompt);
  request.latency_goal = goal;
  request.tightest_goal = 600ms;
  request.body_bytes = remote_ms * 1024 / 6;
  return request;
}

std::string DomainOfChosen(const UpstreamTable& table,
                           const SelectionRequest& request,
                           bool weighs_contention = true) {
  SelectionSettings settings;
  settings.weighs_contention = weighs_contention;
  return SelectUpstream(table, settings, request).candidates.front().row->listing.failure_domain;
}

// Returns a table in which the engine of domain a runs requests, and has prompts that wait.
UpstreamTable BusyEngine(std::uint32_t running, std::uint64_t waiting_tokens) {
  UpstreamTable table = MakeTable(1);
  table.rows.at("a0")->running = running;
  table.rows.at("a0")->pending_prefill_tokens = waiting_tokens;
  return table;
}

// Guards against long prompts that queue behind each other while other engines are idle.
BOOST_AUTO_TEST_CASE(ALongPromptPrefersAnEngineWithoutAnother) {
  const UpstreamTable table = BusyEngine(1, 9200);
  const SelectionRequest request = Request(9200, 2500ms, 300);
  BOOST_TEST(DomainOfChosen(table, request) != "a");
  BOOST_TEST(DomainOfChosen(table, request, false) == "a");
}

// Guards against a long prompt at an engine where many requests run, which it delays.
BOOST_AUTO_TEST_CASE(ALongPromptCountsWhatItDelays) {
  const UpstreamTable table = BusyEngine(5, 0);
  // The mean load is that of the engine of domain a.
  table.rows.at("c0")->running = 10;
  const SelectionRequest request = Request(9200, 2500ms, 60);
  BOOST_TEST(DomainOfChosen(table, request) != "a");
  BOOST_TEST(DomainOfChosen(table, request, false) == "a");
  BOOST_TEST(DomainOfChosen(table, Request(700, 2500ms, 60)) == "a");
}

// Guards against short prompts behind long ones that make them late, and against short prompts
// that leave although their own goal allows the wait.
BOOST_AUTO_TEST_CASE(AShortPromptAvoidsALongOneIfItsGoalIsAtStake) {
  const UpstreamTable table = BusyEngine(1, 18'400);
  BOOST_TEST(DomainOfChosen(table, Request(700, 600ms, 600)) != "a");
  BOOST_TEST(DomainOfChosen(table, Request(700, 600ms, 600), false) == "a");
  BOOST_TEST(DomainOfChosen(table, Request(700, 5s, 600)) == "a");
}

// Guards against other choices in deployments whose routes have no goals.
BOOST_AUTO_TEST_CASE(WithoutGoalsNothingChanges) {
  const UpstreamTable table = BusyEngine(5, 18'400);
  SelectionRequest request = EngineRequest(test::ChatPrompt(1, 1));
  SelectionSettings off;
  off.weighs_contention = false;
  const Selection with = SelectUpstream(table, SelectionSettings{}, request);
  const Selection without = SelectUpstream(table, off, request);
  BOOST_TEST_REQUIRE(with.candidates.size() == without.candidates.size());
  for (std::size_t index = 0; index < with.candidates.size(); ++index) {
    BOOST_TEST(with.candidates[index].cost_ms == without.candidates[index].cost_ms);
    BOOST_TEST(with.candidates[index].uncached_tokens == without.candidates[index].uncached_tokens);
  }
}

struct Result {
  double on_time_short = 0;
  double on_time_long = 0;
  double prefilled_again = 0;
  double above_bound = 0;
};

Result Burst(bool weighs_contention) {
  constexpr unsigned kSeeds = 4;
  test::LoadPattern pattern = test::StreamsAtSixtyFourInstances();
  pattern.burst = 2.5;
  pattern.has_domain_outage = true;
  pattern.has_transfers = false;
  pattern.is_warm = false;
  pattern.kinds.front().subjects = 4000;
  SelectionSettings settings;
  settings.weighs_contention = weighs_contention;
  Result sum;
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    const test::LoadCounts counts = test::LoadedFleet(pattern, settings, seed).Run();
    const auto share = [](double part, double all) { return part / all / kSeeds; };
    sum.on_time_long +=
        share(static_cast<double>(counts.on_time_of[0]), static_cast<double>(counts.sent_of[0]));
    sum.on_time_short +=
        share(static_cast<double>(counts.on_time_of[2]), static_cast<double>(counts.sent_of[2]));
    sum.prefilled_again += share(counts.prefilled_again, counts.prefilled);
    sum.above_bound +=
        share(static_cast<double>(counts.above_bound), static_cast<double>(counts.sent));
  }
  BOOST_TEST_MESSAGE((weighs_contention ? "with" : "without")
                     << ": short on time " << sum.on_time_short << ", long " << sum.on_time_long
                     << ", prefilled again " << sum.prefilled_again << ", above the load bound "
                     << sum.above_bound);
  return sum;
}

// Load pattern: 2.5 times the long prompts, of 4,000 subjects that no engine has cached, at 64
// instances and 140 engines of which a failure domain goes out of service: prefill takes nine
// tenths of what the others can do. Guards against short prompts that are late behind long ones.
BOOST_AUTO_TEST_CASE(MoreShortPromptsAreOnTimeInABurstOfLongOnes) {
  const Result off = Burst(false);
  const Result on = Burst(true);
  BOOST_TEST(1 - on.on_time_short < 0.85 * (1 - off.on_time_short));
  BOOST_TEST(on.on_time_long >= off.on_time_long - 0.001);
  BOOST_TEST(on.prefilled_again < 0.2);
  BOOST_TEST(on.above_bound < 0.03);
}

}  // namespace
}  // namespace geraniumspread::dispatch
