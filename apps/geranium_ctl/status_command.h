#ifndef GERANIUM_CTL_STATUS_COMMAND_H_
#define GERANIUM_CTL_STATUS_COMMAND_H_

#include <optional>
#include <ostream>
#include <string>
#include <string_view>
#include <vector>

#include "config/config_status.h"
#include "geranium_ctl/command_line.h"

namespace geraniumspread::ctl {

// What one router answered to GET /status, or why it didn't.
struct RouterStatus {
  std::string router;  // HOST:PORT
  std::string state;   // starting, serving or draining; empty when unknown
  std::optional<config::ConfigStatus> configuration;
  std::string error;
};

// Reads the members "state" and "configuration" of the answer.
RouterStatus ReadRouterStatus(std::string_view router, std::string_view body);

// One sentence for each pair of version and digest that differs from the highest.
std::vector<std::string> FindDisagreement(const std::vector<RouterStatus>& statuses);

// Throws CommandError unless --routers names at least one HOST:PORT and nothing else.
void RequireRouters(const CommandLine& line);

ExitCode ShowStatus(const CommandLine& line, std::ostream& out);

}  // namespace geraniumspread::ctl

#endif  // GERANIUM_CTL_STATUS_COMMAND_H_
