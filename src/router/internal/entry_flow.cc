#include "router/internal/entry_flow.h"

#include <chrono>
#include <utility>

#include "common/hash.h"
#include "common/secure_bytes.h"
#include "observability/log.h"
#include "router/internal/error_answers.h"
#include "router/internal/request_run.h"
#include "router/internal/share_loans.h"
#include "router/internal/workspace_admission.h"

namespace geraniumspread::router::detail {
namespace {

using transport::ErrorDescription;
using transport::HttpResponder;
using transport::HttpResponse;

constexpr std::size_t kTicketRandomBytes = outcomes::kTicketRandomLength / 2;
constexpr Duration kStartingRetryAfter = std::chrono::seconds(1);

// Counts a request of a workspace for its lifetime.
class AdmittedRequest {
 public:
  AdmittedRequest(RouterContext& router_context, admission::WorkspaceKey workspace_key)
      : context(router_context), workspace(workspace_key), admitted_at(RuntimeClock::now()) {}
  AdmittedRequest(const AdmittedRequest&) = delete;
  AdmittedRequest& operator=(const AdmittedRequest&) = delete;
  ~AdmittedRequest() {
    const TimePoint now = RuntimeClock::now();
    RouterState& state = *this->context.state;
    admission::Release(state.limits, this->workspace, now - this->admitted_at);
    TickOutput output;
    ReturnSpareSlots(state, this->workspace, output, now);
    CarryOut(this->context, output);
  }

 private:
  RouterContext& context;
  admission::WorkspaceKey workspace;
  TimePoint admitted_at;
};

// A call that carries a ticket may have run before, so a refusal that looks at
// nothing but the request can't say that it has not.
bool HasTicket(const transport::HttpRequest& request) {
  return !transport::FindHeader(request.headers, "Idempotency-Key").empty();
}

std::optional<HttpResponse> CheckQuarantine(const RouterContext& context,
                                            const CallerRequest& request) {
  const auto error = outcomes::CheckQuarantine(context.state->quarantine, request.fingerprint,
                                               RuntimeClock::now());
  return error ? std::optional(ToResponse(*error, request.request_id)) : std::nullopt;
}

// Answers 428 with a fresh ticket, so that a caller without one needs no other call.
HttpResponse AskForTicket(RouterContext& context, const CallerRequest& request) {
  HttpResponse response = ToResponse(
      outcomes::MakeOutcomeError(outcomes::OutcomeCode::kTicketRequired), request.request_id);
  const auto ticket = outcomes::IssueTicket(context.state->tickets, RandomHex(kTicketRandomBytes),
                                            RuntimeClock::now());
  if (ticket) {
    transport::SetHeader(response.headers, "X-Ticket", ticket.value());
  }
  return response;
}

HttpResponse GiveTicket(RouterContext& context, std::string_view request_id) {
  const auto ticket = outcomes::IssueTicket(context.state->tickets, RandomHex(kTicketRandomBytes),
                                            RuntimeClock::now());
  if (!ticket) {
    return ToResponse(ticket.error(), request_id);
  }
  HttpResponse response;
  transport::SetHeader(response.headers, "Content-Type", "application/json");
  transport::SetHeader(response.headers, "X-Request-Id", request_id);
  response.body = "{\"ticket\":\"" + ticket.value() + "\",\"expires_in_ms\":" +
                  std::to_string(context.state->tickets.policy.lifetime.count()) + "}";
  return response;
}

outcomes::RouterMembership FindIncarnation(const RouterContext& context,
                                           const outcomes::RouterIncarnation& wanted) {
  const fleet::RouterMember* router = fleet::FindRouter(context.state->membership, wanted.router);
  if (router == nullptr) {
    // A router that this one has never heard of may be new; it counts as gone
    // only once this router has a list to tell from.
    return {.known = false, .left = context.state->membership.list_revision > 0};
  }
  return {.known = true, .left = !router->member, .incarnation = router->incarnation};
}

// Sends the whole call to the router that its ticket names.
boost::asio::awaitable<void> ForwardTicketedCall(RouterContext& context,
                                                 const CallerRequest& request,
                                                 const fleet::RouterMember& receiver,
                                                 HttpResponder& responder) {
  Attempt attempt;
  Cancellation cancellation;
  AttemptPlan plan;
  plan.policy = transport::ConnectionPolicy::kFresh;
  co_await OpenAtOwner(context, request, plan, receiver, cancellation, attempt);
  if (!outcomes::Ended(attempt.exchange)) {
    co_await ReadAnswer(context, attempt);
  }
  if (attempt.exchange.phase == outcomes::ExchangePhase::kComplete) {
    co_await responder.Send(std::move(attempt.head));
    co_return;
  }
  // An earlier call with this ticket may have run, so even a failed connect
  // does not tell that the call has not.
  const auto code = attempt.exchange.ran == RunState::kNotRun
                        ? outcomes::OutcomeCode::kTicketRouterUnreachable
                        : outcomes::OutcomeCode::kOutcomeUnknown;
  co_await responder.Send(ToResponse(
      outcomes::MakeOutcomeError(code, context.state->tickets.policy.in_progress_retry_after),
      request.request_id));
}

boost::asio::awaitable<void> ServeNonRepeatable(RouterContext& context,
                                                CallerRequest request,
                                                HttpResponder& responder) {
  if (request.ticket.empty()) {
    co_await responder.Send(AskForTicket(context, request));
    co_return;
  }
  const auto ticket = outcomes::ParseTicket(request.ticket, context.state->identity.shared_key);
  if (!ticket) {
    co_await responder.Send(ToResponse(ticket.error(), request.request_id));
    co_return;
  }
  const auto responsible =
      outcomes::ResponsibleFor(context.state->successors, ticket.value().issuer);
  const auto route = outcomes::RouteTicket(context.state->tickets, responsible,
                                           FindIncarnation(context, responsible));
  const fleet::RouterMember* router =
      fleet::FindRouter(context.state->membership, responsible.router);
  if (route == outcomes::TicketRoute::kLocal) {
    co_await ServeTicketedCall(context, std::move(request), responder);
  } else if (route == outcomes::TicketRoute::kForward && router != nullptr) {
    const fleet::RouterMember receiver = *router;
    co_await ForwardTicketedCall(context, request, receiver, responder);
  } else {
    const auto code = route == outcomes::TicketRoute::kGone
                          ? outcomes::OutcomeCode::kOutcomeUnknown
                          : outcomes::OutcomeCode::kTicketRouterUnreachable;
    co_await responder.Send(
        ToResponse(outcomes::MakeOutcomeError(code, kStartingRetryAfter), request.request_id));
  }
}

// Chats, streams and lookups.
boost::asio::awaitable<void> ServeRepeatable(RouterContext& context,
                                             CallerRequest request,
                                             HttpResponder& responder) {
  if (auto refusal = CheckQuarantine(context, request); refusal) {
    co_await responder.Send(std::move(*refusal));
    co_return;
  }
  if (const auto refusal = co_await AdmitRequest(context, request); refusal) {
    co_await responder.Send(ToResponse(*refusal, request.request_id));
    co_return;
  }
  const AdmittedRequest admitted(context, StableHash(request.workspace));
  RequestRun run;
  const bool is_stream = request.request_class == outcomes::RequestClass::kStream;
  run.attempts.request_class = request.request_class;
  run.progress = outcomes::MakeStreamProgress({}, request.last_event_id);
  run.stream = is_stream ? &responder : nullptr;
  run.request = std::move(request);
  responder.OnDisconnect([&run] { run.cancellation.Cancel(); });
  co_await RunAttempts(context, run);
  responder.OnDisconnect(nullptr);
  if (run.answer && !responder.HasStarted()) {
    co_await responder.Send(std::move(*run.answer));
  } else if (!run.answer && is_stream) {
    co_await responder.Finish();
  } else if (run.answer) {
    // The stream has begun, so the error goes out as an event and the body is
    // left unfinished: the caller sees that it is not whole and can resume.
    const std::string event = "event: error\ndata: " + run.answer->body + "\n\n";
    co_await responder.Write(event);
  }
}

}  // namespace

boost::asio::awaitable<void> ServeTicketedCall(RouterContext& context,
                                               CallerRequest request,
                                               HttpResponder& responder) {
  outcomes::TicketTable& tickets = context.state->tickets;
  const auto ticket = outcomes::ParseTicket(request.ticket, tickets.shared_key);
  if (!ticket) {
    co_await responder.Send(ToResponse(ticket.error(), request.request_id));
    co_return;
  }
  const std::string digest =
      outcomes::CallDigest(request.workspace, request.pool + request.target, request.body);
  const auto decision = outcomes::BeginTicket(tickets, ticket.value(), digest, RuntimeClock::now());
  if (!decision) {
    co_await responder.Send(ToResponse(decision.error(), request.request_id));
    co_return;
  }
  if (decision.value().action == outcomes::TicketAction::kReplay) {
    HttpResponse replay(decision.value().response->status);
    transport::SetHeader(replay.headers, "Content-Type", decision.value().response->content_type);
    transport::SetHeader(replay.headers, "X-Request-Id", request.request_id);
    transport::SetHeader(replay.headers, "X-Replayed", "true");
    replay.body = decision.value().response->body;
    co_await responder.Send(std::move(replay));
    co_return;
  }
  std::optional<HttpResponse> refusal = CheckQuarantine(context, request);
  if (!refusal) {
    if (const auto limited = co_await AdmitRequest(context, request); limited) {
      refusal = ToResponse(*limited, request.request_id);
    }
  }
  if (refusal) {
    outcomes::ReleaseTicket(tickets, ticket.value());
    co_await responder.Send(std::move(*refusal));
    co_return;
  }
  const AdmittedRequest admitted(context, StableHash(request.workspace));
  RequestRun run;
  run.attempts.request_class = request.request_class;
  run.attempts.ticket = ticket.value();
  run.request = std::move(request);
  // The call runs to its end even when the caller leaves, so that a repeat gets the answer.
  co_await RunAttempts(context, run);
  if (run.answered_by_upstream) {
    outcomes::StoreAnswer(
        run.attempts, tickets,
        {.status = static_cast<std::uint16_t>(run.answer->status),
         .content_type = std::string(transport::FindHeader(run.answer->headers, "Content-Type")),
         .body = run.answer->body});
  }
  co_await responder.Send(std::move(*run.answer));
}

boost::asio::awaitable<void> ServeRequest(RouterContext& context,
                                          CallerRequest request,
                                          HttpResponder& responder) {
  if (request.request_class == outcomes::RequestClass::kNonRepeatable) {
    co_await ServeNonRepeatable(context, std::move(request), responder);
  } else {
    co_await ServeRepeatable(context, std::move(request), responder);
  }
}

boost::asio::awaitable<void> ServeCaller(RouterContext& context,
                                         transport::HttpRequest request,
                                         HttpResponder& responder) {
  const TimePoint now = RuntimeClock::now();
  const std::string request_id = RequestIdOf(request);
  if (!IsServing(*context.state, now)) {
    admission::Refusal refusal = admission::MakeRefusal(
        admission::RefusalCode::kStarting, kStartingRetryAfter, StableHash(request_id));
    if (HasTicket(request)) {
      refusal = admission::ForTicketedCall(refusal);
    }
    co_await responder.Send(ToResponse(refusal, request_id));
    co_return;
  }
  if (request.target == "/v1/tickets" && request.method == "POST") {
    co_await responder.Send(GiveTicket(context, request_id));
    co_return;
  }
  const RunState ran = HasTicket(request) ? RunState::kUnknown : RunState::kNotRun;
  transport::SetHeader(request.headers, "X-Request-Id", request_id);
  auto checked = ReadCallerRequest(*context.state->configuration, std::move(request),
                                   context.settings.upstreams.default_deadline, now);
  if (!checked) {
    co_await responder.Send(ToErrorResponse(checked.error(), ran, request_id));
    co_return;
  }
  observability::ScopedSpan span(context.spans, "entry", checked.value().trace);
  span.SetAttribute("request.id", request_id);
  span.SetAttribute("pool", checked.value().pool);
  checked.value().trace = span.Context();
  co_await ServeRequest(context, std::move(checked).value(), responder);
}

}  // namespace geraniumspread::router::detail
