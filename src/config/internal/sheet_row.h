#ifndef CONFIG_INTERNAL_SHEET_ROW_H_
#define CONFIG_INTERNAL_SHEET_ROW_H_

#include <array>
#include <cstddef>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "config/config_error.h"
#include "config/internal/csv_reader.h"
#include "config/internal/sheet_columns.h"
#include "config/sheet.h"

namespace geraniumspread::config {

// Position of each known column in the rows of one sheet.
struct SheetHeader {
  std::array<std::optional<std::size_t>, kColumnCount> positions;
  std::size_t field_count = 0;
  std::vector<std::string> titles;  // as written, for messages
};

// Collects findings and counts those beyond kMaxFindings.
class FindingSink {
 public:
  explicit FindingSink(SheetReport& target) : report(target) {}

  void Error(std::size_t row, std::string_view column, std::string reason);
  void Warn(std::size_t row, std::string_view column, std::string reason);

 private:
  void Add(Finding finding);

  SheetReport& report;
};

// Reads the fields of one row and reports their errors. A getter that fails returns a
// default value, which is never used because a sheet with errors has no configuration.
class RowReader {
 public:
  using MissingColumns = std::set<std::pair<RowKind, ColumnId>>;

  RowReader(const CsvRow& source,
            const SheetHeader& sheet_header,
            RowKind row_kind,
            MissingColumns& reported,
            FindingSink& finding_sink)
      : row(source),
        header(sheet_header),
        kind(row_kind),
        missing_columns(reported),
        sink(finding_sink) {}

  // Returns an empty text if the cell is blank or the column is absent.
  std::string_view Optional(ColumnId column) const;
  // Like Optional, and reports a blank cell as an error. An absent column is reported
  // once per row kind.
  std::string_view Required(ColumnId column);

  // Parses a required cell with one of the parsers of value_text.h.
  template <typename Parse, typename Range>
  auto Value(ColumnId column, Parse parse, const Range& range) {
    using Parsed = decltype(parse(std::string_view(), range).value());
    const std::string_view text = this->Required(column);
    return text.empty() ? std::remove_cvref_t<Parsed>{} : this->Checked(column, parse(text, range));
  }

  // Like Value, for a cell that may be blank.
  template <typename Parse, typename Range, typename T>
  T ValueOr(ColumnId column, Parse parse, const Range& range, T default_value) {
    const std::string_view text = this->Optional(column);
    return text.empty() ? default_value : static_cast<T>(this->Checked(column, parse(text, range)));
  }

  // Returns a required cell, which must satisfy `is_valid`.
  std::string Text(ColumnId column, bool (*is_valid)(std::string_view), std::string_view rule);
  // Items separated by '|', without blank ones.
  static std::vector<std::string_view> SplitList(std::string_view text);

  // Reports cells that belong to another kind of row, and cells beyond the header.
  void CheckUnusedCells();

  void Error(ColumnId column, std::string reason);
  void Warn(ColumnId column, std::string reason);

  std::size_t RowNumber() const { return this->row.number; }

 private:
  template <typename T>
  T Checked(ColumnId column, const ConfigResult<T>& result) {
    if (!result) {
      this->Error(column, result.error().message);
      return T{};
    }
    return result.value();
  }

  const CsvRow& row;
  const SheetHeader& header;
  RowKind kind;
  MissingColumns& missing_columns;
  FindingSink& sink;
};

}  // namespace geraniumspread::config

#endif  // CONFIG_INTERNAL_SHEET_ROW_H_
