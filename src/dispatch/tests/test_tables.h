#ifndef DISPATCH_TESTS_TEST_TABLES_H_
#define DISPATCH_TESTS_TEST_TABLES_H_

#include <string>

#include "dispatch/selection.h"
#include "dispatch/upstream_table.h"

namespace geraniumspread::dispatch::test {

inline constexpr TimePoint kStart{std::chrono::hours(1)};

inline UpstreamListing Listing(const std::string& id,
                               const std::string& domain,
                               std::uint32_t slots = 96) {
  UpstreamListing listing;
  listing.id = id;
  listing.service = "model";
  listing.address = "127.0.0.1:1";
  listing.failure_domain = domain;
  listing.slots = slots;
  listing.started_at_ms = 1;
  return listing;
}

// Returns a table with `per_domain` upstreams in each of the domains a, b and c.
inline UpstreamTable MakeTable(int per_domain, std::uint32_t slots = 96) {
  UpstreamTable table;
  for (const char* domain : {"a", "b", "c"}) {
    for (int index = 0; index < per_domain; ++index) {
      ApplyListing(table, Listing(domain + std::to_string(index), domain, slots), kStart);
    }
  }
  return table;
}

// Returns a prompt with a common first part, a chat part and a unique last part.
inline Prompt ChatPrompt(std::uint64_t chat,
                         std::uint64_t request,
                         std::uint32_t chat_tokens = 6000) {
  constexpr std::uint32_t kCommonTokens = 2500;
  constexpr std::uint32_t kOwnTokens = 580;
  Prompt prompt;
  prompt.parts = {
      {7, kCommonTokens}, {1000 + chat, chat_tokens}, {1'000'000 + request, kOwnTokens}};
  prompt.input_tokens = kCommonTokens + chat_tokens + kOwnTokens;
  prompt.max_output_tokens = 50;
  return prompt;
}

inline SelectionRequest EngineRequest(const Prompt& prompt, const std::string& domain = "a") {
  SelectionRequest request;
  request.service = "model";
  request.is_engine = true;
  request.prompt = prompt;
  request.own_domain = domain == "b" ? "b" : domain == "c" ? "c" : "a";
  request.now = kStart;
  return request;
}

}  // namespace geraniumspread::dispatch::test

#endif  // DISPATCH_TESTS_TEST_TABLES_H_
