#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "dispatch/tests/simulated_load.h"

namespace geraniumspread::dispatch {
namespace {

using test::LoadCounts;
using test::LoadedFleet;

// Load pattern: the start of traffic, one of four failure domains taken out of
// service at once, and chats of uneven popularity with one home each, at 84 instances
// and 140 engines. Guards against engines whose load far exceeds the mean because
// instances learn too late what the others sent there.
BOOST_AUTO_TEST_CASE(FewRequestsReachAnEngineAboveTheLoadBound) {
  constexpr unsigned kSeeds = 50;
  LoadCounts total;
  double worst = 0;
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    const LoadCounts counts = LoadedFleet({}, {}, seed).Run();
    total.sent += counts.sent;
    total.above_bound += counts.above_bound;
    worst =
        std::max(worst, static_cast<double>(counts.above_bound) / static_cast<double>(counts.sent));
  }
  const double share = static_cast<double>(total.above_bound) / static_cast<double>(total.sent);
  BOOST_TEST_MESSAGE("sent " << total.sent << ", above the bound " << share << ", worst seed "
                             << worst);
  BOOST_TEST(share < 0.01);
}

}  // namespace
}  // namespace geraniumspread::dispatch
