#ifndef GERANIUM_CTL_COMMAND_LINE_H_
#define GERANIUM_CTL_COMMAND_LINE_H_

#include <chrono>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace geraniumspread::ctl {

// Exit codes of geranium_ctl; docs/operators.md lists them.
enum class ExitCode : int {
  kSuccess = 0,
  kInvalid = 1,      // errors in the sheet or configuration, or no line names the request
  kUsage = 2,        // bad command, flag or argument
  kUnavailable = 3,  // a file or a router can't be read or written
  kFound = 4,        // differences, alarms or disagreement were found
};

// A failure with its exit code, reported as one line on standard error.
struct CommandError {
  ExitCode code = ExitCode::kUsage;
  std::string message;
};

struct CommandLine {
  std::string command;
  std::vector<std::string> arguments;
  bool wants_help = false;
  bool as_json = false;
  std::string against;
  std::string out;
  std::uint64_t version = 0;
  std::string workspace;
  std::string chat;
  std::string model;
  std::vector<std::string> routers;
  std::chrono::milliseconds timeout{0};
};

inline constexpr std::string_view kProgram = "geranium_ctl";

std::string_view UsageText();

// Reads flags and arguments in any order. Throws CommandError.
CommandLine ParseCommandLine(std::span<const char* const> arguments);

}  // namespace geraniumspread::ctl

#endif  // GERANIUM_CTL_COMMAND_LINE_H_
