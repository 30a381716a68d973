#ifndef GERANIUM_CTL_SHEET_COMMANDS_H_
#define GERANIUM_CTL_SHEET_COMMANDS_H_

#include <ostream>

#include "geranium_ctl/command_line.h"

// The commands that work on a sheet. Each writes its report to `out` and throws
// CommandError when it can't make one.
namespace geraniumspread::ctl {

ExitCode CheckSheet(const CommandLine& line, std::ostream& out);
ExitCode CompileSheet(const CommandLine& line, std::ostream& out);
ExitCode DiffSheet(const CommandLine& line, std::ostream& out);
ExitCode ExplainChat(const CommandLine& line, std::ostream& out);

}  // namespace geraniumspread::ctl

#endif  // GERANIUM_CTL_SHEET_COMMANDS_H_
