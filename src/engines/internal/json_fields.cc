#include "engines/internal/json_fields.h"

#include <cmath>

namespace geraniumspread::engines::detail {

namespace json = boost::json;

Result<json::object> ParseObject(std::string_view body, std::size_t limit) {
  if (body.size() > limit) {
    return EnginesError{EnginesErrorCode::kTooLarge, "the body exceeds its size limit"};
  }
  boost::system::error_code error;
  json::value document = json::parse(json::string_view(body.data(), body.size()), error);
  if (error || !document.is_object()) {
    return EnginesError{EnginesErrorCode::kMalformed, "the body is not a JSON object"};
  }
  return std::move(document.get_object());
}

std::uint64_t FieldReader::RequiredUnsigned(std::string_view key) {
  if (!this->object.contains(key)) {
    this->Fail(key, "missing");
    return 0;
  }
  return this->UnsignedUpTo(key, 0, std::numeric_limits<std::uint64_t>::max());
}

std::uint64_t FieldReader::UnsignedUpTo(std::string_view key,
                                        std::uint64_t default_value,
                                        std::uint64_t max) {
  const json::value* field = this->object.if_contains(key);
  if (field == nullptr) {
    return default_value;
  }
  boost::system::error_code conversion;
  std::uint64_t number = 0;
  if (field->is_number()) {
    number = field->to_number<std::uint64_t>(conversion);
  }
  if (!field->is_number() || conversion || number > max) {
    this->Fail(key, "not an integer in range");
    return default_value;
  }
  return number;
}

std::string FieldReader::RequiredText(std::string_view key) {
  std::string text = this->Text(key);
  if (text.empty()) {
    this->Fail(key, "missing or empty");
  }
  return text;
}

std::string FieldReader::Text(std::string_view key) {
  const json::value* field = this->object.if_contains(key);
  if (field == nullptr) {
    return {};
  }
  if (!field->is_string() || field->get_string().size() > kMaxTextBytes) {
    this->Fail(key, "not a string within its size limit");
    return {};
  }
  return std::string(field->get_string());
}

bool FieldReader::Flag(std::string_view key, bool default_value) {
  const json::value* field = this->object.if_contains(key);
  if (field == nullptr) {
    return default_value;
  }
  if (!field->is_bool()) {
    this->Fail(key, "not a boolean");
    return default_value;
  }
  return field->get_bool();
}

double FieldReader::Number(std::string_view key, double default_value) {
  const json::value* field = this->object.if_contains(key);
  if (field == nullptr) {
    return default_value;
  }
  boost::system::error_code conversion;
  const double number = field->is_number() ? field->to_number<double>(conversion) : -1;
  if (conversion || !std::isfinite(number) || number < 0) {
    this->Fail(key, "not a finite non-negative number");
    return default_value;
  }
  return number;
}

void FieldReader::Fail(std::string_view key, std::string_view reason) {
  if (!this->error) {
    this->error = EnginesError{EnginesErrorCode::kInvalidField,
                               std::string(key) + ": " + std::string(reason)};
  }
}

}  // namespace geraniumspread::engines::detail
