#ifndef TRANSPORT_TRANSPORT_TYPES_H_
#define TRANSPORT_TRANSPORT_TYPES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "common/common_types.h"
#include "common/result.h"
#include "common/runtime_clock.h"

// Value types of the HTTP server, the HTTP client and the peer channel. They
// carry no Beast types, so that users of the module compile without Beast.
namespace geraniumspread::transport {

// Endpoint, HttpRequest and HttpResponse have constructors on purpose: GCC 12
// copies aggregate temporaries inside co_await expressions byte by byte, which
// frees their strings twice.
struct Endpoint {
  Endpoint() = default;
  Endpoint(std::string ip_address, std::uint16_t port_number)
      : address(std::move(ip_address)), port(port_number) {}

  std::string address;  // IPv4 or IPv6 number, no host name
  std::uint16_t port = 0;

  bool operator==(const Endpoint&) const = default;
};

std::string ToString(const Endpoint& endpoint);
// Reads "address:port". Empty when the text is not of that form.
std::optional<Endpoint> ParseEndpoint(std::string_view text);

struct HttpHeader {
  std::string name;
  std::string value;
};

using HttpHeaders = std::vector<HttpHeader>;

// The first value of the header `name` (compared without case), or an empty view.
std::string_view FindHeader(const HttpHeaders& headers, std::string_view name);
// Replaces the header `name` or adds it.
void SetHeader(HttpHeaders& headers, std::string_view name, std::string_view value);

struct HttpRequest {
  HttpRequest() = default;
  HttpRequest(std::string verb,
              std::string path,
              HttpHeaders header_list = {},
              std::string content = {})
      : method(std::move(verb)),
        target(std::move(path)),
        headers(std::move(header_list)),
        body(std::move(content)) {}

  std::string method = "GET";
  std::string target = "/";
  HttpHeaders headers;
  std::string body;
};

struct HttpResponse {
  HttpResponse() = default;
  explicit HttpResponse(int status_code, HttpHeaders header_list = {}, std::string content = {})
      : status(status_code), headers(std::move(header_list)), body(std::move(content)) {}

  int status = 200;
  HttpHeaders headers;
  std::string body;
};

enum class TransportErrorCode : std::uint8_t {
  kInvalidAddress,
  kAddressInUse,
  kConnectFailed,
  kTimedOut,
  kConnectionClosed,
  kMalformedMessage,
  kMessageTooLarge,
  kCancelled,
};

std::string_view ToString(TransportErrorCode code);

// How far an exchange had come. The values are in chronological order.
enum class ExchangePhase : std::uint8_t {
  kNotStarted,
  kConnecting,
  // From here on bytes of the request may have left this process.
  kWritingRequest,
  kWaitingForResponse,
  kReadingBody,
  kComplete,
};

std::string_view ToString(ExchangePhase phase);

struct TransportError {
  TransportErrorCode code = TransportErrorCode::kConnectionClosed;
  ExchangePhase phase = ExchangePhase::kNotStarted;
  std::string message;
  // True if the peer's machine refused the connect: no process listens there.
  bool is_refused = false;
};

template <typename T>
using Result = ResultOf<T, TransportError>;

// Limits that bound the memory and time one connection can take.
struct ServerLimits {
  std::uint32_t max_header_bytes = 16 * 1024;
  std::uint64_t max_body_bytes = std::uint64_t{4} << 20U;
  // Limit on request bodies in memory over all connections. A body of unknown
  // length counts as max_body_bytes until it is read.
  std::uint64_t max_buffered_body_bytes = std::uint64_t{96} << 20U;
  std::size_t max_connections = 10'000;
  Duration read_timeout = std::chrono::seconds(20);
  Duration idle_timeout = std::chrono::seconds(60);
  Duration write_timeout = std::chrono::seconds(20);
};

// Limits on the memory that the answers of a connection pool's exchanges take.
struct ClientLimits {
  // Limit over all answers that are being read or delivered.
  std::uint64_t max_buffered_bytes = std::uint64_t{32} << 20U;
  // Smaller answers don't count, so that large ones can't displace them.
  std::uint64_t min_counted_bytes = std::uint64_t{64} * 1024;
};

// Progress timeouts of one exchange: each phase must advance within its time.
struct ExchangeTimeouts {
  Duration connect = std::chrono::milliseconds(500);
  Duration write = std::chrono::seconds(5);
  Duration first_byte = std::chrono::seconds(30);
  Duration between_bytes = std::chrono::seconds(10);
  // Limits the whole exchange, since a peer can send bytes forever without exceeding
  // between_bytes. Zero means no limit: the caller ends the exchange itself.
  Duration total{0};
};

}  // namespace geraniumspread::transport

#endif  // TRANSPORT_TRANSPORT_TYPES_H_
