#ifndef APPS_GERANIUM_BENCH_TABLE_H_
#define APPS_GERANIUM_BENCH_TABLE_H_

#include <cstdint>
#include <ostream>
#include <string>
#include <vector>

namespace geraniumspread::bench {

// One table of results; printed as Markdown and written as CSV.
struct Table {
  std::string title;
  std::vector<std::string> columns;
  std::vector<std::vector<std::string>> rows;
};

std::string Fixed(double value, int digits);
std::string Whole(double value);

void PrintMarkdown(std::ostream& out, const Table& table);
// Each line starts with the title of its table.
void PrintCsv(std::ostream& out, const Table& table);

}  // namespace geraniumspread::bench

#endif  // APPS_GERANIUM_BENCH_TABLE_H_
