#include "edge/internal/peer_exchange.h"

#include <algorithm>
#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <charconv>
#include <limits>

#include "edge/internal/brittle_exchange.h"
#include "edge/internal/crash_watch.h"
#include "edge/internal/limit_exchange.h"
#include "edge/internal/peer_codec.h"
#include "edge/internal/published_feed.h"
#include "edge/internal/relay.h"
#include "edge/internal/stream_resumption.h"
#include "edge/internal/upstream_news_exchange.h"
#include "edge/internal/waiting_room.h"

namespace geraniumspread::edge::detail {
namespace {

namespace asio = boost::asio;
using asio::ip::udp;
using observability::LogEvent;
using observability::LogLevel;

// News goes to all peers of a small fleet, as digests do. In a larger one each message goes to
// this many, and those who learn something new pass it on.
constexpr std::size_t kMaxPeersToldAtOnce = 12;
constexpr std::size_t kNewsTargets = 4;
// News that is not passed on and soon of no use goes to this many.
constexpr std::size_t kUrgentNewsTargets = 16;
constexpr std::size_t kMaxDatagramBytes = std::size_t{2} * 1024;
constexpr std::string_view kStateTarget = "/published?after=";
constexpr std::string_view kEraParameter = "&era=";
// No peer is in this era, so it sends all items.
constexpr dispatch::StorePosition kCompleteState = {
    .era = std::numeric_limits<std::uint64_t>::max(),
    .revision = 0};
// Allows for some megabytes of state over a 10 Mbit/s link. After a timeout, another peer
// is tried.
constexpr Duration kPullTimeout = std::chrono::seconds(3);
// An instance that watches the store receives the same changes from it shortly after its
// peers do, so it waits this long before it copies them from a peer.
constexpr Duration kFeedGrace = std::chrono::milliseconds(400);

std::string_view ToString(dispatch::PeerChange change) {
  switch (change) {
    case dispatch::PeerChange::kNone:
      return "none";
    case dispatch::PeerChange::kJoined:
      return "joined";
    case dispatch::PeerChange::kRestarted:
      return "restarted";
    case dispatch::PeerChange::kReturned:
      return "returned";
    case dispatch::PeerChange::kLeaving:
      return "leaving";
  }
  return "none";
}

dispatch::PeerDigest MakeDigest(EdgeState& edge) {
  dispatch::PeerDigest digest;
  digest.instance = edge.settings.instance;
  digest.incarnation = edge.incarnation;
  digest.sequence = ++edge.digest_sequence;
  digest.address = edge.settings.address;
  digest.failure_domain = edge.settings.failure_domain;
  digest.leaving = edge.stopping;
  digest.published = edge.published.position;
  digest.retained_fingerprint = dispatch::RetainedFingerprint(edge.published);
  digest.confirmation_age = dispatch::ConfirmationAge(edge.freshness, RuntimeClock::now());
  digest.reads_store = edge.feed_reachable && edge.reads_store;
  digest.reaches_upstreams = edge.path.state != dispatch::PathState::kLost && !edge.stopping &&
                             dispatch::CountConfigured(edge.upstreams) > 0;
  digest.loads = dispatch::OwnLoads(edge.upstreams);
  digest.reports = dispatch::OwnReports(edge.upstreams, RuntimeClock::now());
  digest.known_addresses = dispatch::AddressesToShare(edge.peers, edge.random, RuntimeClock::now());
  return digest;
}

// Copies the peer's state after the position `after`, or all of it if the era differs.
asio::awaitable<void> PullState(Edge edge,
                                std::string address,
                                std::string instance,
                                dispatch::StorePosition after) {
  transport::Endpoint endpoint(address, edge->settings.peer_endpoint.port);
  transport::HttpRequest request("GET", std::string(kStateTarget) + std::to_string(after.revision) +
                                            std::string(kEraParameter) + std::to_string(after.era));
  transport::ExchangeTimeouts timeouts;
  timeouts.connect = std::chrono::milliseconds(250);
  timeouts.first_byte = std::chrono::milliseconds(500);
  timeouts.between_bytes = std::chrono::milliseconds(500);
  timeouts.total = kPullTimeout;
  const TimePoint asked_at = RuntimeClock::now();
  auto response = co_await transport::Fetch(edge->connections, std::move(endpoint),
                                            std::move(request), timeouts, kMaxStateBytes);
  edge->pulling = false;
  edge->metrics.ObserveTime("geranium_peer_pull_seconds", RuntimeClock::now() - asked_at);
  std::optional<StateTransfer> transfer;
  if (response && response.value().status == 200) {
    transfer = DecodeTransfer(response.value().body);
  }
  if (!transfer) {
    edge->metrics.Count("geranium_peer_pull_failures_total");
    LogEvent(LogLevel::kWarn, "peer_state_pull_failed",
             {{"peer", instance}, {"after", after.revision}});
    co_return;
  }
  LogEvent(LogLevel::kInfo, "peer_state_pulled",
           {{"peer", instance},
            {"after", after.revision},
            {"era", transfer->position.era},
            {"revision", transfer->position.revision},
            {"items", transfer->items.size()},
            {"retained", transfer->retained.size()},
            {"complete", transfer->is_complete},
            {"store_reachable", edge->feed_reachable}});
  if (transfer->is_complete) {
    ReplacePublished(*edge, std::move(transfer->items), transfer->position);
    if (edge->published.position == transfer->position) {
      MergeRetained(*edge, std::move(transfer->retained));
    }
  } else {
    ApplyPublished(*edge, dispatch::ApplyChanges(edge->published, std::move(transfer->items),
                                                 transfer->position));
  }
  // The peer computed the age after the request was sent, so counting from `asked_at`
  // never makes the confirmation look newer than it is.
  if (transfer->confirmation_age && edge->published.position == transfer->position) {
    dispatch::RecordConfirmation(edge->freshness, asked_at - *transfer->confirmation_age);
  }
}

// Adopts the peer's confirmation if this instance's published state is at least as new. A
// confirmation from another era may be about a state that the store has lost.
void ConfirmByDigest(EdgeState& edge, const dispatch::PeerDigest& digest) {
  const dispatch::StorePosition& position = edge.published.position;
  if (digest.confirmation_age && digest.published.revision != 0 &&
      digest.published.era == position.era && digest.published <= position) {
    dispatch::RecordPeerConfirmation(edge.freshness, *digest.confirmation_age, RuntimeClock::now());
  }
}

// Decodes "REVISION&era=ERA". Earlier builds send the revision alone.
dispatch::StorePosition DecodePosition(std::string_view text) {
  dispatch::StorePosition position;
  const auto [rest, error] =
      std::from_chars(text.data(), text.data() + text.size(), position.revision);
  text.remove_prefix(static_cast<std::size_t>(rest - text.data()));
  if (error == std::errc{} && text.starts_with(kEraParameter)) {
    text.remove_prefix(kEraParameter.size());
    std::from_chars(text.data(), text.data() + text.size(), position.era);
  }
  return position;
}

}  // namespace

void SendDatagram(EdgeState& edge, const std::string& address, const std::string& bytes) {
  boost::system::error_code error;
  const auto ip = asio::ip::make_address(address, error);
  if (!error) {
    edge.digest_socket.send_to(asio::buffer(bytes), udp::endpoint(ip, edge.settings.digest_port), 0,
                               error);
  }
  if (error) {
    edge.metrics.Count("geranium_digest_send_failures_total");
  }
}

asio::awaitable<void> ReceiveDigests(Edge edge) {
  std::string buffer(kMaxDatagramBytes, '\0');
  udp::endpoint sender;
  while (edge->digest_socket.is_open()) {
    const auto [error, count] = co_await edge->digest_socket.async_receive_from(
        asio::buffer(buffer), sender, asio::as_tuple(asio::use_awaitable));
    if (error == asio::error::operation_aborted) {
      break;
    }
    if (error) {
      continue;
    }
    const std::string_view bytes = std::string_view(buffer).substr(0, count);
    const std::string address = sender.address().to_string();
    const auto digest = DecodeDigest(bytes);
    if (!digest && edge->peers.peers.contains(address) &&
        (ReceiveCrashEvidence(*edge, bytes, address) || ReceiveLimitNews(*edge, bytes, address) ||
         ReceiveBrittleNews(*edge, bytes, address) || ReceiveOrigins(*edge, bytes) ||
         ReceiveUpstreamNews(*edge, bytes, address))) {
      continue;
    }
    // Accept a digest only from the address that it describes.
    if (!digest || digest->address != address) {
      edge->metrics.Count("geranium_digests_refused_total");
      continue;
    }
    edge->metrics.Count("geranium_digests_received_total");
    if (dispatch::IsNewDigest(edge->peers, *digest)) {
      ConfirmByDigest(*edge, *digest);
    }
    const auto change =
        dispatch::ApplyDigest(edge->peers, edge->upstreams, *digest, RuntimeClock::now());
    if (change != dispatch::PeerChange::kNone) {
      dispatch::ResendEvidence(edge->crashes, RuntimeClock::now());
      LogEvent(LogLevel::kInfo, "peer",
               {{"peer", digest->instance},
                {"change", ToString(change)},
                {"address", digest->address},
                {"revision", digest->published.revision},
                {"instances", dispatch::KnownInstances(edge->peers)}});
    }
    PumpWaitingRooms(*edge);
    PullIfBehind(edge);
  }
}

void SendDigests(EdgeState& edge) {
  dispatch::PeerDigest digest = MakeDigest(edge);
  const std::string bytes = EncodeDigest(digest);
  std::vector<std::string> targets =
      dispatch::DigestTargets(edge.peers, edge.reads_store, edge.random, RuntimeClock::now());
  for (const std::string& seed : edge.settings.seed_addresses) {
    const bool is_peer = edge.peers.peers.contains(seed) || seed == edge.settings.address;
    if (!is_peer) {
      targets.push_back(seed);
    }
  }
  for (const std::string& target : targets) {
    SendDatagram(edge, target, bytes);
  }
  const std::vector<std::string> brief_targets =
      dispatch::BriefDigestTargets(edge.peers, edge.reads_store, targets, RuntimeClock::now());
  if (brief_targets.empty()) {
    return;
  }
  digest.is_brief = true;
  digest.loads.clear();
  digest.reports.clear();
  digest.known_addresses.clear();
  const std::string brief = EncodeDigest(digest);
  for (const std::string& target : brief_targets) {
    SendDatagram(edge, target, brief);
  }
}

void SendNews(EdgeState& edge, const std::string& bytes, bool is_urgent) {
  std::vector<std::string> targets =
      dispatch::DigestTargets(edge.peers, edge.reads_store, edge.random, RuntimeClock::now());
  if (edge.peers.peers.size() > kMaxPeersToldAtOnce) {
    std::ranges::shuffle(targets, edge.random);
    targets.resize(std::min(targets.size(), is_urgent ? kUrgentNewsTargets : kNewsTargets));
  }
  for (const std::string& target : targets) {
    SendDatagram(edge, target, bytes);
  }
}

void PullIfBehind(const Edge& edge) {
  const TimePoint now = RuntimeClock::now();
  const dispatch::Peer* ahead =
      dispatch::ChooseNewerPeer(edge->peers, edge->published.position, edge->random, now);
  if (ahead == nullptr) {
    edge->behind_since.reset();
    return;
  }
  const TimePoint behind_since = edge->behind_since.value_or(now);
  edge->behind_since = behind_since;
  const bool follows_store = edge->feed_reachable && edge->reads_store;
  if (edge->pulling || (follows_store && behind_since + kFeedGrace > now)) {
    return;
  }
  edge->pulling = true;
  asio::co_spawn(
      edge->io,
      PullState(edge, ahead->digest.address, ahead->digest.instance, edge->published.position),
      asio::detached);
}

void PullRetained(const Edge& edge) {
  const dispatch::PublishedState& state = edge->published;
  const dispatch::Peer* peer = dispatch::ChooseRetainingPeer(
      edge->peers, state.position, dispatch::RetainedFingerprint(state), edge->merged_retained,
      RuntimeClock::now());
  if (peer == nullptr || edge->pulling) {
    return;
  }
  edge->pulling = true;
  edge->merged_retained.set(peer->digest.retained_fingerprint);
  asio::co_spawn(edge->io,
                 PullState(edge, peer->digest.address, peer->digest.instance, kCompleteState),
                 asio::detached);
}

asio::awaitable<void> ServePeerState(Edge edge,
                                     transport::HttpRequest request,
                                     transport::HttpResponder& responder) {
  if (IsRelayRequest(request)) {
    co_await ServeRelay(edge, std::move(request), responder);
    co_return;
  }
  if (IsOriginRequest(request.target)) {
    transport::HttpResponse origin = AnswerOriginRequest(*edge, request.target);
    co_await responder.Send(std::move(origin));
    co_return;
  }
  if (!request.target.starts_with(kStateTarget)) {
    transport::HttpResponse not_found(404);
    co_await responder.Send(std::move(not_found));
    co_return;
  }
  const dispatch::StorePosition after =
      DecodePosition(std::string_view(request.target).substr(kStateTarget.size()));
  const dispatch::PublishedState& state = edge->published;
  // Earlier builds name no era.
  const bool is_same_era =
      after.era == state.position.era || (after.era == 0 && !state.was_restored);
  StateTransfer transfer;
  transfer.position = state.position;
  transfer.confirmation_age = dispatch::ConfirmationAge(edge->freshness, RuntimeClock::now());
  auto changes = is_same_era ? dispatch::ChangesSince(state, after.revision) : std::nullopt;
  if (changes) {
    transfer.items = std::move(*changes);
  } else {
    transfer.is_complete = true;
    for (const auto& [key, item] : state.items) {
      transfer.items.push_back(item);
    }
    transfer.retained = dispatch::CopyRetained(state, RuntimeClock::now());
  }
  transport::HttpResponse response(200, {}, EncodeTransfer(transfer));
  co_await responder.Send(std::move(response));
}

}  // namespace geraniumspread::edge::detail
