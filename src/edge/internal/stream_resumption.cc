#include "edge/internal/stream_resumption.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <charconv>
#include <chrono>

#include "dispatch/stream_version_choice.h"
#include "edge/internal/peer_codec.h"
#include "edge/internal/peer_exchange.h"

namespace geraniumspread::edge::detail {
namespace {

namespace asio = boost::asio;
using observability::LogEvent;
using observability::LogLevel;

constexpr std::string_view kOriginTarget = "/stream-origin?stream=";
constexpr int kHexadecimal = 16;
// A peer in another failure domain answers within a few milliseconds.
constexpr Duration kLookupTimeout = std::chrono::milliseconds(150);
constexpr std::size_t kMaxAnswerBytes = 64;
// Time between the end of a stream and its take-up, beyond the timeout of the route.
constexpr Duration kTakeUpTime = std::chrono::seconds(2);
// The same where callers must first find out that all instances were gone: they come back up to
// 4 s after the cut.
constexpr Duration kTakeUpTimeAfterPowerLoss = std::chrono::seconds(5);
// Interval between checks whether the store has confirmed the listings.
constexpr Duration kConfirmationCheckInterval = std::chrono::milliseconds(20);
// The caller may try again when peers that didn't answer are back.
constexpr Duration kLookupRetryAfter = std::chrono::milliseconds(300);

std::string_view OriginId(const CallerRequest& request) {
  return request.resumes.empty() ? std::string_view(request.id) : request.resumes;
}

std::optional<std::uint64_t> ParseHexadecimal(std::string_view text) {
  std::uint64_t number = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), number, kHexadecimal);
  const bool is_whole = error == std::errc{} && end == text.data() + text.size();
  return is_whole ? std::optional(number) : std::nullopt;
}

// Stores the version of a stream here and at some peers.
void StoreOrigin(EdgeState& edge, std::uint64_t stream, std::uint64_t version) {
  const TimePoint now = RuntimeClock::now();
  dispatch::RecordOrigin(edge.origins, stream, version, now);
  const std::string bytes = EncodeOrigins({{stream, version}});
  for (const std::string& holder : dispatch::OriginHolders(edge.peers, stream, now)) {
    SendDatagram(edge, holder, bytes);
  }
}

struct Lookup {
  std::optional<std::uint64_t> version;
  std::string source;
  // Peers that store the origin, and those of them that gave no answer.
  std::size_t holders = 0;
  std::size_t silent = 0;
};

asio::awaitable<Lookup> AskHolders(RequestRun& run, std::uint64_t stream) {
  EdgeState& edge = *run.edge;
  Lookup lookup;
  for (std::string& holder : dispatch::OriginHolders(edge.peers, stream, RuntimeClock::now())) {
    transport::Endpoint endpoint(holder, edge.settings.peer_endpoint.port);
    transport::HttpRequest request("GET", std::string(kOriginTarget) + Hexadecimal(stream));
    transport::ExchangeTimeouts timeouts;
    timeouts.connect = timeouts.first_byte = timeouts.between_bytes = kLookupTimeout;
    timeouts.total = kLookupTimeout;
    auto response = co_await transport::Fetch(edge.connections, std::move(endpoint),
                                              std::move(request), timeouts, kMaxAnswerBytes);
    ++lookup.holders;
    lookup.silent += response ? 0 : 1;
    if (response && response.value().status == 200) {
      lookup.version = ParseHexadecimal(response.value().body);
      lookup.source = std::move(holder);
    }
    if (lookup.version || run.stopped != StopReason::kNone) {
      break;
    }
  }
  co_return lookup;
}

std::optional<std::uint64_t> FindOnlyVersion(const RequestRun& run) {
  const EdgeState& edge = *run.edge;
  return dispatch::OnlyVersion(edge.upstreams, run.service.name, run.route.timeout + kTakeUpTime,
                               edge.listings_followed_since, RuntimeClock::now());
}

dispatch::UnixTime UnixNow() {
  return std::chrono::duration_cast<dispatch::UnixTime>(
      std::chrono::system_clock::now().time_since_epoch());
}

bool IsResumable(const RequestRun& run) {
  return run.route.is_stream && run.route.repeatability == dispatch::Repeatability::kResumable;
}

// Returns the version that all instances chose for the stream, if that is certain.
std::optional<std::uint64_t> FindChosenVersion(const RequestRun& run) {
  const std::string_view origin = OriginId(run.request);
  // A route with several services may have sent the stream to another one.
  if (!IsResumable(run) || dispatch::ChooseService(run.route, origin) != run.service.name) {
    return std::nullopt;
  }
  const Duration waited = RuntimeClock::now() - run.started;
  return dispatch::InferStreamVersion(
      run.edge->upstreams, run.service.name, dispatch::ChatKey(run.request.prompt, origin),
      run.route.timeout + kTakeUpTimeAfterPowerLoss + waited, UnixNow());
}

// True if changes of the listings may reach other instances but not this one. While the store is
// out, no instance sees any, and all are still heard from.
bool MayMissListings(const EdgeState& edge) {
  const TimePoint now = RuntimeClock::now();
  const auto age = dispatch::ConfirmationAge(edge.freshness, now);
  if (age && *age <= dispatch::kMaxListingAge) {
    return false;
  }
  std::size_t live = 0;
  std::size_t silent = 0;
  for (const auto& [address, peer] : edge.peers.peers) {
    const bool is_live = dispatch::IsLive(edge.peers, peer, now);
    live += is_live ? 1 : 0;
    silent += is_live || peer.digest.leaving ? 0 : 1;
  }
  return !edge.upstreams.domains_silent.empty() || silent > live;
}

// Waits until the listings are known to contain all that was in the store when the request
// came. Returns false if they are not confirmed within the regular time.
asio::awaitable<bool> AwaitConfirmation(RequestRun& run) {
  const EdgeState& edge = *run.edge;
  const TimePoint wait_until = run.started + edge.freshness.settings.bound / 2;
  RuntimeTimer timer(run.edge->io);
  while (edge.freshness.confirmed_at.value_or(TimePoint::min()) < run.started) {
    if (run.stopped != StopReason::kNone || RuntimeClock::now() >= wait_until) {
      co_return false;
    }
    timer.expires_after(kConfirmationCheckInterval);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
  co_return true;
}

// Sets the version of a stream whose origin is unknown, if only one can have begun it. When all
// peers that would know the stream say that they don't, it didn't begin just now, and the listings
// may be a little out of date.
asio::awaitable<void> InferVersion(RequestRun& run, Lookup& lookup) {
  const bool is_denied = lookup.holders > 0 && lookup.silent == 0;
  lookup.version = FindOnlyVersion(run);
  lookup.source = "only_version";
  if (lookup.version ? is_denied : !FindChosenVersion(run)) {
    co_return;
  }
  const bool is_confirmed = co_await AwaitConfirmation(run);
  lookup.version = is_confirmed ? FindOnlyVersion(run) : std::nullopt;
  if (is_confirmed && !lookup.version) {
    lookup.version = FindChosenVersion(run);
    lookup.source = "version_choice";
  }
}

}  // namespace

void RecordStreamBegin(RequestRun& run, const dispatch::Upstream& upstream) {
  if (run.stream_version) {
    return;
  }
  run.stream_version = upstream.version;
  if (run.route.repeatability == dispatch::Repeatability::kResumable) {
    StoreOrigin(*run.edge, dispatch::StreamKey(run.request.id), upstream.version);
  }
}

std::optional<std::uint64_t> RequiredVersion(const RequestRun& run) {
  if (run.stream_version || !IsResumable(run)) {
    return run.stream_version;
  }
  return dispatch::ChooseStreamVersion(run.edge->upstreams, run.service.name,
                                       dispatch::ChatKey(run.request.prompt, run.request.id),
                                       UnixNow());
}

std::optional<Refusal> CheckListings(const RequestRun& run) {
  if (run.stream_version || !RequiredVersion(run) || !MayMissListings(*run.edge)) {
    return std::nullopt;
  }
  return Refusal{503, "listings_too_old",
                 "upstreams of several versions serve, and newer ones may not be known here",
                 RunState::kNotRun, kLookupRetryAfter};
}

asio::awaitable<std::optional<Refusal>> FindStreamVersion(RequestRun& run) {
  EdgeState& edge = *run.edge;
  const std::uint64_t stream = dispatch::StreamKey(OriginId(run.request));
  Lookup lookup{dispatch::FindOrigin(edge.origins, stream), "own"};
  std::string_view source = lookup.source;
  // An instance that was cut off or stood still may not know all versions, so peers come first.
  if (!lookup.version && !run.request.resumes.empty()) {
    lookup = co_await AskHolders(run, stream);
    source = "peer";
  }
  if (!lookup.version) {
    co_await InferVersion(run, lookup);
    source = lookup.source;
  }
  if (!lookup.version) {
    source = "none";
  }
  edge.metrics.Count("geranium_streams_taken_up_total", {{"source", source}});
  LogEvent(LogLevel::kInfo, "stream_taken_up",
           {{"request_id", run.request.id},
            {"resumes", run.request.resumes},
            {"after_event", run.request.last_event_id.value_or(0)},
            {"version", lookup.version ? Hexadecimal(*lookup.version) : ""},
            {"source", lookup.version ? lookup.source : "none"},
            {"holders", lookup.holders},
            {"silent_peers", lookup.silent},
            {"elapsed_ms", Milliseconds(RuntimeClock::now() - run.started)}});
  run.stream_version = lookup.version;
  if (lookup.version) {
    StoreOrigin(edge, stream, *lookup.version);
    co_return std::nullopt;
  }
  const bool may_be_known_soon =
      lookup.silent > 0 || FindOnlyVersion(run) || FindChosenVersion(run);
  co_return Refusal{503, "stream_version_unknown",
                    "the version of the upstream at which the stream began is not known",
                    RunState::kNotRun, may_be_known_soon ? kLookupRetryAfter : Duration{0}};
}

void UpdateListingsFollowed(EdgeState& edge) {
  const TimePoint now = RuntimeClock::now();
  const auto age = dispatch::ConfirmationAge(edge.freshness, now);
  if (!age || *age > edge.freshness.settings.bound) {
    edge.listings_followed_since = now;
  }
}

bool ReceiveOrigins(EdgeState& edge, std::string_view bytes) {
  const auto origins = DecodeOrigins(bytes);
  if (!origins) {
    return false;
  }
  for (const auto& [stream, version] : *origins) {
    dispatch::RecordOrigin(edge.origins, stream, version, RuntimeClock::now());
  }
  return true;
}

bool IsOriginRequest(std::string_view target) {
  return target.starts_with(kOriginTarget);
}

transport::HttpResponse AnswerOriginRequest(const EdgeState& edge, std::string_view target) {
  const auto stream = ParseHexadecimal(target.substr(kOriginTarget.size()));
  const auto version = stream ? dispatch::FindOrigin(edge.origins, *stream) : std::nullopt;
  return version ? transport::HttpResponse(200, {}, Hexadecimal(*version))
                 : transport::HttpResponse(404);
}

}  // namespace geraniumspread::edge::detail
