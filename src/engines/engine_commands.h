#ifndef ENGINES_ENGINE_COMMANDS_H_
#define ENGINES_ENGINE_COMMANDS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "common/runtime_clock.h"
#include "engines/engines_types.h"
#include "engines/load_reports.h"

namespace geraniumspread::engines {

// Fencing token: the configuration version in the high bits and the lease sequence in
// the low bits, so tokens compare like the pair. 53 bits in total, because JSON
// readers that use doubles represent integers exactly only up to 2^53. 26 bits of
// versions last 63 years at 2,900 changes a day; 27 bits of lease sequence last 12
// years with a new lease every 3 s.
inline constexpr unsigned kFenceVersionBits = 26;
inline constexpr unsigned kFenceLeaseBits = 27;

struct Fence {
  std::uint64_t token = 0;

  auto operator<=>(const Fence&) const = default;
};

// Errors: kFenceOverflow.
Result<Fence> MakeFence(std::uint64_t config_version, std::uint64_t lease_sequence);

// Share of a pool's engines that has one role.
struct RoleShare {
  std::string role;
  double weight = 1;
};

// Configuration of a model pool.
struct PoolSpec {
  std::string pool;
  std::string model;
  std::string adapter;
  std::string version;
  std::vector<RoleShare> roles;  // empty: role "" for all engines
};

// An engine that is in service according to the membership.
struct LiveEngine {
  std::string id;
  std::string pool;
};

struct DesiredEngine {
  std::string id;
  EngineState state;
};

// Returns the desired state of every live engine whose pool is configured, sorted by
// id. A pure function: the same arguments give the same result on every router,
// whatever their order.
std::vector<DesiredEngine> DesiredStates(const std::vector<PoolSpec>& pools,
                                         const std::vector<LiveEngine>& live);

struct CommandSettings {
  // A command without a response is sent again after this time.
  Duration response_timeout = std::chrono::seconds(5);
  // Time that an engine may take to show an accepted command in its reports.
  Duration settle_time = std::chrono::seconds(60);
  // A command requires a report that was requested within this time.
  Duration max_report_age = std::chrono::seconds(5);
  // No command is sent if the lease expires within this time.
  Duration lease_margin = std::chrono::milliseconds(250);
  // Weight loads per second that the weight store allows, summed over all routers.
  double weight_loads_per_second = 1;
  // A smaller fleet raises the share of this router only after this time, so that
  // both sides of a partition together stay within the rate.
  Duration fleet_shrink_hold = std::chrono::minutes(10);
};

// The caller's lease on one engine; times are of the caller's clock.
struct EngineLease {
  bool held = false;
  std::uint64_t sequence = 0;
  TimePoint expires_at;
};

// Input data for the decision about one engine.
struct EngineView {
  DesiredEngine desired;
  EngineLease lease;
  const LoadRecord* load = nullptr;
};

struct CommandInputs {
  std::uint64_t config_version = 0;         // in force; source of `desired`
  std::uint64_t highest_known_version = 0;  // highest version that any peer announced
  std::uint32_t router_count = 1;           // member routers of the whole fleet
  std::vector<EngineView> engines;
};

// A POST /orders request to `engine`. The caller checks IsStillValid immediately
// before it writes the request, because the process may have paused in between.
struct EngineCommand {
  std::string engine;
  Fence fence;
  EngineState state;
  std::uint64_t config_version = 0;
  TimePoint send_before;
};

enum class CommandResult : std::uint8_t {
  kAccepted,       // 200
  kFenceRejected,  // 409: the engine has obeyed a newer token
  kNoResponse,     // no response, or any other status
};

// Progress of the commands to one engine.
struct CommandProgress {
  std::optional<EngineCommand> last;
  TimePoint sent_at;
  std::optional<TimePoint> accepted_at;
  bool awaiting_response = false;
  // The engine rejected this token; only a higher one may be tried.
  std::optional<Fence> refused;
  std::uint64_t corrections = 0;  // sent because the reported state differed
};

struct CommandState {
  CommandSettings settings;
  std::map<std::string, CommandProgress, std::less<>> engines;
  // Token bucket for weight loads: starts empty and holds at most one token.
  double weight_tokens = 0;
  std::optional<TimePoint> refilled_at;
  // Largest fleet seen within `fleet_shrink_hold`.
  std::uint32_t fleet_size = 0;
  TimePoint fleet_size_seen;
  std::uint64_t fence_overflows = 0;
};

// Returns the commands to send now. A command requires an unexpired lease, a recent
// report, and a configuration that is not older than the highest known version.
std::vector<EngineCommand> PlanCommands(CommandState& state,
                                        const CommandInputs& inputs,
                                        TimePoint now);

// False if the lease has expired or a newer configuration has become known.
bool IsStillValid(const EngineCommand& command, std::uint64_t highest_known_version, TimePoint now);

// Records the result of `command`. Results of older commands are ignored.
void HandleCommandResult(CommandState& state,
                         const EngineCommand& command,
                         CommandResult result,
                         TimePoint now);

}  // namespace geraniumspread::engines

#endif  // ENGINES_ENGINE_COMMANDS_H_
