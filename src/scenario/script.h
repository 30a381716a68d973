#ifndef SCENARIO_SCRIPT_H_
#define SCENARIO_SCRIPT_H_

#include <string>
#include <vector>

// Runs scenarios written in Lua. docs/scenarios.md lists the functions.
namespace geraniumspread::scenario {

struct ScriptResult {
  // Checks that failed and errors of the script, each as "FILE:LINE: MESSAGE".
  std::vector<std::string> failures;
  std::vector<std::string> notes;  // of the function `note`
};

// The runtime clock must be paused; the script advances it.
ScriptResult RunScript(const std::string& path);

}  // namespace geraniumspread::scenario

#endif  // SCENARIO_SCRIPT_H_
