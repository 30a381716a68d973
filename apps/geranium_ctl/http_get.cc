#include "geranium_ctl/http_get.h"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <optional>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace geraniumspread::ctl {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr std::uint64_t kMaxBodyBytes = 4'000'000;
constexpr unsigned kHttp11 = 11;

struct HostPort {
  std::string host;
  std::string port;
};

std::optional<HostPort> SplitAuthority(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  std::string_view host = text.substr(0, colon);
  const std::string_view port = text.substr(colon + 1);
  if (host.starts_with('[') && host.ends_with(']')) {
    host = host.substr(1, host.size() - 2);
  } else if (host.find(':') != std::string_view::npos) {
    return std::nullopt;
  }
  std::uint16_t number = 0;
  const auto [end, code] = std::from_chars(port.data(), port.data() + port.size(), number);
  if (host.empty() || code != std::errc() || end != port.data() + port.size() || number == 0) {
    return std::nullopt;
  }
  return HostPort{std::string(host), std::string(port)};
}

// One exchange. Each step is asynchronous because only those have timeouts.
class Exchange {
 public:
  explicit Exchange(std::chrono::milliseconds limit) {
    this->stream.expires_after(limit);
    this->parser.body_limit(kMaxBodyBytes);
  }

  beast::error_code Connect(const HostPort& to) {
    asio::ip::tcp::resolver resolver(this->context);
    beast::error_code code;
    const auto endpoints = resolver.resolve(to.host, to.port, code);
    if (code) {
      return code;
    }
    this->stream.async_connect(
        endpoints, [&code](beast::error_code result, const auto& /*endpoint*/) { code = result; });
    this->Run();
    return code;
  }

  beast::error_code Send(std::string_view authority, std::string_view target) {
    http::request<http::empty_body> request(http::verb::get, target, kHttp11);
    request.set(http::field::host, authority);
    request.keep_alive(false);
    beast::error_code code;
    http::async_write(this->stream, request,
                      [&code](beast::error_code result, std::size_t) { code = result; });
    this->Run();
    return code;
  }

  beast::error_code Receive() {
    beast::error_code code;
    http::async_read(this->stream, this->buffer, this->parser,
                     [&code](beast::error_code result, std::size_t) { code = result; });
    this->Run();
    return code;
  }

  const http::response<http::string_body>& Response() const { return this->parser.get(); }

 private:
  void Run() {
    this->context.restart();
    this->context.run();
  }

  asio::io_context context{1};
  beast::tcp_stream stream{this->context};
  beast::flat_buffer buffer;
  http::response_parser<http::string_body> parser;
};

}  // namespace

HttpAnswer HttpGet(std::string_view authority,
                   std::string_view target,
                   std::chrono::milliseconds timeout) {
  const std::optional<HostPort> to = SplitAuthority(authority);
  if (!to) {
    return {"", "not HOST:PORT"};
  }
  Exchange exchange(timeout);
  if (const auto code = exchange.Connect(*to)) {
    return {"", "connect: " + code.message()};
  }
  if (const auto code = exchange.Send(authority, target)) {
    return {"", "send: " + code.message()};
  }
  if (const auto code = exchange.Receive()) {
    return {"", "receive: " + code.message()};
  }
  const auto& response = exchange.Response();
  if (response.result() != http::status::ok) {
    return {"", "HTTP status " + std::to_string(response.result_int())};
  }
  return {response.body(), ""};
}

bool IsAuthority(std::string_view text) {
  return SplitAuthority(text).has_value();
}

}  // namespace geraniumspread::ctl
