#ifndef ROUTER_INTERNAL_SLOT_LEASE_H_
#define ROUTER_INTERNAL_SLOT_LEASE_H_

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <string>

#include "common/hash.h"
#include "common/result.h"
#include "router/internal/caller_request.h"
#include "router/internal/router_context.h"

namespace geraniumspread::router::detail {

// The right to have one request in flight at an upstream. It is given back when
// the object goes.
class SlotLease {
 public:
  SlotLease(RouterContext& router_context, const QueueResult& grant, const CallerRequest& request);
  SlotLease(const SlotLease&) = delete;
  SlotLease& operator=(const SlotLease&) = delete;
  ~SlotLease();

  // The request got a whole answer.
  void MarkSucceeded() { this->end.succeeded = true; }
  // The connection to the upstream was lost after bytes of the request had left.
  void MarkConnectionLost() { this->end.connection_lost = true; }

 private:
  RouterContext& context;
  std::string upstream;
  TimePoint started_at;
  DispatchEnd end;
};

// Waits in the queue of an upstream that this router owns.
boost::asio::awaitable<ResultOf<std::unique_ptr<SlotLease>, admission::Refusal>> AcquireSlot(
    RouterContext& context,
    const CallerRequest& request,
    std::string upstream,
    bool may_wait,
    Cancellation& cancellation);

}  // namespace geraniumspread::router::detail

#endif  // ROUTER_INTERNAL_SLOT_LEASE_H_
