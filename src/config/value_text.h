#ifndef CONFIG_VALUE_TEXT_H_
#define CONFIG_VALUE_TEXT_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

#include "config/config_error.h"
#include "config/config_types.h"

// Text form of single values in the sheet, in diffs and in reports.
namespace geraniumspread::config {

// Names of workspaces, pools, services, domains, regions and roles: 1 to 64
// characters of a-z, 0-9, '.', '_' and '-', starting with a letter or digit.
bool IsName(std::string_view text);
// Models, adapters and versions: up to 128 characters, also A-Z, '/', '+', '@'.
bool IsModelName(std::string_view text);
// A model name, or two of them joined by ':' (see ServedModelName).
bool IsServedModelName(std::string_view text);
// Starts with '/', printable ASCII without space, '|', '*', '?' and '#', in
// plain form (see IsRepeatable).
bool IsServicePath(std::string_view text);
// True if no segment of `path` could make a service interpret it as another path.
bool IsPlainPath(std::string_view path);
// One of GET, HEAD, POST, PUT, PATCH, DELETE and OPTIONS.
bool IsMethod(std::string_view text);

// Parses digits without sign or digit grouping. Decimals are accepted if they are zeros,
// because spreadsheets export "10.00" for formatted cells.
ConfigResult<std::uint32_t> ParseInteger(std::string_view text, ValueRange<std::uint32_t> range);
// Accepts a point or a comma as decimal separator, and at most two decimals. Three
// decimals are an error: "1,250" means 1.25 in one locale and 1250 in another.
ConfigResult<double> ParseDecimal(std::string_view text, ValueRange<double> range);
// A number with its unit: "500ms", "3s", "1.5 min", "2h".
ConfigResult<std::chrono::milliseconds> ParseDuration(std::string_view text,
                                                      ValueRange<std::chrono::milliseconds> range);
// "GET /status/*" or "POST /quotes".
ConfigResult<RepeatableRule> ParseRepeatableRule(std::string_view text);

// Rounds to the nearest multiple of 0.01 and returns it in hundredths.
std::uint64_t ToHundredths(double value);
// Return the shortest text that the parsers above parse to the same value.
std::string FormatDecimal(double value);
std::string FormatDuration(std::chrono::milliseconds value);
std::string FormatRepeatableRule(const RepeatableRule& rule);

}  // namespace geraniumspread::config

#endif  // CONFIG_VALUE_TEXT_H_
