// HTTP/1.1 messages, a client and a server for fibers. Boost.Beast stays behind this header.

#ifndef LINNETLANE_RUNTIME_HTTP_H_
#define LINNETLANE_RUNTIME_HTTP_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "linnetlane/base/endpoint.h"
#include "linnetlane/base/result.h"
#include "linnetlane/base/time.h"
#include "linnetlane/runtime/tls.h"
#include "linnetlane/runtime/worker_pool.h"

namespace linnetlane::runtime {

// Header fields in order; names compare without regard to case.
struct http_fields {
    std::vector<std::pair<std::string, std::string>> entries;

    // The first value under `name`, or nothing.
    [[nodiscard]] auto find(std::string_view name) const -> std::optional<std::string_view>;
    auto add(std::string name, std::string value) -> void;
};

struct http_request {
    std::string method = "GET";
    // Path and query.
    std::string target = "/";
    http_fields fields;
    std::string body;
};

struct http_response {
    int status = 200;
    http_fields fields;
    std::string body;
};

// Why an exchange failed.
enum class http_failure_kind { connect_failed, timed_out, closed, malformed, too_large };

// Whether the other side may have seen the request.
enum class send_state { not_sent, may_have_been_sent };

struct http_failure {
    http_failure_kind kind = http_failure_kind::closed;
    runtime::send_state send_state = runtime::send_state::may_have_been_sent;
};

// ---- Client ----

// The body of an answer that comes in parts. Closing it early ends the connection, which cancels
// the request at an engine. Belongs to the worker it was opened on.
class http_stream {
public:
    struct state;
    explicit http_stream(std::unique_ptr<state> opened);
    http_stream(http_stream const&) = delete;
    auto operator=(http_stream const&) -> http_stream& = delete;
    http_stream(http_stream&&) noexcept;
    auto operator=(http_stream&&) noexcept -> http_stream&;
    ~http_stream();

    [[nodiscard]] auto status() const -> int;
    [[nodiscard]] auto fields() const -> http_fields const&;
    // The next bytes of the body; empty at its end.
    [[nodiscard]] auto read_some(base::time_point deadline)
        -> base::result<std::string, http_failure>;
    // Skips what is left of this answer and reads the head of the next one on the same connection,
    // for upstreams that send an answer nobody waits for before the one that is due.
    [[nodiscard]] auto read_next_response(base::time_point deadline)
        -> base::result<base::nothing, http_failure>;
    // Reads the rest of the body, at most `most` bytes.
    [[nodiscard]] auto read_all(std::size_t most, base::time_point deadline)
        -> base::result<std::string, http_failure>;
    // Ends the connection. A reader that is suspended on the same worker gets `closed`.
    auto close() -> void;

private:
    std::unique_ptr<state> opened;
};

// How a client treats its connections.
enum class connection_use {
    // May use a connection kept from an earlier exchange.
    pooled,
    // As `pooled`, and the other side is probed while it is silent: for calls that wait for news,
    // where a connection that went dead looks like no news.
    probed,
    // As `pooled`, and a new connection has to stand for a round trip before it is used. A server
    // that accepts connections over its limit and resets them then gets nothing: for requests that
    // must not be sent again once they may have been read.
    verified,
    // Always a new connection: a failure to connect then proves that nothing was sent.
    fresh,
};

// Sends `request` to `to` and waits for the head of the answer, also while the body is still being
// sent. A `Host` field of the request takes the place of the address. `hook` is given the function
// that ends the connection, before anything is sent; it may be called until the stream is gone.
// Call on a worker.
using cancel_hook = std::function<void(std::function<void()>)>;
[[nodiscard]] auto open_stream(base::endpoint const& to, http_request const& request,
                               connection_use use, base::time_point deadline,
                               cancel_hook const& hook) -> base::result<http_stream, http_failure>;
[[nodiscard]] auto open_stream(base::endpoint const& to, http_request const& request,
                               connection_use use, base::time_point deadline)
    -> base::result<http_stream, http_failure>;

// Sends `request` and waits for the whole answer. Call on a worker.
[[nodiscard]] auto fetch(base::endpoint const& to, http_request const& request, connection_use use,
                         base::time_point deadline, cancel_hook const& hook)
    -> base::result<http_response, http_failure>;
[[nodiscard]] auto fetch(base::endpoint const& to, http_request const& request, connection_use use,
                         base::time_point deadline) -> base::result<http_response, http_failure>;

// ---- Server ----

// Limits that keep one client from using up a server.
struct http_limits {
    std::size_t header_bytes = std::size_t{16} * 1024;
    std::size_t body_bytes = std::size_t{8} * 1024 * 1024;
    std::size_t connections = 10'000;
    // From the first byte of a request to its last.
    base::duration request_arrival = std::chrono::seconds{10};
    // Between requests on a kept connection.
    base::duration idle = std::chrono::seconds{60};
    // For the client to take one part of an answer.
    base::duration write = std::chrono::seconds{30};
};

// Answers one request. All of its functions may be called from fibers of the connection's worker.
class http_responder {
public:
    struct state;
    explicit http_responder(state& connection);

    // Sends a whole answer. False if the client is gone.
    auto send(http_response const& response) -> bool;
    // Sends the head of an answer that comes in parts. False if the client is gone.
    auto start(int status, http_fields const& fields) -> bool;
    // Sends the next part. False if the client is gone.
    auto write(std::string_view part) -> bool;
    // Ends the answer begun with `start`. False if the client is gone.
    auto finish() -> bool;
    // Ends the connection in the middle of an answer, so that the client sees it as cut off.
    auto abort() -> void;
    // Whether the client closed its connection.
    [[nodiscard]] auto client_disconnected() const -> bool;
    // Runs `notice` once, on the connection's worker, when the client closes its connection; at
    // once if it has. It must not block. A later call takes the place of the earlier `notice`.
    auto on_client_disconnect(std::function<void()> notice) -> void;

private:
    state* connection;
};

using http_handler = std::function<void(http_request const&, http_responder&)>;

// Accepts connections on the address and runs `handler` in a fiber for each request.
// Thread-safe.
class http_server {
public:
    // Port 0 takes a free port. With `identity`, connections use TLS. Throws
    // `boost::system::system_error` if the address can't be bound.
    http_server(worker_pool& pool, base::endpoint const& address, http_limits limits,
                http_handler handler, std::shared_ptr<tls_identity> identity = nullptr);
    http_server(http_server const&) = delete;
    auto operator=(http_server const&) -> http_server& = delete;
    http_server(http_server&&) = delete;
    auto operator=(http_server&&) -> http_server& = delete;
    ~http_server();

    // The address with the port in use.
    [[nodiscard]] auto address() const -> base::endpoint;
    // Requests whose handlers have not returned.
    [[nodiscard]] auto requests_under_way() const -> std::size_t;
    // Replaces the limits; connections take them over with their next request.
    auto set_limits(http_limits const& limits) -> void;
    // From now on each connection is closed once the request under way on it is answered.
    auto close_after_responses() -> void;
    // Closes the connections on which no request is under way.
    auto close_idle() -> void;
    // Stops accepting connections; requests on kept ones are still served.
    auto stop_accepting() -> void;

private:
    struct state;
    std::shared_ptr<state> shared;
};

}  // namespace linnetlane::runtime

#endif  // LINNETLANE_RUNTIME_HTTP_H_
