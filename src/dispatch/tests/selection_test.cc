#include "dispatch/selection.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <random>
#include <set>

#include "dispatch/tests/test_tables.h"

namespace geraniumspread::dispatch {
namespace {

using namespace std::chrono_literals;
using test::ChatPrompt;
using test::EngineRequest;
using test::kStart;
using test::MakeTable;

std::string Chosen(const UpstreamTable& table, const SelectionRequest& request) {
  const Selection selection = SelectUpstream(table, SelectionSettings{}, request);
  return selection.candidates.empty() ? "" : selection.candidates.front().row->listing.id;
}

// Guards against prefill of the same chat on several engines because instances of
// different failure domains send it to different engines.
BOOST_AUTO_TEST_CASE(InstancesOfAllDomainsAgreeOnTheHomeOfAChat) {
  const UpstreamTable table = MakeTable(4);
  for (std::uint64_t chat = 0; chat < 50; ++chat) {
    const Prompt prompt = ChatPrompt(chat, chat);
    const std::string home = Chosen(table, EngineRequest(prompt, "a"));
    BOOST_TEST(Chosen(table, EngineRequest(prompt, "b")) == home);
    BOOST_TEST(Chosen(table, EngineRequest(prompt, "c")) == home);
  }
}

// Pattern: nearly all long prompts have the same first part. Homes chosen by first
// part would put them all on one engine.
BOOST_AUTO_TEST_CASE(ChatsWithOneCommonFirstPartSpreadOverTheEngines) {
  const UpstreamTable table = MakeTable(4);
  std::map<std::string, int> chats;
  constexpr int kChats = 600;
  for (std::uint64_t chat = 0; chat < kChats; ++chat) {
    ++chats[Chosen(table, EngineRequest(ChatPrompt(chat, chat)))];
  }
  BOOST_TEST(chats.size() == 12U);
  for (const auto& [upstream, count] : chats) {
    BOOST_TEST(count <= 2 * kChats / 12, upstream << " is home of " << count);
  }
}

// Pattern: a burst of requests for one chat. The load bound diverts the excess before
// the load of the home reaches twice the mean.
BOOST_AUTO_TEST_CASE(AHotChatStaysUnderTheLoadBound) {
  const UpstreamTable table = MakeTable(4);
  std::vector<std::unique_ptr<RunningRequest>> running;
  const SelectionSettings settings;
  for (std::uint64_t attempt = 0; attempt < 200; ++attempt) {
    const Prompt prompt = ChatPrompt(attempt % 3 == 0 ? 1 : attempt, attempt, 500);
    const Selection selection = SelectUpstream(table, settings, EngineRequest(prompt));
    const Candidate& chosen = selection.candidates.front();
    const double mean = static_cast<double>(attempt) / 12;
    BOOST_TEST(chosen.running <= settings.load_factor * mean + settings.load_slack);
    running.push_back(std::make_unique<RunningRequest>(chosen.row, chosen.uncached_tokens));
    running.back()->RecordPrefillDone();
  }
}

// Pattern: a partition isolates an instance with the upstreams of its own failure
// domain, which hold all the load that it still sends; the others appear idle. In a
// day with a zone cut the idle ones lowered the mean, the own domain exceeded the
// load bound, and 18 requests were refused after four failed connects each.
BOOST_AUTO_TEST_CASE(UpstreamsInASilentDomainDontLowerTheMean) {
  UpstreamTable table = MakeTable(4);
  table.domains_silent = {"b", "c"};
  std::vector<std::unique_ptr<RunningRequest>> running;
  for (const auto& [id, row] : table.rows) {
    for (int attempt = 0; attempt < 6 && row->listing.failure_domain == "a"; ++attempt) {
      running.push_back(std::make_unique<RunningRequest>(row, 0));
    }
  }
  for (std::uint64_t chat = 0; chat < 20; ++chat) {
    const Selection selection =
        SelectUpstream(table, SelectionSettings{}, EngineRequest(ChatPrompt(chat, chat), "a"));
    BOOST_TEST(selection.candidates.front().row->listing.failure_domain == "a");
  }
}

// Guards against computing parts again although an engine caches them. A chat that
// leaves its home is fetched from there. A chat whose home is new is fetched from its
// former home, even while that engine drains.
BOOST_AUTO_TEST_CASE(MovedChatsAreFetchedFromTheirFormerHome) {
  UpstreamTable table = MakeTable(4);
  SelectionRequest request = EngineRequest(ChatPrompt(1, 1));
  request.now = kStart + 1min;
  const Selection selection = SelectUpstream(table, SelectionSettings{}, request);
  const UpstreamRow home = selection.candidates.front().row;
  const UpstreamRow other = selection.candidates.back().row;
  // As far as this instance knows, a third engine caches only the first part.
  Prompt first_part_only = ChatPrompt(2, 2);
  RecordPrompt(selection.candidates.at(5).row->prompt_cache, first_part_only, 100'000);
  BOOST_TEST(FindPrefixSource(table, request, *other) == home.get());
  UpstreamListing draining = home->listing;
  draining.draining = true;
  ApplyListing(table, draining, kStart);
  const UpstreamRow next =
      SelectUpstream(table, SelectionSettings{}, request).candidates.front().row;
  BOOST_TEST(FindPrefixSource(table, request, *next) == home.get());
  // A chat at its long-standing home misses at most its first part.
  BOOST_TEST(FindPrefixSource(table, request, *home) == selection.candidates.at(5).row.get());
  RecordPrompt(home->prompt_cache, request.prompt, 100'000);
  BOOST_TEST(FindPrefixSource(table, request, *home) == nullptr);
}

// Pattern: a failure domain is out of service. Its idle upstreams lower the mean and
// with it the load bound of the others, so that chats leave their homes sooner.
BOOST_AUTO_TEST_CASE(UpstreamsOutOfServiceCountForTheMean) {
  UpstreamTable table = MakeTable(4);
  table.domains_out_of_service = {"c"};
  std::vector<std::unique_ptr<RunningRequest>> running;
  const SelectionSettings settings;
  for (std::uint64_t attempt = 0; attempt < 60; ++attempt) {
    const Prompt prompt = ChatPrompt(attempt % 3 == 0 ? 1 : attempt, attempt, 500);
    const Candidate chosen =
        SelectUpstream(table, settings, EngineRequest(prompt)).candidates.front();
    BOOST_TEST(chosen.running <=
               settings.load_factor * static_cast<double>(attempt) / 12 + settings.load_slack);
    running.push_back(std::make_unique<RunningRequest>(chosen.row, 0));
  }
}

// Pattern: a burst of long new prompts. Prompts queue for prefill, so requests go to
// the engine with the fewest waiting tokens, not to the one with the fewest running
// requests.
BOOST_AUTO_TEST_CASE(WaitingPromptTokensCountMoreThanRunningRequests) {
  const UpstreamTable table = MakeTable(1);
  std::vector<std::unique_ptr<RunningRequest>> running;
  const auto add = [&](const std::string& id, std::uint32_t tokens, int count) {
    for (int index = 0; index < count; ++index) {
      running.push_back(std::make_unique<RunningRequest>(table.rows.at(id), tokens));
    }
  };
  add("a0", 30'000, 1);
  add("b0", 30'000, 1);
  add("c0", 0, 2);
  Prompt prompt;
  prompt.parts = {{1, 9000}};
  prompt.input_tokens = 9000;
  BOOST_TEST(Chosen(table, EngineRequest(prompt)) == "c0");
}

// Guards against requests to a paused upstream, even as a last resort, and against an
// upstream that gets no requests after its pause.
BOOST_AUTO_TEST_CASE(APausedUpstreamIsNotACandidate) {
  UpstreamTable table = MakeTable(1);
  SelectionRequest request = EngineRequest(ChatPrompt(1, 1));
  for (const auto& [id, row] : table.rows) {
    row->announced.pause_until = kStart + 2s;
  }
  const Selection none = SelectUpstream(table, SelectionSettings{}, request);
  BOOST_TEST(none.candidates.empty());
  BOOST_CHECK(none.failure == SelectionFailure::kAllPaused);
  request.now = kStart + 2s;
  BOOST_TEST(SelectUpstream(table, SelectionSettings{}, request).candidates.size() == 3U);
}

// Pattern: a home whose load is between the mean and its load bound. Prompts that are
// cheap to compute again leave it, long ones stay.
BOOST_AUTO_TEST_CASE(ShortPromptsLeaveABusyHomeFirst) {
  UpstreamTable table = MakeTable(4);
  const auto home_of = [&](const Prompt& prompt) {
    return SelectUpstream(table, SelectionSettings{}, EngineRequest(prompt)).candidates.front();
  };
  const Prompt short_prompt = ChatPrompt(1, 1, 600);
  const Prompt long_prompt = ChatPrompt(1, 1, 12'000);
  const UpstreamRow home = home_of(short_prompt).row;
  BOOST_TEST_REQUIRE(home_of(long_prompt).row == home);
  for (const auto& [id, row] : table.rows) {
    row->report = LoadReport{row == home ? 9U : 4U, 0, kStart, 0};
    RecordPrompt(row->prompt_cache, ChatPrompt(2, 2, 1), 100'000);
  }
  BOOST_TEST((home_of(short_prompt).row != home));
  BOOST_TEST((home_of(long_prompt).row == home));
}

// Guards against requests to an upstream that is leaving, was removed, or is in a
// failure domain that the operators took out of service.
BOOST_AUTO_TEST_CASE(DrainingRemovedAndOutOfServiceUpstreamsGetNothing) {
  UpstreamTable table = MakeTable(1);
  UpstreamListing draining = test::Listing("a0", "a");
  draining.draining = true;
  ApplyListing(table, draining, kStart);
  RemoveUpstream(table, "b0", test::kStart);
  table.domains_out_of_service.insert("c");
  const Selection selection =
      SelectUpstream(table, SelectionSettings{}, EngineRequest(ChatPrompt(1, 1)));
  BOOST_TEST(selection.candidates.empty());
  BOOST_CHECK(selection.failure == SelectionFailure::kNoneInService);
  table.domains_out_of_service.erase("c");
  BOOST_TEST(Chosen(table, EngineRequest(ChatPrompt(1, 1))) == "c0");
}

// Pattern: a failure domain is partitioned. Chats whose home is there move to
// reachable upstreams, even while all upstreams are still listed.
BOOST_AUTO_TEST_CASE(ChatsLeaveASilentDomain) {
  UpstreamTable table = MakeTable(4);
  table.domains_silent = {"b", "c"};
  for (std::uint64_t chat = 0; chat < 30; ++chat) {
    const std::string chosen = Chosen(table, EngineRequest(ChatPrompt(chat, chat, 500), "a"));
    BOOST_TEST(chosen.starts_with("a"));
  }
}

// Pattern: some requests fail at every upstream. That alone must not divert requests
// to another failure domain.
BOOST_AUTO_TEST_CASE(AFailureRateCommonToAllUpstreamsChangesNothing) {
  UpstreamTable table = MakeTable(1, 6);
  SelectionRequest request = EngineRequest({});
  request.is_engine = false;
  const std::string before = Chosen(table, request);
  for (const auto& [id, row] : table.rows) {
    for (int failures = 0; failures < 5; ++failures) {
      RecordAttemptFailure(row->health, kStart);
    }
  }
  BOOST_TEST(before == "a0");
  BOOST_TEST(Chosen(table, request) == before);
  for (const auto& [id, row] : table.rows) {
    row->health = {};
  }
  for (int failures = 0; failures < 5; ++failures) {
    RecordAttemptFailure(table.rows.at("a0")->health, kStart);
  }
  BOOST_TEST(Chosen(table, request) != before);
}

// Pattern: an upstream refuses connections. It is tried again after a backoff, or at
// once if there is no other upstream.
BOOST_AUTO_TEST_CASE(AnUnreachableUpstreamIsTheLastResort) {
  UpstreamTable table = MakeTable(1, 6);
  SelectionRequest request = EngineRequest({});
  request.is_engine = false;
  RecordConnectFailure(table.rows.at("a0")->health, kStart);
  BOOST_TEST(Chosen(table, request) != "a0");
  request.now = kStart + 1s;
  BOOST_TEST(Chosen(table, request) == "a0");
  request.now = kStart;
  const std::vector<std::string> tried{"b0", "c0"};
  request.tried = tried;
  BOOST_TEST(Chosen(table, request) == "a0");
}

// Pattern: all upstreams of a service are cold at once. The limit of each holds for
// the sum over all instances; requests go to another upstream or are refused.
BOOST_AUTO_TEST_CASE(ColdUpstreamsGetNoMoreThanTheirShare) {
  UpstreamTable table = MakeTable(1);
  for (const auto& [id, row] : table.rows) {
    row->cold_until = kStart + 3s;
  }
  SelectionSettings settings;
  settings.cold.factor = 1.5;
  settings.cold.slack = 5;
  SelectionRequest request = EngineRequest(ChatPrompt(1, 1));
  request.cold_requests_per_second = 10;
  request.instances = 6;
  std::map<std::string, int> sent;
  for (int attempt = 0; attempt < 40; ++attempt) {
    const Selection selection = SelectUpstream(table, settings, request);
    if (selection.candidates.empty()) {
      BOOST_CHECK(selection.failure == SelectionFailure::kAllCold);
      break;
    }
    Upstream& upstream = *selection.candidates.front().row;
    upstream.cold_sends.times.push_back(request.now);
    ++sent[upstream.listing.id];
  }
  BOOST_TEST(sent.size() == 3U);
  for (const auto& [id, count] : sent) {
    BOOST_TEST(count * 6 <= 20);
  }
}

// Pattern: a plain service with few slots. A full upstream is skipped.
BOOST_AUTO_TEST_CASE(PlainRequestsGoToFreePlaces) {
  UpstreamTable table = MakeTable(1, 6);
  SelectionRequest request = EngineRequest({});
  request.is_engine = false;
  std::vector<std::unique_ptr<RunningRequest>> running;
  std::map<std::string, int> placed;
  for (int attempt = 0; attempt < 18; ++attempt) {
    const Selection selection = SelectUpstream(table, SelectionSettings{}, request);
    running.push_back(std::make_unique<RunningRequest>(selection.candidates.front().row, 0));
    ++placed[selection.candidates.front().row->listing.id];
  }
  for (const auto& [id, count] : placed) {
    BOOST_TEST(count <= 8, id << " holds " << count);
  }
}

// Load pattern: a slow plain service. Guards against more requests at an upstream than it can serve
// in time, against places of upstreams that take no new work, and against a freed place that its
// instance can't take over because it still believes the upstream full.
BOOST_AUTO_TEST_CASE(PlainUpstreamsHoldWhatTheyServeInTime) {
  UpstreamTable table = MakeTable(1, 6);
  SelectionRequest request = EngineRequest({});
  request.is_engine = false;
  BOOST_TEST(CountPlaces(table, request).free == 72U);
  request.places_per_slot = 1.5;
  std::vector<std::unique_ptr<RunningRequest>> running;
  for (int attempt = 0; attempt < 27; ++attempt) {
    const Selection selection = SelectUpstream(table, SelectionSettings{}, request);
    BOOST_TEST_REQUIRE(!selection.candidates.empty());
    running.push_back(std::make_unique<RunningRequest>(selection.candidates.front().row, 0));
  }
  const ServicePlaces full = CountPlaces(table, request);
  BOOST_TEST(full.total == 27U);
  BOOST_TEST(full.free == 0U);
  BOOST_TEST(full.own == 27U);
  const Selection none = SelectUpstream(table, SelectionSettings{}, request);
  BOOST_TEST((none.failure == SelectionFailure::kAllFull));
  request.inherited_place = table.rows.at("b0")->id_hash;
  const Selection inherited = SelectUpstream(table, SelectionSettings{}, request);
  BOOST_TEST_REQUIRE(inherited.candidates.size() == 1U);
  BOOST_TEST(inherited.candidates.front().row->listing.id == "b0");
  RecordPause(*table.rows.at("a0"), 1s, kStart);
  table.rows.at("c0")->cold_until = kStart + 1s;
  BOOST_TEST(CountPlaces(table, request).total == 9U);
}

}  // namespace
}  // namespace geraniumspread::dispatch
