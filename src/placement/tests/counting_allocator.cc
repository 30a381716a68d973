#include "placement/tests/counting_allocator.h"

#include <atomic>
#include <cstdlib>
#include <new>

namespace {
std::atomic<std::size_t> allocation_count = 0;
}  // namespace

void* operator new(std::size_t size) {
  ++allocation_count;
  if (void* memory = std::malloc(size)) {
    return memory;
  }
  throw std::bad_alloc();
}

void operator delete(void* memory) noexcept {
  std::free(memory);
}

void operator delete(void* memory, std::size_t /*size*/) noexcept {
  std::free(memory);
}

namespace geraniumspread::placement {

std::size_t AllocationCount() {
  return allocation_count;
}

}  // namespace geraniumspread::placement
