#ifndef PLACEMENT_TESTS_COUNTING_ALLOCATOR_H_
#define PLACEMENT_TESTS_COUNTING_ALLOCATOR_H_

#include <cstddef>

namespace geraniumspread::placement {

// Allocations of the program so far, through the replaced operator new.
std::size_t AllocationCount();

}  // namespace geraniumspread::placement

#endif  // PLACEMENT_TESTS_COUNTING_ALLOCATOR_H_
