// Opens a listening socket.

#ifndef LINNETLANE_RUNTIME_INTERNAL_LISTEN_H_
#define LINNETLANE_RUNTIME_INTERNAL_LISTEN_H_

#include <boost/asio/ip/address.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "linnetlane/base/endpoint.h"

namespace linnetlane::runtime::internal {

// Has `acceptor` listen on `address` and returns it with the port in use; port 0 selects a free
// one. Throws `boost::system::system_error` if the address can't be bound.
inline auto listen_on(boost::asio::ip::tcp::acceptor& acceptor, base::endpoint const& address)
    -> base::endpoint {
    auto const ip = boost::asio::ip::make_address(address.address);
    auto const local = boost::asio::ip::tcp::endpoint(ip, address.port);
    acceptor.open(local.protocol());
    acceptor.set_option(boost::asio::socket_base::reuse_address(true));
    acceptor.bind(local);
    acceptor.listen();
    return base::endpoint{address.address, acceptor.local_endpoint().port()};
}

}  // namespace linnetlane::runtime::internal

#endif  // LINNETLANE_RUNTIME_INTERNAL_LISTEN_H_
