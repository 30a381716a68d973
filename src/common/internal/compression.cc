#include "common/compression.h"

#include <zlib.h>

#include <algorithm>
#include <array>

namespace geraniumspread {
namespace {

// zlib's interface takes the input as bytes that it does not change.
Bytef* InputOf(std::string_view bytes) {
  // NOLINTNEXTLINE(cppcoreguidelines-pro-type-const-cast,cppcoreguidelines-pro-type-reinterpret-cast)
  return reinterpret_cast<Bytef*>(const_cast<char*>(bytes.data()));
}

// Inflates all input, piece by piece. False when the output grows beyond the limit.
bool InflateAll(z_stream& stream, std::size_t max_bytes, std::string& output) {
  constexpr std::size_t kPieceBytes = 16384;
  std::array<char, kPieceBytes> piece{};
  int result = Z_OK;
  while (result == Z_OK) {
    stream.next_out = InputOf({piece.data(), piece.size()});
    stream.avail_out = piece.size();
    result = inflate(&stream, Z_NO_FLUSH);
    const std::size_t count = piece.size() - stream.avail_out;
    if (output.size() + count > max_bytes) {
      return false;
    }
    output.append(piece.data(), count);
  }
  return result == Z_STREAM_END && stream.avail_in == 0;
}

}  // namespace

std::string Compress(std::string_view bytes) {
  uLongf size = compressBound(bytes.size());
  std::string output(size, '\0');
  // Fails only without memory, or when the bound is wrong.
  if (compress2(InputOf(output), &size, InputOf(bytes), bytes.size(), Z_BEST_SPEED) != Z_OK) {
    size = 0;
  }
  output.resize(size);
  return output;
}

std::optional<std::string> Decompress(std::string_view bytes, std::size_t max_bytes) {
  z_stream stream{};
  if (inflateInit(&stream) != Z_OK) {
    return std::nullopt;
  }
  stream.next_in = InputOf(bytes);
  stream.avail_in = static_cast<uInt>(bytes.size());
  std::string output;
  const bool is_whole = InflateAll(stream, max_bytes, output);
  inflateEnd(&stream);
  if (!is_whole) {
    return std::nullopt;
  }
  return output;
}

}  // namespace geraniumspread
