#include "load/workspace_allowance.h"

#include <boost/test/unit_test.hpp>

namespace geraniumspread::load {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{std::chrono::seconds(1'000)};

// Guards against a report that calls refusals justified although the workspace was within its rate.
BOOST_AUTO_TEST_CASE(OneSecondsWorthMayComeAtOnceAndIsRefilled) {
  WorkspaceAllowance allowance = MakeWorkspaceAllowance(4, 100, kStart);
  for (int request = 0; request < 4; ++request) {
    BOOST_TEST(StartWithin(allowance, kStart));
  }
  BOOST_TEST(!StartWithin(allowance, kStart + milliseconds(249)));
  BOOST_TEST(StartWithin(allowance, kStart + milliseconds(251)));
  BOOST_TEST(!StartWithin(allowance, kStart + milliseconds(252)));
}

// Guards against requests above the concurrency limit that count as within it.
BOOST_AUTO_TEST_CASE(OpenRequestsCountUntilTheyEnd) {
  WorkspaceAllowance allowance = MakeWorkspaceAllowance(100, 2, kStart);
  BOOST_TEST(StartWithin(allowance, kStart));
  BOOST_TEST(StartWithin(allowance, kStart));
  BOOST_TEST(!StartWithin(allowance, kStart));
  EndWithin(allowance);
  BOOST_TEST(StartWithin(allowance, kStart));
}

}  // namespace
}  // namespace geraniumspread::load
