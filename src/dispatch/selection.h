#ifndef DISPATCH_SELECTION_H_
#define DISPATCH_SELECTION_H_

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "dispatch/upstream_table.h"

// Chooses the upstream for one attempt by its expected cost in milliseconds.
namespace geraniumspread::dispatch {

struct SelectionSettings {
  // Load bound of an upstream: this multiple of the mean load of its service, plus
  // `load_slack` requests.
  double load_factor = 2;
  double load_slack = 3;
  ColdLimitSettings cold;
  // Prefill speed of an engine in tokens per millisecond.
  double prefill_tokens_per_ms = 38.4;
  // Cost of an upstream in another failure domain: traffic between failure domains is
  // paid for.
  double cross_domain_ms = 10;
  double cross_domain_ms_per_kilobyte = 6;
  // Cost of an upstream in a failure domain that is presumed partitioned.
  double silent_domain_ms = 1000;
  // Number of engines after the home that requests of a subject prefer; 0 for none.
  std::size_t overflow_ranks = 3;
  // Counts what short and long prompts cost each other.
  bool weighs_contention = true;
};

struct SelectionRequest {
  std::string_view service;
  bool is_engine = false;
  Prompt prompt;
  std::size_t body_bytes = 0;
  std::string_view own_domain;
  // Hashes of this instance and of the other known instances.
  std::uint64_t own_hash = 0;
  std::span<const std::uint64_t> peer_hashes;
  std::size_t instances = 1;
  // False while this instance doesn't know how many others there are.
  bool knows_fleet = true;
  // The route's latency goal, and the tightest one among the routes of the service.
  Duration latency_goal{0};
  Duration tightest_goal{0};
  // Requests per second that a cold upstream of the service can handle.
  double cold_requests_per_second = 0;
  // Ids of the upstreams to which this request was already sent.
  std::span<const std::string> tried;
  // Only upstreams of this version, if set: the request continues a stream that began there.
  std::optional<std::uint64_t> version;
  // Requests that a plain upstream may hold for each of its slots while work takes as long as
  // usual. More would make them late; 4 if that isn't known.
  double places_per_slot = 4;
  // Hash of an upstream that may be chosen although it looks full, or 0: the request takes the
  // place over that another one of this instance has just freed there.
  std::uint64_t inherited_place = 0;
  TimePoint now;
};

// Terms of the cost of an upstream, in milliseconds.
struct CostTerms {
  // Shared prompt parts that the engine computes again.
  double reread = 0;
  // Prompt tokens that wait for prefill before this request.
  double waiting = 0;
  // Requests that run or wait there.
  double running = 0;
  // Another failure domain, and one that is presumed partitioned.
  double cross_domain = 0;
  double silent_domain = 0;
  // Expected failures beyond those of the service.
  double failures = 0;
  // Load between the mean and the load bound, and above it.
  double pressure = 0;
  double over_bound = 0;
  // Contention of short and long prompts for prefill.
  double delays_others = 0;
  double goal_at_stake = 0;
  double long_queue = 0;
};
double TotalCost(const CostTerms& terms);
// Returns the part of the cost that contention for prefill causes.
double ContentionMs(const CostTerms& terms);

struct Candidate {
  UpstreamRow row;
  CostTerms terms;
  double cost_ms = 0;
  std::uint32_t running = 0;
  std::uint32_t uncached_tokens = 0;
  // True if this engine is the home of the prompt: all instances send its chat here
  // by preference.
  bool is_home = false;
  // Rank of this engine among those that take requests which leave the home, from 1; 0 for
  // the home and for engines that are not preferred.
  std::size_t overflow_rank = 0;
  // Address of an engine from which to fetch missing shared parts; empty if none.
  std::string fetch_from;
};

enum class SelectionFailure : std::uint8_t {
  kNone,
  kNoneListed,
  kNoneInService,
  kNoneOfVersion,
  kAllTried,
  kAllPaused,
  kAllLimited,
  kAllBrittleFull,
  kAllCold,
  kAllUnreachable,
  kAllFull,
};
std::string_view ToString(SelectionFailure failure);

struct Selection {
  // Ordered by cost, lowest first; empty if `failure` is set.
  std::vector<Candidate> candidates;
  SelectionFailure failure = SelectionFailure::kNone;
};

// Returns an engine that probably caches shared parts of the prompt that `chosen`
// lacks and can transfer them faster than `chosen` computes them again, or null.
const Upstream* FindPrefixSource(const UpstreamTable& table,
                                 const SelectionRequest& request,
                                 const Upstream& chosen);

// Requests of all instances that the upstream may hold, running or queued there.
std::uint32_t PlacesAt(const Upstream& upstream, const SelectionRequest& request);

// Places at the upstreams of a service that new requests may use without a rate limit.
struct ServicePlaces {
  std::uint32_t total = 0;
  std::uint32_t free = 0;
  // Held by requests of this instance.
  std::uint32_t own = 0;
};
ServicePlaces CountPlaces(const UpstreamTable& table, const SelectionRequest& request);
// True if a place that a request frees at the upstream counts in CountPlaces.
bool OffersPlaces(const UpstreamTable& table, const Upstream& upstream, TimePoint now);

Selection SelectUpstream(const UpstreamTable& table,
                         const SelectionSettings& settings,
                         const SelectionRequest& request);

}  // namespace geraniumspread::dispatch

#endif  // DISPATCH_SELECTION_H_
