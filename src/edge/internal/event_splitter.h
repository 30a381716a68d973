#ifndef EDGE_INTERNAL_EVENT_SPLITTER_H_
#define EDGE_INTERNAL_EVENT_SPLITTER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace geraniumspread::edge::detail {

// Splits a stream into whole events, so that a caller never receives a partial event and a
// resumed stream continues at an event boundary. The bytes of events are not changed.
struct EventSplitter {
  std::string pending;
  // Id of the last whole event that was extracted.
  std::optional<std::uint64_t> last_id;
  // Events up to this id were already delivered by an earlier attempt and are skipped.
  std::optional<std::uint64_t> skip_through;
  // An event id does not directly follow the one before it.
  bool out_of_order = false;
  // An event exceeded the size limit; the pending bytes were dropped.
  bool too_large = false;
};

// Appends `bytes` and returns the whole events that are not to be skipped. An event may have
// up to 256 KiB.
std::string ExtractEvents(EventSplitter& splitter, std::string_view bytes);

}  // namespace geraniumspread::edge::detail

#endif  // EDGE_INTERNAL_EVENT_SPLITTER_H_
