#ifndef STANDIN_INTERNAL_HTTP_UTIL_H_
#define STANDIN_INTERNAL_HTTP_UTIL_H_

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/value.hpp>
#include <charconv>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "common/runtime_clock.h"
#include "transport/transport_types.h"

namespace geraniumspread::standin::detail {

using Timer = boost::asio::basic_waitable_timer<RuntimeClock>;
inline constexpr auto kAwaitTuple = boost::asio::as_tuple(boost::asio::use_awaitable);

// Wakes one waiting coroutine of the same event loop. The waiter checks its
// condition again, since a wake-up without a waiter is not kept.
class Signal {
 public:
  explicit Signal(const boost::asio::any_io_executor& executor) : timer(executor) {}
  void Notify() { this->timer.cancel(); }
  // Returns after a wake-up or at `deadline`.
  boost::asio::awaitable<void> Wait(TimePoint deadline);
  boost::asio::awaitable<void> Wait();

 private:
  Timer timer;
};

struct ParsedTarget {
  std::string path;  // percent-decoded
  std::map<std::string, std::string> query;
};

ParsedTarget ParseTarget(std::string_view target);

// The whole text as a number, or empty.
template <typename Number>
std::optional<Number> ParseNumber(std::string_view text) {
  Number number{};
  const char* begin = text.data();
  const char* end = begin + text.size();
  const auto [next, error] = std::from_chars(begin, end, number);
  if (error != std::errc() || next != end || text.empty()) {
    return std::nullopt;
  }
  return number;
}

// Empty when the parameter is missing or not a number.
std::optional<std::uint64_t> QueryNumber(const ParsedTarget& target, const std::string& name);

transport::HttpResponse JsonResponse(const boost::json::value& body, int status = 200);
transport::HttpResponse RefusalResponse(int status,
                                        std::string_view code,
                                        std::string_view message,
                                        std::string_view request_id);

}  // namespace geraniumspread::standin::detail

#endif  // STANDIN_INTERNAL_HTTP_UTIL_H_
