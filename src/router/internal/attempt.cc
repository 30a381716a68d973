#include "router/internal/attempt.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "common/hash.h"
#include "observability/log.h"

namespace geraniumspread::router::detail {
namespace {

using outcomes::ExchangeEvent;
using outcomes::RequestClass;
using transport::FindHeader;
using transport::SetHeader;

constexpr int kFirstServerErrorStatus = 500;
constexpr std::string_view kForwardTarget = "/internal/forward";
// The owner's queue and the upstream's own timeout come before the entry's.
constexpr Duration kForwardMargin = std::chrono::seconds(2);

Duration Remaining(const CallerRequest& request) {
  return std::max<Duration>(request.deadline - RuntimeClock::now(), std::chrono::milliseconds(1));
}

std::string RemainingMilliseconds(const CallerRequest& request) {
  using std::chrono::milliseconds;
  return std::to_string(std::chrono::ceil<milliseconds>(Remaining(request)).count());
}

transport::ExchangeTimeouts UpstreamTimeouts(const RouterContext& context,
                                             const CallerRequest& request) {
  const settings::UpstreamSettings& upstreams = context.settings.upstreams;
  const Duration remaining = Remaining(request);
  transport::ExchangeTimeouts timeouts;
  timeouts.connect = std::min(upstreams.connect_timeout, remaining);
  timeouts.first_byte = std::min(upstreams.first_byte_timeout, remaining);
  timeouts.between_bytes = std::min(upstreams.between_bytes_timeout, remaining);
  return timeouts;
}

ExchangeEvent FailureEvent(const transport::TransportError& error) {
  switch (error.code) {
    case transport::TransportErrorCode::kTimedOut:
      return ExchangeEvent::kTimedOut;
    case transport::TransportErrorCode::kMalformedMessage:
    case transport::TransportErrorCode::kMessageTooLarge:
      return ExchangeEvent::kDamaged;
    default:
      return ExchangeEvent::kClosed;
  }
}

// Feeds the events up to `phase`.
void AdvanceTo(outcomes::Exchange& exchange, transport::ExchangePhase phase) {
  struct Step {
    transport::ExchangePhase from;
    ExchangeEvent event;
  };
  static constexpr Step kSteps[] = {
      {transport::ExchangePhase::kConnecting, ExchangeEvent::kConnectStarted},
      {transport::ExchangePhase::kWritingRequest, ExchangeEvent::kConnected},
      {transport::ExchangePhase::kWritingRequest, ExchangeEvent::kWriteStarted},
      {transport::ExchangePhase::kWaitingForResponse, ExchangeEvent::kRequestSent},
      {transport::ExchangePhase::kReadingBody, ExchangeEvent::kResponseStarted}};
  for (const Step& step : kSteps) {
    if (phase >= step.from) {
      outcomes::Apply(exchange, step.event);
    }
  }
}

std::optional<std::uint64_t> DeclaredLength(const transport::HttpHeaders& headers) {
  const std::string_view text = FindHeader(headers, "Content-Length");
  std::uint64_t length = 0;
  if (text.empty() ||
      std::from_chars(text.data(), text.data() + text.size(), length).ec != std::errc()) {
    return std::nullopt;
  }
  return length;
}

Duration RetryAfterOf(const transport::HttpHeaders& headers) {
  const std::string_view text = FindHeader(headers, "Retry-After");
  std::int64_t seconds = 0;
  std::from_chars(text.data(), text.data() + text.size(), seconds);
  return std::chrono::seconds(std::clamp<std::int64_t>(seconds, 0, 3600));
}

std::optional<admission::RefusalCode> ParseRefusalCode(std::string_view text) {
  for (int index = 0; index < admission::kRefusalCodeCount; ++index) {
    if (const auto code = static_cast<admission::RefusalCode>(index);
        admission::ToString(code) == text) {
      return code;
    }
  }
  return std::nullopt;
}

// A refusal by the owner before dispatch, from its error answer.
std::optional<admission::Refusal> RefusalOf(const transport::HttpResponse& head,
                                            std::uint64_t seed) {
  const auto code = ParseRefusalCode(FindHeader(head.headers, "X-Error-Code"));
  if (!code || FindHeader(head.headers, "X-Ran") != ToString(RunState::kNotRun)) {
    return std::nullopt;
  }
  return admission::MakeRefusal(*code, RetryAfterOf(head.headers), seed);
}

boost::asio::awaitable<void> SendAndReadHead(RouterContext& context,
                                             const CallerRequest& request,
                                             const AttemptPlan& plan,
                                             transport::HttpRequest http_request,
                                             Cancellation& cancellation,
                                             Attempt& attempt) {
  attempt.check = outcomes::MakeAnswerCheck({}, request.request_id);
  cancellation.action = [http = attempt.http.get()] { http->Cancel(); };
  auto head = co_await attempt.http->Start(std::move(http_request), plan.policy);
  if (cancellation.cancelled) {
    attempt.http->Cancel();
  }
  if (!head) {
    EndWithFailure(attempt, head.error());
    context.metrics.Count("geranium_exchange_failures_total",
                          {{"phase", transport::ToString(head.error().phase)},
                           {"code", transport::ToString(head.error().code)}});
    co_return;
  }
  AdvanceTo(attempt.exchange, transport::ExchangePhase::kReadingBody);
  attempt.head = std::move(head).value();
  const outcomes::AnswerFault fault =
      outcomes::OnAnswerHead(attempt.check, FindHeader(attempt.head.headers, "X-Request-Id"),
                             DeclaredLength(attempt.head.headers));
  if (fault != outcomes::AnswerFault::kNone) {
    observability::LogEvent(observability::LogLevel::kWarn, "answer_refused",
                            {{"upstream", attempt.upstream}, {"request_id", request.request_id}});
    context.metrics.Count("geranium_damaged_answers_total");
    attempt.http->Cancel();
    outcomes::Apply(attempt.exchange, ExchangeEvent::kDamaged);
  }
}

}  // namespace

transport::HttpRequest BuildUpstreamRequest(const CallerRequest& request, const AttemptPlan& plan) {
  transport::HttpRequest http_request(request.method, request.target, {}, request.body);
  transport::HttpHeaders& headers = http_request.headers;
  SetHeader(headers, "X-Request-Id", request.request_id);
  SetHeader(headers, "X-Workspace", request.workspace);
  SetHeader(headers, "X-Chat-Id", request.chat);
  SetHeader(headers, "X-Priority", ToString(request.priority));
  SetHeader(headers, "X-Deadline-Ms", RemainingMilliseconds(request));
  if (!request.content_type.empty()) {
    SetHeader(headers, "Content-Type", request.content_type);
  }
  if (!request.ticket.empty()) {
    SetHeader(headers, "Idempotency-Key", request.ticket);
  }
  if (plan.resume_offset > 0) {
    SetHeader(headers, "X-Resume-Offset", std::to_string(plan.resume_offset));
  }
  if (request.trace) {
    SetHeader(headers, "traceparent", observability::FormatTraceparent(*request.trace));
  }
  return http_request;
}

transport::HttpRequest BuildForwardRequest(const RouterContext& context,
                                           const CallerRequest& request,
                                           const AttemptPlan& plan,
                                           const fleet::RouterMember& receiver) {
  transport::HttpRequest http_request = BuildUpstreamRequest(request, plan);
  transport::HttpHeaders& headers = http_request.headers;
  SetHeader(headers, "X-Forward-Method", request.method);
  SetHeader(headers, "X-Forward-Target", request.target);
  SetHeader(headers, "X-Forward-Pool", request.pool);
  SetHeader(headers, "X-Forward-Class", std::to_string(static_cast<int>(request.request_class)));
  SetHeader(headers, "X-Workspace-Weight", std::to_string(request.workspace_weight));
  if (!plan.upstream.empty()) {
    SetHeader(headers, "X-Upstream", plan.upstream);
  }
  if (plan.is_final) {
    SetHeader(headers, "X-Placement-Final", "1");
  }
  http_request.method = "POST";
  http_request.target = kForwardTarget;
  SignPeerRequest(context.state->identity.shared_key, receiver.incarnation, http_request);
  return http_request;
}

void EndWithFailure(Attempt& attempt, const transport::TransportError& error) {
  AdvanceTo(attempt.exchange, error.phase);
  outcomes::Apply(attempt.exchange, FailureEvent(error));
  const bool lost = error.phase >= transport::ExchangePhase::kWritingRequest &&
                    error.code != transport::TransportErrorCode::kCancelled;
  if (attempt.slot && lost) {
    attempt.slot->MarkConnectionLost();
  }
}

void EndWithAnswer(Attempt& attempt) {
  outcomes::OnAnswerEnd(attempt.check, true, 0);
  if (!outcomes::IsAnswerIntact(attempt.check)) {
    outcomes::Apply(attempt.exchange, ExchangeEvent::kDamaged);
    return;
  }
  const std::string_view ran = FindHeader(attempt.head.headers, "X-Ran");
  const bool is_server_error = attempt.head.status >= kFirstServerErrorStatus;
  if (ran == ToString(RunState::kNotRun)) {
    outcomes::Apply(attempt.exchange, ExchangeEvent::kRefusedNotRun);
  } else if (ran == ToString(RunState::kUnknown) || (ran.empty() && is_server_error)) {
    outcomes::Apply(attempt.exchange, ExchangeEvent::kOutcomeNotKnown);
  } else {
    outcomes::Apply(attempt.exchange, ExchangeEvent::kBodyComplete);
    if (attempt.slot) {
      attempt.slot->MarkSucceeded();
    }
  }
}

boost::asio::awaitable<void> OpenAtUpstream(RouterContext& context,
                                            const CallerRequest& request,
                                            const AttemptPlan& plan,
                                            Cancellation& cancellation,
                                            Attempt& attempt) {
  auto slot = co_await AcquireSlot(context, request, plan.upstream, plan.is_final, cancellation);
  if (!slot) {
    attempt.refusal = slot.error();
    co_return;
  }
  attempt.slot = std::move(slot).value();
  const auto row = context.state->upstreams.find(plan.upstream);
  if (cancellation.cancelled || row == context.state->upstreams.end()) {
    attempt.refusal = admission::MakeRefusal(admission::RefusalCode::kNotOwner, Duration{0}, 0);
    attempt.slot.reset();
    co_return;
  }
  attempt.http = std::make_unique<transport::HttpExchange>(
      context.connections, row->second.endpoint, UpstreamTimeouts(context, request));
  co_await SendAndReadHead(context, request, plan, BuildUpstreamRequest(request, plan),
                           cancellation, attempt);
}

boost::asio::awaitable<void> OpenAtOwner(RouterContext& context,
                                         const CallerRequest& request,
                                         const AttemptPlan& plan,
                                         const fleet::RouterMember& owner,
                                         Cancellation& cancellation,
                                         Attempt& attempt) {
  transport::ExchangeTimeouts timeouts = UpstreamTimeouts(context, request);
  // The owner may queue the request for as long as its deadline allows.
  timeouts.first_byte = Remaining(request) + kForwardMargin;
  timeouts.between_bytes += kForwardMargin;
  transport::Endpoint endpoint(owner.endpoint.address, owner.endpoint.peer_port);
  attempt.http =
      std::make_unique<transport::HttpExchange>(context.connections, std::move(endpoint), timeouts);
  co_await SendAndReadHead(context, request, plan,
                           BuildForwardRequest(context, request, plan, owner), cancellation,
                           attempt);
  if (!outcomes::Ended(attempt.exchange)) {
    attempt.refusal = RefusalOf(attempt.head, StableHash(request.request_id));
    attempt.placed_elsewhere = FindHeader(attempt.head.headers, "X-Placed-Elsewhere");
  }
}

boost::asio::awaitable<void> ReadAnswer(RouterContext& context, Attempt& attempt) {
  auto body = co_await attempt.http->ReadAll(context.settings.limits.max_answer_bytes);
  if (!body) {
    EndWithFailure(attempt, body.error());
    co_return;
  }
  outcomes::OnAnswerBytes(attempt.check, body.value().size());
  attempt.head.body = std::move(body).value();
  EndWithAnswer(attempt);
}

}  // namespace geraniumspread::router::detail
