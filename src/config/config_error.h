#ifndef CONFIG_CONFIG_ERROR_H_
#define CONFIG_CONFIG_ERROR_H_

#include <cstdint>
#include <string>
#include <string_view>

#include <boost/outcome/result.hpp>

namespace geraniumspread::config {

// Why configuration bytes were not accepted. The wire form (ToString) is part
// of the status output, so it is the same on every router.
enum class ConfigErrorCode : std::uint8_t {
  kTooLarge,           // more bytes or entries than the limits allow
  kMalformed,          // not JSON, or a member is missing or has another type
  kUnsupportedFormat,  // a format number that this build doesn't know
  kNotCanonical,       // valid JSON, but not the bytes that the compiler writes
  kInvalidValue,       // a value is out of its range, or names conflict
  kPartMismatch,       // a shard doesn't have the size or count that the manifest states
};

struct ConfigError {
  ConfigErrorCode code = ConfigErrorCode::kMalformed;
  std::string message;

  bool operator==(const ConfigError&) const = default;
};

// Callers must check a result before accessing it; accessing the wrong alternative is
// undefined behaviour.
template <typename T>
using ConfigResult = BOOST_OUTCOME_V2_NAMESPACE::unchecked<T, ConfigError>;

// "too_large", "malformed", "unsupported_format", "not_canonical",
// "invalid_value", "part_mismatch".
std::string_view ToString(ConfigErrorCode code);

}  // namespace geraniumspread::config

#endif  // CONFIG_CONFIG_ERROR_H_
