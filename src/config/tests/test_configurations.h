#ifndef CONFIG_TESTS_TEST_CONFIGURATIONS_H_
#define CONFIG_TESTS_TEST_CONFIGURATIONS_H_

#include <cstddef>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <utility>

#include "config/compile.h"
#include "config/config_types.h"

namespace geraniumspread::config {

// A valid configuration with two domains, one pool, one service and
// `workspace_count` workspaces with realistic name lengths.
inline Configuration MakeConfiguration(std::uint64_t version, std::size_t workspace_count) {
  Configuration configuration;
  configuration.version = version;
  configuration.failure_domains = {{"georgia-a", "georgia", true}, {"georgia-b", "georgia", true}};
  configuration.pools = {{"wording", "inscription-wording", "", "1", "generate", 1.25, 2, 16}};
  configuration.services = {{"order-registry", {{"GET", "/", true}}, std::chrono::seconds(10), 32}};
  for (std::size_t index = 0; index < workspace_count; ++index) {
    const std::string digits = std::to_string(100'000 + index);
    configuration.workspaces.push_back({"workspace-of-foundry-" + digits,
                                        2,
                                        24,
                                        7.5,
                                        false,
                                        {"inscription-wording"},
                                        PriorityClass::kDraft});
  }
  return configuration;
}

inline CompiledConfiguration CompileOrThrow(const Configuration& configuration) {
  auto compiled = Compile(configuration);
  if (!compiled) {
    throw std::runtime_error(compiled.error().message);
  }
  return std::move(compiled.value());
}

}  // namespace geraniumspread::config

#endif  // CONFIG_TESTS_TEST_CONFIGURATIONS_H_
