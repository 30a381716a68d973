#ifndef DISPATCH_DISPATCH_TYPES_H_
#define DISPATCH_DISPATCH_TYPES_H_

#include <cstdint>
#include <string>
#include <vector>

#include "common/runtime_clock.h"

// Value types of one-hop dispatch: an instance sends a request directly to an
// upstream, based on its own observations and the digests of its peers.
namespace geraniumspread::dispatch {

// Whether a request may be repeated after an attempt with an unknown outcome.
enum class Repeatability : std::uint8_t {
  kRepeatable,
  kNonRepeatable,
  // A stream that can resume at another upstream after the last delivered event.
  kResumable,
};

// One part of a prompt. Requests can share leading parts.
struct PromptPart {
  std::uint64_t id = 0;
  std::uint32_t tokens = 0;
};

// Size of a generation request. Requests to plain services have no parts and no
// tokens.
struct Prompt {
  std::vector<PromptPart> parts;
  std::uint32_t input_tokens = 0;
  std::uint32_t max_output_tokens = 0;
};

}  // namespace geraniumspread::dispatch

#endif  // DISPATCH_DISPATCH_TYPES_H_
