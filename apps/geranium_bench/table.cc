#include "table.h"

#include <cmath>
#include <cstdio>

namespace geraniumspread::bench {
namespace {

void PrintRow(std::ostream& out, const std::vector<std::string>& cells) {
  out << "|";
  for (const std::string& cell : cells) {
    out << " " << cell << " |";
  }
  out << "\n";
}

void PrintCsvRow(std::ostream& out,
                 const std::string& title,
                 const std::vector<std::string>& cells) {
  out << '"' << title << '"';
  for (const std::string& cell : cells) {
    out << ",\"" << cell << '"';
  }
  out << "\n";
}

}  // namespace

std::string Fixed(double value, int digits) {
  char text[64];
  std::snprintf(text, sizeof(text), "%.*f", digits, value);
  return text;
}

std::string Whole(double value) {
  return std::to_string(std::llround(value));
}

void PrintMarkdown(std::ostream& out, const Table& table) {
  out << "### " << table.title << "\n\n";
  PrintRow(out, table.columns);
  PrintRow(out, std::vector<std::string>(table.columns.size(), "---"));
  for (const auto& row : table.rows) {
    PrintRow(out, row);
  }
  out << "\n" << std::flush;
}

void PrintCsv(std::ostream& out, const Table& table) {
  PrintCsvRow(out, table.title, table.columns);
  for (const auto& row : table.rows) {
    PrintCsvRow(out, table.title, row);
  }
}

}  // namespace geraniumspread::bench
