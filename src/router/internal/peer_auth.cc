#include "router/internal/peer_auth.h"

#include <array>

#include "common/secure_bytes.h"

namespace geraniumspread::router::detail {
namespace {

using transport::FindHeader;

constexpr std::size_t kNonceBytes = 16;
// A nonce is remembered for one to two periods, longer than the longest deadline.
constexpr Duration kNoncePeriod = std::chrono::hours(1);
constexpr std::size_t kMaxNonces = 200'000;

constexpr std::array<std::string_view, 16> kSignedHeaders = {
    "X-Peer-Nonce",       "X-Request-Id",    "X-Upstream",     "X-Workspace",
    "X-Workspace-Weight", "X-Chat-Id",       "X-Priority",     "X-Deadline-Ms",
    "X-Resume-Offset",    "Idempotency-Key", "X-Forward-Kind", "X-Forward-Method",
    "X-Forward-Target",   "X-Forward-Class", "X-Forward-Pool", "X-Placement-Final"};

std::string SignedText(std::uint64_t receiver, const transport::HttpRequest& request) {
  std::string text = std::to_string(receiver) + '\n' + request.method + '\n' + request.target;
  for (const std::string_view name : kSignedHeaders) {
    text += '\n';
    text += FindHeader(request.headers, name);
  }
  return text + '\n' + Sha256Hex(request.body);
}

}  // namespace

void SignPeerRequest(std::string_view shared_key,
                     std::uint64_t receiver,
                     transport::HttpRequest& request) {
  transport::SetHeader(request.headers, "X-Peer-Nonce", RandomHex(kNonceBytes));
  transport::SetHeader(request.headers, "X-Peer-Mac",
                       HmacSha256Hex(shared_key, SignedText(receiver, request)));
}

bool VerifyPeerRequest(std::string_view shared_key,
                       std::uint64_t receiver,
                       const transport::HttpRequest& request,
                       NonceTable& nonces,
                       TimePoint now) {
  const std::string expected = HmacSha256Hex(shared_key, SignedText(receiver, request));
  if (!ConstantTimeEquals(FindHeader(request.headers, "X-Peer-Mac"), expected)) {
    return false;
  }
  if (now >= nonces.rotate_at || nonces.current.size() >= kMaxNonces) {
    nonces.previous = std::exchange(nonces.current, {});
    nonces.rotate_at = now + kNoncePeriod;
  }
  std::string nonce(FindHeader(request.headers, "X-Peer-Nonce"));
  return !nonces.previous.contains(nonce) && nonces.current.insert(std::move(nonce)).second;
}

}  // namespace geraniumspread::router::detail
