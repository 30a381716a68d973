#ifndef EDGE_INTERNAL_EVENT_SPLITTER_H_
#define EDGE_INTERNAL_EVENT_SPLITTER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace geraniumspread::edge::detail {

// Cuts a stream into whole events, so that a caller never gets a part of one and
// a resumed stream goes on at an event. The bytes of events stay as they are.
struct EventSplitter {
  std::string pending;
  // Id of the last whole event that was taken.
  std::optional<std::uint64_t> last_id;
  // Events up to this id were delivered by an earlier attempt.
  std::optional<std::uint64_t> skip_through;
  // An event's id is not above the one before, or ids are left out.
  bool out_of_order = false;
  // Bytes came that end no event; the rest was dropped.
  bool too_large = false;
};

// Appends bytes, of which an event may have 256 KiB, and returns the whole events among them that
// are new.
std::string ExtractEvents(EventSplitter& splitter, std::string_view bytes);

}  // namespace geraniumspread::edge::detail

#endif  // EDGE_INTERNAL_EVENT_SPLITTER_H_
