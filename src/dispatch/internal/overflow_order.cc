#include "dispatch/overflow_order.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "common/hash.h"

namespace geraniumspread::dispatch {
namespace {

// Weights of recomputed shared parts while the home is overloaded. With smaller steps the load
// chooses among the ranked engines, and the parts are computed at more of them.
constexpr double kOverflowWeight = 0.05;
constexpr double kOverflowStep = 0.2;
// A home that isn't overloaded keeps its requests: a weight below 1 made more of them leave it.
constexpr double kRankStep = 0.1;
constexpr double kUnrankedWeight = 1.5;

}  // namespace

std::uint64_t OrderScore(std::uint64_t subject, const Upstream& engine) {
  return MixHash(subject, engine.id_hash);
}

void RankOverflow(std::uint64_t subject,
                  std::size_t ranks,
                  const std::function<bool(const Candidate&)>& takes_overflow,
                  std::span<Candidate> candidates) {
  if (subject == 0 || ranks == 0) {
    return;
  }
  std::vector<std::pair<std::uint64_t, Candidate*>> order;
  order.reserve(candidates.size());
  for (Candidate& candidate : candidates) {
    if (!candidate.is_home) {
      order.emplace_back(OrderScore(subject, *candidate.row), &candidate);
    }
  }
  // A heap, because only the first few of many engines are looked at.
  std::ranges::make_heap(order);
  for (std::size_t rank = 1; rank <= ranks && !order.empty(); order.pop_back()) {
    std::ranges::pop_heap(order);
    Candidate& next = *order.back().second;
    next.overflow_rank = rank;
    rank += takes_overflow(next) ? 1 : 0;
  }
}

double RereadWeight(std::size_t rank, bool is_home_overloaded) {
  if (rank == 0) {
    return kUnrankedWeight;
  }
  const auto further = static_cast<double>(rank - 1);
  return is_home_overloaded ? kOverflowWeight + further * kOverflowStep : 1 + further * kRankStep;
}

}  // namespace geraniumspread::dispatch
