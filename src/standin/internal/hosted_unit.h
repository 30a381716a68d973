#ifndef STANDIN_INTERNAL_HOSTED_UNIT_H_
#define STANDIN_INTERNAL_HOSTED_UNIT_H_

#include <boost/json/object.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "common/runtime_clock.h"

namespace geraniumspread::standin::detail {

enum class ActionResult : std::uint8_t { kDone, kUnknownAction };

struct Action {
  std::string name;              // may have parts, such as "crash_marker/off"
  std::optional<Duration> time;  // query parameter `ms`
  bool stays_down = false;       // query parameter `stay=1`
};

// A stand-in that the admin endpoint can name.
class HostedUnit {
 public:
  HostedUnit() = default;
  HostedUnit(const HostedUnit&) = delete;
  HostedUnit& operator=(const HostedUnit&) = delete;
  virtual ~HostedUnit() = default;

  virtual const std::string& Id() const = 0;
  // Returns the reason when a port can't be opened.
  virtual std::optional<std::string> Start() = 0;
  virtual void Stop() = 0;
  virtual void Tick(TimePoint now) = 0;
  virtual ActionResult Act(const Action& action, TimePoint now) = 0;
  // Without the maps by key and by request id when `brief`.
  virtual boost::json::object Stats(bool brief) const = 0;
};

}  // namespace geraniumspread::standin::detail

#endif  // STANDIN_INTERNAL_HOSTED_UNIT_H_
