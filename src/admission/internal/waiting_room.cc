#include "admission/waiting_room.h"

#include <algorithm>

#include "common/hash.h"

namespace geraniumspread::admission {
namespace {

// Age of load reports and interval of digests: free places that were taken less than this time ago
// still look free to other instances.
constexpr Duration kNewsAge = std::chrono::milliseconds(200);
constexpr int kPriorities = 10;
// Weight of the latest request in the times of its route.
constexpr double kTimesGain = 0.1;
// Nearly all answers take less than their mean and this many mean deviations.
constexpr int kDeviations = 2;
// Limits of the cost of a request in fair queueing, for routes with few requests so far.
constexpr double kMinCost = 0.125;
constexpr double kMaxCost = 8;

// Part of a latency goal that the requests at an upstream may fill. The rest covers requests that
// other instances send at the same time.
constexpr double kUsedGoal = 0.8;

double Seconds(Duration time) {
  return std::chrono::duration<double>(time).count();
}

// This instance's part of `places`.
double ShareOf(std::uint32_t places, const PlaceSupply& supply) {
  return static_cast<double>(places) /
         static_cast<double>(std::max<std::size_t>(supply.instances, 1));
}

// True if the upstreams are so busy that each instance must keep to its share, since what all of
// them send within the age of the news may exceed the free places.
bool IsBusy(const PlaceSupply& supply) {
  return supply.free * 2 < supply.total;
}

// Adds the shared places that became this instance's since the last call.
void UpdateCredit(WaitingRoom& room, const PlaceSupply& supply, TimePoint now) {
  const double share = ShareOf(supply.free, supply);
  const double elapsed = std::min(1.0, Seconds(now - room.credited_at) / Seconds(kNewsAge));
  room.shared_credit = std::min(room.shared_credit + share * elapsed, std::max(1.0, share));
  room.credited_at = now;
}

// Places that this instance can count on. It may hold more than its share for some time, e.g. when
// others have ended and still count as instances.
double CountedPlaces(const PlaceSupply& supply) {
  return std::max(static_cast<double>(supply.own), ShareOf(supply.total, supply));
}

void ExpireFreedPlaces(WaitingRoom& room, TimePoint now) {
  while (!room.freed_places.empty() && room.freed_places.front().at + kNewsAge < now) {
    room.freed_places.pop_front();
  }
}

// Takes a place for one more request, if there is one for this instance. Returns the upstream whose
// place it takes over, or 0 for a place that is free for all; `free` of these are left.
std::optional<std::uint64_t> TakePlace(WaitingRoom& room, std::uint32_t& free) {
  if (!room.freed_places.empty()) {
    const std::uint64_t upstream = room.freed_places.front().upstream;
    room.freed_places.pop_front();
    free -= std::min(free, 1U);
    return upstream;
  }
  if (room.shared_credit >= 1 && free > 0) {
    room.shared_credit -= 1;
    --free;
    return 0;
  }
  return std::nullopt;
}

// Returns the hold time of the route relative to the mean of the routes.
double CostOf(const WaitingRoom& room, const RouteTimes& times) {
  double sum = 0;
  for (const auto& [route, other] : room.routes) {
    sum += Seconds(other.hold);
  }
  if (sum <= 0 || times.hold <= Duration{0}) {
    return 1;
  }
  return std::clamp(Seconds(times.hold) * static_cast<double>(room.routes.size()) / sum, kMinCost,
                    kMaxCost);
}

// When the request must be sent at the latest to be served in time. If its latency goal has passed,
// e.g. after a failed attempt, half of the time left is of use for a wait.
TimePoint LatestStart(const WaitRequest& request, const RouteTimes& times, TimePoint now) {
  return now < request.goal_at
             ? request.goal_at - times.answer - kDeviations * times.answer_deviation
             : now + (request.ends_at - now) / 2;
}

void AddToMean(Duration& mean, Duration latest) {
  mean = mean == Duration{0}
             ? latest
             : mean + std::chrono::duration_cast<Duration>((latest - mean) * kTimesGain);
}

}  // namespace

WaitingRoom MakeWaitingRoom(std::uint64_t seed) {
  constexpr std::uint64_t kSteps = 1024;
  WaitingRoom room;
  room.given_up = static_cast<double>(MixHash(seed, 2) % kSteps) / kSteps;
  room.shared_credit = static_cast<double>(MixHash(seed, 1) % kSteps) / kSteps;
  return room;
}

PriorityClass ClassOfPriority(int priority) {
  return static_cast<PriorityClass>(std::clamp(priority, 0, kPriorities - 1) * kPriorityClassCount /
                                    kPriorities);
}

void RecordPlaceUse(WaitingRoom& room, const PlaceUse& use) {
  RecordRunTime(room.queue, ClassOfPriority(use.priority), use.held, use.until_answer);
  RouteTimes& times = room.routes[use.route];
  if (times.answer > Duration{0}) {
    AddToMean(times.answer_deviation, std::chrono::abs(use.until_answer - times.answer));
  }
  AddToMean(times.hold, use.held);
  AddToMean(times.answer, use.until_answer);
}

void RecordFreedPlace(WaitingRoom& room,
                      const FreedPlace& place,
                      std::uint32_t running,
                      std::uint32_t places) {
  if (running > places) {
    // All instances see the same excess, and each gives up its part of it.
    room.given_up += static_cast<double>(running - places) / running;
    if (room.given_up >= 1) {
      room.given_up -= 1;
      return;
    }
  }
  ExpireFreedPlaces(room, place.at);
  room.freed_places.push_back(place);
}

std::optional<Refusal> Admit(WaitingRoom& room,
                             const WaitRequest& request,
                             const PlaceSupply& supply,
                             TimePoint now) {
  const auto times = room.routes.find(request.route);
  if (times == room.routes.end()) {
    return std::nullopt;
  }
  const auto wait =
      AdmitToShare(room.shares, request.workspace, times->second.hold, CountedPlaces(supply), now);
  if (!wait || !IsBusy(supply)) {
    return std::nullopt;
  }
  return MakeRefusal(RefusalCode::kConcurrencyLimited, *wait, request.request);
}

bool TryEnter(WaitingRoom& room, const PlaceSupply& supply, TimePoint now) {
  if (!room.queue.waiting.empty()) {
    return false;
  }
  UpdateCredit(room, supply, now);
  ExpireFreedPlaces(room, now);
  std::uint32_t free = supply.free - std::min(supply.free, room.on_their_way);
  const bool has_place = TakePlace(room, free).has_value();
  return has_place || !IsBusy(supply);
}

void RecordArrival(WaitingRoom& room) {
  --room.on_their_way;
}

double PlacesPerSlot(const WaitingRoom& room, Duration goal, double max) {
  // The shortest answers are those without a queue at the upstream.
  Duration work{0};
  for (const RunTimeEstimate& estimate : room.queue.run_time) {
    work = std::max(work, estimate.fastest);
  }
  if (work <= Duration{0} || goal <= Duration{0}) {
    return max;
  }
  return std::clamp(kUsedGoal * Seconds(goal) / Seconds(work), 1.0, max);
}

JoinDecision Join(WaitingRoom& room,
                  const WaitRequest& request,
                  const PlaceSupply& supply,
                  TimePoint now) {
  SetSlots(room.queue, CountedPlaces(supply));
  QueuedRequest queued;
  queued.request = request.request;
  // The routes of a workspace take turns too, so that large and small requests both keep a floor.
  queued.workspace = MixHash(request.workspace, request.route);
  queued.priority = ClassOfPriority(request.priority);
  const auto known = room.routes.find(request.route);
  const RouteTimes times = known == room.routes.end() ? RouteTimes{} : known->second;
  queued.cost = static_cast<float>(CostOf(room, times));
  JoinDecision decision;
  decision.expected_wait =
      ExpectedWait(room.queue, queued.workspace, queued.priority) + TimePerDispatch(room.queue);
  decision.latest_start = LatestStart(request, times, now);
  // The queue allows for the shortest answer time itself.
  queued.deadline = decision.latest_start +
                    room.queue.run_time.at(static_cast<std::size_t>(queued.priority)).fastest;
  if (!room.queue.stop_at && now + decision.expected_wait > decision.latest_start) {
    decision.refusal =
        MakeRefusal(RefusalCode::kDeadlineUnreachable, decision.expected_wait, request.request);
    return decision;
  }
  EnqueueDecision enqueued = Enqueue(room.queue, queued, now);
  decision.refusal = enqueued.refusal;
  decision.shed = enqueued.shed;
  return decision;
}

ReleaseDecision Release(WaitingRoom& room, const PlaceSupply& supply, TimePoint now) {
  SetSlots(room.queue, CountedPlaces(supply));
  UpdateCredit(room, supply, now);
  ReleaseDecision decision;
  decision.shed = ExpireQueued(room.queue, now);
  ExpireFreedPlaces(room, now);
  std::uint32_t free = supply.free - std::min(supply.free, room.on_their_way);
  while (!room.queue.waiting.empty()) {
    const std::optional<std::uint64_t> upstream = TakePlace(room, free);
    if (!upstream) {
      break;
    }
    const DispatchDecision next = NextToDispatch(room.queue, now);
    decision.shed.insert(decision.shed.end(), next.shed.begin(), next.shed.end());
    if (!next.request) {
      break;
    }
    decision.released.push_back({next.request->request, *upstream});
    ++room.on_their_way;
  }
  return decision;
}

std::vector<ShedRequest> Close(WaitingRoom& room, TimePoint now) {
  BeginDrain(room.queue, now);
  return ExpireQueued(room.queue, now);
}

}  // namespace geraniumspread::admission
