// A TCP connection with or without TLS, as one type that Beast and Asio can read and write.

#ifndef LINNETLANE_RUNTIME_INTERNAL_BYTE_STREAM_H_
#define LINNETLANE_RUNTIME_INTERNAL_BYTE_STREAM_H_

#include <memory>
#include <optional>
#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ssl/context.hpp>
#include <boost/asio/ssl/stream.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include "linnetlane/base/endpoint.h"
#include "linnetlane/base/time.h"

namespace linnetlane::runtime::internal {

using tls_context_pointer = std::shared_ptr<boost::asio::ssl::context>;

// Which end of a TLS connection this is.
enum class tls_side { client, server };

// Used only on one worker. Operations fail with `beast::error::timeout` after the deadline.
class byte_stream {
public:
    using executor_type = boost::beast::tcp_stream::executor_type;
    using next_layer_type = boost::beast::tcp_stream;

    explicit byte_stream(boost::asio::io_context& context);
    explicit byte_stream(boost::asio::ip::tcp::socket accepted);

    [[nodiscard]] auto get_executor() noexcept -> executor_type { return this->tcp.get_executor(); }
    [[nodiscard]] auto next_layer() noexcept -> next_layer_type& { return this->tcp; }
    [[nodiscard]] auto socket() -> boost::asio::ip::tcp::socket& { return this->tcp.socket(); }

    // Later operations end by `deadline`.
    auto expires_at(base::time_point deadline) -> void { this->tcp.expires_at(deadline); }
    // Opens a connection. Suspends the calling fiber.
    [[nodiscard]] auto connect(base::endpoint const& to) -> boost::system::error_code;
    // Has the kernel probe the other side after `interval` of silence; two unanswered probes close
    // the connection.
    auto probe_while_silent(std::chrono::seconds interval) -> void;
    // Performs the TLS handshake. Suspends the calling fiber.
    [[nodiscard]] auto secure(tls_context_pointer context, tls_side side)
        -> boost::system::error_code;
    // Whether the connection ends with a reset, however it ends. The other side then can't take
    // what it has received for all there is.
    auto reset_on_close(bool wanted) -> void;
    // Ends pending operations that have not transferred anything; they fail.
    auto cancel() -> void { this->tcp.cancel(); }
    // Closes the connection immediately. Pending operations fail.
    auto close() -> void;
    // Whether the other side closed its half of the connection, even after unread bytes.
    [[nodiscard]] auto peer_closed() -> bool;
    // Whether the connection is open without unread input, so that it can be reused.
    [[nodiscard]] auto quiet() -> bool;

    template <typename Buffers, typename Handler>
    auto async_read_some(Buffers const& buffers, Handler&& handler) -> void {
        if (this->tls) {
            this->tls->async_read_some(buffers, std::forward<Handler>(handler));
        } else {
            this->tcp.async_read_some(buffers, std::forward<Handler>(handler));
        }
    }

    template <typename Buffers, typename Handler>
    auto async_write_some(Buffers const& buffers, Handler&& handler) -> void {
        if (this->tls) {
            this->tls->async_write_some(buffers, std::forward<Handler>(handler));
        } else {
            this->tcp.async_write_some(buffers, std::forward<Handler>(handler));
        }
    }

private:
    boost::beast::tcp_stream tcp;
    bool resets_on_close = false;
    tls_context_pointer tls_context;
    std::optional<boost::asio::ssl::stream<boost::beast::tcp_stream&>> tls;
};

}  // namespace linnetlane::runtime::internal

#endif  // LINNETLANE_RUNTIME_INTERNAL_BYTE_STREAM_H_
