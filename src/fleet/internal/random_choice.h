#ifndef FLEET_INTERNAL_RANDOM_CHOICE_H_
#define FLEET_INTERNAL_RANDOM_CHOICE_H_

#include <cstddef>
#include <cstdint>
#include <random>
#include <utility>
#include <vector>

#include "common/runtime_clock.h"

namespace geraniumspread::fleet::detail {

// Returns a random index below `count`, which must not be 0. The modulo bias is
// negligible for fleet sizes. Standard distributions would give different results in
// different standard libraries.
inline std::size_t RandomIndex(std::mt19937_64& random, std::size_t count) {
  return static_cast<std::size_t>(random() % count);
}

inline Duration RandomDuration(std::mt19937_64& random, Duration low, Duration high) {
  const auto span = static_cast<std::uint64_t>((high - low).count()) + 1;
  return low + Duration(static_cast<Duration::rep>(random() % span));
}

// Keeps up to `count` random elements and removes the others.
template <typename T>
void KeepRandom(std::vector<T>& elements, std::size_t count, std::mt19937_64& random) {
  if (elements.size() < count) {
    count = elements.size();
  }
  for (std::size_t index = 0; index < count; ++index) {
    std::swap(elements[index], elements[index + RandomIndex(random, elements.size() - index)]);
  }
  elements.resize(count);
}

}  // namespace geraniumspread::fleet::detail

#endif  // FLEET_INTERNAL_RANDOM_CHOICE_H_
