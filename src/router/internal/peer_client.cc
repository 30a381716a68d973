#include "router/internal/peer_client.h"

#include <utility>

#include "transport/http_client.h"

namespace geraniumspread::router::detail {
namespace {

constexpr std::size_t kMaxAnswerBytes = std::size_t{64} * 1024;
constexpr Duration kAnswerTimeout = std::chrono::seconds(3);

}  // namespace

boost::asio::awaitable<int> PostToPeer(RouterContext& context,
                                       fleet::RouterMember receiver,
                                       std::string target,
                                       std::string body) {
  transport::HttpRequest request("POST", std::move(target), {}, std::move(body));
  SignPeerRequest(context.state->identity.shared_key, receiver.incarnation, request);
  transport::Endpoint endpoint(receiver.endpoint.address, receiver.endpoint.peer_port);
  transport::ExchangeTimeouts timeouts;
  timeouts.first_byte = kAnswerTimeout;
  const auto response = co_await transport::Fetch(context.connections, std::move(endpoint),
                                                  std::move(request), timeouts, kMaxAnswerBytes);
  co_return response ? response.value().status : 0;
}

bool IsFromPeer(RouterContext& context, const transport::HttpRequest& request) {
  const RouterIdentity& identity = context.state->identity;
  return VerifyPeerRequest(identity.shared_key, identity.incarnation, request, context.nonces,
                           RuntimeClock::now());
}

}  // namespace geraniumspread::router::detail
