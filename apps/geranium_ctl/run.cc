#include "geranium_ctl/run.h"

#include <algorithm>
#include <array>
#include <string_view>

#include "geranium_ctl/instances_command.h"
#include "geranium_ctl/sheet_commands.h"
#include "geranium_ctl/status_command.h"
#include "geranium_ctl/trace_command.h"

namespace geraniumspread::ctl {
namespace {

struct Command {
  std::string_view name;
  ExitCode (*run)(const CommandLine& line, std::ostream& out);
};

constexpr std::array<Command, 7> kCommands{{{"check", &CheckSheet},
                                            {"compile", &CompileSheet},
                                            {"diff", &DiffSheet},
                                            {"explain", &ExplainChat},
                                            {"instances", &ShowInstances},
                                            {"status", &ShowStatus},
                                            {"trace", &ShowTrace}}};

ExitCode RunCommand(const CommandLine& line, std::ostream& out) {
  const auto* command = std::ranges::find(kCommands, line.command, &Command::name);
  if (command == kCommands.end()) {
    throw CommandError{ExitCode::kUsage, "unknown command \"" + line.command + "\"; see --help"};
  }
  return command->run(line, out);
}

}  // namespace

ExitCode Run(std::span<const char* const> arguments, std::ostream& out, std::ostream& errors) {
  try {
    const CommandLine line = ParseCommandLine(arguments);
    if (line.wants_help) {
      out << UsageText();
      return ExitCode::kSuccess;
    }
    const ExitCode code = RunCommand(line, out);
    if (!out.flush()) {
      throw CommandError{ExitCode::kUnavailable, "the report can't be written"};
    }
    return code;
  } catch (const CommandError& error) {
    errors << kProgram << ": " << error.message << "\n";
    return error.code;
  }
}

}  // namespace geraniumspread::ctl
