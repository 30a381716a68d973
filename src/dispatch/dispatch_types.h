#ifndef DISPATCH_DISPATCH_TYPES_H_
#define DISPATCH_DISPATCH_TYPES_H_

#include <cstdint>
#include <string>
#include <vector>

#include "common/runtime_clock.h"

// Value types of one-hop dispatch: an instance sends a request straight to an
// upstream, from what it knows itself and what its peers tell it.
namespace geraniumspread::dispatch {

// What may be repeated after an attempt whose outcome is not known.
enum class Repeatability : std::uint8_t {
  kRepeatable,
  kNonRepeatable,
  // A stream that can go on at another upstream after the last event delivered.
  kResumable,
};

// One part of a prompt, in the order of the prompt. Requests share leading parts.
struct PromptPart {
  std::uint64_t id = 0;
  std::uint32_t tokens = 0;
};

// The size of a generation. Plain requests have no parts and no tokens.
struct Prompt {
  std::vector<PromptPart> parts;
  std::uint32_t input_tokens = 0;
  std::uint32_t max_output_tokens = 0;
};

}  // namespace geraniumspread::dispatch

#endif  // DISPATCH_DISPATCH_TYPES_H_
