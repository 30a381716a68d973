#include "edge/internal/relay.h"

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <charconv>

#include "common/hash.h"
#include "edge/internal/attempt.h"
#include "edge/internal/path_watch.h"

namespace geraniumspread::edge::detail {
namespace {

namespace asio = boost::asio;
using boost::beast::iequals;
using observability::LogEvent;
using observability::LogLevel;
using transport::ExchangePhase;
using transport::FindHeader;
using transport::HttpHeader;
using transport::HttpHeaders;

// Begins the names of all headers that instances add on the way through a peer.
constexpr std::string_view kPrefix = "relay-";
constexpr std::string_view kUpstream = "Relay-Upstream";
constexpr std::string_view kStarted = "Relay-Started-Ms";
constexpr std::string_view kRequestId = "Relay-Request-Id";
constexpr std::string_view kRemaining = "Relay-Remaining-Ms";
constexpr std::string_view kFirstByte = "Relay-First-Byte-Ms";
constexpr std::string_view kConnection = "Relay-Connection";
constexpr std::string_view kResult = "Relay-Result";
constexpr std::string_view kReason = "Relay-Reason";
constexpr std::string_view kEnd = "Relay-End";

constexpr std::string_view kReuse = "reuse";
constexpr std::string_view kRelayed = "relayed";
constexpr std::string_view kNotSent = "not-sent";
constexpr std::string_view kFailed = "failed";
constexpr std::string_view kWithConnection = "connection";
// Reasons for which the peer relays no request at all.
constexpr std::string_view kNoPath = "no_path";
constexpr std::string_view kStopping = "stopping";

constexpr Duration kAvoidTime = std::chrono::seconds(2);
constexpr int kStatusBadGateway = 502;
constexpr int kStatusUnavailable = 503;

bool IsRelayHeader(const HttpHeader& header) {
  return iequals(std::string_view(header.name).substr(0, kPrefix.size()), kPrefix);
}

void RemoveRelayHeaders(HttpHeaders& headers) {
  std::erase_if(headers, IsRelayHeader);
}

std::int64_t ParseNumber(std::string_view text) {
  std::int64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

RelayCall TakeCall(transport::HttpRequest& request) {
  RelayCall call;
  call.upstream = FindHeader(request.headers, kUpstream);
  call.started_at_ms = ParseNumber(FindHeader(request.headers, kStarted));
  call.request_id = FindHeader(request.headers, kRequestId);
  call.remaining = std::chrono::milliseconds(ParseNumber(FindHeader(request.headers, kRemaining)));
  call.first_byte = std::chrono::milliseconds(ParseNumber(FindHeader(request.headers, kFirstByte)));
  call.may_reuse = FindHeader(request.headers, kConnection) == kReuse;
  RemoveRelayHeaders(request.headers);
  return call;
}

dispatch::UpstreamRow FindUpstream(const EdgeState& edge, const RelayCall& call) {
  const auto found = edge.upstreams.rows.find(call.upstream);
  const bool is_known = found != edge.upstreams.rows.end() &&
                        found->second->listing.started_at_ms == call.started_at_ms;
  return is_known ? found->second : nullptr;
}

// Returns why this instance sends no byte of the request; empty if it does.
std::string_view FindObstacle(const EdgeState& edge, const dispatch::UpstreamRow& upstream) {
  if (edge.stopping) {
    return kStopping;
  }
  if (edge.path.state == dispatch::PathState::kLost) {
    return kNoPath;
  }
  if (upstream == nullptr) {
    return "unknown_upstream";
  }
  if (!dispatch::TakesNewWork(edge.upstreams, *upstream)) {
    return "upstream_takes_no_work";
  }
  return dispatch::IsPaused(*upstream, RuntimeClock::now()) ? "upstream_paused" : "";
}

transport::ExchangeTimeouts TimeoutsOf(const RelayCall& call) {
  transport::ExchangeTimeouts timeouts;
  timeouts.connect = std::min(kConnectTimeout, call.remaining);
  timeouts.write = std::min(kWriteTimeout, call.remaining);
  timeouts.first_byte =
      call.first_byte > Duration{0} ? std::min(call.first_byte, call.remaining) : call.remaining;
  timeouts.between_bytes = call.remaining;
  timeouts.total = call.remaining;
  return timeouts;
}

// Answers that the upstream gave no answer.
asio::awaitable<void> SendFailure(EdgeState& edge,
                                  const RelayCall& call,
                                  std::string_view result,
                                  std::string reason,
                                  transport::HttpResponder& responder) {
  LogEvent(LogLevel::kWarn, "relay",
           {{"request_id", call.request_id},
            {"upstream", call.upstream},
            {"result", result},
            {"reason", reason}});
  edge.metrics.Count("geranium_relays_total", {{"result", std::string(result)}});
  HttpHeaders headers{{std::string(kResult), std::string(result)},
                      {std::string(kReason), std::move(reason)}};
  transport::HttpResponse response(result == kNotSent ? kStatusUnavailable : kStatusBadGateway,
                                   std::move(headers));
  co_await responder.Send(std::move(response));
}

// Headers of the upstream's head for the instance. Keep-Alive concerns one connection only.
HttpHeaders HeadersToRelay(HttpHeaders headers, bool ends_with_connection) {
  RemoveRelayHeaders(headers);
  std::erase_if(headers,
                [](const HttpHeader& header) { return iequals(header.name, "Keep-Alive"); });
  headers.push_back({std::string(kResult), std::string(kRelayed)});
  if (ends_with_connection) {
    headers.push_back({std::string(kEnd), std::string(kWithConnection)});
  }
  return headers;
}

// Passes the body on as it comes. Returns why it is not complete; empty if it is.
asio::awaitable<std::string> RelayBody(Edge edge,
                                       dispatch::UpstreamRow upstream,
                                       std::shared_ptr<transport::HttpExchange> exchange,
                                       transport::HttpResponder& responder) {
  while (true) {
    const auto bytes = co_await exchange->ReadSome();
    if (!bytes) {
      co_return std::string(transport::ToString(bytes.error().code));
    }
    upstream->last_received_at = RuntimeClock::now();
    RecordUpstreamBytes(*edge);
    if (bytes.value().empty()) {
      co_return co_await responder.Finish() ? "" : "peer_gone";
    }
    if (!co_await responder.Write(bytes.value())) {
      co_return "peer_gone";
    }
  }
}

asio::awaitable<void> RelayAnswer(Edge edge,
                                  const RelayCall& call,
                                  dispatch::UpstreamRow upstream,
                                  std::shared_ptr<transport::HttpExchange> exchange,
                                  transport::HttpResponse head,
                                  transport::HttpResponder& responder) {
  HttpHeaders headers = HeadersToRelay(std::move(head.headers), exchange->EndsWithConnection());
  std::string failure;
  if (exchange->Phase() == ExchangePhase::kComplete) {
    transport::HttpResponse response(head.status, std::move(headers));
    failure = co_await responder.Send(std::move(response)) ? "" : "peer_gone";
  } else if (co_await responder.StartStream(head.status, std::move(headers))) {
    failure = co_await RelayBody(edge, upstream, exchange, responder);
  } else {
    failure = "peer_gone";
  }
  if (!failure.empty()) {
    LogEvent(LogLevel::kWarn, "relay",
             {{"request_id", call.request_id},
              {"upstream", call.upstream},
              {"result", "broken_off"},
              {"reason", failure}});
  }
  edge->metrics.Count("geranium_relays_total",
                      {{"result", failure.empty() ? "relayed" : "broken_off"}});
}

}  // namespace

bool IsRelayRequest(const transport::HttpRequest& request) {
  return !FindHeader(request.headers, kUpstream).empty();
}

void AddRelayHeaders(transport::HttpRequest& request, const RelayCall& call) {
  RemoveRelayHeaders(request.headers);
  if (FindHeader(request.headers, "Host").empty()) {
    request.headers.push_back({"Host", call.address});
  }
  request.headers.push_back({std::string(kUpstream), call.upstream});
  request.headers.push_back({std::string(kStarted), std::to_string(call.started_at_ms)});
  request.headers.push_back({std::string(kRequestId), call.request_id});
  request.headers.push_back(
      {std::string(kRemaining), std::to_string(Milliseconds(call.remaining))});
  request.headers.push_back(
      {std::string(kFirstByte), std::to_string(Milliseconds(call.first_byte))});
  request.headers.push_back(
      {std::string(kConnection), std::string(call.may_reuse ? kReuse : "fresh")});
}

RelayStatement TakeRelayStatement(transport::HttpResponse& head) {
  RelayStatement statement;
  const std::string_view result = FindHeader(head.headers, kResult);
  statement.reason = FindHeader(head.headers, kReason);
  if (result == kRelayed) {
    statement.result = RelayStatement::Result::kRelayed;
  } else if (result == kNotSent) {
    statement.result = RelayStatement::Result::kNotSent;
  } else if (result == kFailed) {
    statement.result = RelayStatement::Result::kFailed;
  } else {
    statement.reason = "status_" + std::to_string(head.status) + "_of_the_peer";
  }
  statement.ends_with_connection = FindHeader(head.headers, kEnd) == kWithConnection;
  statement.is_unable = statement.reason == kNoPath || statement.reason == kStopping;
  RemoveRelayHeaders(head.headers);
  return statement;
}

std::string ChooseRelay(EdgeState& edge) {
  if (!IsPathLost(edge)) {
    return {};
  }
  const dispatch::Peer* peer =
      dispatch::ChooseRelayPeer(edge.peers, edge.relays, edge.random, RuntimeClock::now());
  return peer == nullptr ? std::string() : peer->digest.address;
}

void AvoidRelay(EdgeState& edge, const std::string& address) {
  edge.relays.avoided[address] = RuntimeClock::now() + kAvoidTime;
}

asio::awaitable<void> ServeRelay(Edge edge,
                                 transport::HttpRequest request,
                                 transport::HttpResponder& responder) {
  const RelayCall call = TakeCall(request);
  const dispatch::UpstreamRow upstream = FindUpstream(*edge, call);
  const auto endpoint =
      upstream == nullptr ? std::nullopt : transport::ParseEndpoint(upstream->listing.address);
  if (const std::string_view obstacle = FindObstacle(*edge, upstream);
      !endpoint || !obstacle.empty()) {
    std::string reason(obstacle.empty() ? "bad_address" : obstacle);
    co_await SendFailure(*edge, call, kNotSent, std::move(reason), responder);
    co_return;
  }
  const auto exchange =
      std::make_shared<transport::HttpExchange>(edge->connections, *endpoint, TimeoutsOf(call));
  exchange->IdentifyRequest(StableHash(call.request_id));
  exchange->SkipUnmatchedAnswers(
      [&edge, &call, current = exchange.get()](const transport::HttpResponse& head) {
        return IsAnswerTo(edge->codec.decode_answer(head), call.request_id, *current);
      });
  responder.OnDisconnect([weak = std::weak_ptr(exchange)] {
    if (const auto current = weak.lock(); current) {
      current->Cancel();
    }
  });
  const TimePoint began = RuntimeClock::now();
  auto head = co_await exchange->Start(
      std::move(request),
      call.may_reuse ? transport::ConnectionPolicy::kReuse : transport::ConnectionPolicy::kFresh);
  if (!head) {
    const bool not_sent = head.error().phase < ExchangePhase::kWritingRequest;
    const auto code = head.error().code;
    if (code == transport::TransportErrorCode::kConnectionClosed ||
        (not_sent && code != transport::TransportErrorCode::kCancelled)) {
      RecordPathFailure(edge, *upstream, SignOf(head.error(), *exchange));
    }
    std::string reason = DescribeFailure(head.error());
    co_await SendFailure(*edge, call, not_sent ? kNotSent : kFailed, std::move(reason), responder);
    co_return;
  }
  upstream->last_received_at = RuntimeClock::now();
  RecordUpstreamBytes(*edge);
  if (exchange->ConnectTime()) {
    RecordPathReached(*edge, began);
  }
  // The upstream gave this answer to this instance, whose own requests must heed it too.
  const UpstreamAnswer answer = edge->codec.decode_answer(head.value());
  ApplyAvailability(*edge, call.request_id, *upstream, answer, began);
  co_await RelayAnswer(edge, call, upstream, exchange, std::move(head).value(), responder);
}

}  // namespace geraniumspread::edge::detail
