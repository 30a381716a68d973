#include "dispatch/overflow_order.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "dispatch/tests/simulated_load.h"
#include "dispatch/tests/test_tables.h"

namespace geraniumspread::dispatch {
namespace {

using test::ChatPrompt;
using test::EngineRequest;
using test::kStart;
using test::MakeTable;

const Prompt kChat = ChatPrompt(1, 1);

// Returns the rows in the order of the chat.
std::vector<UpstreamRow> Order(const UpstreamTable& table) {
  std::vector<UpstreamRow> order = table.by_service.at("model");
  std::ranges::sort(order, std::greater(),
                    [](const UpstreamRow& row) { return OrderScore(SubjectOf(kChat), *row); });
  return order;
}

void SetLoad(Upstream& engine, std::uint32_t running) {
  engine.report = LoadReport{running, 0, kStart, 0};
}

// All engines run `usual` requests, the home is above its load bound.
UpstreamTable OverloadedHome(std::uint32_t usual) {
  UpstreamTable table = MakeTable(4);
  for (const auto& [id, row] : table.rows) {
    SetLoad(*row, usual);
  }
  SetLoad(*Order(table).front(), 5 * usual + 30);
  return table;
}

Candidate Chosen(const UpstreamTable& table, const std::string& domain) {
  return SelectUpstream(table, SelectionSettings{}, EngineRequest(kChat, domain))
      .candidates.front();
}

// Guards against one further engine per instance: with other loads, other prompts sent before and
// in other failure domains, all instances choose the same second engine.
BOOST_AUTO_TEST_CASE(InstancesWithDifferentKnowledgeChooseTheSameSecondEngine) {
  for (const char* domain : {"a", "b", "c"}) {
    for (const std::uint32_t load : {3, 5, 8}) {
      UpstreamTable table = OverloadedHome(load);
      const std::vector<UpstreamRow> order = Order(table);
      SetLoad(*order.at(5), 0);
      RecordPrompt(order.at(7)->prompt_cache, ChatPrompt(2, 2), 100'000);
      const Candidate chosen = Chosen(table, domain);
      BOOST_TEST(chosen.row->listing.id == order.at(1)->listing.id);
      BOOST_TEST(chosen.overflow_rank == 1U);
    }
  }
}

// Guards against an order that holds on to engines that can't serve: each of these makes
// the second engine yield to the third.
BOOST_AUTO_TEST_CASE(AnEngineThatCantTakeMoreYieldsToTheNextOfTheOrder) {
  const auto third_is_chosen = [](const auto& change) {
    UpstreamTable table = OverloadedHome(4);
    const std::vector<UpstreamRow> order = Order(table);
    change(table, *order.at(1));
    const Candidate chosen = Chosen(table, "a");
    BOOST_TEST(chosen.row->listing.id == order.at(2)->listing.id);
  };
  third_is_chosen([](auto&, Upstream& second) { SetLoad(second, 60); });
  third_is_chosen([](auto&, Upstream& second) { RecordConnectFailure(second.health, kStart); });
  third_is_chosen([](auto&, Upstream& second) { second.announced.leaving = true; });
  third_is_chosen([](auto&, Upstream& second) { second.announced.pause_until = TimePoint::max(); });
  third_is_chosen([](auto&, Upstream& second) { second.pending_prefill_tokens = 100'000; });
}

// Guards against calls to engines that lost the parts, or are about to leave: the source is the
// first engine of the order that takes new work, and of several to which this instance sent the
// parts the first of the order.
BOOST_AUTO_TEST_CASE(PartsAreFetchedFromTheFirstEngineOfTheOrder) {
  UpstreamTable table = MakeTable(4);
  const std::vector<UpstreamRow> order = Order(table);
  order.front()->announced.leaving = true;
  SelectionRequest request = EngineRequest(kChat);
  BOOST_TEST(FindPrefixSource(table, request, *order.at(3)) == order.at(1).get());
  for (const std::size_t holder : {9, 2, 6}) {
    RecordPrompt(order.at(holder)->prompt_cache, kChat, 100'000);
  }
  BOOST_TEST(FindPrefixSource(table, request, *order.at(3)) == order.at(2).get());
}

struct Result {
  double prefilled_again = 0;
  double above_bound = 0;
};

Result Overflow(test::LoadPattern pattern, std::size_t ranks) {
  constexpr unsigned kSeeds = 3;
  pattern.burst = 2.5;
  pattern.popular = 0.3;
  pattern.has_transfers = false;
  SelectionSettings settings;
  settings.overflow_ranks = ranks;
  Result result;
  double sent = 0;
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    const test::LoadCounts counts = test::LoadedFleet(pattern, settings, seed).Run();
    result.prefilled_again += counts.prefilled_again;
    result.above_bound += static_cast<double>(counts.above_bound);
    sent += static_cast<double>(counts.sent);
  }
  result.above_bound /= sent;
  BOOST_TEST_MESSAGE(ranks << " ranks: " << result.prefilled_again << " tokens prefilled again, "
                           << result.above_bound << " above the load bound");
  return result;
}

// Load pattern: 2.5 times the long prompts, 30 in 100 of them of one subject, at 64 instances and
// 140 engines that transfer nothing. Guards against shared parts that each instance has computed
// at an engine of its own choice, and against overflow that exceeds the load bound.
BOOST_AUTO_TEST_CASE(APopularSubjectIsPrefilledAtFewEngines) {
  const test::LoadPattern pattern = test::StreamsAtSixtyFourInstances();
  const Result off = Overflow(pattern, 0);
  const Result on = Overflow(pattern, SelectionSettings{}.overflow_ranks);
  BOOST_TEST(on.prefilled_again < 0.85 * off.prefilled_again);
  BOOST_TEST(on.above_bound < 0.01);
}

// Load pattern: the same while a failure domain goes out of service and 14 engines are slow, which
// nobody knows.
BOOST_AUTO_TEST_CASE(APopularSubjectIsPrefilledAtFewEnginesInAnOutage) {
  test::LoadPattern pattern = test::StreamsAtSixtyFourInstances();
  pattern.has_domain_outage = true;
  pattern.slow_engines = 14;
  const Result off = Overflow(pattern, 0);
  const Result on = Overflow(pattern, SelectionSettings{}.overflow_ranks);
  BOOST_TEST(on.prefilled_again < off.prefilled_again);
  BOOST_TEST(on.above_bound < 0.03);
}

}  // namespace
}  // namespace geraniumspread::dispatch
