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

// Fencing token: configuration version in the high bits, lease sequence in the
// low ones, so tokens compare like the pair. 53 bits in all, because JSON
// readers that use doubles keep integers exactly only up to 2^53. 26 bits of
// versions last 63 years at 2,900 changes a day; 27 bits of lease sequence last
// 12 years with a new lease every 3 s.
inline constexpr unsigned kFenceVersionBits = 26;
inline constexpr unsigned kFenceLeaseBits = 27;

struct Fence {
  std::uint64_t token = 0;

  auto operator<=>(const Fence&) const = default;
};

// Errors: kFenceOverflow.
Result<Fence> MakeFence(std::uint64_t config_version, std::uint64_t lease_sequence);

// Part of a pool's engines that has one role.
struct RoleShare {
  std::string role;
  double weight = 1;
};

// What the configuration says about a model pool.
struct PoolSpec {
  std::string pool;
  std::string model;
  std::string adapter;
  std::string version;
  std::vector<RoleShare> roles;  // empty: role "" for all engines
};

// An engine of the live list.
struct LiveEngine {
  std::string id;
  std::string pool;
};

struct DesiredEngine {
  std::string id;
  EngineState state;
};

// The wanted state of every live engine whose pool is configured, sorted by id.
// A pure function: the same arguments give the same result on every router,
// whatever their order.
std::vector<DesiredEngine> DesiredStates(const std::vector<PoolSpec>& pools,
                                         const std::vector<LiveEngine>& live);

struct CommandSettings {
  // An order without an answer is sent again after this.
  Duration response_timeout = std::chrono::seconds(5);
  // How long an engine may take to show an accepted order in its reports.
  Duration settle_time = std::chrono::seconds(60);
  // Orders need a report that was asked for within this.
  Duration max_report_age = std::chrono::seconds(5);
  // No order is sent when the lease ends within this.
  Duration lease_margin = std::chrono::milliseconds(250);
  // Loads of weights a second that the weight store allows over all routers.
  double weight_loads_per_second = 1;
  // The share of this router follows a smaller fleet only after this long, so
  // that both sides of a partition together stay within the rate.
  Duration fleet_shrink_hold = std::chrono::minutes(10);
};

// The caller's lease on one engine, by its own clock.
struct EngineLease {
  bool held = false;
  std::uint64_t sequence = 0;
  TimePoint expires_at;
};

// Everything about one engine that the decision needs.
struct EngineView {
  DesiredEngine desired;
  EngineLease lease;
  const LoadRecord* load = nullptr;
};

struct CommandInputs {
  std::uint64_t config_version = 0;         // in force; `desired` comes from it
  std::uint64_t highest_known_version = 0;  // announced by anyone
  std::uint32_t router_count = 1;           // member routers of the whole fleet
  std::vector<EngineView> engines;
};

// POST /orders to `engine`. The adapter calls IsStillValid right before it
// writes the request, because the process may have paused in between.
struct EngineCommand {
  std::string engine;
  Fence fence;
  EngineState state;
  std::uint64_t config_version = 0;
  TimePoint send_before;
};

enum class CommandResult : std::uint8_t {
  kAccepted,       // 200
  kFenceRejected,  // 409: somebody with a newer token has ordered
  kNoResponse,     // no answer, or any other status
};

// Progress of the orders to one engine.
struct CommandProgress {
  std::optional<EngineCommand> last;
  TimePoint sent_at;
  std::optional<TimePoint> accepted_at;
  bool awaiting_response = false;
  // The engine refused this token; only a higher one may be tried.
  std::optional<Fence> refused;
  std::uint64_t corrections = 0;  // state read back differs after acceptance
};

struct CommandState {
  CommandSettings settings;
  std::map<std::string, CommandProgress, std::less<>> engines;
  // Token bucket for weight loads: starts empty, holds at most one.
  double weight_tokens = 0;
  std::optional<TimePoint> refilled_at;
  // Largest fleet seen within `fleet_shrink_hold`.
  std::uint32_t fleet_size = 0;
  TimePoint fleet_size_seen;
  std::uint64_t fence_overflows = 0;
};

// Orders to send now. Nothing is ordered without an unexpired lease, from a
// configuration older than the highest known one, or without a fresh report.
std::vector<EngineCommand> PlanCommands(CommandState& orders,
                                        const CommandInputs& inputs,
                                        TimePoint now);

// False when the lease has ended or a newer configuration is known meanwhile.
bool IsStillValid(const EngineCommand& command, std::uint64_t highest_known_version, TimePoint now);

// Records the answer to `command`. Answers to older commands are ignored.
void HandleCommandResult(CommandState& orders,
                         const EngineCommand& command,
                         CommandResult answer,
                         TimePoint now);

}  // namespace geraniumspread::engines

#endif  // ENGINES_ENGINE_COMMANDS_H_
