#ifndef TRANSPORT_TEST_SUPPORT_FREE_PORT_H_
#define TRANSPORT_TEST_SUPPORT_FREE_PORT_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <cstdint>

#include "transport/transport_types.h"

namespace geraniumspread::transport {

// A loopback port from `first` upwards that is free now, for TCP and for UDP; each call goes on
// after the one before. The range must lie below the kernel's ephemeral ports, which
// outgoing connections of the same test could take between probe and use.
inline Endpoint FreeEndpoint(boost::asio::io_context& io, std::uint16_t first) {
  static std::uint16_t next = first;
  const auto address = boost::asio::ip::make_address("127.0.0.1");
  while (true) {
    const std::uint16_t port = next++;
    boost::asio::ip::tcp::acceptor probe(io);
    boost::system::error_code error;
    probe.open(boost::asio::ip::tcp::v4(), error);
    probe.set_option(boost::asio::ip::tcp::acceptor::reuse_address(true), error);
    probe.bind({address, port}, error);
    boost::asio::ip::udp::socket datagram_probe(io, boost::asio::ip::udp::v4());
    if (!error) {
      datagram_probe.bind({address, port}, error);
    }
    if (!error) {
      return {"127.0.0.1", port};
    }
  }
}

}  // namespace geraniumspread::transport

#endif  // TRANSPORT_TEST_SUPPORT_FREE_PORT_H_
