#include "edge/internal/waiting_room.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace geraniumspread::edge::detail {
namespace {

namespace asio = boost::asio;
using observability::LogEvent;
using observability::LogLevel;

constexpr int kStatusUnavailable = 503;

ServiceRoom& RoomOf(EdgeState& edge, const std::string& service) {
  const auto [entry, is_new] = edge.waiting_rooms.try_emplace(service);
  if (is_new) {
    entry->second.room = admission::MakeWaitingRoom(edge.random());
    if (edge.stopping) {
      admission::Close(entry->second.room, RuntimeClock::now());
    }
  }
  return entry->second;
}

// What is known about the places of the service, whose rules are in the configuration.
admission::PlaceSupply SupplyOf(const EdgeState& edge, std::string_view service) {
  admission::PlaceSupply supply;
  if (!edge.config) {
    return supply;
  }
  const auto rules = edge.config->services.find(std::string(service));
  if (rules == edge.config->services.end()) {
    return supply;
  }
  const dispatch::SelectionRequest request = MakeSelectionRequest(edge, rules->second, {});
  const dispatch::ServicePlaces places = dispatch::CountPlaces(edge.upstreams, request);
  supply.total = places.total;
  supply.free = places.free;
  supply.own = places.own;
  supply.instances = request.knows_fleet ? dispatch::KnownInstances(edge.peers) : request.instances;
  return supply;
}

admission::WaitRequest MakeWaitRequest(const RequestRun& run, admission::RequestHandle handle) {
  admission::WaitRequest request;
  request.request = handle;
  request.workspace = StableHash(run.workspace.name);
  request.route = StableHash(run.route.name);
  request.priority = run.workspace.priority.value_or(run.route.priority);
  request.goal_at = run.started + run.route.latency_goal;
  request.ends_at = run.ends_at;
  return request;
}

Refusal ToEdgeRefusal(EdgeState& edge, const admission::Refusal& refused) {
  edge.metrics.Count("geranium_waiting_refusals_total",
                     {{"code", admission::ToString(refused.code)}});
  Refusal refusal;
  refusal.status = kStatusUnavailable;
  refusal.code = refused.code == admission::RefusalCode::kDraining ? "stopping" : "no_upstream";
  refusal.message = "all_upstreams_full: " + std::string(admission::MessageOf(refused.code));
  refusal.retry_after = refused.retry_after;
  refusal.is_spread = true;
  return refusal;
}

void SetLength(EdgeState& edge, std::string_view service, const ServiceRoom& room) {
  edge.metrics.SetGauge("geranium_waiting_requests",
                        static_cast<double>(room.room.queue.waiting.size()),
                        {{"service", service}});
}

void EndWait(ServiceRoom& room, const admission::ShedRequest& shed) {
  if (const auto waiting = room.waiting.find(shed.request.request); waiting != room.waiting.end()) {
    waiting->second->refusal = shed.refusal;
    waiting->second->timer.cancel();
  }
}

void EndWaits(EdgeState& edge,
              std::string_view service,
              ServiceRoom& room,
              const std::vector<admission::ShedRequest>& shed) {
  for (const admission::ShedRequest& request : shed) {
    EndWait(room, request);
  }
  SetLength(edge, service, room);
}

// Lists a waiting request at its room for the lifetime of this object.
class Listing {
 public:
  Listing(const RequestRun& request_run,
          ServiceRoom& service_room,
          admission::RequestHandle request,
          WaitingRequest& waiting)
      : run(request_run), room(service_room), handle(request) {
    this->room.waiting[this->handle] = &waiting;
  }
  Listing(const Listing&) = delete;
  Listing& operator=(const Listing&) = delete;
  ~Listing() {
    this->room.waiting.erase(this->handle);
    admission::CancelQueued(this->room.room.queue, this->handle);
    SetLength(*this->run.edge, this->run.service.name, this->room);
  }

 private:
  const RequestRun& run;
  ServiceRoom& room;
  admission::RequestHandle handle;
};

void LogWait(const RequestRun& run,
             std::string_view event,
             std::string_view field,
             Duration time,
             const ServiceRoom& room) {
  if (StableHash(run.request.id) % run.edge->settings.log_one_in == 0) {
    LogEvent(LogLevel::kInfo, event,
             {{"request_id", run.request.id},
              {"service", run.service.name},
              {field, Milliseconds(time)},
              {"queued", room.room.queue.waiting.size()}});
  }
}

// Takes over the place for which the request was released, or passes it on if the request ended
// in the meantime.
void TakeReleasedPlace(RequestRun& run, ServiceRoom& room, std::uint64_t upstream) {
  admission::RecordArrival(room.room);
  run.inherited_place = upstream;
  if (run.stopped != StopReason::kNone && upstream != 0) {
    admission::RecordFreedPlace(room.room, {upstream, RuntimeClock::now()}, 0, 1);
    PumpWaitingRoom(*run.edge, run.service.name);
  }
}

}  // namespace

ServiceEntry EnterService(RequestRun& run) {
  EdgeState& edge = *run.edge;
  ServiceRoom& room = RoomOf(edge, run.service.name);
  const admission::PlaceSupply supply = SupplyOf(edge, run.service.name);
  const TimePoint now = RuntimeClock::now();
  ServiceEntry entry;
  if (const auto refused =
          admission::Admit(room.room, MakeWaitRequest(run, ++edge.wait_sequence), supply, now)) {
    entry.refusal = ToEdgeRefusal(edge, *refused);
  } else {
    entry.must_wait = !admission::TryEnter(room.room, supply, now);
  }
  return entry;
}

asio::awaitable<std::optional<Refusal>> WaitForRoom(RequestRun& run) {
  const Edge edge = run.edge;
  FreePlace(run);
  ServiceRoom& room = RoomOf(*edge, run.service.name);
  if (run.inherited_place != 0) {
    // The request could not use the place for which it was released.
    admission::RecordFreedPlace(room.room, {run.inherited_place, RuntimeClock::now()}, 0, 1);
    run.inherited_place = 0;
  }
  const TimePoint began = RuntimeClock::now();
  const admission::RequestHandle handle = ++edge->wait_sequence;
  const admission::JoinDecision joined = admission::Join(room.room, MakeWaitRequest(run, handle),
                                                         SupplyOf(*edge, run.service.name), began);
  if (joined.shed) {
    EndWait(room, *joined.shed);
  }
  if (joined.refusal) {
    co_return ToEdgeRefusal(*edge, *joined.refusal);
  }
  WaitingRequest waiting(edge->io);
  const Listing listing(run, room, handle, waiting);
  SetLength(*edge, run.service.name, room);
  LogWait(run, "request_queued", "expected_wait_ms", joined.expected_wait, room);
  waiting.timer.expires_at(std::min(joined.latest_start, run.ends_at));
  if (!run.is_returning) {
    PumpWaitingRoom(*edge, run.service.name);
  }
  if (!waiting.is_released && !waiting.refusal) {
    run.wait_timer = &waiting.timer;
    co_await waiting.timer.async_wait(asio::as_tuple(asio::use_awaitable));
    run.wait_timer = nullptr;
  }
  const Duration waited = RuntimeClock::now() - began;
  edge->metrics.ObserveTime("geranium_waiting_seconds", waited,
                            {{"result", waiting.is_released ? "released" : "refused"}});
  if (waiting.is_released) {
    run.is_returning = true;
    LogWait(run, "request_released", "waited_ms", waited, room);
    TakeReleasedPlace(run, room, waiting.upstream);
    co_return std::nullopt;
  }
  if (run.stopped != StopReason::kNone) {
    co_return std::nullopt;
  }
  if (!waiting.refusal) {
    waiting.refusal = admission::MakeRefusal(admission::RefusalCode::kDeadlineUnreachable,
                                             joined.expected_wait, handle);
  }
  co_return ToEdgeRefusal(*edge, *waiting.refusal);
}

void RecordPlaceUse(RequestRun& run) {
  const TimePoint now = RuntimeClock::now();
  admission::PlaceUse use;
  use.route = StableHash(run.route.name);
  use.priority = run.workspace.priority.value_or(run.route.priority);
  use.held = now - run.sent_at;
  use.until_answer =
      run.answer_began_at > run.sent_at ? run.answer_began_at - run.sent_at : use.held;
  admission::RecordPlaceUse(RoomOf(*run.edge, run.service.name).room, use);
}

void FreePlace(RequestRun& run) {
  if (!run.place) {
    return;
  }
  EdgeState& edge = *run.edge;
  const dispatch::UpstreamRow upstream = std::exchange(run.place, nullptr);
  const TimePoint now = RuntimeClock::now();
  if (dispatch::OffersPlaces(edge.upstreams, *upstream, now)) {
    const dispatch::SelectionRequest request = MakeSelectionRequest(edge, run.service, {});
    admission::RecordFreedPlace(RoomOf(edge, run.service.name).room, {upstream->id_hash, now},
                                dispatch::EstimatedRunning(edge.upstreams, *upstream, now),
                                dispatch::PlacesAt(*upstream, request));
  }
  PumpWaitingRoom(edge, run.service.name);
}

void PumpWaitingRoom(EdgeState& edge, std::string_view service) {
  const auto found = edge.waiting_rooms.find(std::string(service));
  if (found == edge.waiting_rooms.end() || found->second.room.queue.waiting.empty()) {
    return;
  }
  ServiceRoom& room = found->second;
  const admission::ReleaseDecision decision =
      admission::Release(room.room, SupplyOf(edge, service), RuntimeClock::now());
  for (const admission::ReleasedRequest& released : decision.released) {
    WaitingRequest& waiting = *room.waiting.at(released.request);
    waiting.is_released = true;
    waiting.upstream = released.upstream;
    waiting.timer.cancel();
  }
  EndWaits(edge, service, room, decision.shed);
}

void PumpWaitingRooms(EdgeState& edge) {
  for (auto& [service, room] : edge.waiting_rooms) {
    if (!edge.config || !edge.config->services.contains(service)) {
      EndWaits(edge, service, room,
               admission::RefuseAll(room.room.queue, admission::RefusalCode::kNoUpstream));
    }
    PumpWaitingRoom(edge, service);
  }
}

void CloseWaitingRooms(EdgeState& edge) {
  for (auto& [service, room] : edge.waiting_rooms) {
    EndWaits(edge, service, room, admission::Close(room.room, RuntimeClock::now()));
  }
}

}  // namespace geraniumspread::edge::detail
