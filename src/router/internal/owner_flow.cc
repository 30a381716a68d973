#include "router/internal/owner_flow.h"

#include <charconv>
#include <utility>

#include "router/internal/attempt.h"
#include "router/internal/entry_flow.h"
#include "router/internal/error_answers.h"
#include "router/internal/peer_client.h"
#include "router/internal/placement_hints.h"

namespace geraniumspread::router::detail {
namespace {

using transport::FindHeader;
using transport::HttpResponder;

template <typename Number>
Number NumberOf(const transport::HttpHeaders& headers, std::string_view name) {
  const std::string_view text = FindHeader(headers, name);
  Number number{};
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

// The headers were written by a peer and are covered by its MAC.
CallerRequest ReadForwarded(transport::HttpRequest request, TimePoint now) {
  const transport::HttpHeaders& headers = request.headers;
  CallerRequest result;
  result.request_id = FindHeader(headers, "X-Request-Id");
  result.workspace = FindHeader(headers, "X-Workspace");
  result.workspace_weight = NumberOf<float>(headers, "X-Workspace-Weight");
  result.chat = FindHeader(headers, "X-Chat-Id");
  result.method = FindHeader(headers, "X-Forward-Method");
  result.target = FindHeader(headers, "X-Forward-Target");
  result.pool = FindHeader(headers, "X-Forward-Pool");
  result.content_type = FindHeader(headers, "Content-Type");
  result.ticket = FindHeader(headers, "Idempotency-Key");
  ParsePriorityClass(FindHeader(headers, "X-Priority"), result.priority);
  result.request_class =
      static_cast<outcomes::RequestClass>(NumberOf<int>(headers, "X-Forward-Class"));
  result.deadline =
      now + std::chrono::milliseconds(NumberOf<std::int64_t>(headers, "X-Deadline-Ms"));
  result.trace = observability::ParseTraceparent(FindHeader(headers, "traceparent"));
  result.body = std::move(request.body);
  result.fingerprint = outcomes::FingerprintOf(result.workspace, result.pool, result.body);
  return result;
}

// Counts a forwarded request at its upstream for its lifetime.
class ForwardedRequest {
 public:
  ForwardedRequest(RouterContext& router_context, placement::UpstreamIndex upstream_index)
      : context(router_context), upstream(upstream_index) {
    placement::RecordForwarded(this->context.state->placement, this->upstream);
  }
  ForwardedRequest(const ForwardedRequest&) = delete;
  ForwardedRequest& operator=(const ForwardedRequest&) = delete;
  ~ForwardedRequest() {
    placement::RecordCompletion(this->context.state->placement, this->upstream);
  }

 private:
  RouterContext& context;
  placement::UpstreamIndex upstream;
};

// Passes the body on as it arrives. The entry router checks what is in it.
boost::asio::awaitable<void> PassBody(Attempt& attempt, HttpResponder& responder) {
  if (!co_await responder.StartStream(attempt.head.status, std::move(attempt.head.headers))) {
    co_return;
  }
  while (true) {
    const auto bytes = co_await attempt.http->ReadSome();
    if (!bytes) {
      EndWithFailure(attempt, bytes.error());
      co_return;
    }
    if (bytes.value().empty()) {
      EndWithAnswer(attempt);
      co_await responder.Finish();
      co_return;
    }
    outcomes::OnAnswerBytes(attempt.check, bytes.value().size());
    if (!co_await responder.Write(bytes.value())) {
      attempt.http->Cancel();
      co_return;
    }
  }
}

transport::HttpResponse FailureOf(const Attempt& attempt, const CallerRequest& request) {
  return ToResponse(outcomes::ErrorOf(attempt.exchange, request.request_class, RunState::kNotRun,
                                      admission::kMinRetryAfter),
                    request.request_id);
}

boost::asio::awaitable<void> ServeAtUpstream(RouterContext& context,
                                             CallerRequest request,
                                             AttemptPlan plan,
                                             HttpResponder& responder) {
  const auto row = context.state->upstreams.find(plan.upstream);
  if (row == context.state->upstreams.end()) {
    co_await responder.Send(
        ToResponse(admission::MakeRefusal(admission::RefusalCode::kNotOwner, Duration{0}, 0),
                   request.request_id));
    co_return;
  }
  if (const std::string hint =
          plan.is_final ? std::string() : FindHint(context, request, row->second.index);
      !hint.empty()) {
    transport::HttpResponse refusal =
        ToResponse(admission::MakeRefusal(admission::RefusalCode::kUpstreamAtLimit, Duration{0}, 0),
                   request.request_id);
    transport::SetHeader(refusal.headers, "X-Placed-Elsewhere", hint);
    co_await responder.Send(std::move(refusal));
    co_return;
  }
  const ForwardedRequest forwarded(context, row->second.index);
  Attempt attempt;
  attempt.upstream = plan.upstream;
  Cancellation cancellation;
  responder.OnDisconnect([&cancellation] { cancellation.Cancel(); });
  co_await OpenAtUpstream(context, request, plan, cancellation, attempt);
  if (attempt.refusal) {
    co_await responder.Send(ToResponse(*attempt.refusal, request.request_id));
  } else if (outcomes::Ended(attempt.exchange)) {
    co_await responder.Send(FailureOf(attempt, request));
  } else {
    co_await PassBody(attempt, responder);
  }
  responder.OnDisconnect(nullptr);
}

}  // namespace

boost::asio::awaitable<void> ServePeer(RouterContext& context,
                                       transport::HttpRequest request,
                                       HttpResponder& responder) {
  const TimePoint now = RuntimeClock::now();
  if (!IsFromPeer(context, request)) {
    context.metrics.Count("geranium_peer_requests_refused_total");
    co_await responder.Send(transport::MakeErrorResponse(
        {.status = 403,
         .code = "peer_not_accepted",
         .message = "the request is not signed by a router of this fleet",
         .request_id = FindHeader(request.headers, "X-Request-Id")}));
    co_return;
  }
  AttemptPlan plan;
  plan.upstream = FindHeader(request.headers, "X-Upstream");
  plan.resume_offset = NumberOf<std::uint64_t>(request.headers, "X-Resume-Offset");
  plan.is_final = !FindHeader(request.headers, "X-Placement-Final").empty();
  CallerRequest forwarded = ReadForwarded(std::move(request), now);
  const bool is_repeatable = forwarded.request_class != outcomes::RequestClass::kNonRepeatable;
  plan.policy =
      is_repeatable ? transport::ConnectionPolicy::kReuse : transport::ConnectionPolicy::kFresh;
  observability::ScopedSpan span(context.spans, "owner", forwarded.trace);
  span.SetAttribute("request.id", forwarded.request_id);
  span.SetAttribute("upstream", plan.upstream);
  forwarded.trace = span.Context();
  if (plan.upstream.empty()) {
    co_await ServeTicketedCall(context, std::move(forwarded), responder);
  } else {
    co_await ServeAtUpstream(context, std::move(forwarded), std::move(plan), responder);
  }
}

}  // namespace geraniumspread::router::detail
