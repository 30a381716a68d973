#include "dispatch/send_limits.h"

#include <boost/test/unit_test.hpp>
#include <vector>

namespace geraniumspread::dispatch {
namespace {

using namespace std::chrono_literals;

constexpr TimePoint kStart{std::chrono::hours(1)};

// Returns the requests that `instances` send to one cold upstream in a second if each
// tries every millisecond and knows only `known` instances.
std::size_t ColdRequests(std::size_t instances, std::size_t known) {
  const ColdLimitSettings settings{1.5, 5, 0.8};
  std::size_t sent = 0;
  for (std::size_t rank = 0; rank < instances; ++rank) {
    SlidingCount own;
    for (auto at = 0ms; at < 1000ms; at += 1ms) {
      if (IsWithinColdLimit(settings, 10, known, rank, own, kStart + at)) {
        own.times.push_back(kStart + at);
        ++sent;
      }
    }
  }
  return sent;
}

// Guards against overload of a cold upstream: the limit is 1.5 x 10 + 5 requests in
// any second.
BOOST_AUTO_TEST_CASE(TheColdLimitHoldsForTheSumOfAllInstances) {
  for (const std::size_t instances : {1, 3, 6, 8, 9, 17, 69, 84, 300}) {
    const std::size_t known = AssumedInstances({.known = instances});
    BOOST_TEST(ColdRequests(instances, known) <= 20U, instances << " instances");
  }
}

// Pattern: a new process knows no peers yet. It assumes a fleet of the usual size.
BOOST_AUTO_TEST_CASE(AnInstanceWithoutPeersKeepsToASmallShare) {
  BOOST_TEST(ColdRequests(8, AssumedInstances({.known = 1})) <= 20U);
}

// Guards against a large fleet in which no instance may send to a cold upstream.
BOOST_AUTO_TEST_CASE(SomeInstancesMaySendInALargeFleet) {
  BOOST_TEST(ColdRequests(300, 300) >= 10U);
}

// Guards against retries of all instances that together exceed the budget.
BOOST_AUTO_TEST_CASE(RetriesOfAllInstancesStayWithinTheBudget) {
  constexpr std::size_t kInstances = 6;
  constexpr int kFirstSends = 40;
  std::size_t retries = 0;
  for (std::size_t instance = 0; instance < kInstances; ++instance) {
    RetryBudgetShare share;
    share.settings.slack = 52;
    for (int send = 0; send < kFirstSends; ++send) {
      RecordFirstSend(share, "orders", kStart);
    }
    while (TryTakeRetry(share, "orders", AssumedInstances({.known = kInstances}), kStart)) {
      ++retries;
    }
  }
  BOOST_TEST(retries <= 0.2 * kInstances * kFirstSends + 52);
  BOOST_TEST(retries > 0U);
}

// Guards against a budget that never refills.
BOOST_AUTO_TEST_CASE(RetriesAreGrantedAgainAfterTheWindow) {
  RetryBudgetShare share;
  share.settings.slack = 20;
  while (TryTakeRetry(share, "orders", 1, kStart)) {
  }
  BOOST_TEST(!TryTakeRetry(share, "orders", 1, kStart + 9s));
  BOOST_TEST(TryTakeRetry(share, "orders", 1, kStart + 10s));
}

}  // namespace
}  // namespace geraniumspread::dispatch
