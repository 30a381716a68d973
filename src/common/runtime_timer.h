#ifndef COMMON_RUNTIME_TIMER_H_
#define COMMON_RUNTIME_TIMER_H_

#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/wait_traits.hpp>

#include "common/runtime_clock.h"

// While the clock is paused, the event loop can't know how soon a test will
// advance it, so it looks at its timers again after this much real time.
namespace boost::asio {

template <>
struct wait_traits<geraniumspread::RuntimeClock> {
  static geraniumspread::Duration to_wait_duration(const geraniumspread::Duration& duration) {
    static constexpr geraniumspread::Duration kPausedWait = std::chrono::microseconds(200);
    return geraniumspread::RuntimeClock::IsPaused() && duration > kPausedWait ? kPausedWait
                                                                              : duration;
  }
  static geraniumspread::Duration to_wait_duration(
      const geraniumspread::RuntimeClock::time_point& time) {
    return to_wait_duration(time - geraniumspread::RuntimeClock::now());
  }
};

}  // namespace boost::asio

namespace geraniumspread {

// Every timer of this project runs on the pausable clock.
using RuntimeTimer = boost::asio::basic_waitable_timer<RuntimeClock>;

}  // namespace geraniumspread

#endif  // COMMON_RUNTIME_TIMER_H_
