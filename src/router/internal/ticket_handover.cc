#include "router/internal/ticket_handover.h"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <utility>
#include <vector>

#include "observability/log.h"
#include "outcomes/handover_json.h"
#include "router/internal/peer_client.h"
#include "transport/error_response.h"

namespace geraniumspread::router::detail {
namespace {

namespace json = boost::json;
using outcomes::RouterIncarnation;
using transport::HttpRequest;

constexpr int kTakenStatus = 200;
constexpr int kRefusedStatus = 409;
// Routers asked to take the tickets before the stop goes on without.
constexpr std::size_t kMaxSuccessorsTried = 3;

// A copy, since membership may change while the messages are on their way.
std::vector<fleet::RouterMember> ServingPeers(const RouterContext& context) {
  std::vector<fleet::RouterMember> peers;
  for (const fleet::RouterMember& router : context.state->membership.routers) {
    const bool is_self = router.id == context.state->identity.id;
    if (!is_self && router.member && router.state == fleet::RouterState::kServing &&
        router.endpoint.peer_port != 0) {
      peers.push_back(router);
    }
  }
  return peers;
}

boost::asio::awaitable<void> AnnounceSuccessor(RouterContext& context,
                                               const RouterIncarnation& successor) {
  const RouterIdentity& identity = context.state->identity;
  const std::string body =
      json::serialize(json::object{{"stopped", identity.id},
                                   {"stopped_incarnation", identity.incarnation},
                                   {"successor", successor.router},
                                   {"successor_incarnation", successor.incarnation}});
  for (const fleet::RouterMember& peer : ServingPeers(context)) {
    co_await PostToPeer(context, peer, "/internal/successor", body);
  }
}

transport::HttpResponse Refusal(int status, std::string_view code, std::string_view message) {
  return transport::MakeErrorResponse({.status = status, .code = code, .message = message});
}

// Forgotten when the last ticket of the stopped incarnation has expired.
void Learn(RouterContext& context,
           const RouterIncarnation& stopped,
           const RouterIncarnation& successor) {
  outcomes::RecordSuccessor(context.state->successors, stopped, successor,
                            RuntimeClock::now() + context.state->tickets.policy.lifetime);
}

std::optional<RouterIncarnation> ReadIncarnation(const json::object& object,
                                                 std::string_view name,
                                                 std::string_view incarnation) {
  const json::value* router = object.if_contains(name);
  const json::value* number = object.if_contains(incarnation);
  if (router == nullptr || !router->is_string() || number == nullptr || !number->is_number()) {
    return std::nullopt;
  }
  json::error_code error;
  const auto value = number->to_number<std::uint64_t>(error);
  if (error) {
    return std::nullopt;
  }
  return RouterIncarnation{std::string(router->get_string()), value};
}

}  // namespace

boost::asio::awaitable<bool> HandOverTickets(RouterContext& context) {
  std::size_t tried = 0;
  for (const fleet::RouterMember& peer : ServingPeers(context)) {
    if (++tried > kMaxSuccessorsTried) {
      break;
    }
    const RouterIncarnation successor{peer.id, peer.incarnation};
    const auto handover =
        outcomes::ExportTickets(context.state->tickets, successor, RuntimeClock::now());
    if (!handover) {
      break;
    }
    const int status = co_await PostToPeer(context, peer, "/internal/handover",
                                           outcomes::HandoverToJson(handover.value()));
    if (status == kTakenStatus) {
      co_await AnnounceSuccessor(context, successor);
      observability::LogEvent(
          observability::LogLevel::kInfo, "tickets_handed_over",
          {{"successor", peer.id}, {"tickets", handover.value().tickets.size()}});
      co_return true;
    }
    if (status != kRefusedStatus) {
      // The peer may hold the tickets, so nobody else may get them.
      break;
    }
    outcomes::ClearSuccessor(context.state->tickets);
  }
  co_return false;
}

boost::asio::awaitable<void> ServeHandover(RouterContext& context,
                                           const HttpRequest& request,
                                           transport::HttpResponder& responder) {
  if (!IsFromPeer(context, request)) {
    co_await responder.Send(Refusal(403, "peer_not_accepted", "not signed by this fleet"));
    co_return;
  }
  const auto handover = outcomes::HandoverFromJson(request.body);
  const bool taken = handover && outcomes::ImportTickets(context.state->tickets, handover.value(),
                                                         RuntimeClock::now());
  if (!taken) {
    co_await responder.Send(
        Refusal(kRefusedStatus, "handover_refused", "the tickets were not taken"));
    co_return;
  }
  Learn(context, handover.value().from, handover.value().to);
  co_await responder.Send(transport::HttpResponse(200));
}

boost::asio::awaitable<void> ServeSuccessor(RouterContext& context,
                                            const HttpRequest& request,
                                            transport::HttpResponder& responder) {
  if (!IsFromPeer(context, request)) {
    co_await responder.Send(Refusal(403, "peer_not_accepted", "not signed by this fleet"));
    co_return;
  }
  json::error_code error;
  const json::value body = json::parse(request.body, error);
  const json::object* object = error ? nullptr : body.if_object();
  const auto stopped =
      object == nullptr ? std::nullopt : ReadIncarnation(*object, "stopped", "stopped_incarnation");
  const auto successor = object == nullptr
                             ? std::nullopt
                             : ReadIncarnation(*object, "successor", "successor_incarnation");
  if (!stopped || !successor) {
    co_await responder.Send(Refusal(400, "invalid_successor", "the body names no successor"));
    co_return;
  }
  Learn(context, *stopped, *successor);
  co_await responder.Send(transport::HttpResponse(200));
}

}  // namespace geraniumspread::router::detail
