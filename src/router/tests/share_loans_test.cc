#include "router/internal/share_loans.h"

#include <array>
#include <boost/test/unit_test.hpp>

#include "common/hash.h"

namespace geraniumspread::router::detail {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(1'000)};
constexpr admission::WorkspaceKey kWorkspace = 42;
const std::array<std::string, 3> kRouters = {"r0", "r1", "r2"};

std::unique_ptr<RouterState> MakeState(const std::string& id, float rate) {
  const TimePoint started_at = kStart - seconds(100);
  auto state = MakeRouterState({.id = id, .failure_domain = "a", .incarnation = 1}, {}, started_at);
  std::vector<admission::RouterKey> live;
  for (const std::string& router : kRouters) {
    live.push_back(StableHash(router));
    state->router_ids[StableHash(router)] = router;
  }
  const admission::WorkspaceLimit limit{
      .workspace = kWorkspace, .max_concurrent = 4, .requests_per_second = rate, .burst = rate};
  admission::SetWorkspaceLimits(state->limits, {&limit, 1}, started_at);
  admission::SetLiveRouters(state->limits, StableHash(id), live, started_at);
  return state;
}

// Three routers with one workspace, whose whole limit is at one of them.
struct Fleet {
  explicit Fleet(float rate) {
    for (std::size_t index = 0; index < kRouters.size(); ++index) {
      this->states.at(index) = MakeState(kRouters.at(index), rate);
      if (this->ShareOf(index).concurrent > 0) {
        this->holder = index;
      }
    }
    this->borrower = (this->holder + 1) % kRouters.size();
    this->other = (this->holder + 2) % kRouters.size();
  }

  admission::WorkspaceShare ShareOf(std::size_t index) const {
    return admission::ShareOf(this->states.at(index)->limits, kWorkspace, kStart);
  }

  RouterState& At(std::size_t index) { return *this->states.at(index); }

  // Delivers the messages of one router, and the answers to them.
  void Deliver(std::size_t from, const TickOutput& output, TimePoint now) {
    for (const fleet::OutgoingMessage& message : output.messages) {
      const auto to =
          static_cast<std::size_t>(std::ranges::find(kRouters, message.to) - kRouters.begin());
      TickOutput answers;
      HandleShareMessage(
          this->At(to), {.sender = kRouters.at(from), .incarnation = 1, .message = message.message},
          answers, now);
      this->Deliver(to, answers, now);
    }
  }

  // One request at a router, with all peers asked at once. True when it is admitted.
  bool Admit(std::size_t index, TimePoint now) {
    RouterState& state = this->At(index);
    bool admitted = !admission::Admit(state.limits, kWorkspace, 1, now);
    auto round = admitted ? std::nullopt : BeginLoanRound(state, kWorkspace, now);
    while (!admitted && round) {
      TickOutput output;
      if (!AskNextLender(state, *round, output, now)) {
        NoteLimitUsedUp(state, kWorkspace, now);
        break;
      }
      this->Deliver(index, output, now);
      admitted = !admission::Admit(state.limits, kWorkspace, 1, now);
    }
    return admitted;
  }

  std::array<std::unique_ptr<RouterState>, 3> states;
  std::size_t holder = 0;
  std::size_t borrower = 0;
  std::size_t other = 0;
};

// Guards against a small limit that only the router which holds it can use.
BOOST_AUTO_TEST_CASE(RequestIsAdmittedOnABorrowedShare) {
  Fleet fleet(4);
  BOOST_TEST(fleet.ShareOf(fleet.borrower).concurrent == 0U);
  BOOST_TEST(fleet.Admit(fleet.borrower, kStart));
  BOOST_TEST(fleet.ShareOf(fleet.holder).concurrent == 3U);
  admission::Release(fleet.At(fleet.borrower).limits, kWorkspace, seconds(1));
  TickOutput output;
  ReturnSpareSlots(fleet.At(fleet.borrower), kWorkspace, output, kStart);
  fleet.Deliver(fleet.borrower, output, kStart);
  BOOST_TEST(fleet.ShareOf(fleet.holder).concurrent == 4U);
}

// Load pattern: a workspace far above its limit, through all routers.
// Guards against more requests than the limit, and against a message for each refused request.
BOOST_AUTO_TEST_CASE(SurgeGetsTheLimitAndNoMore) {
  Fleet fleet(4);
  int admitted = 0;
  for (int request = 0; request < 100; ++request) {
    const auto index = static_cast<std::size_t>(request) % kRouters.size();
    if (fleet.Admit(index, kStart)) {
      ++admitted;
    }
  }
  BOOST_TEST(admitted == 4);
  for (const auto& state : fleet.states) {
    BOOST_TEST(state->loans.last_number <= 2U * 4U);
  }
}

// Guards against a pause that outlasts the shortage.
BOOST_AUTO_TEST_CASE(PeersAreAskedAgainSoonAfterALimitWasUsedUp) {
  Fleet fleet(4);
  while (fleet.Admit(fleet.borrower, kStart)) {
  }
  BOOST_TEST(!BeginLoanRound(fleet.At(fleet.borrower), kWorkspace, kStart + milliseconds(100)));
  BOOST_TEST(
      BeginLoanRound(fleet.At(fleet.borrower), kWorkspace, kStart + milliseconds(150)).has_value());
}

// Guards against shares that are created by a repeated answer, or by one of a peer that was not
// asked.
BOOST_AUTO_TEST_CASE(OnlyTheFirstAnswerOfTheAskedPeerCounts) {
  Fleet fleet(4);
  RouterState& borrower = fleet.At(fleet.borrower);
  LoanRound round = BeginLoanRound(borrower, kWorkspace, kStart).value_or(LoanRound{});
  BOOST_REQUIRE(!round.lenders.empty());
  TickOutput asked;
  const auto number = AskNextLender(borrower, round, asked, kStart);
  BOOST_REQUIRE(number.has_value());
  TickOutput granted;
  HandleShareMessage(fleet.At(fleet.holder),
                     {.sender = kRouters.at(fleet.borrower),
                      .incarnation = 1,
                      .message = asked.messages.front().message},
                     granted, kStart);
  const auto answer = [&](std::size_t from) {
    TickOutput output;
    HandleShareMessage(borrower,
                       {.sender = kRouters.at(from),
                        .incarnation = 1,
                        .message = granted.messages.front().message},
                       output, kStart);
    return output.loan_answers.size();
  };
  BOOST_TEST(answer(fleet.other) == 0U);
  BOOST_TEST(fleet.ShareOf(fleet.borrower).concurrent == 0U);
  BOOST_TEST(answer(fleet.holder) == 1U);
  BOOST_TEST(answer(fleet.holder) == 0U);
  BOOST_TEST(fleet.ShareOf(fleet.borrower).concurrent == 1U);
}

// Guards against a slot that stays lent to a router which has refused its request meanwhile.
BOOST_AUTO_TEST_CASE(LateAnswerGivesItsSlotBack) {
  Fleet fleet(4);
  RouterState& borrower = fleet.At(fleet.borrower);
  LoanRound round = BeginLoanRound(borrower, kWorkspace, kStart).value_or(LoanRound{});
  BOOST_REQUIRE(!round.lenders.empty());
  TickOutput asked;
  const auto number = AskNextLender(borrower, round, asked, kStart);
  AbandonShareRequest(borrower, number.value_or(0));
  fleet.Deliver(fleet.borrower, asked, kStart + milliseconds(40));
  BOOST_TEST(fleet.ShareOf(fleet.holder).concurrent == 4U);
  BOOST_TEST(fleet.ShareOf(fleet.borrower).concurrent == 0U);
}

// Guards against a table of open requests that grows while a peer is silent.
BOOST_AUTO_TEST_CASE(UnansweredRequestsAreForgotten) {
  Fleet fleet(4);
  RouterState& borrower = fleet.At(fleet.borrower);
  LoanRound round = BeginLoanRound(borrower, kWorkspace, kStart).value_or(LoanRound{});
  BOOST_REQUIRE(!round.lenders.empty());
  TickOutput asked;
  AskNextLender(borrower, round, asked, kStart);
  BOOST_TEST(borrower.loans.open.size() == 1U);
  TickShareLoans(borrower, kStart + seconds(3));
  BOOST_TEST(borrower.loans.open.empty());
}

}  // namespace
}  // namespace geraniumspread::router::detail
