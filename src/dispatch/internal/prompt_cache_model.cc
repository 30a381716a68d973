#include "dispatch/prompt_cache_model.h"

#include <algorithm>

namespace geraniumspread::dispatch {

std::uint32_t UncachedTokens(const PromptCacheModel& cache, const Prompt& prompt) {
  std::uint32_t cached = 0;
  for (const PromptPart& part : prompt.parts) {
    if (!cache.by_id.contains(part.id)) {
      break;
    }
    cached += part.tokens;
  }
  return prompt.input_tokens - std::min(cached, prompt.input_tokens);
}

void RecordPrompt(PromptCacheModel& cache, const Prompt& prompt, std::uint64_t capacity) {
  // Leading parts are reused most, so they are moved to the front last.
  for (auto part = prompt.parts.rbegin(); part != prompt.parts.rend(); ++part) {
    if (const auto known = cache.by_id.find(part->id); known != cache.by_id.end()) {
      cache.entries.splice(cache.entries.begin(), cache.entries, known->second);
      continue;
    }
    cache.entries.push_front({part->id, part->tokens});
    cache.by_id[part->id] = cache.entries.begin();
    cache.tokens += part->tokens;
  }
  while (cache.tokens > capacity && !cache.entries.empty()) {
    cache.tokens -= cache.entries.back().tokens;
    cache.by_id.erase(cache.entries.back().id);
    cache.entries.pop_back();
  }
}

void ClearPromptCache(PromptCacheModel& cache) {
  cache = {};
}

std::uint32_t UncachedSharedTokens(const PromptCacheModel& cache, const Prompt& prompt) {
  std::uint32_t uncached = 0;
  bool is_cached = true;
  for (std::size_t index = 0; index + 1 < prompt.parts.size(); ++index) {
    is_cached = is_cached && cache.by_id.contains(prompt.parts[index].id);
    uncached += is_cached ? 0 : prompt.parts[index].tokens;
  }
  return uncached;
}

std::uint32_t SharedTokens(const Prompt& prompt) {
  return UncachedSharedTokens(PromptCacheModel(), prompt);
}

std::uint64_t SubjectOf(const Prompt& prompt) {
  const std::size_t count = prompt.parts.size();
  return count < 2 ? 0 : prompt.parts[count - 2].id;
}

}  // namespace geraniumspread::dispatch
