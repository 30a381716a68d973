#ifndef DISPATCH_PROMPT_CACHE_MODEL_H_
#define DISPATCH_PROMPT_CACHE_MODEL_H_

#include <cstdint>
#include <list>
#include <unordered_map>

#include "dispatch/dispatch_types.h"

namespace geraniumspread::dispatch {

// Model of an engine's prompt cache, built from the requests that this instance sent.
// Evicts the least recently used parts first, as the engine does.
struct PromptCacheModel {
  struct Entry {
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;
  };
  // Most recently used first.
  std::list<Entry> entries;
  std::unordered_map<std::uint64_t, std::list<Entry>::iterator> by_id;
  std::uint64_t tokens = 0;
};

// Returns the input tokens that need prefill. A part is cached only if all parts
// before it are. The last part is never shared with other requests.
std::uint32_t UncachedTokens(const PromptCacheModel& cache, const Prompt& prompt);
// Records that the engine processes this prompt. `capacity` is in tokens.
void RecordPrompt(PromptCacheModel& cache, const Prompt& prompt, std::uint64_t capacity);
void ClearPromptCache(PromptCacheModel& cache);
// Returns the tokens of the shared parts (all but the last) that need prefill.
std::uint32_t UncachedSharedTokens(const PromptCacheModel& cache, const Prompt& prompt);
// Returns the tokens of the shared parts (all but the last).
std::uint32_t SharedTokens(const Prompt& prompt);
// Returns the id of the last shared part, which identifies the chat or subject of the
// prompt, or 0 if there are no shared parts.
std::uint64_t SubjectOf(const Prompt& prompt);

}  // namespace geraniumspread::dispatch

#endif  // DISPATCH_PROMPT_CACHE_MODEL_H_
