#include <array>
#include <string>
#include <utility>

#include "scenario/internal/fleet_internal.h"

// Non-repeatable calls: the router that a ticket names runs them once.
namespace geraniumspread::scenario {
namespace detail {
namespace {

constexpr Duration kConnectTimeout = std::chrono::milliseconds(500);

// Tickets of a scenario must be the same in each run, so the random part is drawn from its seed.
std::string RandomPart(Fleet& fleet) {
  static constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text(outcomes::kTicketRandomLength, '0');
  for (char& digit : text) {
    digit = kDigits[fleet.random() % kDigits.size()];
  }
  return text;
}

outcomes::RouterMembership KnownRouterOf(const router::RouterState& state,
                                         const outcomes::RouterIncarnation& wanted) {
  const fleet::RouterMember* router = fleet::FindRouter(state.membership, wanted.router);
  if (router == nullptr) {
    return {.known = false, .left = state.membership.list_revision > 0};
  }
  return {.known = true, .left = !router->member, .incarnation = router->incarnation};
}

struct TicketCall {
  std::int64_t number = 0;
  std::string ticket;
  std::string body;
};

void Serve(Fleet& fleet, std::size_t router, const TicketCall& call) {
  outcomes::TicketTable& tickets = fleet.routers[router].state->tickets;
  const auto ticket = outcomes::ParseTicket(call.ticket, tickets.shared_key);
  if (!ticket) {
    FinishCall(fleet, call.number, outcomes::ToString(ticket.error().code));
    return;
  }
  const std::string digest = outcomes::CallDigest("w", kServicePool, call.body);
  const auto decision = outcomes::BeginTicket(tickets, ticket.value(), digest, fleet.now);
  if (!decision) {
    FinishCall(fleet, call.number, outcomes::ToString(decision.error().code));
    return;
  }
  if (decision.value().action == outcomes::TicketAction::kReplay) {
    FinishCall(fleet, call.number, "replayed");
    return;
  }
  Request request;
  request.pool = kServicePool;
  request.workspace = "w";
  request.chat = call.ticket;
  request.entry = router;
  request.run_time = fleet.options.run_time;
  request.ticket = call.ticket;
  request.call = call.number;
  request.attempts.request_class = outcomes::RequestClass::kNonRepeatable;
  request.attempts.ticket = ticket.value();
  ++fleet.counts.sent;
  StartRequest(fleet, std::move(request), kHop);
}

void ForwardCall(Fleet& fleet, std::size_t from, std::string_view to, const TicketCall& call) {
  const std::size_t receiver = FindRouter(fleet, to);
  const LinkFault link = LinkOf(fleet, fleet.routers[from], to);
  if (link.cut || !fleet.routers[receiver].state) {
    PostEvent(fleet, kConnectTimeout, [&fleet, number = call.number] {
      FinishCall(fleet, number,
                 outcomes::ToString(outcomes::OutcomeCode::kTicketRouterUnreachable));
    });
    return;
  }
  PostToRouter(fleet, receiver, kHop + link.delay,
               [&fleet, receiver, call](RouterNode&) { Serve(fleet, receiver, call); });
}

void Route(Fleet& fleet, std::size_t router, const TicketCall& call) {
  const router::RouterState& state = *fleet.routers[router].state;
  const auto ticket = outcomes::ParseTicket(call.ticket, state.tickets.shared_key);
  if (!ticket) {
    FinishCall(fleet, call.number, outcomes::ToString(ticket.error().code));
    return;
  }
  const auto responsible = outcomes::ResponsibleFor(state.successors, ticket.value().issuer);
  switch (outcomes::RouteTicket(state.tickets, responsible, KnownRouterOf(state, responsible))) {
    case outcomes::TicketRoute::kLocal:
      Serve(fleet, router, call);
      return;
    case outcomes::TicketRoute::kForward:
      ForwardCall(fleet, router, responsible.router, call);
      return;
    case outcomes::TicketRoute::kGone:
      FinishCall(fleet, call.number, outcomes::ToString(outcomes::OutcomeCode::kOutcomeUnknown));
      return;
    case outcomes::TicketRoute::kUnreachable:
      FinishCall(fleet, call.number,
                 outcomes::ToString(outcomes::OutcomeCode::kTicketRouterUnreachable));
      return;
  }
}

}  // namespace

void FinishCall(Fleet& fleet, std::int64_t call, std::string_view answer) {
  fleet.call_answers.at(static_cast<std::size_t>(call - 1)) = answer;
}

}  // namespace detail

std::string IssueTicket(Fleet& fleet, const std::string& router) {
  const RouterNode& node = fleet.routers[detail::FindRouter(fleet, router)];
  if (!node.state || node.paused) {
    return {};
  }
  const auto ticket =
      outcomes::IssueTicket(node.state->tickets, detail::RandomPart(fleet), fleet.now);
  return ticket ? ticket.value() : std::string();
}

std::int64_t CallWithTicket(Fleet& fleet,
                            const std::string& ticket,
                            const std::string& router,
                            const std::string& body) {
  fleet.call_answers.emplace_back("running");
  const detail::TicketCall call{static_cast<std::int64_t>(fleet.call_answers.size()), ticket, body};
  const std::size_t entry = detail::FindRouter(fleet, router);
  detail::PostToRouter(fleet, entry, detail::kHop,
                       [&fleet, entry, call](RouterNode&) { detail::Route(fleet, entry, call); });
  return call.number;
}

std::string AnswerOf(const Fleet& fleet, std::int64_t call) {
  if (call < 1 || call > static_cast<std::int64_t>(fleet.call_answers.size())) {
    throw ScenarioError("there is no call " + std::to_string(call));
  }
  return fleet.call_answers[static_cast<std::size_t>(call - 1)];
}

}  // namespace geraniumspread::scenario
