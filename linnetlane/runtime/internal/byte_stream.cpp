#include "linnetlane/runtime/internal/byte_stream.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <boost/asio/ip/address.hpp>

#include "linnetlane/runtime/internal/await.h"

namespace linnetlane::runtime::internal {

namespace asio = boost::asio;

namespace {

// The events that `poll` reports for the socket now, without waiting.
auto poll_now(asio::ip::tcp::socket& socket, short events) -> short {
    if (!socket.is_open()) {
        return POLLHUP;
    }
    auto watched = pollfd{socket.native_handle(), events, 0};
    if (::poll(&watched, 1, 0) <= 0) {
        return 0;
    }
    return watched.revents;
}

}  // namespace

byte_stream::byte_stream(asio::io_context& context) : tcp(context) {}

byte_stream::byte_stream(asio::ip::tcp::socket accepted) : tcp(std::move(accepted)) {}

auto byte_stream::connect(base::endpoint const& to) -> boost::system::error_code {
    auto error = boost::system::error_code{};
    auto const address = asio::ip::make_address(to.address, error);
    if (error) {
        return error;
    }
    auto const target = asio::ip::tcp::endpoint(address, to.port);
    auto const connected =
        await_io([&](auto handler) { this->tcp.async_connect(target, std::move(handler)); });
    if (!connected.error) {
        this->socket().set_option(asio::ip::tcp::no_delay(true), error);
    }
    return connected.error;
}

auto byte_stream::probe_while_silent(std::chrono::seconds interval) -> void {
    auto const descriptor = this->socket().native_handle();
    auto const set = [descriptor](int level, int option, int value) {
        // A failure is ignored: without probes, the call ends later, at its own deadline.
        static_cast<void>(::setsockopt(descriptor, level, option, &value, sizeof(value)));
    };
    auto const seconds = static_cast<int>(interval.count());
    set(SOL_SOCKET, SO_KEEPALIVE, 1);
    set(IPPROTO_TCP, TCP_KEEPIDLE, seconds);
    set(IPPROTO_TCP, TCP_KEEPINTVL, seconds);
    set(IPPROTO_TCP, TCP_KEEPCNT, 1);
}

auto byte_stream::secure(tls_context_pointer context, tls_side side) -> boost::system::error_code {
    this->tls_context = std::move(context);
    this->tls.emplace(this->tcp, *this->tls_context);
    auto const type =
        side == tls_side::client ? asio::ssl::stream_base::client : asio::ssl::stream_base::server;
    auto const handshake =
        await_io([&](auto handler) { this->tls->async_handshake(type, std::move(handler)); });
    return handshake.error;
}

auto byte_stream::reset_on_close(bool wanted) -> void {
    auto ignored = boost::system::error_code{};
    this->socket().set_option(asio::socket_base::linger(wanted, 0), ignored);
    this->resets_on_close = wanted;
}

auto byte_stream::close() -> void {
    auto ignored = boost::system::error_code{};
    if (!this->resets_on_close) {
        this->socket().shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
    }
    this->tcp.close();
}

auto byte_stream::peer_closed() -> bool {
    if ((poll_now(this->socket(), POLLRDHUP) & (POLLRDHUP | POLLHUP | POLLERR)) != 0) {
        return true;
    }
    auto byte = char{};
    return ::recv(this->socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

auto byte_stream::quiet() -> bool {
    return poll_now(this->socket(), POLLIN | POLLRDHUP) == 0;
}

}  // namespace linnetlane::runtime::internal
