#include "placement/placement.h"

#include <boost/test/unit_test.hpp>
#include <cmath>
#include <set>

#include "placement/tests/counting_allocator.h"

namespace geraniumspread::placement {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::int32_t kCapacity = 32;
constexpr int kDomains = 3;
const TimePoint kStart = TimePoint{} + seconds(100);

std::string DomainName(int domain) {
  return "zone-" + std::to_string(domain);
}

ChatKey Chat(int number) {
  return MakeChatKey("plaques", "chat-" + std::to_string(number));
}

// Returns `count` warm upstreams of one pool in three domains.
PlacementState MakeFleet(int count, const PlacementSettings& settings = {}) {
  PlacementState state = MakePlacementState(settings, kStart);
  for (int index = 0; index < count; ++index) {
    UpsertUpstream(state, {.name = "runner-" + std::to_string(index),
                           .pool = "wording",
                           .domain = DomainName(index % kDomains),
                           .kind = UpstreamKind::kModelEngine,
                           .capacity = kCapacity});
  }
  return state;
}

// Makes this router the owner of the upstream, which is cold afterwards.
void OwnColdUpstream(PlacementState& state, UpstreamIndex upstream, std::int32_t cold_limit) {
  SetOwned(state, upstream, true);
  RecordReport(state, upstream,
               {.incarnation = 1, .sequence = 1, .capacity = kCapacity, .cold_limit = cold_limit},
               kStart);
}

void OwnAllWarm(PlacementState& state) {
  for (UpstreamIndex upstream = 0; upstream < state.upstreams.size(); ++upstream) {
    OwnColdUpstream(state, upstream, kCapacity);
    for (int success = 0; success < kCapacity; ++success) {
      RecordSuccess(state, upstream, state.cold_start[upstream].epoch);
    }
    BOOST_TEST_REQUIRE(!IsCold(state, upstream));
  }
  TickPlacement(state, kStart);
}

PlacementRequest Request(int chat, PriorityClass priority = PriorityClass::kDraft) {
  return {.pool = 0, .chat = Chat(chat), .priority = priority};
}

UpstreamIndex Choose(const PlacementState& state, int chat, TimePoint now = kStart) {
  const auto choice = ChooseUpstream(state, Request(chat), now);
  return choice ? choice.value().upstream : kNoUpstream;
}

UpstreamIndex Place(PlacementState& state, const PlacementRequest& request) {
  const auto choice = ChooseUpstream(state, request, kStart);
  if (!choice) {
    return kNoUpstream;
  }
  RecordPlacement(state, request, choice.value(), kStart);
  return choice.value().upstream;
}

// Guards against allocations, which can take unbounded time, in a placement decision.
BOOST_AUTO_TEST_CASE(HotPathDoesNotAllocate) {
  PlacementState state = MakeFleet(300);
  OwnAllWarm(state);
  std::vector<PlacementRequest> requests;
  requests.reserve(2000);
  for (int chat = 0; chat < 2000; ++chat) {
    requests.push_back(Request(chat % 700));
    requests.back().has_history = chat % 3 != 0;
  }
  const std::size_t before = AllocationCount();
  std::size_t failed = 0;
  for (const PlacementRequest& request : requests) {
    const auto choice = ChooseUpstream(state, request, kStart);
    failed += choice ? 0 : 1;
    if (choice) {
      RecordPlacement(state, request, choice.value(), kStart);
      RecordRefusal(state, choice.value().upstream, kStart - seconds(10));
      RecordCacheEvent(state, choice.value().upstream, request.chat, CacheEventKind::kStored,
                       kStart);
      RecordSuccess(state, choice.value().upstream, choice.value().cold_epoch);
    }
  }
  PlacementRequest unknown = requests.front();
  unknown.pool = 7;
  failed += ChooseUpstream(state, unknown, kStart) ? 0 : 1;
  const std::size_t after = AllocationCount();
  BOOST_TEST(after == before);
  BOOST_TEST(failed == 1U);
}

// Guards against a few busy chats that overload their upstream.
BOOST_AUTO_TEST_CASE(LoadStaysWithinTheBound) {
  for (const bool guarded : {true, false}) {
    PlacementState state = MakeFleet(20);
    state.policy.load_bound = guarded;
    OwnAllWarm(state);
    std::int32_t highest = 0;
    constexpr int kRequests = 300;
    for (int index = 0; index < kRequests; ++index) {
      const UpstreamIndex upstream = Place(state, Request(index % 7));
      BOOST_TEST_REQUIRE(upstream != kNoUpstream);
      highest = std::max(highest, state.upstreams[upstream].in_flight);
    }
    const double mean = kRequests / 20.0;
    BOOST_TEST((highest <= std::ceil(1.25 * mean)) == guarded);
  }
}

// Guards against a router that loads its own cold upstream above the cold limit.
BOOST_AUTO_TEST_CASE(ColdUpstreamStaysAtItsLimit) {
  PlacementState state = MakeFleet(4);
  OwnAllWarm(state);
  OwnColdUpstream(state, 1, 2);
  RecordReport(state, 1, {.incarnation = 2, .sequence = 1, .capacity = kCapacity, .cold_limit = 2},
               kStart + milliseconds(1));
  TickPlacement(state, kStart);
  for (int chat = 0; chat < 60; ++chat) {
    Place(state, Request(chat));
    BOOST_TEST(state.upstreams[1].in_flight <= 2);
  }
  BOOST_TEST(state.upstreams[1].in_flight == 2);
  TickPlacement(state, kStart + seconds(60));
  BOOST_TEST(IsCold(state, 0));
}

// Guards against work for a domain that operators took out of service, also through the
// exceptions table.
BOOST_AUTO_TEST_CASE(DomainOutOfServiceGetsNoNewWork) {
  PlacementState state = MakeFleet(12);
  const DomainIndex out = FindDomain(state, DomainName(1));
  for (int chat = 0; chat < 200; ++chat) {
    PutException(state.exceptions, Chat(chat), 1, kStart);
  }
  BOOST_TEST(Choose(state, 0) == 1U);
  SetDomainInService(state, out, false, kStart);
  for (int chat = 0; chat < 400; ++chat) {
    const UpstreamIndex upstream = Choose(state, chat);
    BOOST_TEST_REQUIRE(upstream != kNoUpstream);
    BOOST_TEST(state.upstreams[upstream].domain != out);
  }
  BOOST_TEST(!AcceptsNewWork(state, 1));
  BOOST_TEST(AcceptsNewWork(state, 0));
}

// Guards against work for a leaving upstream, also through the exceptions table.
BOOST_AUTO_TEST_CASE(LeavingUpstreamGetsNoNewWork) {
  PlacementState state = MakeFleet(6);
  PutException(state.exceptions, Chat(0), 2, kStart);
  SetUpstreamState(state, 2, UpstreamState::kLeaving);
  for (int chat = 0; chat < 200; ++chat) {
    BOOST_TEST(Choose(state, chat) != 2U);
  }
  BOOST_TEST(!AcceptsNewWork(state, 2));
}

// Guards against a returning domain that gets all of its chats back at once.
BOOST_AUTO_TEST_CASE(DomainReturnsGradually) {
  for (const bool guarded : {true, false}) {
    PlacementState state = MakeFleet(12);
    state.policy.ramped_return = guarded;
    const DomainIndex domain = FindDomain(state, DomainName(1));
    constexpr int kChats = 3000;
    const auto share_at = [&](TimePoint now) {
      int at_domain = 0;
      for (int chat = 0; chat < kChats; ++chat) {
        at_domain += state.upstreams[Choose(state, chat, now)].domain == domain ? 1 : 0;
      }
      return static_cast<double>(at_domain) / kChats;
    };
    const double before = share_at(kStart);
    SetDomainInService(state, domain, false, kStart);
    SetDomainInService(state, domain, true, kStart + seconds(10));
    BOOST_TEST((share_at(kStart + seconds(10)) == 0.0) == guarded);
    BOOST_TEST((std::abs(share_at(kStart + seconds(25)) - before / 2) < 0.03) == guarded);
    BOOST_TEST(share_at(kStart + seconds(40)) == before);
  }
}

// Guards against chats that lose their cache although their upstream stays.
BOOST_AUTO_TEST_CASE(JoinAndLeaveMoveAsFewChatsAsPossible) {
  PlacementState state = MakeFleet(21);
  constexpr int kChats = 4000;
  std::vector<UpstreamIndex> before;
  before.reserve(kChats);
  for (int chat = 0; chat < kChats; ++chat) {
    before.push_back(Choose(state, chat));
  }
  SetUpstreamState(state, 4, UpstreamState::kLeaving);
  std::set<UpstreamIndex> receivers;
  for (int chat = 0; chat < kChats; ++chat) {
    const UpstreamIndex now_at = Choose(state, chat);
    const bool moved = now_at != before[static_cast<std::size_t>(chat)];
    BOOST_TEST(moved == (before[static_cast<std::size_t>(chat)] == 4));
    if (moved) {
      receivers.insert(now_at);
    }
  }
  // The load of a lost upstream must not fall on a few others.
  BOOST_TEST(receivers.size() == 20U);
  SetUpstreamState(state, 4, UpstreamState::kLive);
  const UpstreamIndex joined = UpsertUpstream(
      state,
      {.name = "runner-new", .pool = "wording", .domain = DomainName(0), .capacity = kCapacity});
  int moved = 0;
  for (int chat = 0; chat < kChats; ++chat) {
    const UpstreamIndex now_at = Choose(state, chat);
    moved += now_at == joined ? 1 : 0;
    BOOST_TEST((now_at == joined || now_at == before[static_cast<std::size_t>(chat)]));
  }
  BOOST_TEST(moved > 0);
}

// Guards against load in proportion to the number of upstreams instead of their capacity.
BOOST_AUTO_TEST_CASE(UpstreamsAreWeightedByCapacity) {
  PlacementState state = MakeFleet(6);
  const UpstreamIndex large = UpsertUpstream(
      state,
      {.name = "large", .pool = "wording", .domain = DomainName(0), .capacity = 4 * kCapacity});
  int at_large = 0;
  for (int chat = 0; chat < 4000; ++chat) {
    at_large += Choose(state, chat) == large ? 1 : 0;
  }
  BOOST_TEST(std::abs(at_large / 4000.0 - 0.4) < 0.04);
}

// Guards against sending every request again to an owner that has just refused.
BOOST_AUTO_TEST_CASE(RefusalIsRememberedForAShortTime) {
  PlacementState state = MakeFleet(6);
  const UpstreamIndex first = Choose(state, 1);
  RecordRefusal(state, first, kStart);
  BOOST_TEST(Choose(state, 1) != first);
  BOOST_TEST(Choose(state, 1, kStart + state.settings.refusal_hold) == first);
  state.policy.remember_refusals = false;
  state.upstreams[first].refused_until = TimePoint::min();
  RecordRefusal(state, first, kStart);
  BOOST_TEST(Choose(state, 1) == first);
}

// Guards against batch work that uses the spare capacity of other domains which urgent work needs.
BOOST_AUTO_TEST_CASE(SpillIsLimitedByPriority) {
  PlacementState state = MakeFleet(6);
  const auto home = ChooseUpstream(state, Request(1), kStart).value().home;
  for (UpstreamRow& row : state.upstreams) {
    row.in_flight = row.domain == home ? kCapacity : kCapacity / 2;
  }
  state.pools[0].in_flight_elsewhere = 6LL * kCapacity;
  BOOST_TEST(!ChooseUpstream(state, Request(1, PriorityClass::kBatch), kStart));
  const auto urgent = ChooseUpstream(state, Request(1, PriorityClass::kSuggestion), kStart);
  BOOST_TEST_REQUIRE(static_cast<bool>(urgent));
  BOOST_TEST((urgent.value().kind == ChoiceKind::kSpill));
}

// Guards against chats that leave the upstream with their cache after an overflow, and
// against a table that grows or keeps an old entry in place of a new one.
BOOST_AUTO_TEST_CASE(ExceptionsAreStickyAndBounded) {
  PlacementSettings settings;
  settings.exception_entries = 64;
  PlacementState state = MakeFleet(6, settings);
  const UpstreamIndex first = Choose(state, 1);
  RecordRefusal(state, first, kStart);
  const UpstreamIndex second = Place(state, Request(1));
  BOOST_TEST(second != first);
  RecordCompletion(state, second);
  const TimePoint later = kStart + seconds(60);
  BOOST_TEST(Choose(state, 1, later) == second);
  BOOST_TEST(Choose(state, 1, kStart + settings.exception_hold) == first);
  for (int chat = 100; chat < 400; ++chat) {
    PutException(state.exceptions, Chat(chat), 3, later + milliseconds(chat));
  }
  BOOST_TEST(state.exceptions.entries.size() == 64U);
  BOOST_TEST(FindException(state.exceptions, Chat(1), seconds(600), later) == kNoUpstream);
  BOOST_TEST(FindException(state.exceptions, Chat(399), seconds(600), later + seconds(1)) == 3U);
}

// Guards against a chat that loses its cache because another router placed its last turn.
BOOST_AUTO_TEST_CASE(OwnerOfTheFirstChoiceKnowsTheException) {
  PlacementState owner = MakeFleet(6);
  const UpstreamIndex first = Choose(owner, 1);
  const UpstreamIndex other = (first + 1) % 6;
  BOOST_TEST(FindOtherPlacement(owner, Chat(1), first, kStart) == kNoUpstream);
  RecordException(owner, Chat(1), other, kStart);
  BOOST_TEST(FindOtherPlacement(owner, Chat(1), first, kStart) == other);
  BOOST_TEST(FindOtherPlacement(owner, Chat(1), other, kStart) == kNoUpstream);
  SetUpstreamState(owner, other, UpstreamState::kLeaving);
  BOOST_TEST(FindOtherPlacement(owner, Chat(1), first, kStart) == kNoUpstream);
}

// Guards against new chats that take the capacity which returning ones need, and against
// refusing a new chat while an upstream is below the bound.
BOOST_AUTO_TEST_CASE(NewChatsLeaveRoomForReturningOnes) {
  PlacementState state = MakeFleet(6);
  for (UpstreamIndex upstream = 0; upstream < 6; ++upstream) {
    state.upstreams[upstream].in_flight = 12;
  }
  state.pools[0].in_flight_elsewhere = 60;
  BOOST_TEST(UpstreamLimit(state, 0) == 13);
  BOOST_TEST(UpstreamLimit(state, 0, false) == 12);
  PlacementRequest request = Request(1);
  request.has_history = false;
  BOOST_TEST(static_cast<bool>(ChooseUpstream(state, request, kStart)));
  const UpstreamIndex first = Choose(state, 1);
  for (UpstreamIndex upstream = 0; upstream < 6; ++upstream) {
    state.upstreams[upstream].in_flight = upstream == first ? 12 : 5;
  }
  BOOST_TEST(Choose(state, 1) == first);
  BOOST_TEST(ChooseUpstream(state, request, kStart).value().upstream != first);
}

// Guards against an index that is reused while exceptions or requests still refer to it.
BOOST_AUTO_TEST_CASE(GoneUpstreamFreesItsIndexLate) {
  PlacementState state = MakeFleet(6);
  const UpstreamInfo info{.name = "runner-x", .pool = "wording", .domain = "zone-2", .capacity = 1};
  PutException(state.exceptions, Chat(1), 5, kStart);
  RecordForwarded(state, 5);
  SetUpstreamState(state, 5, UpstreamState::kGone);
  BOOST_TEST(Choose(state, 1) != 5U);
  TickPlacement(state, kStart);
  BOOST_TEST(UpsertUpstream(state, info) == 6U);
  RecordCompletion(state, 5);
  TickPlacement(state, kStart);
  BOOST_TEST(FindUpstream(state, "runner-5") == kNoUpstream);
  BOOST_TEST(FindException(state.exceptions, Chat(1), seconds(600), kStart) == kNoUpstream);
  BOOST_TEST(UpsertUpstream(state, {.name = "runner-y", .pool = "wording", .domain = "zone-2"}) ==
             5U);
}

// Guards against cache events that override better information: late ones may name
// an upstream that is gone, full or not where the chat is now.
BOOST_AUTO_TEST_CASE(CacheEventsAreHints) {
  PlacementState state = MakeFleet(6);
  const UpstreamIndex first = Choose(state, 1);
  const UpstreamIndex other = first == 0 ? 1 : 0;
  RecordCacheEvent(state, other, Chat(1), CacheEventKind::kStored, kStart);
  BOOST_TEST(Choose(state, 1) == other);
  RecordCacheEvent(state, first, Chat(1), CacheEventKind::kEvicted, kStart);
  BOOST_TEST(Choose(state, 1) == other);
  RecordRefusal(state, other, kStart);
  BOOST_TEST(Choose(state, 1) == first);
  RecordCacheEvent(state, other, Chat(1), CacheEventKind::kEvicted, kStart);
  BOOST_TEST(Choose(state, 1, kStart + seconds(1)) == first);
}

// Guards against a new chat that leaves its domain although the domain has room.
BOOST_AUTO_TEST_CASE(NewChatStartsNearItsEntryRouter) {
  PlacementState state = MakeFleet(12);
  for (int chat = 0; chat < 50; ++chat) {
    PlacementRequest request = Request(chat);
    request.has_history = false;
    request.entry_domain = FindDomain(state, DomainName(2));
    const auto choice = ChooseUpstream(state, request, kStart);
    BOOST_TEST(choice.value().home == request.entry_domain);
    RecordPlacement(state, request, choice.value(), kStart);
    RecordCompletion(state, choice.value().upstream);
    // The next turn finds the cache through the exceptions table.
    BOOST_TEST(Choose(state, chat) == choice.value().upstream);
  }
}

// Guards against an explanation that differs from the choice that the router makes.
BOOST_AUTO_TEST_CASE(ExplanationMatchesTheChoice) {
  PlacementState state = MakeFleet(9);
  const UpstreamIndex refused = Choose(state, 3);
  RecordRefusal(state, refused, kStart);
  SetDomainInService(state, (state.upstreams[refused].domain + 1) % kDomains, false, kStart);
  const UpstreamIndex chosen = Choose(state, 3);
  const auto candidates = ExplainChoice(state, Request(3), kStart);
  BOOST_TEST_REQUIRE(candidates.size() == 9U);
  std::set<Verdict> verdicts;
  for (const CandidateExplanation& candidate : candidates) {
    verdicts.insert(candidate.verdict);
    BOOST_TEST((candidate.verdict == Verdict::kChosen) == (candidate.upstream == chosen));
  }
  BOOST_TEST(candidates.front().upstream == refused);
  BOOST_TEST((candidates.front().verdict == Verdict::kRefused));
  BOOST_TEST(verdicts.contains(Verdict::kDomainOutOfService));
  BOOST_TEST(verdicts.contains(Verdict::kAvailable));
}

}  // namespace
}  // namespace geraniumspread::placement
