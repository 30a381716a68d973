#include "admission/workspace_shares.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace geraniumspread::admission {
namespace {

// Time constant of the sums. A shorter one takes chance for a surge: at 28 instances most
// workspaces send an instance less than one request a second.
constexpr double kMemorySeconds = 4;
// The level is computed again after this time.
constexpr Duration kLevelInterval = std::chrono::milliseconds(100);
// Smaller sums are forgotten.
constexpr double kLeastSeconds = 1e-4;

void Decay(WorkspaceUse& use, TimePoint now) {
  const double factor =
      std::exp(-std::chrono::duration<double>(now - use.at).count() / kMemorySeconds);
  use.demand_seconds *= factor;
  use.admitted_seconds *= factor;
  use.at = now;
}

// Sets the level at which the workspaces below it get what they ask for, and the others share the
// rest equally.
void UpdateLevel(WorkspaceShares& shares, double places, TimePoint now) {
  shares.level_at = now;
  std::vector<double> demands;
  for (auto& [workspace, use] : shares.uses) {
    Decay(use, now);
    demands.push_back(use.demand_seconds / kMemorySeconds);
  }
  std::erase_if(shares.uses,
                [](const auto& entry) { return entry.second.demand_seconds < kLeastSeconds; });
  std::ranges::sort(demands);
  double left = places;
  for (std::size_t index = 0; index < demands.size(); ++index) {
    const auto others = static_cast<double>(demands.size() - index);
    if (demands[index] * others > left) {
      shares.level = left / others;
      return;
    }
    left -= demands[index];
  }
  shares.level = std::numeric_limits<double>::infinity();
}

}  // namespace

std::optional<Duration> AdmitToShare(WorkspaceShares& shares,
                                     WorkspaceKey workspace,
                                     Duration hold,
                                     double places,
                                     TimePoint now) {
  const double seconds = std::chrono::duration<double>(hold).count();
  WorkspaceUse& use = shares.uses[workspace];
  Decay(use, now);
  use.demand_seconds += seconds;
  if (now >= shares.level_at + kLevelInterval) {
    UpdateLevel(shares, places, now);
  }
  const double allowed_seconds = shares.level * kMemorySeconds;
  WorkspaceUse& current = shares.uses[workspace];
  if (current.admitted_seconds <= allowed_seconds) {
    current.admitted_seconds += seconds;
    return std::nullopt;
  }
  const double wait = kMemorySeconds * std::log(current.admitted_seconds / allowed_seconds);
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(wait));
}

}  // namespace geraniumspread::admission
