#ifndef CONFIG_INTERNAL_CSV_READER_H_
#define CONFIG_INTERNAL_CSV_READER_H_

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace geraniumspread::config {

struct CsvRow {
  std::size_t number = 0;  // as the spreadsheet shows it, from 1
  std::vector<std::string> fields;
};

// Position and reason of the first CSV syntax error.
struct CsvError {
  std::size_t row = 0;
  std::size_t field = 0;  // index in the row
  std::string reason;
};

using CsvRowHandler = std::function<void(const CsvRow& row)>;

// Separator (',', ';' or tab) that occurs most often, outside quotes, in the
// first line that isn't blank. A comma if there is none.
char DetectSeparator(std::string_view text);

// Calls `handle` for each row with any content. Fields are unquoted and
// trimmed. Rows before an error have already been passed to `handle`.
std::optional<CsvError> ReadCsv(std::string_view text, char separator, const CsvRowHandler& handle);

// Removes blanks, tabs, line ends and no-break spaces from both ends.
std::string_view Trim(std::string_view text);

}  // namespace geraniumspread::config

#endif  // CONFIG_INTERNAL_CSV_READER_H_
