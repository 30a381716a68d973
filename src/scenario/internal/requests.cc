#include <utility>

#include "common/hash.h"
#include "scenario/internal/fleet_internal.h"

// The way of a request through its entry router and the owner of an upstream,
// with the same steps as the daemon's request flow.
namespace geraniumspread::scenario {
namespace detail {
namespace {

constexpr std::int64_t kMaxPlacements = 8;
constexpr Duration kPlacementPause = std::chrono::milliseconds(100);
constexpr Duration kConnectTimeout = std::chrono::milliseconds(500);
// When an answer can't reach the entry router, its connection stays silent this long.
constexpr Duration kSilence = std::chrono::seconds(5);
constexpr Duration kDeadline = std::chrono::seconds(120);
constexpr Duration kRetryAfter = std::chrono::milliseconds(500);

void Place(Fleet& fleet, std::uint64_t number);

void PlaceLater(Fleet& fleet, std::uint64_t number) {
  PostToRouter(fleet, fleet.requests.at(number).entry, kPlacementPause,
               [&fleet, number](RouterNode&) { Place(fleet, number); });
}

outcomes::Exchange MakeExchange(std::initializer_list<outcomes::ExchangeEvent> events) {
  outcomes::Exchange exchange;
  for (const outcomes::ExchangeEvent event : events) {
    outcomes::Apply(exchange, event);
  }
  return exchange;
}

// Ends a request without an answer. `last` is its latest exchange.
void GiveUp(Fleet& fleet, Request& request, const outcomes::Exchange& last) {
  const bool not_run = request.attempts.ran == RunState::kNotRun;
  request.ended = true;
  ++(not_run ? fleet.counts.refused : fleet.counts.failed);
  if (request.call != 0) {
    router::RouterState& state = *fleet.routers[request.entry].state;
    const auto error = outcomes::FailRequest(request.attempts, last, state.tickets, kRetryAfter);
    FinishCall(fleet, request.call, outcomes::ToString(error.code));
  }
}

void PlaceAgain(Fleet& fleet, std::uint64_t number) {
  Request& request = fleet.requests.at(number);
  if (++request.placements < kMaxPlacements && fleet.now + kPlacementPause < request.deadline) {
    PlaceLater(fleet, number);
  } else {
    GiveUp(fleet, request, {});
  }
}

// When every upstream is at its limit, the request waits at the one that ranks first.
placement::UpstreamIndex ChooseQueue(const router::RouterState& state,
                                     const placement::PlacementRequest& where,
                                     TimePoint now) {
  using placement::Verdict;
  for (const auto& candidate : placement::ExplainChoice(state.placement, where, now)) {
    if (candidate.verdict == Verdict::kAtLimit || candidate.verdict == Verdict::kAtColdLimit ||
        candidate.verdict == Verdict::kAvailable || candidate.verdict == Verdict::kChosen) {
      return candidate.upstream;
    }
  }
  return placement::kNoUpstream;
}

std::optional<placement::PlacementChoice> Choose(const router::RouterState& state,
                                                 const placement::PlacementRequest& where,
                                                 TimePoint now) {
  const auto choice = placement::ChooseUpstream(state.placement, where, now);
  if (choice) {
    return choice.value();
  }
  if (choice.error().code != placement::PlacementErrorCode::kAllAtLimit) {
    return std::nullopt;
  }
  const placement::UpstreamIndex queue = ChooseQueue(state, where, now);
  if (queue == placement::kNoUpstream) {
    return std::nullopt;
  }
  return placement::PlacementChoice{
      .upstream = queue, .first_choice = queue, .home = state.own_domain};
}

// False: the ticket may not be dispatched any more.
bool MayDispatch(Fleet& fleet, Request& request) {
  using outcomes::ExchangeEvent;
  outcomes::Exchange exchange =
      MakeExchange({ExchangeEvent::kConnectStarted, ExchangeEvent::kConnected});
  if (outcomes::BeginDispatch(request.attempts, exchange,
                              fleet.routers[request.entry].state->tickets, fleet.now)) {
    return true;
  }
  GiveUp(fleet, request, exchange);
  return false;
}

void Enqueue(Fleet& fleet, std::uint64_t handle) {
  const auto found = fleet.attempts.find(handle);
  if (found == fleet.attempts.end()) {
    return;
  }
  Attempt& attempt = found->second;
  const Request& request = fleet.requests.at(attempt.request);
  router::RouterState& state = *fleet.routers[attempt.owner].state;
  const auto row = state.upstreams.find(attempt.upstream);
  if (attempt.owner != request.entry && row != state.upstreams.end()) {
    attempt.forwarded = row->second.index;
    placement::RecordForwarded(state.placement, attempt.forwarded);
  }
  const router::DispatchRequest dispatch{.upstream = attempt.upstream,
                                         .queued = {.request = handle,
                                                    .workspace = StableHash(request.workspace),
                                                    .priority = request.priority,
                                                    .deadline = request.deadline}};
  CarryOut(fleet, attempt.owner, router::EnqueueDispatch(state, dispatch, fleet.now));
}

void HandleResult(Fleet& fleet, std::uint64_t number, std::uint64_t handle, AttemptResult result) {
  Request& request = fleet.requests.at(number);
  if (request.ended || request.attempt != handle) {
    return;
  }
  request.attempt = 0;
  router::RouterState& state = *fleet.routers[request.entry].state;
  placement::RecordCompletion(state.placement, request.upstream);
  if (result == AttemptResult::kAnswered) {
    request.ended = true;
    ++fleet.counts.answered;
    if (request.call != 0) {
      outcomes::StoreAnswer(request.attempts, state.tickets, {200, "text/plain", "done"});
      FinishCall(fleet, request.call, "answered");
    }
    return;
  }
  placement::RecordRefusal(state.placement, request.upstream, fleet.now);
  if (result == AttemptResult::kNotRun) {
    PlaceAgain(fleet, number);
    return;
  }
  using outcomes::ExchangeEvent;
  const auto lost = MakeExchange({ExchangeEvent::kConnectStarted, ExchangeEvent::kConnected,
                                  ExchangeEvent::kWriteStarted, ExchangeEvent::kRequestSent,
                                  ExchangeEvent::kClosed});
  if (outcomes::EndAttempt(request.attempts, lost, 0) == outcomes::NextStep::kFail) {
    GiveUp(fleet, request, lost);
  } else {
    PlaceAgain(fleet, number);
  }
}

void TellEntry(Fleet& fleet, const Attempt& attempt, std::uint64_t handle, AttemptResult result) {
  const std::uint64_t number = attempt.request;
  const Request& request = fleet.requests.at(number);
  const RouterNode& entry = fleet.routers[request.entry];
  if (!entry.state || entry.identity.incarnation != request.entry_incarnation) {
    return;
  }
  if (attempt.owner == request.entry) {
    HandleResult(fleet, number, handle, result);
    return;
  }
  const LinkFault link = LinkOf(fleet, entry, fleet.routers[attempt.owner].identity.id);
  const Duration delay = link.cut ? kSilence : kHop + link.delay;
  const AttemptResult seen = link.cut ? AttemptResult::kLost : result;
  PostToRouter(fleet, request.entry, delay, [&fleet, number, handle, seen](RouterNode&) {
    HandleResult(fleet, number, handle, seen);
  });
}

void Forward(Fleet& fleet, std::uint64_t handle) {
  const Attempt& attempt = fleet.attempts.at(handle);
  const Request& request = fleet.requests.at(attempt.request);
  const RouterNode& owner = fleet.routers[attempt.owner];
  if (attempt.owner == request.entry) {
    Enqueue(fleet, handle);
    return;
  }
  const LinkFault link = LinkOf(fleet, fleet.routers[request.entry], owner.identity.id);
  if (link.cut || !owner.state) {
    ++fleet.refusals["owner_unreachable"];
    const std::uint64_t number = attempt.request;
    fleet.attempts.erase(handle);
    PostToRouter(fleet, request.entry, link.cut ? kConnectTimeout : kHop,
                 [&fleet, number, handle](RouterNode&) {
                   HandleResult(fleet, number, handle, AttemptResult::kNotRun);
                 });
    return;
  }
  PostToRouter(fleet, attempt.owner, kHop + link.delay,
               [&fleet, handle](RouterNode&) { Enqueue(fleet, handle); });
}

void Place(Fleet& fleet, std::uint64_t number) {
  Request& request = fleet.requests.at(number);
  router::RouterState& state = *fleet.routers[request.entry].state;
  const placement::PlacementRequest where{
      .pool = placement::FindPool(state.placement, request.pool),
      .chat = placement::MakeChatKey(request.workspace, request.chat),
      .entry_domain = state.own_domain,
      .priority = request.priority};
  const auto choice =
      router::IsServing(state, fleet.now) ? Choose(state, where, fleet.now) : std::nullopt;
  if (!choice) {
    ++fleet.refusals["no_upstream"];
    PlaceAgain(fleet, number);
    return;
  }
  const std::string upstream(placement::UpstreamName(state.placement, choice->upstream));
  const fleet::RouterMember* owner = router::FindOwner(state, upstream, fleet.now);
  if (owner == nullptr) {
    ++fleet.refusals["no_owner"];
    placement::RecordRefusal(state.placement, choice->upstream, fleet.now);
    PlaceAgain(fleet, number);
    return;
  }
  if (!MayDispatch(fleet, request)) {
    return;
  }
  placement::RecordPlacement(state.placement, where, *choice, fleet.now);
  request.upstream = choice->upstream;
  request.attempt = ++fleet.last_attempt;
  Attempt& attempt = fleet.attempts[request.attempt];
  attempt.request = number;
  attempt.owner = FindRouter(fleet, owner->id);
  attempt.owner_incarnation = fleet.routers[attempt.owner].identity.incarnation;
  attempt.upstream = upstream;
  attempt.end.fingerprint = outcomes::FingerprintOf(request.workspace, request.pool, request.chat);
  attempt.end.priority = request.priority;
  Forward(fleet, request.attempt);
}

// The load balancer knows which routers are alive, but not which are paused.
std::size_t PickEntry(const Fleet& fleet, const std::string& router, std::uint64_t turn) {
  if (!router.empty()) {
    return FindRouter(fleet, router);
  }
  std::size_t pick = turn % fleet.routers.size();
  for (std::size_t tries = 0; !fleet.routers[pick].state && tries < fleet.routers.size(); ++tries) {
    pick = (pick + 1) % fleet.routers.size();
  }
  return pick;
}

}  // namespace

std::uint64_t StartRequest(Fleet& fleet, Request request, Duration delay) {
  const std::uint64_t number = ++fleet.last_request;
  request.deadline = fleet.now + kDeadline;
  request.entry_incarnation = fleet.routers[request.entry].identity.incarnation;
  const std::size_t entry = request.entry;
  fleet.requests.emplace(number, std::move(request));
  PostToRouter(fleet, entry, delay, [&fleet, number](RouterNode&) { Place(fleet, number); });
  return number;
}

void HandleQueueResult(Fleet& fleet, std::size_t owner, const router::QueueResult& result) {
  const auto found = fleet.attempts.find(result.request);
  if (found == fleet.attempts.end()) {
    return;
  }
  if (!result.granted) {
    ++fleet.refusals[std::string(admission::ToString(result.refusal.code))];
    EndAttempt(fleet, result.request, AttemptResult::kNotRun, false);
    return;
  }
  Attempt& attempt = found->second;
  attempt.granted = true;
  attempt.started = fleet.now;
  attempt.end.token = result.token;
  attempt.end.cold_epoch = result.cold_epoch;
  router::NoteDispatched(*fleet.routers[owner].state, attempt.upstream, attempt.end.fingerprint);
  Dispatch(fleet, result.request);
}

void EndAttempt(Fleet& fleet, std::uint64_t attempt, AttemptResult result, bool connection_lost) {
  auto entry = fleet.attempts.extract(attempt);
  if (entry.empty()) {
    return;
  }
  Attempt& ended = entry.mapped();
  const RouterNode& node = fleet.routers[ended.owner];
  if (!node.state || node.identity.incarnation != ended.owner_incarnation) {
    return;
  }
  if (ended.forwarded != placement::kNoUpstream) {
    placement::RecordCompletion(node.state->placement, ended.forwarded);
  }
  if (ended.granted) {
    ended.end.succeeded = result == AttemptResult::kAnswered;
    ended.end.connection_lost = connection_lost;
    ended.end.run_time = fleet.now - ended.started;
    CarryOut(fleet, ended.owner,
             router::FinishDispatch(*node.state, ended.upstream, ended.end, fleet.now));
  }
  TellEntry(fleet, ended, attempt, result);
}

void LoseRequests(Fleet& fleet, std::size_t entry) {
  for (auto& [number, request] : fleet.requests) {
    if (request.entry == entry && !request.ended) {
      request.ended = true;
      ++fleet.counts.failed;
    }
  }
}

void LoseAttempt(Fleet& fleet, std::uint64_t attempt) {
  const Attempt& lost = fleet.attempts.at(attempt);
  const Request& request = fleet.requests.at(lost.request);
  if (request.entry == lost.owner) {
    return;
  }
  PostToRouter(fleet, request.entry, kHop, [&fleet, number = lost.request, attempt](RouterNode&) {
    HandleResult(fleet, number, attempt, AttemptResult::kLost);
  });
}

}  // namespace detail

void Send(Fleet& fleet, const LoadOptions& load) {
  if (load.count < 1 || load.chats < 1) {
    throw ScenarioError("send needs a count and chats of at least 1");
  }
  const Duration gap = load.over / load.count;
  for (std::int64_t index = 0; index < load.count; ++index) {
    Request request;
    request.pool = detail::kEnginePool;
    request.workspace = load.workspace;
    request.chat = "chat-" + std::to_string(index % load.chats);
    request.priority = load.priority;
    request.run_time = load.run_time > Duration{0} ? load.run_time : fleet.options.run_time;
    ++fleet.counts.sent;
    detail::PostEvent(fleet, gap * index, [&fleet, request, router = load.router]() mutable {
      request.entry = detail::PickEntry(fleet, router, fleet.last_request);
      detail::StartRequest(fleet, std::move(request), detail::kHop);
    });
  }
}

}  // namespace geraniumspread::scenario
