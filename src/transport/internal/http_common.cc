#include "transport/internal/http_common.h"

namespace geraniumspread::transport::detail {

Result<std::uint16_t> OpenAcceptor(Tcp::acceptor& acceptor, const Endpoint& endpoint) {
  boost::system::error_code error;
  const auto address = boost::asio::ip::make_address(endpoint.address, error);
  if (error) {
    return TransportError{TransportErrorCode::kInvalidAddress, ExchangePhase::kNotStarted,
                          "\"" + endpoint.address + "\" is not an IP address"};
  }
  const Tcp::endpoint local(address, endpoint.port);
  acceptor.open(local.protocol(), error);
  if (!error) {
    acceptor.set_option(Tcp::acceptor::reuse_address(true), error);
  }
  if (!error) {
    acceptor.bind(local, error);
  }
  if (!error) {
    acceptor.listen(Tcp::acceptor::max_listen_connections, error);
  }
  if (error) {
    boost::system::error_code ignored;
    acceptor.close(ignored);
    const bool is_in_use = error == boost::asio::error::address_in_use;
    return TransportError{
        is_in_use ? TransportErrorCode::kAddressInUse : TransportErrorCode::kInvalidAddress,
        ExchangePhase::kNotStarted,
        "can't listen on " + ToString(endpoint) + ": " + error.message()};
  }
  return acceptor.local_endpoint(error).port();
}

}  // namespace geraniumspread::transport::detail
