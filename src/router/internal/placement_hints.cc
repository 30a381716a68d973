#include "router/internal/placement_hints.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <utility>

#include "router/internal/peer_client.h"
#include "transport/error_response.h"

namespace geraniumspread::router::detail {
namespace {

using transport::FindHeader;
using transport::SetHeader;

boost::asio::awaitable<void> SendHint(RouterContext& context,
                                      fleet::RouterMember owner,
                                      std::string body) {
  co_await PostToPeer(context, std::move(owner), "/internal/placement", std::move(body));
}

// The three names contain no line ends.
std::string EncodeHint(const CallerRequest& request, std::string_view upstream) {
  return request.workspace + '\n' + request.chat + '\n' + std::string(upstream);
}

struct PlacementHint {
  std::string workspace;
  std::string chat;
  std::string upstream;
};

std::optional<PlacementHint> DecodeHint(std::string_view body) {
  const std::size_t first = body.find('\n');
  const std::size_t second = first == std::string_view::npos ? first : body.find('\n', first + 1);
  if (second == std::string_view::npos) {
    return std::nullopt;
  }
  return PlacementHint{std::string(body.substr(0, first)),
                       std::string(body.substr(first + 1, second - first - 1)),
                       std::string(body.substr(second + 1))};
}

}  // namespace

void AnnouncePlacement(RouterContext& context,
                       const CallerRequest& request,
                       const placement::PlacementChoice& choice) {
  const placement::PlacementState& state = context.state->placement;
  const bool is_known = choice.kind == placement::ChoiceKind::kException;
  if (choice.upstream == choice.first_choice || is_known ||
      choice.first_choice == placement::kNoUpstream ||
      state.upstreams[choice.upstream].kind != UpstreamKind::kModelEngine) {
    return;
  }
  const fleet::RouterMember* owner = FindOwner(
      *context.state, placement::UpstreamName(state, choice.first_choice), RuntimeClock::now());
  if (owner == nullptr || owner->id == context.state->identity.id) {
    return;
  }
  boost::asio::co_spawn(
      context.executor,
      SendHint(context, *owner,
               EncodeHint(request, placement::UpstreamName(state, choice.upstream))),
      boost::asio::detached);
}

std::string FindHint(const RouterContext& context,
                     const CallerRequest& request,
                     placement::UpstreamIndex asked) {
  const placement::PlacementState& state = context.state->placement;
  if (state.upstreams[asked].kind != UpstreamKind::kModelEngine) {
    return {};
  }
  const placement::UpstreamIndex elsewhere = placement::FindOtherPlacement(
      state, placement::MakeChatKey(request.workspace, request.chat), asked, RuntimeClock::now());
  return elsewhere == placement::kNoUpstream
             ? std::string()
             : std::string(placement::UpstreamName(state, elsewhere));
}

boost::asio::awaitable<void> ServePlacementHint(RouterContext& context,
                                                const transport::HttpRequest& request,
                                                transport::HttpResponder& responder) {
  const auto hint = IsFromPeer(context, request) ? DecodeHint(request.body) : std::nullopt;
  if (!hint) {
    co_await responder.Send(transport::MakeErrorResponse(
        {.status = 403, .code = "peer_not_accepted", .message = "not a hint of this fleet"}));
    co_return;
  }
  placement::PlacementState& state = context.state->placement;
  if (const auto upstream = placement::FindUpstream(state, hint->upstream);
      upstream != placement::kNoUpstream) {
    placement::RecordException(state, placement::MakeChatKey(hint->workspace, hint->chat), upstream,
                               RuntimeClock::now());
  }
  co_await responder.Send(transport::HttpResponse(200));
}

}  // namespace geraniumspread::router::detail
