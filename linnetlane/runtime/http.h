// HTTP/1.1 messages, client and server for fibers. Callers of this header do not depend on
// Boost.Beast.

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
#include "linnetlane/base/units.h"
#include "linnetlane/runtime/tls.h"
#include "linnetlane/runtime/worker_pool.h"

namespace linnetlane::runtime {

// Header fields in order; names are case-insensitive.
struct http_fields {
    std::vector<std::pair<std::string, std::string>> entries;

    // The value of the first field called `name`, or nullopt.
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
enum class http_failure_kind {
    connect_failed,
    timed_out,
    closed,
    malformed,
    too_large,
    // All responses together need too much memory, and this one had to give way
    // (response_memory.h).
    no_memory,
};

// Whether the other side may have seen the request.
enum class send_state { not_sent, may_have_been_sent };

struct http_failure {
    http_failure_kind kind = http_failure_kind::closed;
    runtime::send_state send_state = runtime::send_state::may_have_been_sent;
};

// ---- Client ----

// A response whose body is read incrementally. Closing it before the end of the body closes the
// connection, which cancels the request at an engine. Used only on the worker that opened it.
//
// A body with neither a length nor chunks ends with its connection. It is complete only if the
// request had been written whole by then: a server that stops reading a request may reset the
// connection, which can end the body anywhere and can look like a regular end. Reading it then
// fails with `closed`. A body with a length or a last chunk is complete by what it states, also if
// the request was not written whole.
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
    // Returns whether the connection has carried an earlier request, so that what is received may
    // belong to that. False at the end of the body.
    [[nodiscard]] auto reuses_connection() const -> bool;
    // The next bytes of the body; empty at its end.
    [[nodiscard]] auto read_some(base::time_point deadline)
        -> base::result<std::string, http_failure>;
    // Skips the rest of this response and reads the header of the next one on the same connection,
    // for upstreams that send an unsolicited response before the expected one.
    [[nodiscard]] auto read_next_response(base::time_point deadline)
        -> base::result<base::nothing, http_failure>;
    // States how many bytes of memory the reader uses for what it has read. They count toward the
    // memory of all responses; after this response had to give way, reading it fails.
    auto note_kept(std::size_t bytes) -> void;
    // Reads the rest of the body, at most `most` bytes.
    [[nodiscard]] auto read_all(std::size_t most, base::time_point deadline)
        -> base::result<std::string, http_failure>;
    // The connection is closed after this response, instead of being used again.
    auto close_after_response() -> void;
    // Closes the connection. A read that is suspended on the same worker fails with `closed`.
    auto close() -> void;

private:
    std::unique_ptr<state> opened;
};

// Which connection a client uses for a request.
enum class connection_use {
    // May reuse an idle connection.
    pooled,
    // As `pooled`, with TCP keepalive probes while the server is silent. For long polls, where a
    // dead connection is otherwise indistinguishable from the absence of events.
    probed,
    // As `pooled`, but a new connection is used only if it is still open after another round trip.
    // A server that accepts connections over its limit and then resets them receives nothing. For
    // requests that must not be repeated once the server may have read them.
    verified,
    // Always a new connection: a failure to connect then proves that nothing was sent.
    fresh,
};

// Sends `request` to `to` and waits for the header of the response, also while the body is still
// being sent. Interim responses (1xx) are skipped; with more than 64 KiB of them, or another
// protocol (101), the request fails and the connection is closed. A `Host` field of the request
// replaces the default, the address. Before anything is sent, `hook` receives a function that
// closes the connection, which may be called until the stream is destroyed. Call on a worker.
using cancel_hook = std::function<void(std::function<void()>)>;
[[nodiscard]] auto open_stream(base::endpoint const& to, http_request const& request,
                               connection_use use, base::time_point deadline,
                               cancel_hook const& hook) -> base::result<http_stream, http_failure>;
[[nodiscard]] auto open_stream(base::endpoint const& to, http_request const& request,
                               connection_use use, base::time_point deadline)
    -> base::result<http_stream, http_failure>;

// Sends `request` and waits for the complete response, whose body may have `most` bytes. Call on a
// worker.
inline constexpr auto max_fetched_body = base::byte_count{std::int64_t{16} * 1024 * 1024};
[[nodiscard]] auto fetch(base::endpoint const& to, http_request const& request, connection_use use,
                         base::time_point deadline, cancel_hook const& hook,
                         base::byte_count most = max_fetched_body)
    -> base::result<http_response, http_failure>;
[[nodiscard]] auto fetch(base::endpoint const& to, http_request const& request, connection_use use,
                         base::time_point deadline, base::byte_count most = max_fetched_body)
    -> base::result<http_response, http_failure>;

// ---- Server ----

// Limits that keep one client from exhausting the server.
struct http_limits {
    std::size_t header_bytes = std::size_t{16} * 1024;
    std::size_t body_bytes = std::size_t{8} * 1024 * 1024;
    std::size_t connections = 10'000;
    // From the first byte of a request to its last.
    base::duration request_arrival = std::chrono::seconds{10};
    // Between requests on a keep-alive connection.
    base::duration idle = std::chrono::seconds{60};
    // For the client to receive one part of a response.
    base::duration write = std::chrono::seconds{30};
};

// Sends the response to one request. May be used by any fiber of the connection's worker.
class http_responder {
public:
    struct state;
    explicit http_responder(state& connection);

    // Sends a complete response. False if the client has disconnected.
    auto send(http_response const& response) -> bool;
    // Sends the header of a streamed response. False if the client has disconnected.
    auto start(int status, http_fields const& fields) -> bool;
    // Sends the next part of the body. False if the client has disconnected.
    auto write(std::string_view part) -> bool;
    // Ends the response begun with `start`. False if the client has disconnected.
    auto finish() -> bool;
    // Closes the connection before the response is complete, so that the client sees it truncated.
    auto abort() -> void;
    // Whether the client closed its connection.
    [[nodiscard]] auto client_disconnected() const -> bool;
    // Runs `notice` once, on the connection's worker, when the client closes its connection;
    // immediately if it already has. It must not block. A later call replaces the earlier `notice`.
    auto on_client_disconnect(std::function<void()> notice) -> void;

private:
    state* connection;
};

using http_handler = std::function<void(http_request const&, http_responder&)>;

// Accepts connections on the address and runs `handler` in a fiber for each request.
// Thread-safe.
class http_server {
public:
    // Port 0 selects a free port. With `identity`, connections use TLS. Throws
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
    // Requests that have begun to arrive and whose handlers have not been called.
    [[nodiscard]] auto requests_arriving() const -> std::size_t;
    // Requests whose handlers have not returned.
    [[nodiscard]] auto requests_under_way() const -> std::size_t;
    // Replaces the limits; a connection applies them from its next request on.
    auto set_limits(http_limits const& limits) -> void;
    // From now on, closes each connection after the response to its current request.
    auto close_after_responses() -> void;
    // Closes the connections on which no request has begun to arrive.
    auto close_idle() -> void;
    // Stops accepting connections; requests on open connections are still served.
    auto stop_accepting() -> void;

private:
    struct state;
    std::shared_ptr<state> shared;
};

}  // namespace linnetlane::runtime

#endif  // LINNETLANE_RUNTIME_HTTP_H_
