#include <algorithm>

#include "placement/internal/choice.h"
#include "placement/internal/segments.h"
#include "placement/placement.h"

namespace geraniumspread::placement {
namespace {

Verdict EvaluateCandidate(const PlacementState& state,
                          UpstreamIndex upstream,
                          const PlacementRequest& request,
                          DomainIndex home,
                          TimePoint now) {
  const UpstreamRow& row = state.upstreams[upstream];
  if (row.state != UpstreamState::kLive) {
    return Verdict::kLeaving;
  }
  if (!state.domains[row.domain].in_service) {
    return Verdict::kDomainOutOfService;
  }
  if (!detail::ChatMayUse(state, row.domain, request.chat, now)) {
    return Verdict::kDomainReturning;
  }
  const detail::LoadCheck check{
      .priority = request.priority,
      .multiple = detail::MultipleFor(state, request.pool, request.has_history),
      .spill = row.domain != home,
      .now = now};
  return detail::CheckLoad(state, upstream, check);
}

CandidateExplanation Describe(const PlacementState& state,
                              UpstreamIndex upstream,
                              const PlacementRequest& request) {
  const UpstreamRow& row = state.upstreams[upstream];
  const detail::EffectiveLimit effective = detail::LimitOf(
      state, upstream, detail::MultipleFor(state, request.pool, request.has_history));
  const std::uint64_t hash = detail::RendezvousHash(request.chat, row.hash);
  return {.upstream = upstream,
          .name = std::string(UpstreamName(state, upstream)),
          .domain = state.domains[row.domain].name,
          .score = detail::WeightedScore(hash, detail::WeightClass(row.capacity)),
          .in_flight = row.in_flight,
          .limit = effective.limit,
          .cold = effective.cold};
}

}  // namespace

std::string_view ToString(Verdict verdict) {
  switch (verdict) {
    case Verdict::kChosen:
      return "chosen";
    case Verdict::kAvailable:
      return "available";
    case Verdict::kAtLimit:
      return "at_limit";
    case Verdict::kAtColdLimit:
      return "at_cold_limit";
    case Verdict::kRefused:
      return "refused_by_owner";
    case Verdict::kSpillRefused:
      return "too_busy_for_spill";
    case Verdict::kDomainOutOfService:
      return "domain_out";
    case Verdict::kDomainReturning:
      return "domain_returning";
    case Verdict::kLeaving:
      return "leaving";
  }
  return "available";
}

std::string_view ToString(ChoiceKind kind) {
  switch (kind) {
    case ChoiceKind::kFirstChoice:
      return "first_choice";
    case ChoiceKind::kException:
      return "exception";
    case ChoiceKind::kHomeOverflow:
      return "home_overflow";
    case ChoiceKind::kSpill:
      return "spill";
  }
  return "first_choice";
}

std::vector<CandidateExplanation> ExplainChoice(const PlacementState& state,
                                                const PlacementRequest& request,
                                                TimePoint now) {
  std::vector<CandidateExplanation> candidates;
  const auto choice = ChooseUpstream(state, request, now);
  const DomainIndex home = choice ? choice.value().home : kNoDomain;
  for (UpstreamIndex upstream = 0; upstream < state.upstreams.size(); ++upstream) {
    const UpstreamRow& row = state.upstreams[upstream];
    if (row.pool != request.pool || row.state == UpstreamState::kGone) {
      continue;
    }
    CandidateExplanation candidate = Describe(state, upstream, request);
    const bool chosen = choice && choice.value().upstream == upstream;
    candidate.verdict =
        chosen ? Verdict::kChosen : EvaluateCandidate(state, upstream, request, home, now);
    candidates.push_back(std::move(candidate));
  }
  const auto rank = [&state, home](const CandidateExplanation& candidate) {
    const bool at_home = state.upstreams[candidate.upstream].domain == home;
    return std::pair(at_home ? 0 : 1, -candidate.score);
  };
  std::sort(candidates.begin(), candidates.end(),
            [&rank](const auto& left, const auto& right) { return rank(left) < rank(right); });
  return candidates;
}

}  // namespace geraniumspread::placement
