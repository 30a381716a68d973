#ifndef ADMISSION_WAITING_ROOM_H_
#define ADMISSION_WAITING_ROOM_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

#include "admission/owner_queue.h"
#include "admission/workspace_shares.h"

// Decides which requests of one instance wait while all upstreams of a service are full, and which
// of them go when places are free. The instances share the upstreams without a common queue.
namespace geraniumspread::admission {

// Places for requests at the upstreams of the service, as far as this instance knows.
struct PlaceSupply {
  // Of all instances.
  std::uint32_t total = 0;
  std::uint32_t free = 0;
  // Held by requests of this instance.
  std::uint32_t own = 0;
  // Instances that share the places.
  std::size_t instances = 1;
};

struct WaitRequest {
  RequestHandle request = 0;
  // StableHash of the names.
  WorkspaceKey workspace = 0;
  std::uint64_t route = 0;
  // 0 to 9; 0 is the most urgent.
  int priority = 0;
  // When the latency goal and the deadline pass.
  TimePoint goal_at;
  TimePoint ends_at;
};

// Moving averages over the requests of a route.
struct RouteTimes {
  // For which a request holds its place.
  Duration hold{0};
  // Until the response or the first event of a stream.
  Duration answer{0};
  // Mean absolute deviation of `answer`.
  Duration answer_deviation{0};
};

// A place that an own request freed. The other instances see it as free only later.
struct FreedPlace {
  // StableHash of the upstream's id.
  std::uint64_t upstream = 0;
  TimePoint at;
};

struct WaitingRoom {
  OwnerQueue queue = MakeOwnerQueue({});
  // Places that own requests have freed and that no other own request has taken yet, oldest first.
  std::deque<FreedPlace> freed_places;
  // Places that this instance may take of those that are free for all.
  double shared_credit = 0;
  TimePoint credited_at;
  // Part of a place that is given up, of those that upstreams hold beyond their places.
  double given_up = 0;
  WorkspaceShares shares;
  // Released requests that don't hold a place yet.
  std::uint32_t on_their_way = 0;
  // By StableHash of the route.
  std::unordered_map<std::uint64_t, RouteTimes> routes;
};

// How a request used its place.
struct PlaceUse {
  std::uint64_t route = 0;
  int priority = 0;
  Duration held{0};
  // Until the response or the first event of a stream.
  Duration until_answer{0};
};

struct JoinDecision {
  // Set if the request must not wait. Its Retry-After is the expected wait, spread.
  std::optional<Refusal> refusal;
  std::optional<ShedRequest> shed;
  Duration expected_wait{0};
  // When the wait ends without a place.
  TimePoint latest_start;
};

struct ReleasedRequest {
  RequestHandle request = 0;
  // The upstream with the place that the request takes over, or 0 for one that is free for all.
  std::uint64_t upstream = 0;
};

struct ReleaseDecision {
  // Requests to send now. Call RecordArrival for each once it has chosen its upstream.
  std::vector<ReleasedRequest> released;
  std::vector<ShedRequest> shed;
};

// `seed` spreads the times at which instances with a share below one place take it.
WaitingRoom MakeWaitingRoom(std::uint64_t seed);
// Maps the priorities 0 to 9 to the classes.
PriorityClass ClassOfPriority(int priority);
void RecordPlaceUse(WaitingRoom& room, const PlaceUse& use);
// Records that a request of this instance freed a place at an upstream that takes new requests and
// now holds `running` of `places`. A part of the places that it holds beyond them is given up.
void RecordFreedPlace(WaitingRoom& room,
                      const FreedPlace& place,
                      std::uint32_t running,
                      std::uint32_t places);
// Records a new request. Returns a refusal if the service can't serve all and the workspace is
// above its share; its Retry-After is the time until it is below it.
std::optional<Refusal> Admit(WaitingRoom& room,
                             const WaitRequest& request,
                             const PlaceSupply& supply,
                             TimePoint now);
// True if a new request may choose an upstream without waiting. Takes a place for it if the
// upstreams are so busy that each instance must keep to its share.
bool TryEnter(WaitingRoom& room, const PlaceSupply& supply, TimePoint now);
void RecordArrival(WaitingRoom& room);
// Returns how many requests per slot may be at an upstream that queues requests itself, so that the
// last of them is served within `goal`; at least 1 and at most `max`.
double PlacesPerSlot(const WaitingRoom& room, Duration goal, double max);
// Queues the request or refuses it at once. Call Release afterwards.
JoinDecision Join(WaitingRoom& room,
                  const WaitRequest& request,
                  const PlaceSupply& supply,
                  TimePoint now);
// Removes and returns the requests that go or are refused now. Call when a place may be free, and
// regularly.
ReleaseDecision Release(WaitingRoom& room, const PlaceSupply& supply, TimePoint now);

// Refuses all waiting requests and every later one: the instance stops.
std::vector<ShedRequest> Close(WaitingRoom& room, TimePoint now);

}  // namespace geraniumspread::admission

#endif  // ADMISSION_WAITING_ROOM_H_
