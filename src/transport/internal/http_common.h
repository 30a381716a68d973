#ifndef TRANSPORT_INTERNAL_HTTP_COMMON_H_
#define TRANSPORT_INTERNAL_HTTP_COMMON_H_

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/fields.hpp>
#include <cstdint>
#include <memory>
#include <string_view>

#include "common/runtime_clock.h"
#include "common/runtime_timer.h"
#include "transport/transport_types.h"

namespace geraniumspread::transport::detail {

using Timer = RuntimeTimer;
using Tcp = boost::asio::ip::tcp;

inline constexpr auto kAwaitTuple = boost::asio::as_tuple(boost::asio::use_awaitable);

inline HttpHeaders CopyHeaders(const boost::beast::http::fields& fields) {
  HttpHeaders headers;
  for (const auto& field : fields) {
    const auto name = field.name_string();
    const auto value = field.value();
    headers.push_back({{name.data(), name.size()}, {value.data(), value.size()}});
  }
  return headers;
}

// Framing headers are Beast's to write.
inline bool IsFramingHeader(std::string_view name) {
  return boost::beast::iequals(name, "Content-Length") ||
         boost::beast::iequals(name, "Transfer-Encoding") ||
         boost::beast::iequals(name, "Connection");
}

// Closes a socket unless it is disarmed in time. One deadline serves all phases
// of a connection in turn.
class Deadline {
 public:
  Deadline(const boost::asio::any_io_executor& executor, Tcp::socket& socket)
      : timer(executor), watch(std::make_shared<Watch>()) {
    this->watch->socket = &socket;
  }
  Deadline(const Deadline&) = delete;
  Deadline& operator=(const Deadline&) = delete;
  ~Deadline() { this->Disarm(); }

  void Arm(Duration timeout) {
    this->watch->expired = false;
    const std::uint64_t generation = ++this->watch->generation;
    this->timer.expires_after(timeout);
    // A wait that has fired can no longer be cancelled, so the handler checks
    // that it still belongs to the armed phase.
    this->timer.async_wait(
        [watch = this->watch, generation](const boost::system::error_code& error) {
          if (error || watch->generation != generation) {
            return;
          }
          watch->expired = true;
          boost::system::error_code ignored;
          watch->socket->close(ignored);
        });
  }
  void Disarm() {
    ++this->watch->generation;
    this->timer.cancel();
  }
  bool Expired() const { return this->watch->expired; }

 private:
  struct Watch {
    Tcp::socket* socket = nullptr;
    std::uint64_t generation = 0;
    bool expired = false;
  };

  Timer timer;
  std::shared_ptr<Watch> watch;
};

// Opens, binds and listens. Port 0 takes a free port; the port in use is returned.
Result<std::uint16_t> OpenAcceptor(Tcp::acceptor& acceptor, const Endpoint& endpoint);

}  // namespace geraniumspread::transport::detail

#endif  // TRANSPORT_INTERNAL_HTTP_COMMON_H_
