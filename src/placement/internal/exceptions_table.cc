#include "placement/exceptions_table.h"

#include <bit>
#include <span>

#include "common/hash.h"

namespace geraniumspread::placement {
namespace {

std::uint32_t Milliseconds(const ExceptionsTable& table, TimePoint now) {
  return static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(now - table.created_at).count());
}

std::size_t SetBegin(const ExceptionsTable& table, ChatKey chat) {
  const std::size_t set_count = table.entries.size() / kExceptionWays;
  // Hashed again so that chats whose keys share low bits do not share a set.
  return (MixHash(static_cast<std::uint64_t>(chat), 0) & (set_count - 1)) * kExceptionWays;
}

std::span<ExceptionEntry> Set(ExceptionsTable& table, ChatKey chat) {
  return std::span(table.entries).subspan(SetBegin(table, chat), kExceptionWays);
}

bool Holds(const ExceptionEntry& entry, ChatKey chat) {
  return entry.upstream != kNoUpstream && entry.chat == static_cast<std::uint64_t>(chat);
}

// Age in ms. Wraps after 49 days, far beyond the hold time of an entry.
std::uint32_t Age(const ExceptionEntry& entry, std::uint32_t now_ms) {
  return now_ms - entry.recorded_ms;
}

}  // namespace

ExceptionsTable MakeExceptionsTable(std::uint32_t entry_count, TimePoint now) {
  ExceptionsTable table;
  table.entries.resize(std::bit_ceil(std::max(entry_count, kExceptionWays)));
  table.created_at = now;
  return table;
}

UpstreamIndex FindException(const ExceptionsTable& table,
                            ChatKey chat,
                            Duration hold,
                            TimePoint now) {
  const auto set = std::span(table.entries).subspan(SetBegin(table, chat), kExceptionWays);
  for (const ExceptionEntry& entry : set) {
    if (Holds(entry, chat)) {
      const auto age = std::chrono::milliseconds(Age(entry, Milliseconds(table, now)));
      return age < hold ? entry.upstream : kNoUpstream;
    }
  }
  return kNoUpstream;
}

void PutException(ExceptionsTable& table, ChatKey chat, UpstreamIndex upstream, TimePoint now) {
  const std::uint32_t now_ms = Milliseconds(table, now);
  const std::span<ExceptionEntry> set = Set(table, chat);
  ExceptionEntry* victim = &set.front();
  for (ExceptionEntry& entry : set) {
    if (Holds(entry, chat)) {
      victim = &entry;
      break;
    }
    const bool free_entry = entry.upstream == kNoUpstream;
    const bool older = Age(entry, now_ms) > Age(*victim, now_ms);
    if (victim->upstream != kNoUpstream && (free_entry || older)) {
      victim = &entry;
    }
  }
  *victim = {static_cast<std::uint64_t>(chat), upstream, now_ms};
}

void EraseException(ExceptionsTable& table, ChatKey chat) {
  for (ExceptionEntry& entry : Set(table, chat)) {
    if (Holds(entry, chat)) {
      entry = ExceptionEntry{};
    }
  }
}

void EraseExceptionsOf(ExceptionsTable& table, UpstreamIndex upstream) {
  for (ExceptionEntry& entry : table.entries) {
    if (entry.upstream == upstream) {
      entry = ExceptionEntry{};
    }
  }
}

}  // namespace geraniumspread::placement
