#include "transport/transport_types.h"

#include <boost/beast/core/string.hpp>
#include <charconv>

namespace geraniumspread::transport {

std::string ToString(const Endpoint& endpoint) {
  const bool is_ipv6 = endpoint.address.find(':') != std::string::npos;
  return (is_ipv6 ? "[" + endpoint.address + "]" : endpoint.address) + ":" +
         std::to_string(endpoint.port);
}

std::optional<Endpoint> ParseEndpoint(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos || colon == 0) {
    return std::nullopt;
  }
  std::string_view address = text.substr(0, colon);
  if (address.size() > 2 && address.front() == '[' && address.back() == ']') {
    address = address.substr(1, address.size() - 2);
  }
  const std::string_view port_text = text.substr(colon + 1);
  std::uint16_t port = 0;
  if (const auto [next, error] =
          std::from_chars(port_text.data(), port_text.data() + port_text.size(), port);
      error != std::errc() || next != port_text.data() + port_text.size()) {
    return std::nullopt;
  }
  return Endpoint{std::string(address), port};
}

std::string_view FindHeader(const HttpHeaders& headers, std::string_view name) {
  for (const HttpHeader& header : headers) {
    if (boost::beast::iequals(header.name, name)) {
      return header.value;
    }
  }
  return {};
}

void SetHeader(HttpHeaders& headers, std::string_view name, std::string_view value) {
  for (HttpHeader& header : headers) {
    if (boost::beast::iequals(header.name, name)) {
      header.value = value;
      return;
    }
  }
  headers.push_back({std::string(name), std::string(value)});
}

std::string_view ToString(TransportErrorCode code) {
  switch (code) {
    case TransportErrorCode::kInvalidAddress:
      return "invalid_address";
    case TransportErrorCode::kAddressInUse:
      return "address_in_use";
    case TransportErrorCode::kConnectFailed:
      return "connect_failed";
    case TransportErrorCode::kTimedOut:
      return "timed_out";
    case TransportErrorCode::kConnectionClosed:
      return "connection_closed";
    case TransportErrorCode::kMalformedMessage:
      return "malformed_message";
    case TransportErrorCode::kMessageTooLarge:
      return "message_too_large";
    case TransportErrorCode::kCancelled:
      return "cancelled";
  }
  return "unknown";
}

std::string_view ToString(ExchangePhase phase) {
  switch (phase) {
    case ExchangePhase::kNotStarted:
      return "not_started";
    case ExchangePhase::kConnecting:
      return "connecting";
    case ExchangePhase::kWritingRequest:
      return "writing_request";
    case ExchangePhase::kWaitingForResponse:
      return "waiting_for_response";
    case ExchangePhase::kReadingBody:
      return "reading_body";
    case ExchangePhase::kComplete:
      return "complete";
  }
  return "unknown";
}

}  // namespace geraniumspread::transport
