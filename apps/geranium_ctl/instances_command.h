#ifndef GERANIUM_CTL_INSTANCES_COMMAND_H_
#define GERANIUM_CTL_INSTANCES_COMMAND_H_

#include <optional>
#include <ostream>
#include <string>
#include <string_view>
#include <vector>

#include <boost/json/object.hpp>

#include "geranium_ctl/command_line.h"

namespace geraniumspread::ctl {

// The status page of one instance, or why there is none.
struct InstanceStatus {
  std::string address;
  std::string error;
  boost::json::object page;
};

InstanceStatus ReadInstanceStatus(std::string_view address, std::string_view body);
// One sentence for each belief in which the instances differ: configuration, published revision,
// failure domains that are out, upstreams that take new work.
std::vector<std::string> FindDifferences(const std::vector<InstanceStatus>& statuses);

// geranium_ctl instances [SERVICE]: what running instances believe, and with a service where a
// request without a prompt would go.
ExitCode ShowInstances(const CommandLine& line, std::ostream& out);

}  // namespace geraniumspread::ctl

#endif  // GERANIUM_CTL_INSTANCES_COMMAND_H_
