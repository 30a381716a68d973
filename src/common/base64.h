#ifndef COMMON_BASE64_H_
#define COMMON_BASE64_H_

#include <optional>
#include <string>
#include <string_view>

namespace geraniumspread {

std::string EncodeBase64(std::string_view bytes);
// Returns nullopt if the text is not padded base64 without line breaks, or longer than 1 GiB.
std::optional<std::string> DecodeBase64(std::string_view text);

}  // namespace geraniumspread

#endif  // COMMON_BASE64_H_
