#include "router/router.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>

#include "common/hash.h"
#include "observability/log.h"
#include "router/internal/entry_flow.h"
#include "router/internal/owner_flow.h"
#include "router/internal/placement_hints.h"
#include "router/internal/platform_link.h"
#include "router/internal/router_context.h"
#include "router/internal/status_page.h"
#include "router/internal/ticket_handover.h"
#include "transport/frame_channel.h"
#include "transport/http_server.h"

namespace geraniumspread::router {
namespace detail {
namespace {

using observability::LogEvent;
using observability::LogLevel;

constexpr auto kAwaitTuple = boost::asio::as_tuple(boost::asio::use_awaitable);
constexpr Duration kTickPeriod = std::chrono::milliseconds(25);
// The balancer reads /readyz in this time and sends nothing more.
constexpr Duration kReadinessGrace = std::chrono::seconds(2);

transport::ServerLimits ToServerLimits(const settings::LimitSettings& limits) {
  transport::ServerLimits server;
  server.max_header_bytes = limits.max_header_bytes;
  server.max_body_bytes = limits.max_body_bytes;
  server.max_connections = limits.max_connections;
  server.read_timeout = limits.read_timeout;
  server.idle_timeout = limits.idle_timeout;
  return server;
}

// A ticket handover can be larger than any caller's request.
transport::ServerLimits ToPeerLimits(const settings::LimitSettings& limits) {
  static constexpr std::uint64_t kMaxHandoverBytes = std::uint64_t{32} << 20U;
  transport::ServerLimits server = ToServerLimits(limits);
  server.max_body_bytes = std::max(server.max_body_bytes, kMaxHandoverBytes);
  return server;
}

// Grows with each start of an instance, also when its clock has been set back a little.
std::uint64_t MakeIncarnation() {
  using std::chrono::milliseconds;
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(now).count());
}

RouterIdentity MakeIdentity(const settings::RouterSettings& settings) {
  RouterIdentity identity;
  identity.id = settings.instance.id;
  identity.failure_domain = settings.instance.failure_domain;
  identity.incarnation = MakeIncarnation();
  identity.shared_key = settings.shared_key;
  identity.endpoint = {.address = settings.listen.address,
                       .port = settings.listen.public_port,
                       .peer_port = settings.listen.peer_port,
                       .control_port = settings.listen.control_port};
  return identity;
}

std::unique_ptr<RouterState> MakeState(const settings::RouterSettings& settings) {
  const RouterIdentity identity = MakeIdentity(settings);
  RouterStateOptions options;
  options.load_report_period = settings.upstreams.load_report_period;
  options.max_concurrent_requests = settings.limits.max_concurrent_requests;
  options.seed = StableHash(identity.id, identity.incarnation);
  return MakeRouterState(identity, options, RuntimeClock::now());
}

// A frame of unreadable length ends its connection.
std::optional<std::size_t> FrameLengthOf(std::string_view buffered) {
  const auto length = fleet::FrameLength(buffered);
  if (!length) {
    return std::nullopt;
  }
  return length.value().value_or(0);
}

}  // namespace

struct RouterProcess {
  RouterProcess(boost::asio::io_context& event_loop, const settings::RouterSettings& settings)
      : io(event_loop),
        context(event_loop.get_executor(), settings, MakeState(settings)),
        public_server(event_loop.get_executor(),
                      ToServerLimits(settings.limits),
                      [this](transport::HttpRequest request, transport::HttpResponder& responder) {
                        return this->ServePublic(std::move(request), responder);
                      }),
        peer_server(event_loop.get_executor(),
                    ToPeerLimits(settings.limits),
                    [this](transport::HttpRequest request, transport::HttpResponder& responder) {
                      return this->ServeInternal(std::move(request), responder);
                    }),
        control_server(event_loop.get_executor(), FrameLengthOf, [this](std::string_view frame) {
          this->ReceiveFrame(frame);
        }) {}

  boost::asio::awaitable<void> ServePublic(transport::HttpRequest request,
                                           transport::HttpResponder& responder) {
    if (auto status = ServeStatus(this->context, request.target); status) {
      co_await responder.Send(std::move(*status));
      co_return;
    }
    co_await ServeCaller(this->context, std::move(request), responder);
  }

  boost::asio::awaitable<void> ServeInternal(transport::HttpRequest request,
                                             transport::HttpResponder& responder) {
    if (request.target == "/internal/handover") {
      co_await ServeHandover(this->context, request, responder);
    } else if (request.target == "/internal/placement") {
      co_await ServePlacementHint(this->context, request, responder);
    } else if (request.target == "/internal/successor") {
      co_await ServeSuccessor(this->context, request, responder);
    } else {
      co_await ServePeer(this->context, std::move(request), responder);
    }
  }

  void ReceiveFrame(std::string_view frame) {
    const auto received = this->context.codec.DecodeFrame(frame);
    if (!received) {
      this->context.metrics.Count("geranium_control_frames_refused_total",
                                  {{"cause", fleet::ToString(received.error().code)}});
      return;
    }
    fleet::RecordReceivedFrame(this->context.state->gossip.meter, received.value().message,
                               frame.size());
    CarryOut(this->context,
             HandleMessage(*this->context.state, received.value(), RuntimeClock::now()));
  }

  boost::asio::awaitable<void> RunTicks() {
    Timer timer(this->io.get_executor());
    while (true) {
      CarryOut(this->context, TickRouter(*this->context.state, RuntimeClock::now(),
                                         std::chrono::system_clock::now()));
      timer.expires_after(kTickPeriod);
      co_await timer.async_wait(kAwaitTuple);
    }
  }

  boost::asio::awaitable<void> Stop(std::function<void()> stopped) {
    const auto& configuration = this->context.state->configuration;
    const Duration deadline = configuration ? Duration(configuration->settings.stop_deadline)
                                            : Duration(config::FleetSettings().stop_deadline);
    const TimePoint stop_at = RuntimeClock::now() + deadline;
    Timer timer(this->io.get_executor());
    BeginDrain(*this->context.state, RuntimeClock::now());
    timer.expires_after(kReadinessGrace);
    co_await timer.async_wait(kAwaitTuple);
    this->public_server.BeginDrain();
    while (this->public_server.ActiveRequests() + this->peer_server.ActiveRequests() > 0 &&
           RuntimeClock::now() < stop_at) {
      timer.expires_after(kTickPeriod);
      co_await timer.async_wait(kAwaitTuple);
    }
    const std::size_t cut_requests =
        this->public_server.ActiveRequests() + this->peer_server.ActiveRequests();
    co_await HandOverTickets(this->context);
    LogEvent(LogLevel::kInfo, "router_stopped", {{"cut_requests", cut_requests}});
    stopped();
  }

  boost::asio::io_context& io;
  RouterContext context;
  transport::HttpServer public_server;
  transport::HttpServer peer_server;
  transport::FrameServer control_server;
  bool stopping = false;
};

}  // namespace detail

Router::Router(boost::asio::io_context& io, const settings::RouterSettings& settings)
    : process(std::make_unique<detail::RouterProcess>(io, settings)) {}

Router::~Router() = default;

ResultOf<void, RouterError> Router::Start() {
  const settings::RouterSettings& settings = this->process->context.settings;
  const std::string& address = settings.listen.address;
  const auto public_port =
      this->process->public_server.Listen({address, settings.listen.public_port});
  const auto peer_port = this->process->peer_server.Listen({address, settings.listen.peer_port});
  const auto control_port =
      this->process->control_server.Listen({address, settings.listen.control_port});
  for (const auto* port : {&public_port, &peer_port, &control_port}) {
    if (!*port) {
      return RouterError{port->error().message};
    }
  }
  if (!settings.trace.file.empty() &&
      !this->process->context.spans.Open(settings.trace.file, settings.instance.id)) {
    return RouterError{"can't open the trace file " + settings.trace.file};
  }
  boost::asio::co_spawn(this->process->io, this->process->RunTicks(), boost::asio::detached);
  boost::asio::co_spawn(this->process->io, detail::PollInstanceList(this->process->context),
                        boost::asio::detached);
  observability::LogEvent(observability::LogLevel::kInfo, "router_started",
                          {{"failure_domain", settings.instance.failure_domain},
                           {"public_port", public_port.value()},
                           {"peer_port", peer_port.value()},
                           {"control_port", control_port.value()}});
  return boost::outcome_v2::success();
}

void Router::BeginStop(std::function<void()> stopped) {
  if (std::exchange(this->process->stopping, true)) {
    return;
  }
  observability::LogEvent(observability::LogLevel::kInfo, "router_stopping");
  boost::asio::co_spawn(this->process->io, this->process->Stop(std::move(stopped)),
                        boost::asio::detached);
}

}  // namespace geraniumspread::router
