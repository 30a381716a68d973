#include "common/base64.h"

#include <openssl/evp.h>

#include <cstddef>

namespace geraniumspread {
namespace {

constexpr std::size_t kBytesPerGroup = 3;
constexpr std::size_t kCharactersPerGroup = 4;
// EVP_EncodeBlock and EVP_DecodeBlock count in int.
constexpr std::size_t kMaxCharacters = std::size_t{1} << 30U;

std::size_t PaddingOf(std::string_view text) {
  return text.ends_with("==") ? 2 : (text.ends_with('=') ? 1 : 0);
}

}  // namespace

std::string EncodeBase64(std::string_view bytes) {
  const std::size_t groups = (bytes.size() + kBytesPerGroup - 1) / kBytesPerGroup;
  // EVP_EncodeBlock ends its output with a zero byte.
  std::string text(groups * kCharactersPerGroup + 1, '\0');
  const int length = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                                     reinterpret_cast<const unsigned char*>(bytes.data()),
                                     static_cast<int>(bytes.size()));
  text.resize(static_cast<std::size_t>(length));
  return text;
}

std::optional<std::string> DecodeBase64(std::string_view text) {
  if (text.size() % kCharactersPerGroup != 0 || text.size() > kMaxCharacters) {
    return std::nullopt;
  }
  // EVP_DecodeBlock takes a padding character in the middle for a zero, and ignores white space at
  // both ends.
  const std::size_t padding = PaddingOf(text);
  if (text.find_first_of("= \t\r\n") < text.size() - padding) {
    return std::nullopt;
  }
  std::string bytes(text.size() / kCharactersPerGroup * kBytesPerGroup, '\0');
  const int length = EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                                     reinterpret_cast<const unsigned char*>(text.data()),
                                     static_cast<int>(text.size()));
  if (length < 0 || static_cast<std::size_t>(length) != bytes.size()) {
    return std::nullopt;
  }
  bytes.resize(bytes.size() - padding);
  return bytes;
}

}  // namespace geraniumspread
