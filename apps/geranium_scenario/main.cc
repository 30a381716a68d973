#include <gflags/gflags.h>

#include <cstdio>
#include <exception>

#include "common/runtime_clock.h"
#include "scenario/script.h"

namespace {

bool RunFile(const char* path) {
  const geraniumspread::ScopedPausedClock clock;
  const auto result = geraniumspread::scenario::RunScript(path);
  for (const std::string& note : result.notes) {
    std::printf("%s: %s\n", path, note.c_str());
  }
  for (const std::string& failure : result.failures) {
    std::printf("%s\n", failure.c_str());
  }
  std::printf("%s: %s\n", path, result.failures.empty() ? "passed" : "FAILED");
  return result.failures.empty();
}

}  // namespace

int main(int argc, char** argv) {
  gflags::SetUsageMessage("runs scenarios: geranium_scenario FILE...");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  if (argc < 2) {
    std::fprintf(stderr, "usage: geranium_scenario FILE...\n");
    return 2;
  }
  bool all_passed = true;
  try {
    for (int index = 1; index < argc; ++index) {
      all_passed = RunFile(argv[index]) && all_passed;
    }
  } catch (const std::exception& error) {
    std::fprintf(stderr, "geranium_scenario: %s\n", error.what());
    return 2;
  }
  return all_passed ? 0 : 1;
}
