#include "router/internal/slot_lease.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace geraniumspread::router::detail {
namespace {

constexpr auto kAwaitTuple = boost::asio::as_tuple(boost::asio::use_awaitable);

// Registers a waiter for its lifetime.
class WaiterEntry {
 public:
  WaiterEntry(RouterContext& router_context, admission::RequestHandle request_handle)
      : waiter(router_context.executor), context(router_context), handle(request_handle) {
    this->context.waiters[this->handle] = &this->waiter;
  }
  WaiterEntry(const WaiterEntry&) = delete;
  WaiterEntry& operator=(const WaiterEntry&) = delete;
  ~WaiterEntry() { this->context.waiters.erase(this->handle); }

  SlotWaiter waiter;

 private:
  RouterContext& context;
  admission::RequestHandle handle;
};

admission::Refusal CancelledRefusal(admission::RequestHandle handle) {
  return admission::MakeRefusal(admission::RefusalCode::kShed, Duration{0}, handle);
}

}  // namespace

SlotLease::SlotLease(RouterContext& router_context,
                     const QueueResult& grant,
                     const CallerRequest& request)
    : context(router_context), upstream(grant.upstream), started_at(RuntimeClock::now()) {
  this->end.token = grant.token;
  this->end.cold_epoch = grant.cold_epoch;
  this->end.fingerprint = request.fingerprint;
  this->end.priority = request.priority;
  NoteDispatched(*this->context.state, this->upstream, request.fingerprint);
}

SlotLease::~SlotLease() {
  const TimePoint now = RuntimeClock::now();
  this->end.run_time = now - this->started_at;
  CarryOut(this->context, FinishDispatch(*this->context.state, this->upstream, this->end, now));
}

boost::asio::awaitable<ResultOf<std::unique_ptr<SlotLease>, admission::Refusal>> AcquireSlot(
    RouterContext& context,
    const CallerRequest& request,
    std::string upstream,
    bool may_wait,
    Cancellation& cancellation) {
  const admission::RequestHandle handle = ++context.state->last_handle;
  WaiterEntry entry(context, handle);
  DispatchRequest dispatch;
  dispatch.upstream = upstream;
  dispatch.may_wait = may_wait;
  dispatch.queued = {.request = handle,
                     .workspace = StableHash(request.workspace),
                     .priority = request.priority,
                     .deadline = request.deadline,
                     .weight = request.workspace_weight};
  cancellation.action = [&context, &entry, upstream, handle] {
    entry.waiter.cancelled = true;
    CancelDispatch(*context.state, upstream, handle);
    entry.waiter.timer.cancel();
  };
  CarryOut(context, EnqueueDispatch(*context.state, dispatch, RuntimeClock::now()));
  if (!entry.waiter.result) {
    entry.waiter.timer.expires_at(TimePoint::max());
    co_await entry.waiter.timer.async_wait(kAwaitTuple);
  }
  cancellation.action = nullptr;
  if (!entry.waiter.result) {
    co_return CancelledRefusal(handle);
  }
  const QueueResult result = *entry.waiter.result;
  if (!result.granted) {
    co_return result.refusal;
  }
  co_return std::make_unique<SlotLease>(context, result, request);
}

}  // namespace geraniumspread::router::detail
