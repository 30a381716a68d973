#include "dispatch/store_outage.h"

#include <boost/test/unit_test.hpp>

namespace geraniumspread::dispatch {
namespace {

using namespace std::chrono_literals;

constexpr TimePoint kStart{std::chrono::hours(1)};

BOOST_AUTO_TEST_CASE(RemovalsActAtOnceWhileTheStoreIsReached) {
  StoreOutage outage;
  BOOST_TEST(!HoldRemovalUntil(outage, kStart).has_value());
  NoteStoreReach(outage, true, kStart);
  BOOST_TEST(!HoldRemovalUntil(outage, kStart).has_value());
}

// Guards against requests to an upstream that left: an instance that was cut off
// alone held a removal for 1.8 s from when it learned of it, 2,024 ms after the
// store had acknowledged it (Pecan Bend scale-2, seed of the day).
BOOST_AUTO_TEST_CASE(AnInstanceThatWasCutOffAloneHoldsNothing) {
  StoreOutage outage;
  for (auto at = 0ms; at < 12s; at += 200ms) {
    const bool a_peer_reaches_it = true;
    NoteStoreReach(outage, a_peer_reaches_it, kStart + at);
  }
  BOOST_TEST(!HoldRemovalUntil(outage, kStart + 12s).has_value());
}

// Pattern: the store was away and entries expired. All holds end together, soon
// after its return, and not later for a removal that is learned later.
BOOST_AUTO_TEST_CASE(HoldsEndAFixedTimeAfterTheStoresReturn) {
  StoreOutage outage;
  NoteStoreReach(outage, false, kStart);
  NoteStoreReach(outage, true, kStart + 200ms);
  BOOST_CHECK(HoldRemovalUntil(outage, kStart + 300ms) == kStart + 2300ms);
  BOOST_CHECK(HoldRemovalUntil(outage, kStart + 2s) == kStart + 2300ms);
  BOOST_TEST(!HoldRemovalUntil(outage, kStart + 2300ms).has_value());
}

}  // namespace
}  // namespace geraniumspread::dispatch
