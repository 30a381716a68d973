#ifndef COMMON_UTF8_H_
#define COMMON_UTF8_H_

#include <string>
#include <string_view>

namespace geraniumspread {

bool IsUtf8(std::string_view bytes);
// Replaces each byte that isn't part of a valid sequence by U+FFFD.
std::string ReplaceInvalidUtf8(std::string_view bytes);

}  // namespace geraniumspread

#endif  // COMMON_UTF8_H_
