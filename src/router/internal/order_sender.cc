#include "router/internal/order_sender.h"

#include <algorithm>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "observability/log.h"
#include "router/internal/engine_orders.h"

namespace geraniumspread::router::detail {
namespace {

using engines::CommandResult;
using observability::LogLevel;

constexpr std::size_t kMaxOrderAnswerBytes = 4096;

transport::HttpRequest ToHttp(const engines::EngineCommand& command) {
  const boost::json::object body = {{"fence", command.fence.token},
                                    {"model", command.state.model},
                                    {"adapter", command.state.adapter},
                                    {"version", command.state.version},
                                    {"role", command.state.role}};
  transport::HttpRequest request("POST", "/orders", {}, boost::json::serialize(body));
  transport::SetHeader(request.headers, "Content-Type", "application/json");
  return request;
}

// Connecting and writing end by `send_before`, so that no byte leaves after the
// lease has expired even when a connection has to be opened first. A hand-over
// that starts meanwhile is not seen; fencing or the read-back covers that.
transport::ExchangeTimeouts TimeoutsOf(const RouterContext& context,
                                       const engines::EngineCommand& command,
                                       TimePoint now) {
  const Duration half = (command.send_before - now) / 2;
  transport::ExchangeTimeouts timeouts;
  timeouts.connect = std::min(context.settings.upstreams.connect_timeout, half);
  timeouts.write = std::min(timeouts.write, half);
  const Duration answer = context.state->engine_orders.table.settings.response_timeout;
  timeouts.first_byte = answer;
  timeouts.between_bytes = answer;
  return timeouts;
}

CommandResult ToAnswer(const transport::Result<transport::HttpResponse>& response) {
  if (!response) {
    return CommandResult::kNoResponse;
  }
  switch (response.value().status) {
    case 200:
      return CommandResult::kAccepted;
    case 409:
      return CommandResult::kFenceRejected;
    default:
      return CommandResult::kNoResponse;
  }
}

std::string_view ResultName(CommandResult answer) {
  switch (answer) {
    case CommandResult::kAccepted:
      return "accepted";
    case CommandResult::kFenceRejected:
      return "old_fence";
    case CommandResult::kNoResponse:
      break;
  }
  return "lost";
}

void RecordAnswer(RouterContext& context,
                  const engines::EngineCommand& command,
                  CommandResult answer,
                  std::string_view result) {
  engines::HandleCommandResult(context.state->engine_orders.table, command, answer,
                               RuntimeClock::now());
  context.metrics.Count("geranium_orders_total", {{"result", std::string(result)}});
  observability::LogEvent(answer == CommandResult::kAccepted ? LogLevel::kInfo : LogLevel::kWarn,
                          "engine_ordered",
                          {{"engine", command.engine},
                           {"fence", command.fence.token},
                           {"config_version", command.config_version},
                           {"model", command.state.model},
                           {"adapter", command.state.adapter},
                           {"model_version", command.state.version},
                           {"role", command.state.role},
                           {"result", result}});
}

}  // namespace

boost::asio::awaitable<void> SendOrder(RouterContext& context, engines::EngineCommand command) {
  const TimePoint now = RuntimeClock::now();
  if (!MayWriteOrder(*context.state, command, now)) {
    RecordAnswer(context, command, CommandResult::kNoResponse, "withheld");
    co_return;
  }
  const transport::Endpoint endpoint = context.state->upstreams.at(command.engine).endpoint;
  const auto response =
      co_await transport::Fetch(context.connections, endpoint, ToHttp(command),
                                TimeoutsOf(context, command, now), kMaxOrderAnswerBytes);
  const CommandResult answer = ToAnswer(response);
  RecordAnswer(context, command, answer, ResultName(answer));
}

}  // namespace geraniumspread::router::detail
