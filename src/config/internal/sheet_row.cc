#include "config/internal/sheet_row.h"

#include <algorithm>

namespace geraniumspread::config {

void FindingSink::Error(std::size_t row, std::string_view column, std::string reason) {
  this->Add({FindingSeverity::kError, row, std::string(column), std::move(reason)});
}

void FindingSink::Warn(std::size_t row, std::string_view column, std::string reason) {
  this->Add({FindingSeverity::kWarning, row, std::string(column), std::move(reason)});
}

void FindingSink::Add(Finding finding) {
  const bool is_error = finding.severity == FindingSeverity::kError;
  ++(is_error ? this->report.error_count : this->report.warning_count);
  if (this->report.findings.size() < kMaxFindings) {
    this->report.findings.push_back(std::move(finding));
  }
}

std::string_view RowReader::Optional(ColumnId column) const {
  const auto position = this->header.positions[static_cast<std::size_t>(column)];
  return position && *position < this->row.fields.size()
             ? std::string_view(this->row.fields[*position])
             : std::string_view();
}

std::string_view RowReader::Required(ColumnId column) {
  const std::string_view text = this->Optional(column);
  if (!text.empty()) {
    return text;
  }
  if (this->header.positions[static_cast<std::size_t>(column)]) {
    this->Error(column, "the cell is blank, but this kind of row needs it");
  } else if (this->missing_columns.emplace(this->kind, column).second) {
    this->Error(column, "the sheet has no such column, but this kind of row needs it");
  }
  return {};
}

std::string RowReader::Text(ColumnId column,
                            bool (*is_valid)(std::string_view),
                            std::string_view rule) {
  const std::string_view text = this->Required(column);
  if (!text.empty() && !is_valid(text)) {
    constexpr std::size_t kShown = 40;
    this->Error(column,
                "\"" + std::string(text.substr(0, kShown)) + "\" must be " + std::string(rule));
  }
  return std::string(text);
}

std::vector<std::string_view> RowReader::SplitList(std::string_view text) {
  std::vector<std::string_view> items;
  while (!text.empty()) {
    const std::size_t end = text.find('|');
    if (const std::string_view item = Trim(text.substr(0, end)); !item.empty()) {
      items.push_back(item);
    }
    text = end == std::string_view::npos ? std::string_view() : text.substr(end + 1);
  }
  return items;
}

void RowReader::CheckUnusedCells() {
  for (std::size_t index = 0; index < kColumnCount; ++index) {
    const auto column = static_cast<ColumnId>(index);
    const std::optional<RowKind> owner = InfoOf(column).kind;
    if (owner && *owner != this->kind && !this->Optional(column).empty()) {
      this->Error(column, "the cell must be blank in this kind of row");
    }
  }
  for (std::size_t index = this->header.field_count; index < this->row.fields.size(); ++index) {
    if (!this->row.fields[index].empty()) {
      this->sink.Error(this->row.number, "",
                       "cell " + std::to_string(index + 1) + " has no column in the header");
    }
  }
}

void RowReader::Error(ColumnId column, std::string reason) {
  this->sink.Error(this->row.number, InfoOf(column).name, std::move(reason));
}

void RowReader::Warn(ColumnId column, std::string reason) {
  this->sink.Warn(this->row.number, InfoOf(column).name, std::move(reason));
}

}  // namespace geraniumspread::config
