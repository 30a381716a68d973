#ifndef ROUTER_INTERNAL_ROUTER_CONTEXT_H_
#define ROUTER_INTERNAL_ROUTER_CONTEXT_H_

#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>

#include "common/runtime_clock.h"
#include "common/runtime_timer.h"
#include "fleet/peer_codec.h"
#include "observability/metrics.h"
#include "observability/trace.h"
#include "router/internal/peer_auth.h"
#include "router/router_state.h"
#include "settings/settings_types.h"
#include "transport/frame_channel.h"
#include "transport/http_client.h"

namespace geraniumspread::router::detail {

using Timer = RuntimeTimer;

// A request that waits in the queue of an upstream.
struct SlotWaiter {
  explicit SlotWaiter(const boost::asio::any_io_executor& executor) : timer(executor) {}

  Timer timer;
  std::optional<QueueResult> result;
  bool cancelled = false;
};

// What the coroutines of one router share. It outlives them.
struct RouterContext {
  RouterContext(const boost::asio::any_io_executor& io_executor,
                settings::RouterSettings router_settings,
                std::unique_ptr<RouterState> router_state)
      : executor(io_executor),
        settings(std::move(router_settings)),
        state(std::move(router_state)),
        connections(io_executor),
        frames(io_executor),
        codec(settings.shared_key, state->identity.id, state->identity.incarnation) {}

  boost::asio::any_io_executor executor;
  settings::RouterSettings settings;
  std::unique_ptr<RouterState> state;
  transport::HttpConnectionPool connections;
  transport::FrameSender frames;
  fleet::PeerCodec codec;
  observability::Metrics metrics;
  observability::SpanExporter spans;
  NonceTable nonces;
  std::unordered_map<admission::RequestHandle, SlotWaiter*> waiters;
  // Requests that wait for a peer's part of a share, by the number of the share request.
  std::unordered_map<std::uint64_t, Timer*> loan_waiters;
};

// Carries out what a step of the state asks for.
void CarryOut(RouterContext& context, const TickOutput& output);

// Lets a caller that leaves stop whatever its request waits for.
struct Cancellation {
  std::function<void()> action;
  bool cancelled = false;

  void Cancel() {
    this->cancelled = true;
    if (auto current = std::exchange(this->action, nullptr); current) {
      current();
    }
  }
};

}  // namespace geraniumspread::router::detail

#endif  // ROUTER_INTERNAL_ROUTER_CONTEXT_H_
