#ifndef SCENARIO_SCENARIO_TYPES_H_
#define SCENARIO_SCENARIO_TYPES_H_

#include <cstdint>
#include <string>
#include <vector>

#include "common/common_types.h"
#include "common/runtime_clock.h"

// Value types of scripted scenarios: a few router states in one process with
// small fakes of the platform, the engines and the channel between routers.
namespace geraniumspread::scenario {

struct FleetOptions {
  std::int64_t routers = 8;
  std::vector<std::string> domains = {"a", "b", "c"};
  std::int64_t engines = 12;
  std::int64_t services = 3;
  std::int64_t cold_limit = 2;
  std::int64_t capacity = 16;
  double load_multiple = 1.25;
  Duration run_time = std::chrono::milliseconds(400);
  // From the snapshot in the engine to the report's arrival at the router.
  Duration report_lag = std::chrono::milliseconds(20);
  Duration lease_term = std::chrono::seconds(3);
  Duration return_ramp = std::chrono::seconds(30);
  Duration ticket_expiry = std::chrono::minutes(10);
  std::uint64_t seed = 1;
};

struct LoadOptions {
  std::int64_t count = 1;
  std::string workspace = "w";
  std::int64_t chats = 1;
  PriorityClass priority = PriorityClass::kDraft;
  std::string router;    // empty: the serving routers in turn
  Duration over{0};      // the requests are spread evenly over this time
  Duration run_time{0};  // 0: that of the fleet
};

// Values that a new version of the configuration changes. Negative: unchanged.
struct ConfigChange {
  std::int64_t version = -1;  // negative: the next one
  std::int64_t cold_limit = -1;
  std::int64_t capacity = -1;
  double load_multiple = -1;
};

// Two ends of a link: router ids, engine ids, failure domains or "platform".
struct LinkEnds {
  std::string from;
  std::string to;

  auto operator<=>(const LinkEnds&) const = default;
};

// Faults of a link, in both directions.
struct LinkFault {
  bool cut = false;
  Duration delay{0};
  double drop = 0;  // share of the control messages that are lost
};

// A run that started at an engine or service instance.
struct StartedRun {
  TimePoint at;
  std::string upstream;
  std::string domain;
};

struct RequestCounts {
  std::int64_t sent = 0;
  std::int64_t answered = 0;
  std::int64_t refused = 0;  // not run
  std::int64_t failed = 0;   // the run state is unknown
};

}  // namespace geraniumspread::scenario

#endif  // SCENARIO_SCENARIO_TYPES_H_
