#include "config/value_text.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstddef>
#include <optional>

namespace geraniumspread::config {
namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t kHundredths = 100;
// Nine digits before the point are enough for every range and can't overflow.
constexpr std::size_t kMaxWholeDigits = 9;

bool IsDigit(char character) {
  return character >= '0' && character <= '9';
}

bool IsLowerOrDigit(char character) {
  return (character >= 'a' && character <= 'z') || IsDigit(character);
}

bool IsNameCharacter(char character) {
  return IsLowerOrDigit(character) || character == '.' || character == '_' || character == '-';
}

bool IsModelCharacter(char character) {
  return IsNameCharacter(character) || (character >= 'A' && character <= 'Z') || character == '/' ||
         character == '+' || character == '@';
}

ConfigError InvalidValue(std::string message) {
  return {ConfigErrorCode::kInvalidValue, std::move(message)};
}

// Digits with an optional point or comma and one or two decimals.
std::optional<std::uint64_t> ParseHundredths(std::string_view text) {
  const std::size_t point = text.find_first_of(".,");
  const std::string_view whole = text.substr(0, point);
  const std::string_view decimals =
      point == std::string_view::npos ? std::string_view("0") : text.substr(point + 1);
  if (whole.empty() || whole.size() > kMaxWholeDigits || decimals.empty() || decimals.size() > 2 ||
      !std::ranges::all_of(whole, IsDigit) || !std::ranges::all_of(decimals, IsDigit)) {
    return std::nullopt;
  }
  std::uint64_t value = 0;
  for (const char digit : whole) {
    value = value * 10 + static_cast<std::uint64_t>(digit - '0');
  }
  value = value * kHundredths + static_cast<std::uint64_t>(decimals[0] - '0') * 10;
  return decimals.size() == 2 ? value + static_cast<std::uint64_t>(decimals[1] - '0') : value;
}

std::string Quoted(std::string_view text) {
  constexpr std::size_t kShown = 40;
  return "\"" + std::string(text.substr(0, kShown)) + (text.size() > kShown ? "...\"" : "\"");
}

struct DurationUnit {
  std::string_view suffix;
  milliseconds length;
};

// A suffix must come before any shorter suffix that it ends with.
constexpr std::array<DurationUnit, 4> kDurationUnits{{{"ms", milliseconds(1)},
                                                      {"min", std::chrono::minutes(1)},
                                                      {"s", std::chrono::seconds(1)},
                                                      {"h", std::chrono::hours(1)}}};

std::optional<milliseconds> ReadDuration(std::string_view text) {
  for (const DurationUnit& unit : kDurationUnits) {
    if (!text.ends_with(unit.suffix)) {
      continue;
    }
    text.remove_suffix(unit.suffix.size());
    text = text.substr(0, text.find_last_not_of(' ') + 1);
    const std::optional<std::uint64_t> hundredths = ParseHundredths(text);
    if (!hundredths) {
      return std::nullopt;
    }
    const std::uint64_t scaled = *hundredths * static_cast<std::uint64_t>(unit.length.count());
    if (scaled % kHundredths != 0) {
      return std::nullopt;
    }
    return milliseconds(scaled / kHundredths);
  }
  return std::nullopt;
}

// True for escapes whose decoding could change how a service splits the path.
bool IsUnsafeEscape(std::string_view two_digits) {
  static constexpr std::array<std::string_view, 6> kUnsafe = {"2e", "2f", "5c", "25", "3b", "00"};
  if (two_digits.size() < 2) {
    return true;
  }
  const auto lower = [](char character) {
    return character >= 'A' && character <= 'F' ? static_cast<char>(character - 'A' + 'a')
                                                : character;
  };
  const std::array<char, 2> digits = {lower(two_digits[0]), lower(two_digits[1])};
  return std::ranges::find(kUnsafe, std::string_view(digits.data(), 2)) != kUnsafe.end();
}

bool HasRiskyCharacter(std::string_view path) {
  for (std::size_t index = 0; index < path.size(); ++index) {
    const char character = path[index];
    if (character == '\\' || character == ';' || character <= ' ' || character > '~') {
      return true;
    }
    if (character == '%' && IsUnsafeEscape(path.substr(index + 1, 2))) {
      return true;
    }
  }
  return false;
}

bool IsDotSegment(std::string_view segment) {
  return segment == "." || segment == "..";
}

}  // namespace

bool IsName(std::string_view text) {
  return !text.empty() && text.size() <= kMaxNameLength && IsLowerOrDigit(text.front()) &&
         std::ranges::all_of(text, IsNameCharacter);
}

bool IsModelName(std::string_view text) {
  return !text.empty() && text.size() <= kMaxModelNameLength &&
         std::ranges::all_of(text, IsModelCharacter);
}

bool IsServedModelName(std::string_view text) {
  const std::size_t colon = text.find(':');
  return IsModelName(text.substr(0, colon)) &&
         (colon == std::string_view::npos || IsModelName(text.substr(colon + 1)));
}

bool IsServicePath(std::string_view text) {
  return text.size() <= kMaxPathLength && IsPlainPath(text) &&
         text.find_first_of("|*?#\"") == std::string_view::npos;
}

bool IsPlainPath(std::string_view path) {
  if (!path.starts_with('/') || HasRiskyCharacter(path)) {
    return false;
  }
  std::string_view rest = path.substr(1);
  while (true) {
    const std::size_t slash = rest.find('/');
    const std::string_view segment = rest.substr(0, slash);
    if (IsDotSegment(segment)) {
      return false;
    }
    if (slash == std::string_view::npos) {
      return true;
    }
    if (segment.empty()) {
      return false;
    }
    rest.remove_prefix(slash + 1);
  }
}

bool IsMethod(std::string_view text) {
  static constexpr std::array<std::string_view, 7> kMethods = {"GET",   "HEAD",   "POST",   "PUT",
                                                               "PATCH", "DELETE", "OPTIONS"};
  return std::ranges::find(kMethods, text) != kMethods.end();
}

ConfigResult<std::uint32_t> ParseInteger(std::string_view text, ValueRange<std::uint32_t> range) {
  const std::optional<std::uint64_t> hundredths = ParseHundredths(text);
  if (!hundredths || *hundredths % kHundredths != 0) {
    return InvalidValue(Quoted(text) +
                        " is not a whole number; write digits without thousands separators");
  }
  const auto value = static_cast<std::uint32_t>(*hundredths / kHundredths);
  if (!range.Contains(value)) {
    return InvalidValue(Quoted(text) + " is not between " + std::to_string(range.min) + " and " +
                        std::to_string(range.max));
  }
  return value;
}

ConfigResult<double> ParseDecimal(std::string_view text, ValueRange<double> range) {
  const std::optional<std::uint64_t> hundredths = ParseHundredths(text);
  if (!hundredths) {
    return InvalidValue(Quoted(text) +
                        " is not a number with at most two decimals; write it without thousands "
                        "separators");
  }
  const double value = static_cast<double>(*hundredths) / kHundredths;
  if (!range.Contains(value)) {
    return InvalidValue(Quoted(text) + " is not between " + FormatDecimal(range.min) + " and " +
                        FormatDecimal(range.max));
  }
  return value;
}

ConfigResult<milliseconds> ParseDuration(std::string_view text, ValueRange<milliseconds> range) {
  const std::optional<milliseconds> value = ReadDuration(text);
  if (!value) {
    return InvalidValue(Quoted(text) + " is not a duration; write a number and ms, s, min or h");
  }
  if (!range.Contains(*value)) {
    return InvalidValue(Quoted(text) + " is not between " + FormatDuration(range.min) + " and " +
                        FormatDuration(range.max));
  }
  return *value;
}

ConfigResult<RepeatableRule> ParseRepeatableRule(std::string_view text) {
  const std::size_t space = text.find(' ');
  RepeatableRule rule;
  rule.method = text.substr(0, space);
  if (!IsMethod(rule.method) || space == std::string_view::npos) {
    return InvalidValue(Quoted(text) + " is not a method in capitals, a space and a path");
  }
  std::string_view path = text.substr(text.find_first_not_of(' ', space));
  rule.is_prefix = path.ends_with('*');
  if (rule.is_prefix) {
    path.remove_suffix(1);
  }
  if (!IsServicePath(path) || (rule.is_prefix && !path.ends_with('/'))) {
    return InvalidValue(Quoted(text) +
                        " has no path that starts with /, is in plain form and has * only after "
                        "the last /");
  }
  rule.path = path;
  return rule;
}

std::uint64_t ToHundredths(double value) {
  return static_cast<std::uint64_t>(std::llround(value * kHundredths));
}

std::string FormatDecimal(double value) {
  const std::uint64_t hundredths = ToHundredths(value);
  std::string text = std::to_string(hundredths / kHundredths);
  if (const std::uint64_t rest = hundredths % kHundredths; rest != 0) {
    text += "." + std::to_string(rest / 10);
    if (rest % 10 != 0) {
      text += std::to_string(rest % 10);
    }
  }
  return text;
}

std::string FormatDuration(milliseconds value) {
  const std::int64_t count = value.count();
  for (const auto& [length, suffix] :
       {std::pair{3'600'000, "h"}, std::pair{60'000, "min"}, std::pair{1'000, "s"}}) {
    if (count != 0 && count % length == 0) {
      return std::to_string(count / length) + suffix;
    }
  }
  return std::to_string(count) + "ms";
}

std::string FormatRepeatableRule(const RepeatableRule& rule) {
  return rule.method + " " + rule.path + (rule.is_prefix ? "*" : "");
}

}  // namespace geraniumspread::config
