#ifndef DISPATCH_OVERFLOW_ORDER_H_
#define DISPATCH_OVERFLOW_ORDER_H_

#include <cstdint>
#include <functional>
#include <span>

#include "dispatch/selection.h"

// Order of the engines to which the requests of a subject go, which all instances compute alike:
// its home, and further ones for the requests that leave the home. Without a common order each
// instance chooses its own further engine, and each of these computes the shared parts again.
namespace geraniumspread::dispatch {

// Position of an engine in the order of a subject; the highest score is first.
std::uint64_t OrderScore(std::uint64_t subject, const Upstream& engine);

// Ranks the first `ranks` engines after the home that take overflow, from 1, and those before the
// last of them that take none, which rank like the next one that does. The home and the others keep
// their rank 0. Instances that disagree about one engine agree about the order of the others.
void RankOverflow(std::uint64_t subject,
                  std::size_t ranks,
                  const std::function<bool(const Candidate&)>& takes_overflow,
                  std::span<Candidate> candidates);

// Returns the weight of the shared tokens that an engine of this rank lacks as far as this instance
// knows. While the home is overloaded, other instances send the subject to the ranked engines too,
// so that these probably have its shared parts.
double RereadWeight(std::size_t rank, bool is_home_overloaded);

}  // namespace geraniumspread::dispatch

#endif  // DISPATCH_OVERFLOW_ORDER_H_
