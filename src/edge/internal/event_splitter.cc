#include "edge/internal/event_splitter.h"

#include <charconv>

namespace geraniumspread::edge::detail {
namespace {

constexpr std::string_view kEventEnd = "\n\n";
constexpr std::string_view kIdField = "id:";
// An event holds a few tokens of text. Input a thousand times that size is not an event.
constexpr std::size_t kMaxEventBytes = std::size_t{256} * 1024;

std::optional<std::uint64_t> EventId(std::string_view event) {
  while (!event.empty()) {
    const auto end = event.find('\n');
    std::string_view line = event.substr(0, end);
    event = end == std::string_view::npos ? std::string_view() : event.substr(end + 1);
    if (!line.starts_with(kIdField)) {
      continue;
    }
    line.remove_prefix(kIdField.size());
    while (line.starts_with(' ')) {
      line.remove_prefix(1);
    }
    std::uint64_t id = 0;
    const auto [rest, error] = std::from_chars(line.data(), line.data() + line.size(), id);
    if (error == std::errc{}) {
      return id;
    }
  }
  return std::nullopt;
}

}  // namespace

std::string ExtractEvents(EventSplitter& splitter, std::string_view bytes) {
  splitter.pending.append(bytes);
  std::string events;
  std::size_t start = 0;
  for (auto end = splitter.pending.find(kEventEnd); end != std::string::npos;
       end = splitter.pending.find(kEventEnd, start)) {
    const std::string_view event =
        std::string_view(splitter.pending).substr(start, end + kEventEnd.size() - start);
    start = end + kEventEnd.size();
    if (const auto id = EventId(event); id) {
      if (splitter.skip_through && *id <= *splitter.skip_through) {
        continue;
      }
      if (splitter.last_id && *id != *splitter.last_id + 1) {
        splitter.out_of_order = true;
        break;
      }
      splitter.last_id = id;
    }
    events.append(event);
  }
  splitter.pending.erase(0, start);
  if (splitter.pending.size() > kMaxEventBytes) {
    splitter.too_large = true;
    splitter.pending.clear();
  }
  return events;
}

}  // namespace geraniumspread::edge::detail
