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

// Choice of an upstream for a request: bounded-load rendezvous hashing with
// cache affinity, failure domains and cold start (design page, 3.1).
//
// ChooseUpstream and the Note functions are the hot path and allocate nothing.
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
  // in-flight count. For other upstreams cold start is the owner's knowledge, and
  // `in_flight` is only a lower bound.
  bool owned = false;
};

struct DomainRow {
  std::string name;
  bool in_service = true;
  // When the domain came back into service; the ramp counts from here.
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
  // Load bound of this pool; 0 takes the one of the settings.
  double bound_multiple = 0.0;
  std::vector<Segment> segments;
  std::vector<std::uint64_t> hashes;
  std::vector<UpstreamIndex> upstreams;
  // Of the usable upstreams. A cold one counts with its cold limit, and a
  // returning domain with the share of its chats that have returned.
  double capacity = 0.0;
  // Requests in flight at upstreams that this router owns.
  std::int64_t in_flight = 0;
  // This router's requests at upstreams of other owners. Their published sums
  // include these, but later.
  std::int64_t in_flight_not_owned = 0;
  // Published by other owners.
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
// A leaving upstream gets no new work. A gone one frees its index at a later
// tick, when none of its requests is in flight.
void SetUpstreamState(PlacementState& state, UpstreamIndex upstream, UpstreamState next);
// Takes a failure domain out of service or starts its gradual return. A domain
// that was never out is in service without a ramp.
void SetDomainInService(PlacementState& state, DomainIndex domain, bool in_service, TimePoint now);
// Each returns kNo... when the name is unknown.
UpstreamIndex FindUpstream(const PlacementState& state, std::string_view name);
PoolIndex FindPool(const PlacementState& state, std::string_view name);
DomainIndex FindDomain(const PlacementState& state, std::string_view name);
// The load bound of one pool, which is added when it is unknown.
void SetPoolBound(PlacementState& state, std::string_view pool, double bound_multiple);
// Whether this router owns the upstream. An upstream starts cold at each new owner.
void SetOwned(PlacementState& state, UpstreamIndex upstream, bool owned);
// Adds the domain when it is unknown.
DomainIndex InternDomain(PlacementState& state, std::string_view name);
std::string_view UpstreamName(const PlacementState& state, UpstreamIndex upstream);

// --- Hot path (no allocation) ---

// Picks an upstream. Errors: kUnknownPool, kNoUsableUpstream, kAllAtLimit. When
// the chosen upstream's owner refuses, call NoteRefusal and choose again.
Result<PlacementChoice> ChooseUpstream(const PlacementState& state,
                                       const PlacementRequest& request,
                                       TimePoint now);
// Records that the request goes to `choice`, and the exception if there is one.
void RecordPlacement(PlacementState& state,
                     const PlacementRequest& request,
                     const PlacementChoice& choice,
                     TimePoint now);
// Records that another router placed the chat at `upstream`. An entry router
// that places a chat elsewhere tells the owner of the first choice, because the
// next turn reaches that owner through any entry router. The owner then refuses
// with the hint PlacedElsewhere, which the entry router notes before it chooses
// again.
void RecordException(PlacementState& state, ChatKey chat, UpstreamIndex upstream, TimePoint now);
// For the owner of `asked`: where the chat's cache is if it is not there, or kNoUpstream.
UpstreamIndex FindOtherPlacement(const PlacementState& state,
                                 ChatKey chat,
                                 UpstreamIndex requested,
                                 TimePoint now);
// Records that the owner (this router) dispatches a request that another router placed.
void RecordForwarded(PlacementState& state, UpstreamIndex upstream);
// Ends a request that NotePlaced or NoteForwarded recorded.
void RecordCompletion(PlacementState& state, UpstreamIndex upstream);
// `epoch` is the choice's cold_epoch.
void RecordSuccess(PlacementState& state, UpstreamIndex upstream, std::uint32_t epoch);
void RecordRefusal(PlacementState& state, UpstreamIndex upstream, TimePoint now);
// Requests in flight at the upstreams of the pool that this router owns, for its heartbeat.
std::int64_t OwnedInFlight(const PlacementState& state, PoolIndex pool);
// Sum of the requests in flight that other owners published for the pool.
void SetInFlightElsewhere(PlacementState& state, PoolIndex pool, std::int64_t in_flight);
void RecordReport(PlacementState& state,
                  UpstreamIndex upstream,
                  const ColdStartReport& report,
                  TimePoint requested_at);
// A hint only: late, with gaps and possibly wrong.
void RecordCacheEvent(PlacementState& state,
                      UpstreamIndex upstream,
                      ChatKey chat,
                      CacheEventKind kind,
                      TimePoint now);
// Turns upstreams without fresh reports cold, frees the indexes of gone ones and brings the pools'
// capacity up to date.
void TickPlacement(PlacementState& state, TimePoint now);

// The multiple of the mean load that bounds the upstreams of a pool.
double BoundMultiple(const PlacementState& state, PoolIndex pool);
// The in-flight limit of an upstream over all routers: the cold limit while
// cold, otherwise min(capacity, load bound). The bound is lower for chats without
// history, but a router that finds no room below it may use the higher one.
std::int32_t UpstreamLimit(const PlacementState& state,
                           UpstreamIndex upstream,
                           bool has_history = true);
bool IsCold(const PlacementState& state, UpstreamIndex upstream);
// Whether the owner may still dispatch there: live and its domain in service.
bool AcceptsNewWork(const PlacementState& state, UpstreamIndex upstream);

// --- Operators ---

// Ranks all upstreams of the request's pool and says why each was passed over.
std::vector<CandidateExplanation> ExplainChoice(const PlacementState& state,
                                                const PlacementRequest& request,
                                                TimePoint now);

}  // namespace geraniumspread::placement

#endif  // PLACEMENT_PLACEMENT_H_
