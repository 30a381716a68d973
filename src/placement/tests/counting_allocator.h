#ifndef PLACEMENT_TESTS_COUNTING_ALLOCATOR_H_
#define PLACEMENT_TESTS_COUNTING_ALLOCATOR_H_

#include <cstddef>

namespace geraniumspread::placement {

// Returns the number of allocations of the program so far, counted by a replaced operator new.
std::size_t AllocationCount();

}  // namespace geraniumspread::placement

#endif  // PLACEMENT_TESTS_COUNTING_ALLOCATOR_H_
