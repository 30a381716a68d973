#ifndef COMMON_HASH_H_
#define COMMON_HASH_H_

#include <cstdint>
#include <string_view>

namespace geraniumspread {

// 64-bit hash that is the same in every process and build (XXH3).
std::uint64_t StableHash(std::string_view bytes, std::uint64_t seed = 0);

// Mixes two hashes into one, for rendezvous scores. Order matters.
constexpr std::uint64_t MixHash(std::uint64_t left, std::uint64_t right) {
  std::uint64_t mixed = left ^ (right + 0x9e3779b97f4a7c15ULL + (left << 6U) + (left >> 2U));
  mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9ULL;
  mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebULL;
  return mixed ^ (mixed >> 31U);
}

}  // namespace geraniumspread

#endif  // COMMON_HASH_H_
