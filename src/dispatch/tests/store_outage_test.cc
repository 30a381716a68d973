#include "dispatch/store_outage.h"

#include <boost/test/unit_test.hpp>

#include "dispatch/freshness.h"

namespace geraniumspread::dispatch {
namespace {

using namespace std::chrono_literals;

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr Duration kTick = 200ms;

// The state of one instance that its ticks update.
struct Instance {
  Freshness freshness;
  StoreOutage outage;
};

Instance StartAt(TimePoint at) {
  Instance instance;
  instance.freshness.running_since = at;
  return instance;
}

void TickThrough(Instance& instance, TimePoint from, TimePoint to) {
  for (TimePoint at = from; at <= to; at += kTick) {
    RecordUnconfirmedTime(instance.outage, UnconfirmedTime(instance.freshness, at), at);
  }
}

BOOST_AUTO_TEST_CASE(RemovalsActAtOnceWhileTheCopyIsConfirmed) {
  Instance instance = StartAt(kStart);
  BOOST_TEST(!HoldRemovalUntil(instance.outage, kStart).has_value());
  for (TimePoint at = kStart; at < kStart + 10s; at += 1s) {
    RecordConfirmation(instance.freshness, at);
    TickThrough(instance, at, at + 1s);
  }
  BOOST_TEST(!HoldRemovalUntil(instance.outage, kStart + 10s).has_value());
}

// Guards against requests to an upstream that left without announcing it: an instance
// that had just started knew no store reader, presumed a store outage and held the
// removal for 2.3 s.
BOOST_AUTO_TEST_CASE(AnInstanceThatStartsHoldsNothing) {
  Instance instance = StartAt(kStart);
  TickThrough(instance, kStart, kStart + 600ms);
  BOOST_TEST(!HoldRemovalUntil(instance.outage, kStart + 600ms).has_value());
}

// The same fault after the reader of the failure domain died or was cut off: another
// instance replaces the reader within a second or two.
BOOST_AUTO_TEST_CASE(AnInstanceThatLostItsReaderHoldsNothing) {
  Instance instance = StartAt(kStart);
  RecordConfirmation(instance.freshness, kStart);
  TickThrough(instance, kStart, kStart + 2s);
  BOOST_TEST(!HoldRemovalUntil(instance.outage, kStart + 2s).has_value());
}

// Guards against requests to an upstream that left: an instance that alone was cut
// off from the store held a removal for 1.8 s from when it learned of it, 2,024 ms
// after the store had acknowledged it (Pecan Bend scale-2, seed of the day).
// Confirmations of its peers show that the store is reachable.
BOOST_AUTO_TEST_CASE(AnInstanceThatAloneLacksTheStoreHoldsNothing) {
  Instance instance = StartAt(kStart);
  for (TimePoint at = kStart; at < kStart + 12s; at += kTick) {
    RecordPeerConfirmation(instance.freshness, 900ms, at);
    TickThrough(instance, at, at);
  }
  BOOST_TEST(!HoldRemovalUntil(instance.outage, kStart + 12s).has_value());
}

// Guards against mistaking a standstill of the process for a store outage.
BOOST_AUTO_TEST_CASE(AnInstanceThatStoodStillHoldsNothing) {
  Instance instance = StartAt(kStart);
  RecordConfirmation(instance.freshness, kStart);
  RecordStandstill(instance.freshness, kStart + 8s);
  TickThrough(instance, kStart + 8s, kStart + 9s);
  BOOST_TEST(!HoldRemovalUntil(instance.outage, kStart + 9s).has_value());
}

// Pattern: entries expired during a store outage. All holds end together, soon after
// the outage, also for removals that are learned later.
BOOST_AUTO_TEST_CASE(HoldsEndAFixedTimeAfterTheStoresReturn) {
  Instance instance = StartAt(kStart);
  RecordConfirmation(instance.freshness, kStart);
  TickThrough(instance, kStart, kStart + 5s);
  RecordConfirmation(instance.freshness, kStart + 5s);
  TickThrough(instance, kStart + 5s + kTick, kStart + 6s);
  BOOST_CHECK(HoldRemovalUntil(instance.outage, kStart + 5100ms) == kStart + 7300ms);
  BOOST_CHECK(HoldRemovalUntil(instance.outage, kStart + 7s) == kStart + 7300ms);
  BOOST_TEST(!HoldRemovalUntil(instance.outage, kStart + 7300ms).has_value());
}

// Pattern: an instance starts during a store outage, which it detects by a peer's old
// confirmation.
BOOST_AUTO_TEST_CASE(AnInstanceThatStartsInAnOutageHoldsRemovals) {
  Instance instance = StartAt(kStart);
  RecordPeerConfirmation(instance.freshness, 4s, kStart + 100ms);
  TickThrough(instance, kStart + 200ms, kStart + 400ms);
  RecordConfirmation(instance.freshness, kStart + 500ms);
  BOOST_CHECK(HoldRemovalUntil(instance.outage, kStart + 600ms) == kStart + 2700ms);
}

}  // namespace
}  // namespace geraniumspread::dispatch
