#ifndef GERANIUM_CTL_PLACEMENT_EXPLANATION_H_
#define GERANIUM_CTL_PLACEMENT_EXPLANATION_H_

#include <string_view>

#include <boost/json.hpp>

#include "config/config_types.h"

namespace geraniumspread::ctl {

// What the configuration decides about the placement of one chat: for each pool
// that the workspace may use, its limits and the failure domains that take new
// work. `model` limits the answer to one served model name unless it is empty.
boost::json::object ExplainPlacement(const config::Configuration& configuration,
                                     const config::Workspace& workspace,
                                     std::string_view chat,
                                     std::string_view model);

}  // namespace geraniumspread::ctl

#endif  // GERANIUM_CTL_PLACEMENT_EXPLANATION_H_
