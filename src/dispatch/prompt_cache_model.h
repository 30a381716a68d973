#ifndef DISPATCH_PROMPT_CACHE_MODEL_H_
#define DISPATCH_PROMPT_CACHE_MODEL_H_

#include <cstdint>
#include <list>
#include <unordered_map>

#include "dispatch/dispatch_types.h"

namespace geraniumspread::dispatch {

// What this instance believes an engine keeps of the prompts that it read. Parts
// that were used longest ago yield, as they do in the engine.
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

// Input tokens that the engine still has to read: a part is cached only when all
// parts before it are. The last part belongs to the request alone.
std::uint32_t UncachedTokens(const PromptCacheModel& cache, const Prompt& prompt);
// Notes that the engine reads this prompt. `capacity` is in tokens.
void RecordPrompt(PromptCacheModel& cache, const Prompt& prompt, std::uint64_t capacity);
void ClearPromptCache(PromptCacheModel& cache);
// Tokens of the shared parts that the engine still has to read: all but the last.
std::uint32_t UncachedSharedTokens(const PromptCacheModel& cache, const Prompt& prompt);
// Tokens of the shared parts: all but the last.
std::uint32_t SharedTokens(const Prompt& prompt);
// Identifies the chat or subject of a prompt: its last shared part. 0 for a
// prompt without shared parts.
std::uint64_t SubjectOf(const Prompt& prompt);

}  // namespace geraniumspread::dispatch

#endif  // DISPATCH_PROMPT_CACHE_MODEL_H_
