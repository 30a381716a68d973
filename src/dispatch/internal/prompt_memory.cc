#include "dispatch/prompt_memory.h"

#include <algorithm>

namespace geraniumspread::dispatch {

std::uint32_t UncachedTokens(const PromptMemory& memory, const Prompt& prompt) {
  std::uint32_t cached = 0;
  for (const PromptPart& part : prompt.parts) {
    if (!memory.by_id.contains(part.id)) {
      break;
    }
    cached += part.tokens;
  }
  return prompt.input_tokens - std::min(cached, prompt.input_tokens);
}

void RememberPrompt(PromptMemory& memory, const Prompt& prompt, std::uint64_t capacity) {
  // The first parts are used again most, so they go to the front last.
  for (auto part = prompt.parts.rbegin(); part != prompt.parts.rend(); ++part) {
    if (const auto known = memory.by_id.find(part->id); known != memory.by_id.end()) {
      memory.entries.splice(memory.entries.begin(), memory.entries, known->second);
      continue;
    }
    memory.entries.push_front({part->id, part->tokens});
    memory.by_id[part->id] = memory.entries.begin();
    memory.tokens += part->tokens;
  }
  while (memory.tokens > capacity && !memory.entries.empty()) {
    memory.tokens -= memory.entries.back().tokens;
    memory.by_id.erase(memory.entries.back().id);
    memory.entries.pop_back();
  }
}

void ForgetPrompts(PromptMemory& memory) {
  memory = {};
}

std::uint32_t UncachedSharedTokens(const PromptMemory& memory, const Prompt& prompt) {
  std::uint32_t uncached = 0;
  bool is_cached = true;
  for (std::size_t index = 0; index + 1 < prompt.parts.size(); ++index) {
    is_cached = is_cached && memory.by_id.contains(prompt.parts[index].id);
    uncached += is_cached ? 0 : prompt.parts[index].tokens;
  }
  return uncached;
}

std::uint32_t SharedTokens(const Prompt& prompt) {
  return UncachedSharedTokens(PromptMemory(), prompt);
}

std::uint64_t SubjectOf(const Prompt& prompt) {
  const std::size_t count = prompt.parts.size();
  return count < 2 ? 0 : prompt.parts[count - 2].id;
}

}  // namespace geraniumspread::dispatch
