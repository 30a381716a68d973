#include "config/internal/csv_reader.h"

#include <csv.h>

#include <algorithm>
#include <utility>

namespace geraniumspread::config {
namespace {

constexpr std::string_view kBlanks = " \t\r\n\v\f";
constexpr std::string_view kNoBreakSpace = "\xc2\xa0";

// State of one ReadCsv call, passed to libcsv's C callbacks.
struct CsvRun {
  const CsvRowHandler* handle = nullptr;
  CsvRow row;
  int last_terminator = -1;
};

void OnField(void* data, std::size_t size, void* run_pointer) {
  auto& run = *static_cast<CsvRun*>(run_pointer);
  const std::string_view text =
      data == nullptr ? std::string_view() : std::string_view(static_cast<const char*>(data), size);
  run.row.fields.emplace_back(Trim(text));
}

// libcsv reports CR and LF separately, so the LF of a CRLF must not count as a row.
void OnRow(int terminator, void* run_pointer) {
  auto& run = *static_cast<CsvRun*>(run_pointer);
  const int previous = std::exchange(run.last_terminator, terminator);
  if (run.row.fields.empty() && terminator == CSV_LF && previous == CSV_CR) {
    run.last_terminator = -1;
    return;
  }
  const auto has_content = [](const std::string& field) { return !field.empty(); };
  if (std::ranges::any_of(run.row.fields, has_content)) {
    (*run.handle)(run.row);
  }
  run.row.fields.clear();
  ++run.row.number;
}

std::optional<CsvError> ErrorOf(csv_parser& parser, const CsvRun& run) {
  switch (csv_error(&parser)) {
    case CSV_SUCCESS:
      return std::nullopt;
    case CSV_EPARSE:
      return CsvError{run.row.number, run.row.fields.size(),
                      "a quotation mark is not closed or not doubled; the rows from here on were "
                      "not read"};
    default:
      return CsvError{run.row.number, run.row.fields.size(), csv_strerror(csv_error(&parser))};
  }
}

}  // namespace

char DetectSeparator(std::string_view text) {
  const std::size_t start = text.find_first_not_of(kBlanks);
  if (start == std::string_view::npos) {
    return ',';
  }
  std::array<std::pair<char, std::size_t>, 3> counts{{{',', 0}, {';', 0}, {'\t', 0}}};
  bool is_quoted = false;
  for (const char character : text.substr(start)) {
    if (character == '"') {
      is_quoted = !is_quoted;
    }
    if (!is_quoted && (character == '\n' || character == '\r')) {
      break;
    }
    for (auto& [separator, count] : counts) {
      count += !is_quoted && character == separator ? 1 : 0;
    }
  }
  return std::ranges::max_element(counts, {}, [](const auto& entry) { return entry.second; })
      ->first;
}

std::optional<CsvError> ReadCsv(std::string_view text,
                                char separator,
                                const CsvRowHandler& handle) {
  csv_parser parser{};
  if (csv_init(&parser, CSV_STRICT | CSV_STRICT_FINI | CSV_REPALL_NL) != 0) {
    return CsvError{1, 0, "the CSV parser could not start"};
  }
  csv_set_delim(&parser, static_cast<unsigned char>(separator));
  CsvRun run{.handle = &handle, .row = {.number = 1, .fields = {}}};
  std::optional<CsvError> error;
  if (csv_parse(&parser, text.data(), text.size(), &OnField, &OnRow, &run) != text.size() ||
      csv_fini(&parser, &OnField, &OnRow, &run) != 0) {
    error = ErrorOf(parser, run);
  }
  csv_free(&parser);
  return error;
}

std::string_view Trim(std::string_view text) {
  while (!text.empty()) {
    if (kBlanks.find(text.front()) != std::string_view::npos) {
      text.remove_prefix(1);
    } else if (kBlanks.find(text.back()) != std::string_view::npos) {
      text.remove_suffix(1);
    } else if (text.starts_with(kNoBreakSpace)) {
      text.remove_prefix(kNoBreakSpace.size());
    } else if (text.ends_with(kNoBreakSpace)) {
      text.remove_suffix(kNoBreakSpace.size());
    } else {
      break;
    }
  }
  return text;
}

}  // namespace geraniumspread::config
