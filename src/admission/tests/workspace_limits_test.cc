#include "admission/workspace_limits.h"

#include <boost/test/unit_test.hpp>
#include <deque>
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

WorkspaceLimitTable& RouterOf(std::vector<WorkspaceLimitTable>& fleet, RouterKey key) {
  return fleet[key / 10 - 1];
}

void ReturnSlots(std::vector<WorkspaceLimitTable>& fleet, std::size_t index, TimePoint now) {
  while (const auto lender = ReturnIdleSlot(fleet[index], kWorkspace, now)) {
    ReclaimSlot(RouterOf(fleet, *lender), KeyOf(static_cast<std::uint32_t>(index)), kWorkspace);
  }
}

// Sends one request to router `index`, which asks its peers one by one for a loan if needed.
bool AdmitWithLoans(std::vector<WorkspaceLimitTable>& fleet,
                    std::size_t index,
                    std::uint64_t turn,
                    TimePoint now) {
  WorkspaceLimitTable& table = fleet[index];
  bool admitted = !Admit(table, kWorkspace, 1, now);
  for (const RouterKey lender : OrderLenders(table, kWorkspace, turn)) {
    const auto missing = MakeLoanRequest(table, kWorkspace, now);
    if (admitted || !missing) {
      break;
    }
    const RouterKey self = KeyOf(static_cast<std::uint32_t>(index));
    const auto grant = LendShare(RouterOf(fleet, lender), self, *missing, now);
    BorrowShare(table, lender, grant.value_or(LoanGrant{.workspace = kWorkspace}), now);
    admitted = !Admit(table, kWorkspace, 1, now);
  }
  if (!admitted) {
    ReturnSlots(fleet, index, now);
  }
  return admitted;
}

void EndWithLoans(std::vector<WorkspaceLimitTable>& fleet, std::size_t index, TimePoint now) {
  Release(fleet[index], kWorkspace, milliseconds(100));
  ReturnSlots(fleet, index, now);
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

// Guards against rounding by which the shares exceed the limit or leave a part of it unused.
BOOST_AUTO_TEST_CASE(SharesOfEqualViewsAddUpToTheLimit) {
  for (const std::uint32_t routers : {1U, 6U, 7U, 410U}) {
    for (const std::uint32_t limit : {0U, 5U, 100U, 1'000U, 4'099U}) {
      BOOST_TEST(SumOfShares(MakeFleet({}, routers, Limit(limit)), kStart) == limit);
    }
  }
}

struct SharesBeyondLimit {
  std::uint64_t concurrent = 0;
  float requests_per_second = 0;
};

// Returns the maximum by which the shares of 8 routers exceed a concurrency of 100 and a rate of
// `rate` in total, while the list changes at random and each router receives each change up to 9 s
// late. A router that is not in the fleet has no share.
SharesBeyondLimit MostBeyondLimit(bool hold, float rate) {
  static constexpr std::uint32_t kRouters = 8;
  std::mt19937 random(11);
  auto fleet = MakeFleet({.hold_raised_shares = hold}, kRouters, Limit(100, rate, rate));
  std::vector<RouterKey> live = Routers(kRouters);
  SharesBeyondLimit beyond;
  for (int change = 0; change < 200; ++change) {
    const TimePoint changed_at = kStart + change * seconds(30);
    // Router 0 joins or leaves; its process restarts each time it joins.
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
      const WorkspaceLimit limit = Limit(100, rate, rate);
      SetWorkspaceLimits(fleet[0], {&limit, 1}, changed_at);
      delay[0] = 0;
    }
    for (int second = 0; second < 30; ++second) {
      const TimePoint now = changed_at + seconds(second);
      std::uint64_t sum = 0;
      float rates = 0;
      for (std::uint32_t index = joins ? 0 : 1; index < kRouters; ++index) {
        if (second == delay[index]) {
          SetLiveRouters(fleet[index], KeyOf(index), live, now);
        }
        TickWorkspaceLimits(fleet[index], now);
        const WorkspaceShare share = ShareOf(fleet[index], kWorkspace, now);
        sum += share.concurrent;
        rates += share.requests_per_second;
      }
      beyond.concurrent = std::max(beyond.concurrent, sum > 100 ? sum - 100 : 0);
      beyond.requests_per_second = std::max(beyond.requests_per_second, rates - rate);
    }
  }
  return beyond;
}

// Guards against exceeding a workspace's limit while routers disagree about the live routers.
BOOST_AUTO_TEST_CASE(DisagreeingViewsStayWithinTheLimit) {
  static constexpr float kRounding = 1e-3F;
  for (const float rate : {1.0F, 3.0F, 7.5F, 40.0F}) {
    const SharesBeyondLimit held = MostBeyondLimit(true, rate);
    BOOST_TEST(held.concurrent == 0U);
    BOOST_TEST(held.requests_per_second < kRounding);
  }
  BOOST_TEST(MostBeyondLimit(false, 40).concurrent > 0U);
  BOOST_TEST(MostBeyondLimit(false, 40).requests_per_second > kRounding);
}

// Guards against a busy router that refuses work while the others leave their shares unused, and
// against loans that add up to more than the limit.
BOOST_AUTO_TEST_CASE(LoansMoveUnusedShareWithinTheLimit) {
  auto fleet = MakeFleet({.loan_term = seconds(5)}, 8, Limit(80, 80, 80));
  const std::uint32_t before = ShareOf(fleet[0], kWorkspace, kStart).concurrent;
  for (std::size_t lender = 1; lender < fleet.size(); ++lender) {
    const auto grant =
        LendShare(fleet[lender], KeyOf(0), {.workspace = kWorkspace, .concurrent = 5, .tokens = 1},
                  kStart + milliseconds(1));
    BOOST_TEST(grant.has_value());
    BorrowShare(fleet[0], KeyOf(static_cast<std::uint32_t>(lender)), grant.value_or(LoanGrant{}),
                kStart);
    BOOST_TEST(SumOfShares(fleet, kStart + milliseconds(2)) == 80U);
  }
  const WorkspaceShare borrowed = ShareOf(fleet[0], kWorkspace, kStart);
  BOOST_TEST(borrowed.concurrent == before + 7 * 5);
  // Tokens are transferred permanently; the refill rate is not transferred.
  BOOST_TEST(borrowed.requests_per_second == 10);
  int admitted = 0;
  for (RequestHandle request = 0; request < 40; ++request) {
    admitted += Admit(fleet[0], kWorkspace, request, kStart) ? 0 : 1;
  }
  BOOST_TEST(admitted == 10 + 7);
  for (std::size_t lender = 1; lender < fleet.size(); ++lender) {
    int kept = 0;
    for (RequestHandle request = 0; request < 40; ++request) {
      kept += Admit(fleet[lender], kWorkspace, request, kStart + milliseconds(1)) ? 0 : 1;
    }
    // It has lent 5 of its 10 slots.
    BOOST_TEST(kept == 5);
  }
  // The borrower stops using the slots before the lenders use them again, even with a late tick.
  for (const int ms : {4'999, 5'000, 5'500, 6'001}) {
    for (WorkspaceLimitTable& table : fleet) {
      TickWorkspaceLimits(table, kStart + milliseconds(ms));
    }
    BOOST_TEST(SumOfShares(fleet, kStart + milliseconds(ms)) <= 80U);
  }
  BOOST_TEST(ShareOf(fleet[0], kWorkspace, kStart + seconds(7)).concurrent == before);
  BOOST_TEST(ShareOf(fleet[1], kWorkspace, kStart + seconds(7)).requests_per_second == 10);
}

// Guards against slots that stay lent after their requests have ended, and against a slot that is
// returned twice because its loan ended in the meantime.
BOOST_AUTO_TEST_CASE(SlotsAreReturnedToTheirLender) {
  auto fleet = MakeFleet({.loan_term = seconds(5)}, 2, Limit(2));
  BOOST_TEST(AdmitWithLoans(fleet, 0, 0, kStart));
  BOOST_TEST(AdmitWithLoans(fleet, 0, 0, kStart));
  BOOST_TEST(!AdmitWithLoans(fleet, 1, 0, kStart));
  BOOST_TEST(SumOfShares(fleet, kStart) == 2U);
  EndWithLoans(fleet, 0, kStart + milliseconds(1));
  BOOST_TEST(ShareOf(fleet[1], kWorkspace, kStart + milliseconds(1)).concurrent == 1U);
  BOOST_TEST(AdmitWithLoans(fleet, 1, 0, kStart + milliseconds(1)));
  ReclaimSlot(fleet[1], KeyOf(0), kWorkspace);
  BOOST_TEST(SumOfShares(fleet, kStart + milliseconds(1)) == 2U);
}

// Counts, out of 20,000 requests of one workspace at `offered` per second over 8 routers, those
// that are refused although one shared bucket would admit them, and those admitted beyond the
// limit.
struct SmallLimitRun {
  int within = 0;
  int refused_within = 0;
  double beyond = 0;
  std::size_t most_running = 0;
};

SmallLimitRun RunSmallLimit(float rate, double offered, bool loans) {
  static constexpr int kRequests = 20'000;
  static constexpr std::size_t kConcurrent = 12;
  static constexpr Duration kRunTime = milliseconds(500);
  auto fleet = MakeFleet({}, 8, Limit(kConcurrent, rate, std::max(rate, 1.0F)));
  std::deque<std::pair<TimePoint, std::size_t>> running;
  std::mt19937 random(5);
  std::exponential_distribution<double> gap(offered);
  std::chrono::duration<double> at{0};
  double bucket = std::max(rate, 1.0F);
  SmallLimitRun run;
  int admitted = 0;
  for (int request = 0; request < kRequests; ++request) {
    const std::chrono::duration<double> step(gap(random));
    at += step;
    bucket = std::min<double>(std::max(rate, 1.0F), bucket + step.count() * rate);
    const TimePoint now = kStart + std::chrono::duration_cast<Duration>(at);
    while (!running.empty() && running.front().first <= now) {
      EndWithLoans(fleet, running.front().second, running.front().first);
      running.pop_front();
    }
    const bool within = bucket >= 1 && running.size() < kConcurrent;
    bucket -= within ? 1 : 0;
    const std::size_t router = random() % fleet.size();
    const bool served =
        loans ? AdmitWithLoans(fleet, router, static_cast<std::uint64_t>(request), now)
              : !Admit(fleet[router], kWorkspace, 1, now);
    run.within += within ? 1 : 0;
    run.refused_within += within && !served ? 1 : 0;
    admitted += served ? 1 : 0;
    if (served) {
      running.emplace_back(now + kRunTime, router);
    }
    run.most_running = std::max(run.most_running, running.size());
  }
  run.beyond = admitted - at.count() * rate - std::max(rate, 1.0F);
  return run;
}

// Load pattern: a workspace with a small limit that uses nearly all of it, through all routers.
// Guards against splitting a limit into parts that are too small to admit anything.
BOOST_AUTO_TEST_CASE(SmallLimitsAreUsedCompletelyByAllRouters) {
  for (const auto& [rate, offered] :
       {std::pair(2.0F, 1.8), {4.0F, 4.0}, {8.0F, 8.0}, {2.0F, 10.0}, {40.0F, 22.0}}) {
    const SmallLimitRun run = RunSmallLimit(rate, offered, true);
    BOOST_TEST(run.refused_within * 100 < run.within);
    // A bucket that is assembled from parts counts the same tokens once.
    BOOST_TEST(run.beyond <= 1);
    BOOST_TEST(run.most_running <= 12U);
  }
  const SmallLimitRun apart = RunSmallLimit(4, 4, false);
  BOOST_TEST(apart.refused_within * 5 > apart.within);
}

// Guards against exceeding a lowered limit by shares that were borrowed under the old one.
BOOST_AUTO_TEST_CASE(LoweredLimitEndsBorrowedShares) {
  auto fleet = MakeFleet({}, 2, Limit(80));
  const auto grant =
      LendShare(fleet[1], KeyOf(0), {.workspace = kWorkspace, .concurrent = 20}, kStart);
  BorrowShare(fleet[0], KeyOf(1), grant.value_or(LoanGrant{}), kStart);
  BOOST_TEST(ShareOf(fleet[0], kWorkspace, kStart).concurrent == 60U);
  const WorkspaceLimit lower = Limit(20);
  for (WorkspaceLimitTable& table : fleet) {
    SetWorkspaceLimits(table, {&lower, 1}, kStart);
  }
  BOOST_TEST(ShareOf(fleet[0], kWorkspace, kStart).concurrent == 10U);
  BOOST_TEST(ShareOf(fleet[1], kWorkspace, kStart).concurrent == 0U);
  TickWorkspaceLimits(fleet[1], kStart + seconds(32));
  BOOST_TEST(SumOfShares(fleet, kStart + seconds(32)) == 20U);
}

// Guards against a lender that lends the same unused share twice, or lends what it uses.
BOOST_AUTO_TEST_CASE(LenderKeepsWhatItUses) {
  auto fleet = MakeFleet({}, 2, Limit(20));
  for (RequestHandle request = 0; request < 10; ++request) {
    BOOST_TEST(!Admit(fleet[0], kWorkspace, request, kStart));
  }
  const auto grant =
      LendShare(fleet[0], KeyOf(1), {.workspace = kWorkspace, .concurrent = 5}, kStart);
  BOOST_TEST(!grant.has_value());
}

// Returns how many requests of workspace 2 are admitted during a surge of workspace 1 at a router
// with a limit of 100.
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

// Guards against a surge of one workspace that uses the whole capacity of the router.
BOOST_AUTO_TEST_CASE(SurgeLeavesRoomForOthers) {
  BOOST_TEST(AdmittedBesideSurge(true) == 25);
  BOOST_TEST(AdmittedBesideSurge(false) == 0);
}

// Guards against a rate above the limit, and a Retry-After that is too short.
BOOST_AUTO_TEST_CASE(RateIsLimitedAndRetryAfterIsAccurate) {
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

// Guards against losing count of requests in flight when limits change or requests end.
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

// Guards against a table that exceeds its part of the 32 MB, or mixes up workspaces.
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
