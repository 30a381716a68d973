#ifndef PLACEMENT_PLACEMENT_H_
#define PLACEMENT_PLACEMENT_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "common/runtime_clock.h"
#include "placement/cold_start.h"
#include "placement/exceptions_table.h"
#include "placement/placement_types.h"

// Chooses an upstream for a request: bounded-load rendezvous hashing with
// cache affinity, failure domains and cold start.
//
// ChooseUpstream and the Record functions are the hot path and allocate nothing.
// The other functions change the topology and may allocate.
namespace geraniumspread::placement {

struct UpstreamRow {
  std::uint64_t hash = 0;
  TimePoint refused_until = TimePoint::min();
  std::int32_t capacity = 1;
  // Requests that this router knows to be in flight there.
  std::int32_t in_flight = 0;
  PoolIndex pool = kNoPool;
  DomainIndex domain = kNoDomain;
  UpstreamState state = UpstreamState::kGone;
  UpstreamKind kind = UpstreamKind::kModelEngine;
  // This router owns the upstream, so it has its load reports and its exact
  // in-flight count. For other upstreams only the owner knows the cold-start state, and
  // `in_flight` is only a lower bound.
  bool owned = false;
};

struct DomainRow {
  std::string name;
  bool in_service = true;
  // When the domain came back into service; the ramp starts then.
  TimePoint returned_at = TimePoint::min();
};

// Usable upstreams of one pool in one domain with the same capacity, so that the
// highest hash among them is also the highest weighted score.
struct Segment {
  DomainIndex domain = kNoDomain;
  std::int32_t capacity = 1;
  std::uint32_t begin = 0;  // into PoolRow::hashes and PoolRow::upstreams
  std::uint32_t end = 0;
};

struct PoolRow {
  std::string name;
  // Load bound of this pool; 0 selects the one of the settings.
  double bound_multiple = 0.0;
  std::vector<Segment> segments;
  std::vector<std::uint64_t> hashes;
  std::vector<UpstreamIndex> upstreams;
  // Sum over the usable upstreams. A cold one counts with its cold limit, and those of a
  // returning domain are scaled by the share of its chats that may be placed there again.
  double capacity = 0.0;
  // Requests in flight at upstreams that this router owns.
  std::int64_t in_flight = 0;
  // This router's requests at upstreams of other owners. The sums that the owners publish
  // include these with a delay.
  std::int64_t in_flight_not_owned = 0;
  // Sum of the in-flight counts that other owners published.
  std::int64_t in_flight_elsewhere = 0;
};

struct NameTable {
  std::vector<std::string> names;
  std::unordered_map<std::string, std::uint32_t> indexes;
};

struct PlacementState {
  PlacementSettings settings;
  PlacementPolicy policy;
  NameTable upstream_names;
  NameTable pool_names;
  NameTable domain_names;
  std::vector<UpstreamRow> upstreams;
  std::vector<ColdStartState> cold_start;  // parallel to `upstreams`
  std::vector<UpstreamIndex> free_upstreams;
  std::vector<DomainRow> domains;
  std::vector<PoolRow> pools;
  ExceptionsTable exceptions;
  TimePoint ticked_at = TimePoint::min();
};

PlacementState MakePlacementState(const PlacementSettings& settings, TimePoint now);

// --- Topology (may allocate) ---

// Adds the upstream as live, or updates it. A known name keeps its index.
UpstreamIndex UpsertUpstream(PlacementState& state, const UpstreamInfo& info);
// A leaving upstream gets no new work. The index of a gone one is freed at a later
// tick, once none of its requests is in flight.
void SetUpstreamState(PlacementState& state, UpstreamIndex upstream, UpstreamState next);
// Takes a failure domain out of service or starts its gradual return. A domain
// that was never out of service has no ramp.
void SetDomainInService(PlacementState& state, DomainIndex domain, bool in_service, TimePoint now);
// Return kNoUpstream, kNoPool or kNoDomain if the name is unknown.
UpstreamIndex FindUpstream(const PlacementState& state, std::string_view name);
PoolIndex FindPool(const PlacementState& state, std::string_view name);
DomainIndex FindDomain(const PlacementState& state, std::string_view name);
// Sets the load bound of one pool; adds the pool if it is unknown.
void SetPoolBound(PlacementState& state, std::string_view pool, double bound_multiple);
// Sets whether this router owns the upstream. An upstream starts cold at each new owner.
void SetOwned(PlacementState& state, UpstreamIndex upstream, bool owned);
// Returns the index of the domain; adds the domain if it is unknown.
DomainIndex InternDomain(PlacementState& state, std::string_view name);
std::string_view UpstreamName(const PlacementState& state, UpstreamIndex upstream);

// --- Hot path (no allocation) ---

// Picks an upstream. Errors: kUnknownPool, kNoUsableUpstream, kAllAtLimit. When
// the chosen upstream's owner refuses, call RecordRefusal and choose again.
Result<PlacementChoice> ChooseUpstream(const PlacementState& state,
                                       const PlacementRequest& request,
                                       TimePoint now);
// Records that the request goes to `choice`, and an exception if that is not the first choice.
void RecordPlacement(PlacementState& state,
                     const PlacementRequest& request,
                     const PlacementChoice& choice,
                     TimePoint now);
// Records that another router placed the chat at `upstream`. An entry router that places
// a chat on another upstream than its first choice informs the owner of the first choice,
// because any entry router sends the next turn to that owner. The owner then refuses with
// the result of FindOtherPlacement as a hint, which the entry router records before it
// chooses again.
void RecordException(PlacementState& state, ChatKey chat, UpstreamIndex upstream, TimePoint now);
// For the owner of `requested`: returns the other upstream of the pool at which the chat was
// placed and has its cache, or kNoUpstream.
UpstreamIndex FindOtherPlacement(const PlacementState& state,
                                 ChatKey chat,
                                 UpstreamIndex requested,
                                 TimePoint now);
// Records that the owner (this router) dispatches a request that another router placed.
void RecordForwarded(PlacementState& state, UpstreamIndex upstream);
// Records the end of a request that RecordPlacement or RecordForwarded recorded.
void RecordCompletion(PlacementState& state, UpstreamIndex upstream);
// Records a successful request; `epoch` is the choice's cold_epoch.
void RecordSuccess(PlacementState& state, UpstreamIndex upstream, std::uint32_t epoch);
void RecordRefusal(PlacementState& state, UpstreamIndex upstream, TimePoint now);
// Returns the requests in flight at the upstreams of the pool that this router owns, which its
// heartbeat publishes.
std::int64_t OwnedInFlight(const PlacementState& state, PoolIndex pool);
// Sets the sum of the requests in flight that other owners published for the pool.
void SetInFlightElsewhere(PlacementState& state, PoolIndex pool, std::int64_t in_flight);
void RecordReport(PlacementState& state,
                  UpstreamIndex upstream,
                  const ColdStartReport& report,
                  TimePoint requested_at);
// Cache events are only hints: they arrive late, can be missing and may be wrong.
void RecordCacheEvent(PlacementState& state,
                      UpstreamIndex upstream,
                      ChatKey chat,
                      CacheEventKind kind,
                      TimePoint now);
// Turns upstreams without fresh reports cold, frees the indexes of gone ones and updates the pools'
// capacity.
void TickPlacement(PlacementState& state, TimePoint now);

// Returns the load bound of the pool's upstreams as a multiple of the mean load.
double BoundMultiple(const PlacementState& state, PoolIndex pool);
// Returns the in-flight limit of an upstream over all routers: the cold limit while
// cold, otherwise min(capacity, load bound). The bound is lower for chats without
// history, but the higher one applies if all upstreams are at the lower one.
std::int32_t UpstreamLimit(const PlacementState& state,
                           UpstreamIndex upstream,
                           bool has_history = true);
bool IsCold(const PlacementState& state, UpstreamIndex upstream);
// True if the owner may still dispatch there: the upstream is live and its domain in service.
bool AcceptsNewWork(const PlacementState& state, UpstreamIndex upstream);

// --- Operators ---

// Ranks all upstreams of the request's pool and gives the reason why each was not chosen.
std::vector<CandidateExplanation> ExplainChoice(const PlacementState& state,
                                                const PlacementRequest& request,
                                                TimePoint now);

}  // namespace geraniumspread::placement

#endif  // PLACEMENT_PLACEMENT_H_
