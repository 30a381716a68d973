#include "edge/internal/event_splitter.h"

#include <boost/test/unit_test.hpp>

namespace geraniumspread::edge::detail {
namespace {

const std::string kStream = "id: 0\ndata: a\n\nid: 1\ndata: b\n\nid: 2\ndata: c\n\n";

// Input may be split anywhere, also inside an id.
BOOST_AUTO_TEST_CASE(EventsAreWholeHoweverTheInputIsSplit) {
  for (std::size_t cut = 1; cut < kStream.size(); ++cut) {
    EventSplitter splitter;
    std::string events = ExtractEvents(splitter, std::string_view(kStream).substr(0, cut));
    BOOST_TEST((events.empty() || events.ends_with("\n\n")));
    events += ExtractEvents(splitter, std::string_view(kStream).substr(cut));
    BOOST_TEST(events == kStream);
    BOOST_TEST(splitter.pending.empty());
    BOOST_TEST(splitter.last_id.value_or(0) == 2U);
    BOOST_TEST(!splitter.out_of_order);
  }
}

BOOST_AUTO_TEST_CASE(DeliveredEventsAreSkipped) {
  EventSplitter splitter;
  splitter.last_id = 1;
  splitter.skip_through = 1;
  BOOST_TEST(ExtractEvents(splitter, kStream) == "id: 2\ndata: c\n\n");
}

// Guards against unbounded memory use by an endless stream that never completes an event.
BOOST_AUTO_TEST_CASE(AnOversizedEventIsDropped) {
  EventSplitter splitter;
  const std::string piece(10'000, 'x');
  for (int index = 0; index < 1000 && !splitter.too_large; ++index) {
    BOOST_TEST(ExtractEvents(splitter, piece).empty());
    BOOST_TEST_REQUIRE(splitter.pending.size() < 300'000U);
  }
  BOOST_TEST(splitter.too_large);
}

// Guards against a stream with missing or repeated events.
BOOST_AUTO_TEST_CASE(GapsAndRepetitionsAreDetected) {
  for (const char* second : {"id: 2\ndata: c\n\n", "id: 0\ndata: a\n\n"}) {
    EventSplitter splitter;
    ExtractEvents(splitter, std::string("id: 0\ndata: a\n\n") + second);
    BOOST_TEST(splitter.out_of_order);
  }
}

BOOST_AUTO_TEST_CASE(EventsWithoutAnIdArePassedOn) {
  EventSplitter splitter;
  BOOST_TEST(ExtractEvents(splitter, ": note\n\nid: 0\ndata: a\n\n") ==
             ": note\n\nid: 0\ndata: a\n\n");
}

}  // namespace
}  // namespace geraniumspread::edge::detail
