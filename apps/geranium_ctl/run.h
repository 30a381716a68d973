#ifndef GERANIUM_CTL_RUN_H_
#define GERANIUM_CTL_RUN_H_

#include <ostream>
#include <span>

#include "geranium_ctl/command_line.h"

namespace geraniumspread::ctl {

// Runs one command. Reports go to `out`, errors to `errors` as one line each.
// `arguments` is the command line without the program's name.
ExitCode Run(std::span<const char* const> arguments, std::ostream& out, std::ostream& errors);

}  // namespace geraniumspread::ctl

#endif  // GERANIUM_CTL_RUN_H_
