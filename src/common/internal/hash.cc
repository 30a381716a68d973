#include "common/hash.h"

#include <xxhash.h>

namespace geraniumspread {

std::uint64_t StableHash(std::string_view bytes, std::uint64_t seed) {
  return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

}  // namespace geraniumspread
