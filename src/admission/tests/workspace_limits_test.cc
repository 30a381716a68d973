#include "admission/workspace_limits.h"

#include <boost/test/unit_test.hpp>
#include <random>

namespace geraniumspread::admission {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(1'000)};
constexpr WorkspaceKey kWorkspace = 42;

RouterKey KeyOf(std::uint32_t index) {
  return RouterKey{10} * (index + 1);
}

std::optional<RefusalCode> CodeOf(const std::optional<Refusal>& refusal) {
  return refusal ? std::optional(refusal->code) : std::nullopt;
}

std::vector<RouterKey> Routers(std::uint32_t count) {
  std::vector<RouterKey> routers(count);
  for (std::uint32_t index = 0; index < count; ++index) {
    routers[index] = KeyOf(index);
  }
  return routers;
}

WorkspaceLimitTable MakeRouter(const LimitsPolicy& policy,
                               RouterKey self,
                               const std::vector<RouterKey>& live,
                               const WorkspaceLimit& limit) {
  WorkspaceLimitTable table = MakeWorkspaceLimitTable(policy, kStart - seconds(100));
  SetWorkspaceLimits(table, {&limit, 1}, kStart - seconds(100));
  SetLiveRouters(table, self, live, kStart - seconds(100));
  return table;
}

std::vector<WorkspaceLimitTable> MakeFleet(const LimitsPolicy& policy,
                                           std::uint32_t count,
                                           const WorkspaceLimit& limit) {
  const std::vector<RouterKey> live = Routers(count);
  std::vector<WorkspaceLimitTable> fleet;
  fleet.reserve(live.size());
  for (const RouterKey self : live) {
    fleet.push_back(MakeRouter(policy, self, live, limit));
  }
  return fleet;
}

std::uint64_t SumOfShares(const std::vector<WorkspaceLimitTable>& fleet, TimePoint now) {
  std::uint64_t sum = 0;
  for (const WorkspaceLimitTable& table : fleet) {
    sum += ShareOf(table, kWorkspace, now).concurrent;
  }
  return sum;
}

WorkspaceLimit Limit(std::uint32_t concurrent, float rate = 1e6F, float burst = 1e6F) {
  return {.workspace = kWorkspace,
          .max_concurrent = concurrent,
          .requests_per_second = rate,
          .burst = burst};
}

// Guards against rounding that gives away more than the limit, or leaves a part of it unused.
BOOST_AUTO_TEST_CASE(SharesOfEqualViewsAddUpToTheLimit) {
  for (const std::uint32_t routers : {1U, 6U, 7U, 410U}) {
    for (const std::uint32_t limit : {0U, 5U, 100U, 1'000U, 4'099U}) {
      BOOST_TEST(SumOfShares(MakeFleet({}, routers, Limit(limit)), kStart) == limit);
    }
  }
}

// Most that the shares of 8 routers add up to, beyond a limit of 100, while the list changes at
// random and each router hears of each change up to 9 s late. A router that is absent has no share.
std::uint64_t MostBeyondLimit(bool hold) {
  static constexpr std::uint32_t kRouters = 8;
  std::mt19937 random(11);
  auto fleet = MakeFleet({.hold_raised_shares = hold}, kRouters, Limit(100));
  std::vector<RouterKey> live = Routers(kRouters);
  std::uint64_t beyond = 0;
  for (int change = 0; change < 200; ++change) {
    const TimePoint changed_at = kStart + change * seconds(30);
    // Router 0 joins or leaves; its process restarts with each joining.
    const bool joins = change % 2 == 1;
    live = Routers(kRouters);
    if (!joins) {
      live.erase(live.begin());
    }
    std::vector<int> delay(kRouters);
    for (int& seconds_late : delay) {
      seconds_late = static_cast<int>(random() % 10);
    }
    if (joins) {
      fleet[0] = MakeWorkspaceLimitTable(fleet[0].policy, changed_at);
      const WorkspaceLimit limit = Limit(100);
      SetWorkspaceLimits(fleet[0], {&limit, 1}, changed_at);
      delay[0] = 0;
    }
    for (int second = 0; second < 30; ++second) {
      const TimePoint now = changed_at + seconds(second);
      std::uint64_t sum = 0;
      for (std::uint32_t index = joins ? 0 : 1; index < kRouters; ++index) {
        if (second == delay[index]) {
          SetLiveRouters(fleet[index], KeyOf(index), live, now);
        }
        TickWorkspaceLimits(fleet[index], now);
        sum += ShareOf(fleet[index], kWorkspace, now).concurrent;
      }
      beyond = std::max(beyond, sum > 100 ? sum - 100 : 0);
    }
  }
  return beyond;
}

// Guards against a workspace above its limit while routers disagree about the live list.
BOOST_AUTO_TEST_CASE(DisagreeingViewsStayWithinTheLimit) {
  BOOST_TEST(MostBeyondLimit(true) == 0U);
  BOOST_TEST(MostBeyondLimit(false) > 0U);
}

// Guards against a hot router that refuses work while the others leave their shares unused, and
// against loans that add up to more than the limit.
BOOST_AUTO_TEST_CASE(LoansMoveUnusedShareWithinTheLimit) {
  auto fleet = MakeFleet({}, 8, Limit(80, 80, 80));
  const std::uint32_t before = ShareOf(fleet[0], kWorkspace, kStart).concurrent;
  for (std::size_t lender = 1; lender < fleet.size(); ++lender) {
    const auto grant = LendShare(
        fleet[lender], {.workspace = kWorkspace, .concurrent = 20, .requests_per_second = 20},
        kStart + milliseconds(1));
    BOOST_TEST(grant.has_value());
    BorrowShare(fleet[0], grant.value_or(LoanGrant{}), kStart);
    BOOST_TEST(SumOfShares(fleet, kStart + milliseconds(2)) == 80U);
  }
  const WorkspaceShare borrowed = ShareOf(fleet[0], kWorkspace, kStart);
  BOOST_TEST(borrowed.concurrent == before + 7 * 5);
  BOOST_TEST(borrowed.requests_per_second == 10 + 7 * 5);
  // The borrower stops before the lenders start again, even when they tick late.
  for (const int ms : {4'999, 5'000, 5'500, 6'001}) {
    for (WorkspaceLimitTable& table : fleet) {
      TickWorkspaceLimits(table, kStart + milliseconds(ms));
    }
    BOOST_TEST(SumOfShares(fleet, kStart + milliseconds(ms)) <= 80U);
  }
  BOOST_TEST(ShareOf(fleet[0], kWorkspace, kStart + seconds(7)).concurrent == before);
  BOOST_TEST(ShareOf(fleet[1], kWorkspace, kStart + seconds(7)).requests_per_second == 10);
}

// Guards against borrowed shares of an old limit that hold a lowered one up.
BOOST_AUTO_TEST_CASE(LoweredLimitEndsBorrowedShares) {
  auto fleet = MakeFleet({}, 2, Limit(80));
  const auto grant = LendShare(fleet[1], {.workspace = kWorkspace, .concurrent = 20}, kStart);
  BorrowShare(fleet[0], grant.value_or(LoanGrant{}), kStart);
  BOOST_TEST(ShareOf(fleet[0], kWorkspace, kStart).concurrent == 60U);
  const WorkspaceLimit lower = Limit(20);
  for (WorkspaceLimitTable& table : fleet) {
    SetWorkspaceLimits(table, {&lower, 1}, kStart);
  }
  BOOST_TEST(ShareOf(fleet[0], kWorkspace, kStart).concurrent == 10U);
  BOOST_TEST(ShareOf(fleet[1], kWorkspace, kStart).concurrent == 0U);
  TickWorkspaceLimits(fleet[1], kStart + seconds(6));
  BOOST_TEST(SumOfShares(fleet, kStart + seconds(6)) == 20U);
}

// Guards against a lender that promises the same unused share twice, or lends what it uses.
BOOST_AUTO_TEST_CASE(LenderKeepsWhatItUses) {
  auto fleet = MakeFleet({}, 2, Limit(20));
  for (RequestHandle request = 0; request < 10; ++request) {
    BOOST_TEST(!Admit(fleet[0], kWorkspace, request, kStart));
  }
  const auto grant = LendShare(fleet[0], {.workspace = kWorkspace, .concurrent = 5}, kStart);
  BOOST_TEST(!grant.has_value());
}

// Requests of workspace 2 that get in while workspace 1 surges through a router of 100.
int AdmittedBesideSurge(bool protect) {
  WorkspaceLimitTable table = MakeWorkspaceLimitTable(
      {.router_max_concurrent = 100, .protect_from_surge = protect}, kStart - seconds(100));
  const std::vector<WorkspaceLimit> limits = {
      {.workspace = 1, .max_concurrent = 1'000, .requests_per_second = 1e6F, .burst = 1e6F},
      {.workspace = 2, .max_concurrent = 1'000, .requests_per_second = 1e6F, .burst = 1e6F}};
  SetWorkspaceLimits(table, limits, kStart);
  SetLiveRouters(table, 1, {}, kStart);
  for (RequestHandle request = 0; request < 500; ++request) {
    Admit(table, 1, request, kStart);
  }
  int admitted = 0;
  for (RequestHandle request = 0; request < 25; ++request) {
    admitted += Admit(table, 2, request, kStart) ? 0 : 1;
  }
  return admitted;
}

// Guards against a surge that takes the whole router.
BOOST_AUTO_TEST_CASE(SurgeLeavesRoomForOthers) {
  BOOST_TEST(AdmittedBesideSurge(true) == 25);
  BOOST_TEST(AdmittedBesideSurge(false) == 0);
}

// Guards against a rate above the limit, and a Retry-After that comes too early.
BOOST_AUTO_TEST_CASE(RateIsLimitedAndRetryAfterIsTrue) {
  WorkspaceLimitTable table = MakeRouter({}, 1, {}, Limit(1'000'000, 10, 5));
  int admitted = 0;
  for (int tick = 0; tick < 10'000; ++tick) {
    const TimePoint now = kStart + milliseconds(tick);
    admitted += Admit(table, kWorkspace, static_cast<RequestHandle>(tick), now) ? 0 : 1;
  }
  BOOST_TEST(admitted >= 104);
  BOOST_TEST(admitted <= 105);
  const TimePoint now = kStart + seconds(10);
  const Refusal refusal = Admit(table, kWorkspace, 1, now).value_or(Refusal{});
  BOOST_TEST((refusal.code == RefusalCode::kRateLimited));
  BOOST_TEST(!Admit(table, kWorkspace, 1, now + refusal.retry_after));
}

// Guards against requests that are lost from the count when limits change or work ends.
BOOST_AUTO_TEST_CASE(CountsSurviveNewLimits) {
  WorkspaceLimitTable table = MakeRouter({}, 1, {}, Limit(2));
  BOOST_TEST(!Admit(table, kWorkspace, 1, kStart));
  BOOST_TEST(!Admit(table, kWorkspace, 2, kStart));
  BOOST_TEST((CodeOf(Admit(table, kWorkspace, 3, kStart)) == RefusalCode::kConcurrencyLimited));
  SetWorkspaceLimits(table, {}, kStart);
  BOOST_TEST(Admit(table, kWorkspace, 3, kStart).has_value());
  const WorkspaceLimit limit = Limit(2);
  SetWorkspaceLimits(table, {&limit, 1}, kStart);
  BOOST_TEST(Admit(table, kWorkspace, 3, kStart).has_value());
  Release(table, kWorkspace, seconds(1));
  BOOST_TEST(!Admit(table, kWorkspace, 3, kStart));
  BOOST_TEST((CodeOf(Admit(table, 4711, 3, kStart)) == RefusalCode::kUnknownWorkspace));
}

// Guards against a table that outgrows its part of the 32 MB, or mixes up workspaces.
BOOST_AUTO_TEST_CASE(DesignSizeFitsInMemory) {
  static constexpr std::size_t kWorkspaces = 23'000;
  std::vector<WorkspaceLimit> limits;
  limits.reserve(kWorkspaces);
  std::mt19937_64 random(3);
  for (std::size_t index = 0; index < kWorkspaces; ++index) {
    limits.push_back({.workspace = random(),
                      .max_concurrent = static_cast<std::uint32_t>(index + 1),
                      .requests_per_second = 10,
                      .burst = 10});
  }
  WorkspaceLimitTable table = MakeWorkspaceLimitTable({}, kStart - seconds(100));
  SetWorkspaceLimits(table, limits, kStart);
  SetLiveRouters(table, 1, {}, kStart);
  for (const WorkspaceLimit& limit : limits) {
    BOOST_REQUIRE(ShareOf(table, limit.workspace, kStart).concurrent == limit.max_concurrent);
  }
  BOOST_TEST(MemoryOf(table) < std::size_t{4} << 20U);
}

}  // namespace
}  // namespace geraniumspread::admission
