#include "dispatch/selection.h"

#include <algorithm>
#include <utility>

#include "common/hash.h"
#include "dispatch/brittle_upstreams.h"
#include "dispatch/named_limits.h"
#include "dispatch/overflow_order.h"
#include "dispatch/prefill_contention.h"

namespace geraniumspread::dispatch {
namespace {

// Each further request in a batch slows every decode step by this much. Batches are
// wide, so prompts that wait for prefill count far more than running requests.
constexpr double kEngineRunningMs = 2;
// Approximate service time of one request at a plain service.
constexpr double kPlainRunningMs = 15;
// Cost of an attempt that is certain to fail: the response is lost or needs a second
// attempt.
constexpr double kFailureMs = 1500;
// Added above the load bound, so that an upstream above it remains a last resort.
constexpr double kOverBoundMs = 2000;
constexpr double kOverBoundMsPerRequest = 50;
// Fraction of the load bound that is used, because peers place requests at the same
// time.
constexpr double kLoadBoundMargin = 0.9;
// Computing shared prompt parts again costs more than its time: it delays prefill for
// all requests of the engine and evicts other chats from its cache.
constexpr double kRereadFactor = 5;
// Up to this many shared tokens are computed again rather than sent to an engine at
// its load bound.
constexpr double kPressureTokens = 1500;
// After this time most chats of a new engine have been sent to it at least once.
constexpr Duration kNewEngineTime = std::chrono::seconds(15);
// Fewer tokens are faster to compute than to fetch.
constexpr std::uint32_t kMinFetchedTokens = 100;
// A home whose waiting prompts take more than this share of a latency goal counts as overloaded;
// the rest is for what other instances sent there and isn't known yet.
constexpr double kMaxWaitShare = 0.5;

double Milliseconds(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

std::uint64_t Score(std::uint64_t key, const Upstream& upstream) {
  return MixHash(key, upstream.id_hash);
}

bool Contains(std::span<const std::string> ids, const std::string& id) {
  return std::ranges::find(ids, id) != ids.end();
}

// Returns the rank of this instance in the rendezvous order of an upstream.
std::size_t RendezvousRank(const SelectionRequest& request, const Upstream& upstream) {
  const std::uint64_t own = Score(request.own_hash, upstream);
  return static_cast<std::size_t>(std::ranges::count_if(
      request.peer_hashes, [&](std::uint64_t peer) { return Score(peer, upstream) > own; }));
}

bool ColdLimitAllows(const SelectionSettings& settings,
                     const SelectionRequest& request,
                     Upstream& upstream) {
  if (request.cold_requests_per_second <= 0 || !IsCold(upstream, request.now)) {
    return true;
  }
  return request.knows_fleet &&
         IsWithinColdLimit(settings.cold, request.cold_requests_per_second, request.instances,
                           RendezvousRank(request, upstream), upstream.cold_sends, request.now);
}

bool NamedLimitAllows(const SelectionRequest& request, Upstream& upstream) {
  return !upstream.limit.requests.per_second ||
         IsWithinNamedLimit(upstream, request.instances, RendezvousRank(request, upstream),
                            request.now);
}

bool BrittleAllows(const SelectionRequest& request,
                   std::optional<double> rejections_per_second,
                   std::size_t upstreams,
                   const Candidate& candidate) {
  if (!rejections_per_second) {
    return true;
  }
  BrittleSend send;
  send.rejections_per_second = *rejections_per_second;
  const std::size_t instances =
      request.knows_fleet ? request.peer_hashes.size() + 1 : request.instances;
  send.group = GroupOf(candidate.row->listing.slots, instances, upstreams);
  send.own_rank = RendezvousRank(request, *candidate.row);
  send.own_hash = request.own_hash;
  send.running = candidate.running;
  send.is_retry = !request.tried.empty();
  return AdmitsBrittleSend(*candidate.row, send, request.now);
}

// Returns the home of the prompt: the first engine in the rendezvous order of its
// subject, which all instances compute alike. The first part is not a suitable key,
// because one first part may be common to three quarters of all long prompts. If the
// home is in a silent failure domain, the next engine replaces it, so that the
// instances on one side of a partition agree.
const Upstream* FindHome(const UpstreamTable& table,
                         const SelectionRequest& request,
                         std::span<const Candidate> candidates) {
  const std::uint64_t subject = SubjectOf(request.prompt);
  const Upstream* home = nullptr;
  std::uint64_t best = 0;
  for (const Candidate& candidate : candidates) {
    if (IsInSilentDomain(table, *candidate.row)) {
      continue;
    }
    if (const std::uint64_t score = OrderScore(subject, *candidate.row); score >= best) {
      best = score;
      home = candidate.row.get();
    }
  }
  return subject == 0 ? nullptr : home;
}

// Mean over all upstreams of the service, including those that take no new work;
// these lower the mean. Upstreams in silent failure domains are excluded, because
// their load is unknown here.
double MeanRunning(const UpstreamTable& table, const SelectionRequest& request) {
  double sum = 0;
  std::size_t known = 0;
  for (const UpstreamRow& row : table.by_service.at(std::string(request.service))) {
    if (!IsInSilentDomain(table, *row)) {
      sum += EstimatedRunning(table, *row, request.now);
      ++known;
    }
  }
  return sum / static_cast<double>(std::max<std::size_t>(known, 1));
}

// Some requests fail at every upstream; only the excess over the lowest rate counts
// against one.
double LowestFailureRate(const SelectionRequest& request, std::span<const Candidate> candidates) {
  double lowest = 1;
  for (const Candidate& candidate : candidates) {
    lowest = std::min(lowest, FailureRate(candidate.row->health, request.now));
  }
  return lowest;
}

// Cost of the requests at a plain service.
double PlainRunningCost(const Candidate& candidate, double pace) {
  const double slots = std::max<std::uint32_t>(candidate.row->listing.slots, 1);
  const double load = candidate.running / slots;
  return pace * (load * kPlainRunningMs + std::max(0.0, load - 1) * kPlainRunningMs);
}

void SetEngineTerms(const UpstreamTable& table,
                    const SelectionSettings& settings,
                    const SelectionRequest& request,
                    bool is_home_overloaded,
                    Candidate& candidate) {
  const double pace = ExpectedPace(candidate.row->pace, request.now);
  const double reread = candidate.is_home
                            ? 0
                            : UncachedSharedTokens(candidate.row->prompt_cache, request.prompt) *
                                  kRereadFactor *
                                  (settings.overflow_ranks == 0
                                       ? 1
                                       : RereadWeight(candidate.overflow_rank, is_home_overloaded));
  const auto waiting = static_cast<double>(EstimatedPrefillTokens(table, *candidate.row));
  candidate.terms.reread = pace * reread / settings.prefill_tokens_per_ms;
  candidate.terms.waiting = pace * waiting / settings.prefill_tokens_per_ms;
  candidate.terms.running = pace * candidate.running * kEngineRunningMs;
}

ContentionGoals GoalsOf(const SelectionSettings& settings, const SelectionRequest& request) {
  return settings.weighs_contention ? ContentionGoals{request.latency_goal, request.tightest_goal}
                                    : ContentionGoals{};
}

void SetContentionTerms(const SelectionSettings& settings,
                        const SelectionRequest& request,
                        Candidate& candidate) {
  const double own_ms = ExpectedPace(candidate.row->pace, request.now) * candidate.uncached_tokens /
                        settings.prefill_tokens_per_ms;
  const ContentionCosts costs = ContentionCostsMs(
      GoalsOf(settings, request), {candidate.terms.waiting, own_ms, candidate.running});
  candidate.terms.delays_others = costs.delays_others;
  candidate.terms.goal_at_stake = costs.goal_at_stake;
  candidate.terms.long_queue = costs.long_queue;
}

// Rises from the mean load to the load bound, so that prompts that are cheap to
// compute again leave a busy engine first and long ones stay at their home.
double PressureCost(const SelectionSettings& settings,
                    const Candidate& candidate,
                    double mean,
                    double bound) {
  const double part = (candidate.running - mean) / std::max(1.0, bound - mean);
  return part <= 0 ? 0
                   : part * part * kPressureTokens * kRereadFactor / settings.prefill_tokens_per_ms;
}

void MarkHome(const SelectionSettings& settings,
              const SelectionRequest& request,
              Candidate& candidate) {
  candidate.is_home = true;
  // Other instances send these shared parts to the home too, so most of them count as
  // cached.
  const std::uint32_t shared = SharedTokens(request.prompt);
  candidate.uncached_tokens = ExpectedUncachedAtHome(
      GoalsOf(settings, request),
      request.prompt.input_tokens - std::min(shared, request.prompt.input_tokens),
      UncachedSharedTokens(candidate.row->prompt_cache, request.prompt));
}

// True if the home is above its load bound, or the prompts that wait there take longer
// than the latency goal allows.
bool IsOverloaded(const UpstreamTable& table,
                  const SelectionSettings& settings,
                  const SelectionRequest& request,
                  double bound,
                  const Candidate& home) {
  const double pace = ExpectedPace(home.row->pace, request.now);
  const auto waiting = static_cast<double>(EstimatedPrefillTokens(table, *home.row));
  const double wait_ms = pace * waiting / settings.prefill_tokens_per_ms;
  return home.running + 1 > bound || (request.latency_goal > Duration{0} &&
                                      wait_ms > kMaxWaitShare * Milliseconds(request.latency_goal));
}

// Marks the home and ranks the engines after it. Returns true if the home is overloaded.
bool MarkOrder(const UpstreamTable& table,
               const SelectionSettings& settings,
               const SelectionRequest& request,
               double mean,
               double bound,
               std::span<Candidate> candidates) {
  const Upstream* home = FindHome(table, request, candidates);
  bool is_overloaded = false;
  for (Candidate& candidate : candidates) {
    if (candidate.row.get() == home) {
      MarkHome(settings, request, candidate);
      is_overloaded = IsOverloaded(table, settings, request, bound, candidate);
    }
  }
  // Engines take overflow up to the mean load only, since it comes from many instances that don't
  // know of each other's yet. With overflow up to the load bound, 24 instead of 5 of 1,000
  // requests went above it.
  const auto takes_overflow = [&](const Candidate& candidate) {
    return candidate.running + 1 <= mean && !IsInSilentDomain(table, *candidate.row);
  };
  RankOverflow(SubjectOf(request.prompt), settings.overflow_ranks, takes_overflow, candidates);
  return is_overloaded;
}

// Raises the cost above the load bound by what the paces change, since a slow upstream below the
// bound would otherwise lose to one above it.
void OffsetPaces(const SelectionRequest& request, std::span<Candidate> candidates) {
  const auto added = [&request](const Candidate& candidate) {
    const CostTerms& terms = candidate.terms;
    return (terms.reread + terms.waiting + terms.running) *
           (1 - 1 / ExpectedPace(candidate.row->pace, request.now));
  };
  double most = 0;
  for (const Candidate& candidate : candidates) {
    most = std::max(most, added(candidate));
  }
  for (Candidate& candidate : candidates) {
    if (candidate.terms.over_bound > 0) {
      candidate.terms.over_bound += most - std::min(0.0, added(candidate));
      candidate.cost_ms = TotalCost(candidate.terms);
    }
  }
}

void SetCosts(const UpstreamTable& table,
              const SelectionSettings& settings,
              const SelectionRequest& request,
              std::span<Candidate> candidates) {
  const double mean = MeanRunning(table, request);
  const double bound = (settings.load_factor * mean + settings.load_slack) * kLoadBoundMargin;
  const double usual_failures = LowestFailureRate(request, candidates);
  const double kilobytes = static_cast<double>(request.body_bytes) / 1024;
  const bool is_home_overloaded =
      request.is_engine && MarkOrder(table, settings, request, mean, bound, candidates);
  for (Candidate& candidate : candidates) {
    const Upstream& upstream = *candidate.row;
    CostTerms& terms = candidate.terms;
    if (request.is_engine) {
      SetEngineTerms(table, settings, request, is_home_overloaded, candidate);
      SetContentionTerms(settings, request, candidate);
      terms.pressure = PressureCost(settings, candidate, mean, bound);
    } else {
      terms.running = PlainRunningCost(candidate, ExpectedPace(upstream.pace, request.now));
    }
    if (upstream.listing.failure_domain != request.own_domain) {
      terms.cross_domain =
          settings.cross_domain_ms + kilobytes * settings.cross_domain_ms_per_kilobyte;
    }
    if (IsInSilentDomain(table, upstream)) {
      terms.silent_domain = settings.silent_domain_ms;
    }
    terms.failures = (FailureRate(upstream.health, request.now) - usual_failures) * kFailureMs;
    if (const double excess = candidate.running + 1 - bound; excess > 0) {
      terms.over_bound = kOverBoundMs + excess * kOverBoundMsPerRequest;
    }
    candidate.cost_ms = TotalCost(terms);
  }
  OffsetPaces(request, candidates);
}

}  // namespace

double TotalCost(const CostTerms& terms) {
  return terms.reread + terms.waiting + terms.running + terms.cross_domain + terms.silent_domain +
         terms.failures + terms.pressure + terms.over_bound + ContentionMs(terms);
}

double ContentionMs(const CostTerms& terms) {
  return terms.delays_others + terms.goal_at_stake + terms.long_queue;
}

std::string_view ToString(SelectionFailure failure) {
  switch (failure) {
    case SelectionFailure::kNone:
      return "none";
    case SelectionFailure::kNoneListed:
      return "no_upstream_listed";
    case SelectionFailure::kNoneInService:
      return "no_upstream_in_service";
    case SelectionFailure::kNoneOfVersion:
      return "no_upstream_of_the_streams_version";
    case SelectionFailure::kAllTried:
      return "all_upstreams_tried";
    case SelectionFailure::kAllPaused:
      return "all_upstreams_want_a_pause";
    case SelectionFailure::kAllLimited:
      return "limits_of_upstreams_reached";
    case SelectionFailure::kAllBrittleFull:
      return "all_brittle_upstreams_full";
    case SelectionFailure::kAllCold:
      return "cold_limit_reached";
    case SelectionFailure::kAllUnreachable:
      return "all_upstreams_unreachable";
    case SelectionFailure::kAllFull:
      return "all_upstreams_full";
  }
  return "none";
}

const Upstream* FindPrefixSource(const UpstreamTable& table,
                                 const SelectionRequest& request,
                                 const Upstream& chosen) {
  const auto rows = table.by_service.find(std::string(request.service));
  const std::uint32_t missing = UncachedSharedTokens(chosen.prompt_cache, request.prompt);
  if (!request.is_engine || rows == table.by_service.end() || missing < kMinFetchedTokens) {
    return nullptr;
  }
  const std::uint64_t subject = SubjectOf(request.prompt);
  const std::uint32_t shared = SharedTokens(request.prompt);
  // `holder` is the engine to which this instance sent most of the prompt. `home` is
  // the engine to which other instances sent the chat if `chosen` is new or is not
  // its home. Of several, the first in the order of the subject is most likely to have
  // kept the parts, because all instances use it. `former` is the first engine, even if it
  // takes no new work.
  const Upstream* holder = nullptr;
  const Upstream* home = nullptr;
  const Upstream* former = nullptr;
  std::uint32_t most = 0;
  const auto is_before = [subject](const Upstream& one, const Upstream* other) {
    return other == nullptr || OrderScore(subject, one) > OrderScore(subject, *other);
  };
  for (const UpstreamRow& row : rows->second) {
    // A draining engine can still transfer its cache.
    if (row.get() == &chosen || request.now < row->health.avoid_until ||
        IsInSilentDomain(table, *row)) {
      continue;
    }
    const std::uint32_t kept = shared - UncachedSharedTokens(row->prompt_cache, request.prompt);
    if (kept > most || (kept > 0 && kept == most && is_before(*row, holder))) {
      most = kept;
      holder = row.get();
    }
    if (is_before(*row, former)) {
      former = row.get();
    }
    if (TakesNewWork(table, *row) && is_before(*row, home)) {
      home = row.get();
    }
  }
  if (home == nullptr || is_before(chosen, home)) {
    home = former;
  }
  const bool is_moved = home != nullptr && (is_before(*home, &chosen) ||
                                            request.now < chosen.listed_at + kNewEngineTime);
  if (most < shared && (is_moved || holder == nullptr)) {
    return home;
  }
  return holder;
}

std::uint32_t PlacesAt(const Upstream& upstream, const SelectionRequest& request) {
  if (request.is_engine) {
    return upstream.listing.slots;
  }
  const double per_slot =
      std::max(1.0, request.places_per_slot / ExpectedPace(upstream.pace, request.now));
  return static_cast<std::uint32_t>(upstream.listing.slots * per_slot);
}

bool OffersPlaces(const UpstreamTable& table, const Upstream& upstream, TimePoint now) {
  return TakesNewWork(table, upstream) && !IsPaused(upstream, now) && !IsCold(upstream, now) &&
         now >= upstream.health.avoid_until && !upstream.limit.requests.per_second &&
         !upstream.brittle.rejections.per_second;
}

ServicePlaces CountPlaces(const UpstreamTable& table, const SelectionRequest& request) {
  ServicePlaces places;
  const auto rows = table.by_service.find(std::string(request.service));
  if (rows == table.by_service.end()) {
    return places;
  }
  for (const UpstreamRow& row : rows->second) {
    if (!OffersPlaces(table, *row, request.now)) {
      continue;
    }
    const std::uint32_t at_upstream = PlacesAt(*row, request);
    places.total += at_upstream;
    places.free += at_upstream - std::min(at_upstream, EstimatedRunning(table, *row, request.now));
    places.own += row->running;
  }
  return places;
}

Selection SelectUpstream(const UpstreamTable& table,
                         const SelectionSettings& settings,
                         const SelectionRequest& request) {
  Selection selection;
  const auto rows = table.by_service.find(std::string(request.service));
  if (rows == table.by_service.end() || rows->second.empty()) {
    selection.failure = SelectionFailure::kNoneListed;
    return selection;
  }
  // The failure is the last check that some upstream reached.
  selection.failure = SelectionFailure::kNoneInService;
  const auto reached = [&selection](SelectionFailure step) {
    selection.failure = std::max(selection.failure, step);
  };
  std::vector<Candidate> unreachable;
  const std::optional<double> lowest_brittle = LowestBrittle(rows->second);
  for (const UpstreamRow& row : rows->second) {
    if (!TakesNewWork(table, *row)) {
      continue;
    }
    if (request.version && row->version != *request.version) {
      reached(SelectionFailure::kNoneOfVersion);
      continue;
    }
    Candidate candidate{row,
                        {},
                        0,
                        EstimatedRunning(table, *row, request.now),
                        UncachedTokens(row->prompt_cache, request.prompt)};
    if (Contains(request.tried, row->listing.id)) {
      reached(SelectionFailure::kAllTried);
    } else if (IsPaused(*row, request.now)) {
      reached(SelectionFailure::kAllPaused);
    } else if (!NamedLimitAllows(request, *row)) {
      reached(SelectionFailure::kAllLimited);
    } else if (!BrittleAllows(request, RejectionLimit(*row, lowest_brittle), rows->second.size(),
                              candidate)) {
      reached(SelectionFailure::kAllBrittleFull);
    } else if (!ColdLimitAllows(settings, request, *row)) {
      reached(SelectionFailure::kAllCold);
    } else if (request.now < row->health.avoid_until) {
      reached(SelectionFailure::kAllUnreachable);
      unreachable.push_back(std::move(candidate));
    } else if (candidate.running >= PlacesAt(*row, request) &&
               row->id_hash != request.inherited_place) {
      reached(SelectionFailure::kAllFull);
    } else {
      selection.candidates.push_back(std::move(candidate));
    }
  }
  if (selection.candidates.empty() && selection.failure == SelectionFailure::kAllUnreachable) {
    selection.candidates = std::move(unreachable);
  }
  if (selection.candidates.empty()) {
    return selection;
  }
  selection.failure = SelectionFailure::kNone;
  SetCosts(table, settings, request, selection.candidates);
  std::ranges::stable_sort(selection.candidates, {}, &Candidate::cost_ms);
  return selection;
}

}  // namespace geraniumspread::dispatch
