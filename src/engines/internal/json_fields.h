#ifndef ENGINES_INTERNAL_JSON_FIELDS_H_
#define ENGINES_INTERNAL_JSON_FIELDS_H_

#include <boost/json.hpp>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "engines/engines_types.h"

namespace geraniumspread::engines::detail {

inline constexpr std::size_t kMaxTextBytes = 256;

// Parses `body` into an object. Errors: kTooLarge, kMalformed.
Result<boost::json::object> ParseObject(std::string_view body, std::size_t limit);

// Reads fields of one JSON object and keeps the first error.
class FieldReader {
 public:
  explicit FieldReader(const boost::json::object& fields) : object(fields) {}

  std::uint64_t RequiredUnsigned(std::string_view key);
  template <typename Number>
  Number Unsigned(std::string_view key, Number default_value) {
    return static_cast<Number>(
        this->UnsignedUpTo(key, default_value, std::numeric_limits<Number>::max()));
  }
  std::string RequiredText(std::string_view key);
  std::string Text(std::string_view key);
  bool Flag(std::string_view key, bool default_value);
  // Returns a finite number that is not negative.
  double Number(std::string_view key, double default_value);
  void Fail(std::string_view key, std::string_view reason);

  std::optional<EnginesError> error;

 private:
  std::uint64_t UnsignedUpTo(std::string_view key, std::uint64_t default_value, std::uint64_t max);

  const boost::json::object& object;
};

}  // namespace geraniumspread::engines::detail

#endif  // ENGINES_INTERNAL_JSON_FIELDS_H_
