#ifndef COMMON_COMPRESSION_H_
#define COMMON_COMPRESSION_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace geraniumspread {

// Deflated bytes in the zlib format, at the fastest level.
std::string Compress(std::string_view bytes);
// Returns nullopt if the bytes are malformed or truncated, or inflate beyond `max_bytes`.
std::optional<std::string> Decompress(std::string_view bytes, std::size_t max_bytes);

}  // namespace geraniumspread

#endif  // COMMON_COMPRESSION_H_
