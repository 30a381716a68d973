#include "router/internal/router_context.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "observability/log.h"
#include "router/internal/order_sender.h"
#include "router/internal/platform_link.h"

namespace geraniumspread::router::detail {
namespace {

void SendMessage(RouterContext& context, const fleet::OutgoingMessage& outgoing) {
  const fleet::RouterMember* router = fleet::FindRouter(context.state->membership, outgoing.to);
  if (router == nullptr || router->endpoint.control_port == 0) {
    return;
  }
  auto frame = context.codec.EncodeFrame(outgoing.message);
  if (!frame) {
    observability::LogEvent(observability::LogLevel::kError, "control_message_too_large",
                            {{"to", outgoing.to}});
    return;
  }
  const std::size_t bytes = frame.value().size();
  fleet::RecordSentFrame(context.state->gossip.meter, outgoing.message, bytes);
  context.metrics.Count("geranium_control_bytes_total",
                        {{"type", fleet::MethodName(outgoing.message.index())}},
                        static_cast<double>(bytes));
  context.frames.Send({router->endpoint.address, router->endpoint.control_port},
                      std::move(frame).value());
}

void ResolveWaiter(RouterContext& context, const QueueResult& result) {
  const auto found = context.waiters.find(result.request);
  if (found != context.waiters.end() && !found->second->cancelled) {
    found->second->result = result;
    found->second->timer.cancel();
    return;
  }
  if (result.granted) {
    // The request left the queue in the same step in which its caller left.
    CarryOut(context, FinishDispatch(*context.state, result.upstream, {.token = result.token},
                                     RuntimeClock::now()));
  }
}

}  // namespace

void CarryOut(RouterContext& context, const TickOutput& output) {
  for (const fleet::OutgoingMessage& message : output.messages) {
    SendMessage(context, message);
  }
  for (const fleet::ServiceCall& call : output.service_calls) {
    boost::asio::co_spawn(context.executor, CallConfigService(context, call),
                          boost::asio::detached);
  }
  for (const ReportRequest& report : output.reports) {
    boost::asio::co_spawn(context.executor, FetchLoadReport(context, report),
                          boost::asio::detached);
  }
  for (const engines::EngineCommand& order : output.orders) {
    boost::asio::co_spawn(context.executor, SendOrder(context, order), boost::asio::detached);
  }
  for (const QueueResult& result : output.queue_results) {
    ResolveWaiter(context, result);
  }
  for (const std::uint64_t number : output.loan_answers) {
    if (const auto found = context.loan_waiters.find(number); found != context.loan_waiters.end()) {
      found->second->cancel();
    }
  }
  if (output.config_changed) {
    observability::LogEvent(observability::LogLevel::kInfo, "config_in_force",
                            {{"version", context.state->store.in_force.version},
                             {"digest", context.state->store.in_force.digest}});
  }
}

}  // namespace geraniumspread::router::detail
