#ifndef FLEET_INTERNAL_JSON_FIELDS_H_
#define FLEET_INTERNAL_JSON_FIELDS_H_

#include <boost/json.hpp>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>

namespace geraniumspread::fleet::detail {

// Text field, or nothing when it is missing or no string.
inline std::optional<std::string> TextField(const boost::json::object& object,
                                            std::string_view key) {
  const auto* field = object.if_contains(key);
  if (field == nullptr || !field->is_string()) {
    return std::nullopt;
  }
  return std::string(field->get_string());
}

// Whole number from 0 to `max`, or nothing.
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
