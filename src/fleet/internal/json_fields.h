#ifndef FLEET_INTERNAL_JSON_FIELDS_H_
#define FLEET_INTERNAL_JSON_FIELDS_H_

#include <boost/json.hpp>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>

namespace geraniumspread::fleet::detail {

// Returns the string field `key`, or nothing if it is missing or not a string.
inline std::optional<std::string> TextField(const boost::json::object& object,
                                            std::string_view key) {
  const auto* field = object.if_contains(key);
  if (field == nullptr || !field->is_string()) {
    return std::nullopt;
  }
  return std::string(field->get_string());
}

// Returns the integer field `key`, or nothing if it isn't an integer from 0 to `max`.
inline std::optional<std::uint64_t> UnsignedField(
    const boost::json::object& object,
    std::string_view key,
    std::uint64_t max = std::numeric_limits<std::uint64_t>::max()) {
  const auto* field = object.if_contains(key);
  if (field == nullptr || !field->is_number()) {
    return std::nullopt;
  }
  boost::system::error_code error;
  const auto number = field->to_number<std::uint64_t>(error);
  if (error || number > max) {
    return std::nullopt;
  }
  return number;
}

}  // namespace geraniumspread::fleet::detail

#endif  // FLEET_INTERNAL_JSON_FIELDS_H_
