#ifndef PLACEMENT_EXCEPTIONS_TABLE_H_
#define PLACEMENT_EXCEPTIONS_TABLE_H_

#include <cstdint>
#include <vector>

#include "placement/placement_types.h"

namespace geraniumspread::placement {

// A chat that was placed on another upstream than its first choice.
struct ExceptionEntry {
  std::uint64_t chat = 0;
  UpstreamIndex upstream = kNoUpstream;  // kNoUpstream marks a free entry
  std::uint32_t recorded_ms = 0;         // since the table was created
};
static_assert(sizeof(ExceptionEntry) == 16);

// Set-associative table of fixed size with sets of kExceptionWays entries; the oldest entry of a
// full set is evicted.
inline constexpr std::uint32_t kExceptionWays = 4;
struct ExceptionsTable {
  std::vector<ExceptionEntry> entries;
  TimePoint created_at;
};

ExceptionsTable MakeExceptionsTable(std::uint32_t entry_count, TimePoint now);
// Returns kNoUpstream if the chat has no entry younger than `hold`.
UpstreamIndex FindException(const ExceptionsTable& table,
                            ChatKey chat,
                            Duration hold,
                            TimePoint now);
void PutException(ExceptionsTable& table, ChatKey chat, UpstreamIndex upstream, TimePoint now);
void EraseException(ExceptionsTable& table, ChatKey chat);
// Erases all entries of an upstream whose index will be reused.
void EraseExceptionsOf(ExceptionsTable& table, UpstreamIndex upstream);

}  // namespace geraniumspread::placement

#endif  // PLACEMENT_EXCEPTIONS_TABLE_H_
