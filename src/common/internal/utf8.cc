#include "common/utf8.h"

#include <boost/locale/utf.hpp>

namespace geraniumspread {
namespace {

namespace utf = boost::locale::utf;

constexpr std::string_view kReplacement = "\xef\xbf\xbd";

// Returns the length of the valid sequence at the start of `bytes`, or 0 if there is none.
std::size_t SequenceLength(std::string_view bytes) {
  const char* next = bytes.data();
  const utf::code_point point = utf::utf_traits<char>::decode(next, bytes.data() + bytes.size());
  const bool is_valid = point != utf::illegal && point != utf::incomplete;
  return is_valid ? static_cast<std::size_t>(next - bytes.data()) : 0;
}

}  // namespace

bool IsUtf8(std::string_view bytes) {
  while (!bytes.empty()) {
    const std::size_t length = SequenceLength(bytes);
    if (length == 0) {
      return false;
    }
    bytes.remove_prefix(length);
  }
  return true;
}

std::string ReplaceInvalidUtf8(std::string_view bytes) {
  std::string text;
  while (!bytes.empty()) {
    const std::size_t length = SequenceLength(bytes);
    text.append(length > 0 ? bytes.substr(0, length) : kReplacement);
    bytes.remove_prefix(length > 0 ? length : 1);
  }
  return text;
}

}  // namespace geraniumspread
