#include "engines/engine_commands.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "common/hash.h"

namespace geraniumspread::engines {
namespace {

// Returns the engines of a pool in an order that is the same on every router.
std::vector<std::string> RankedEngines(const PoolSpec& pool, const std::vector<LiveEngine>& live) {
  std::vector<std::string> ids;
  for (const LiveEngine& engine : live) {
    if (engine.pool == pool.pool) {
      ids.push_back(engine.id);
    }
  }
  const std::uint64_t key = StableHash(pool.pool);
  std::ranges::sort(ids, [&](const std::string& left, const std::string& right) {
    const auto left_score = MixHash(key, StableHash(left));
    const auto right_score = MixHash(key, StableHash(right));
    return left_score != right_score ? left_score > right_score : left < right;
  });
  const auto duplicates = std::ranges::unique(ids);
  ids.erase(duplicates.begin(), duplicates.end());
  return ids;
}

// Returns the cumulative number of engines at the end of each role, in the order of
// the roles.
std::vector<std::size_t> RoleEnds(const std::vector<RoleShare>& roles, std::size_t engines) {
  double total = 0;
  for (const RoleShare& role : roles) {
    total += std::max(role.weight, 0.0);
  }
  std::vector<std::size_t> ends;
  double sum = 0;
  for (const RoleShare& role : roles) {
    sum += std::max(role.weight, 0.0);
    const double share = total > 0 ? sum / total : 1;
    ends.push_back(static_cast<std::size_t>(std::llround(share * static_cast<double>(engines))));
  }
  return ends;
}

std::string RoleAt(const PoolSpec& pool, const std::vector<std::size_t>& ends, std::size_t place) {
  for (std::size_t role = 0; role < ends.size(); ++role) {
    if (place < ends[role]) {
      return pool.roles[role].role;
    }
  }
  return {};
}

bool RequiresWeightLoad(const EngineState& current, const EngineState& desired) {
  return current.model != desired.model || current.adapter != desired.adapter ||
         current.version != desired.version;
}

// Uses the largest recent fleet size, so that a partition doesn't raise the shares.
void UpdateFleetSize(CommandState& state, std::uint32_t router_count, TimePoint now) {
  const bool held = now - state.fleet_size_seen < state.settings.fleet_shrink_hold;
  if (router_count >= state.fleet_size || !held) {
    state.fleet_size = std::max(router_count, 1U);
    state.fleet_size_seen = now;
  }
}

void RefillWeightTokens(CommandState& state, TimePoint now) {
  if (state.refilled_at) {
    const double elapsed = std::chrono::duration<double>(now - *state.refilled_at).count();
    const double rate =
        state.settings.weight_loads_per_second / static_cast<double>(state.fleet_size);
    state.weight_tokens = std::min(1.0, state.weight_tokens + std::max(elapsed, 0.0) * rate);
  }
  state.refilled_at = now;
}

// True if an earlier command with the same state may still take effect.
bool IsInProgress(const CommandState& state,
                  const CommandProgress& progress,
                  const EngineView& engine,
                  TimePoint now) {
  if (!progress.last || progress.last->state != engine.desired.state) {
    return false;
  }
  if (progress.awaiting_response) {
    return now - progress.sent_at < state.settings.response_timeout;
  }
  if (!progress.accepted_at) {
    return false;
  }
  // Only a report that was requested after the settle time shows the result of the
  // command.
  return engine.load->report_requested_at - *progress.accepted_at < state.settings.settle_time;
}

// Returns the reported state on which a command may be based, or nullopt if no
// command may be sent.
std::optional<EngineState> StateToCorrect(const CommandState& state,
                                          const EngineView& engine,
                                          TimePoint now) {
  const bool leased =
      engine.lease.held && now + state.settings.lease_margin < engine.lease.expires_at;
  if (!leased || engine.load == nullptr ||
      !HasFreshReport(*engine.load, state.settings.max_report_age, now)) {
    return std::nullopt;
  }
  const auto& report = engine.load->report;
  return report ? std::optional(report->state) : std::nullopt;
}

std::optional<Fence> UsableFence(CommandState& state,
                                 const CommandProgress& progress,
                                 std::uint64_t config_version,
                                 const EngineView& engine) {
  const auto fence = MakeFence(config_version, engine.lease.sequence);
  if (!fence) {
    ++state.fence_overflows;
    return std::nullopt;
  }
  // An engine that rejected this token has obeyed a newer one.
  if (progress.refused && fence.value() <= *progress.refused) {
    return std::nullopt;
  }
  return fence.value();
}

std::optional<EngineCommand> CommandFor(CommandState& state,
                                        const CommandInputs& inputs,
                                        const EngineView& engine,
                                        TimePoint now) {
  const auto current = StateToCorrect(state, engine, now);
  if (!current || *current == engine.desired.state) {
    return std::nullopt;
  }
  CommandProgress& progress = state.engines[engine.desired.id];
  if (IsInProgress(state, progress, engine, now)) {
    return std::nullopt;
  }
  const auto fence = UsableFence(state, progress, inputs.config_version, engine);
  if (!fence) {
    return std::nullopt;
  }
  if (RequiresWeightLoad(*current, engine.desired.state)) {
    if (state.weight_tokens < 1) {
      return std::nullopt;
    }
    state.weight_tokens -= 1;
  }
  progress.corrections += progress.accepted_at ? 1 : 0;
  EngineCommand command{engine.desired.id, *fence, engine.desired.state, inputs.config_version,
                        engine.lease.expires_at - state.settings.lease_margin};
  progress.last = command;
  progress.sent_at = now;
  progress.accepted_at.reset();
  progress.awaiting_response = true;
  return command;
}

}  // namespace

Result<Fence> MakeFence(std::uint64_t config_version, std::uint64_t lease_sequence) {
  if (config_version >> kFenceVersionBits != 0 || lease_sequence >> kFenceLeaseBits != 0) {
    return EnginesError{EnginesErrorCode::kFenceOverflow,
                        "configuration version " + std::to_string(config_version) +
                            " or lease sequence " + std::to_string(lease_sequence) +
                            " does not fit into the fencing token"};
  }
  return Fence{config_version << kFenceLeaseBits | lease_sequence};
}

std::vector<DesiredEngine> DesiredStates(const std::vector<PoolSpec>& pools,
                                         const std::vector<LiveEngine>& live) {
  std::vector<DesiredEngine> desired;
  for (const PoolSpec& pool : pools) {
    const auto ids = RankedEngines(pool, live);
    const auto ends = RoleEnds(pool.roles, ids.size());
    for (std::size_t place = 0; place < ids.size(); ++place) {
      desired.push_back(
          {ids[place], {pool.model, pool.adapter, pool.version, RoleAt(pool, ends, place)}});
    }
  }
  std::ranges::sort(desired, {}, &DesiredEngine::id);
  return desired;
}

std::vector<EngineCommand> PlanCommands(CommandState& state,
                                        const CommandInputs& inputs,
                                        TimePoint now) {
  UpdateFleetSize(state, inputs.router_count, now);
  RefillWeightTokens(state, now);
  std::vector<EngineCommand> commands;
  if (inputs.config_version == 0 || inputs.config_version < inputs.highest_known_version) {
    return commands;
  }
  for (const EngineView& engine : inputs.engines) {
    if (auto command = CommandFor(state, inputs, engine, now)) {
      commands.push_back(std::move(*command));
    }
  }
  return commands;
}

bool IsStillValid(const EngineCommand& command,
                  std::uint64_t highest_known_version,
                  TimePoint now) {
  return now < command.send_before && highest_known_version <= command.config_version;
}

void HandleCommandResult(CommandState& state,
                         const EngineCommand& command,
                         CommandResult result,
                         TimePoint now) {
  const auto found = state.engines.find(command.engine);
  if (found == state.engines.end()) {
    return;
  }
  const auto& last = found->second.last;
  if (!last || last->fence != command.fence || last->state != command.state) {
    return;
  }
  CommandProgress& progress = found->second;
  switch (result) {
    case CommandResult::kAccepted:
      progress.awaiting_response = false;
      progress.accepted_at = now;
      break;
    case CommandResult::kFenceRejected:
      progress.awaiting_response = false;
      progress.refused = command.fence;
      break;
    case CommandResult::kNoResponse:
      break;  // sent again after `response_timeout`
  }
}

}  // namespace geraniumspread::engines
