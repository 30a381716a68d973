#ifndef ROUTER_INTERNAL_ATTEMPT_H_
#define ROUTER_INTERNAL_ATTEMPT_H_

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <optional>
#include <string>

#include "outcomes/answer_integrity.h"
#include "outcomes/exchange.h"
#include "router/internal/caller_request.h"
#include "router/internal/router_context.h"
#include "router/internal/slot_lease.h"
#include "transport/http_client.h"

namespace geraniumspread::router::detail {

// One try of a request at one upstream, directly or through the router that owns it.
struct Attempt {
  std::string upstream;
  // Set when this router owns the upstream.
  std::unique_ptr<SlotLease> slot;
  std::unique_ptr<transport::HttpExchange> http;
  outcomes::Exchange exchange;
  outcomes::AnswerCheck check;
  transport::HttpResponse head;
  // The refusal of the owner; nothing has run.
  std::optional<admission::Refusal> refusal;
  // Named by an owner that refused because the chat's cache is there.
  std::string placed_elsewhere;
};

struct AttemptPlan {
  std::string upstream;
  std::uint64_t resume_offset = 0;
  // The owner shall queue the request and not name another upstream.
  bool is_final = false;
  transport::ConnectionPolicy policy = transport::ConnectionPolicy::kReuse;
};

// Sends the request to an upstream that this router owns and reads the head of
// the answer. The result is in `attempt.exchange`, `attempt.refusal` and `attempt.head`.
boost::asio::awaitable<void> OpenAtUpstream(RouterContext& context,
                                            const CallerRequest& request,
                                            const AttemptPlan& plan,
                                            Cancellation& cancellation,
                                            Attempt& attempt);

// The same through the owner.
boost::asio::awaitable<void> OpenAtOwner(RouterContext& context,
                                         const CallerRequest& request,
                                         const AttemptPlan& plan,
                                         const fleet::RouterMember& owner,
                                         Cancellation& cancellation,
                                         Attempt& attempt);

// Reads the rest of the answer and ends the exchange.
boost::asio::awaitable<void> ReadAnswer(RouterContext& context, Attempt& attempt);

// Ends the exchange after a transport failure.
void EndWithFailure(Attempt& attempt, const transport::TransportError& error);
// Ends the exchange after the body was read to its end.
void EndWithAnswer(Attempt& attempt);

// The request as an upstream or the owner gets it.
transport::HttpRequest BuildUpstreamRequest(const CallerRequest& request, const AttemptPlan& plan);
transport::HttpRequest BuildForwardRequest(const RouterContext& context,
                                           const CallerRequest& request,
                                           const AttemptPlan& plan,
                                           const fleet::RouterMember& receiver);

}  // namespace geraniumspread::router::detail

#endif  // ROUTER_INTERNAL_ATTEMPT_H_
