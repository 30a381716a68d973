#ifndef ADMISSION_WORKSPACE_SHARES_H_
#define ADMISSION_WORKSPACE_SHARES_H_

#include <limits>
#include <optional>
#include <unordered_map>

#include "admission/admission_types.h"

// Divides the places of a service that one instance may count on between the workspaces, over some
// seconds. A queue that holds requests for some ten milliseconds can't do that alone: it is empty
// again before the other workspaces' requests arrive.
namespace geraniumspread::admission {

// Exponentially decayed sums of the time for which requests hold their places.
struct WorkspaceUse {
  double demand_seconds = 0;
  double admitted_seconds = 0;
  TimePoint at;
};

struct WorkspaceShares {
  std::unordered_map<WorkspaceKey, WorkspaceUse> uses;
  // Places that a workspace may use; infinite while there are enough for all.
  double level = std::numeric_limits<double>::infinity();
  TimePoint level_at;
};

// Records a request that will hold its place for `hold`. Returns the time after which the workspace
// is below its share again if it is above it now, and nothing if the request is admitted. `places`
// are those that this instance may count on.
std::optional<Duration> AdmitToShare(WorkspaceShares& shares,
                                     WorkspaceKey workspace,
                                     Duration hold,
                                     double places,
                                     TimePoint now);

}  // namespace geraniumspread::admission

#endif  // ADMISSION_WORKSPACE_SHARES_H_
