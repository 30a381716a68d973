#ifndef EDGE_INTERNAL_WAITING_ROOM_H_
#define EDGE_INTERNAL_WAITING_ROOM_H_

#include <boost/asio/awaitable.hpp>
#include <optional>
#include <string_view>

#include "edge/internal/request_run.h"

// Requests that wait at this instance because the upstreams of their service are full. The
// decisions are in admission/waiting_room.h; see docs/design/waiting-room.md.
namespace geraniumspread::edge::detail {

// Whether a new request may choose an upstream at once.
struct ServiceEntry {
  // Set if the service can't serve all requests and the workspace is above its share.
  std::optional<Refusal> refusal;
  bool must_wait = false;
};
// Call before the first attempt of a request that may use any upstream of its service.
ServiceEntry EnterService(RequestRun& run);
// Waits until the request may select an upstream again. Returns a refusal if it must not wait or
// got no place in time. The caller checks whether the request was stopped meanwhile.
boost::asio::awaitable<std::optional<Refusal>> WaitForRoom(RequestRun& run);

// Records how the request used its place, for a response that arrived.
void RecordPlaceUse(RequestRun& run);
// Frees the place that the request holds, if any, for a waiting request.
void FreePlace(RequestRun& run);
// Sends the requests on for which a place may be free.
void PumpWaitingRoom(EdgeState& edge, std::string_view service);
// The same for all services. Refuses requests whose service is no longer configured.
void PumpWaitingRooms(EdgeState& edge);
// Refuses all waiting requests, since the instance stops.
void CloseWaitingRooms(EdgeState& edge);

}  // namespace geraniumspread::edge::detail

#endif  // EDGE_INTERNAL_WAITING_ROOM_H_
