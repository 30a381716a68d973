#ifndef COMMON_SECURE_BYTES_H_
#define COMMON_SECURE_BYTES_H_

#include <cstddef>
#include <string>
#include <string_view>

namespace geraniumspread {

// Lower-case hexadecimal SHA-256 of `bytes`, 64 characters.
std::string Sha256Hex(std::string_view bytes);
// Lower-case hexadecimal HMAC-SHA256 of `bytes`, 64 characters.
std::string HmacSha256Hex(std::string_view key, std::string_view bytes);
// Compares in time that depends only on the lengths, so that a MAC cannot be
// guessed byte by byte.
bool ConstantTimeEquals(std::string_view left, std::string_view right);
// `byte_count` random bytes from the operating system, in lower-case hexadecimal.
std::string RandomHex(std::size_t byte_count);

}  // namespace geraniumspread

#endif  // COMMON_SECURE_BYTES_H_
