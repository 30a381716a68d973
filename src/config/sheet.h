#ifndef CONFIG_SHEET_H_
#define CONFIG_SHEET_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "config/config_types.h"

// The operators' sheet: a CSV export with one row per workspace, model pool,
// service, failure domain or setting. docs/operators.md lists the columns.
namespace geraniumspread::config {

inline constexpr std::size_t kMaxSheetBytes = std::size_t{16} * 1024 * 1024;
inline constexpr std::size_t kMaxSheetRows = 100'000;
inline constexpr std::size_t kMaxSheetColumns = 64;
inline constexpr std::size_t kMaxFieldBytes = std::size_t{8} * 1024;
// Findings beyond this number are counted but not stored.
inline constexpr std::size_t kMaxFindings = 100'000;

enum class FindingSeverity : std::uint8_t { kError, kWarning };

struct Finding {
  FindingSeverity severity = FindingSeverity::kError;
  std::size_t row = 0;  // as the spreadsheet shows it, from 1; 0: the whole sheet
  std::string column;   // empty: the whole row
  std::string reason;

  bool operator==(const Finding&) const = default;
};

struct SheetReport {
  // Has a value only if there is no error. Its version is 0.
  std::optional<Configuration> configuration;
  std::vector<Finding> findings;  // by row, then in column order of the sheet
  std::size_t error_count = 0;    // includes errors that were not stored
  std::size_t warning_count = 0;
};

// Parses the whole sheet and reports all errors. The result depends only on `bytes`.
SheetReport ParseSheet(std::string_view bytes);

// "error" or "warning".
std::string_view ToString(FindingSeverity severity);

}  // namespace geraniumspread::config

#endif  // CONFIG_SHEET_H_
