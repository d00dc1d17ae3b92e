#include <atomic>
#include <mutex>
#include <set>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/span_body.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include "linnetlane/runtime/http.h"
#include "linnetlane/runtime/internal/await.h"
#include "linnetlane/runtime/internal/beast_messages.h"
#include "linnetlane/runtime/internal/byte_stream.h"
#include "linnetlane/runtime/internal/listen.h"
#include "linnetlane/runtime/response_memory.h"

namespace linnetlane::runtime {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr auto http_1_1 = 11U;
// How often to check for a disconnect if the client sent more bytes while its request is served.
constexpr auto closed_check_interval = std::chrono::milliseconds{100};
// Delay before the next accept after a failed one, such as when file descriptors have run out.
constexpr auto accept_retry_interval = std::chrono::milliseconds{50};
// Smaller parts of a response aren't counted while they are sent.
constexpr auto min_counted_bytes = std::size_t{16} * 1024;

using request_parser = http::request_parser<http::string_body>;

// How the client finds the end of a streamed body.
enum class body_framing {
    chunked,
    // The client doesn't know chunks. The body ends with the connection, which is reset if the body
    // isn't complete.
    until_close,
    // The response has no body.
    none,
};

// Responses with these statuses have no body, whatever their fields state.
auto has_no_body(int status) -> bool {
    return http::to_status_class(static_cast<unsigned>(status)) ==
               http::status_class::informational ||
           status == static_cast<int>(http::status::no_content) ||
           status == static_cast<int>(http::status::not_modified);
}

auto status_for(boost::system::error_code error) -> std::optional<http::status> {
    if (error == http::error::body_limit) {
        return http::status::payload_too_large;
    }
    if (error == http::error::header_limit) {
        return http::status::request_header_fields_too_large;
    }
    if (error == http::error::end_of_stream || error == http::error::partial_message) {
        return std::nullopt;
    }
    if (error == beast::error::timeout) {
        return http::status::request_timeout;
    }
    if (error.category() == make_error_code(http::error::bad_method).category()) {
        return http::status::bad_request;
    }
    return std::nullopt;
}

}  // namespace

// One connection, shared between its fiber and Asio handlers.
struct http_responder::state : std::enable_shared_from_this<http_responder::state> {
    state(asio::ip::tcp::socket accepted, http_limits const& own_limits)
        : stream(std::move(accepted)), limits(own_limits), recheck(this->stream.get_executor()) {}

    internal::byte_stream stream;
    http_limits limits;
    beast::flat_buffer buffer;
    asio::steady_timer recheck;
    std::function<void()> disconnect_notice;
    bool gone = false;
    // No byte of the next request has been read.
    bool awaiting = false;
    bool serving = false;
    bool watching = false;
    bool answered = false;
    bool streaming = false;
    bool keep_alive = true;
    // Of the current request: whether it asks for the head of the response only, and whether its
    // client knows chunks.
    bool head_only = false;
    bool knows_chunks = true;
    body_framing framing = body_framing::chunked;
    // Set when the server closes each connection after its response.
    std::atomic<bool> const* closing = nullptr;

    [[nodiscard]] auto stays_open() const -> bool {
        return this->keep_alive && (this->closing == nullptr || !*this->closing);
    }

    auto mark_disconnected() -> void {
        this->gone = true;
        auto notice = std::exchange(this->disconnect_notice, nullptr);
        if (notice) {
            notice();
        }
    }

    // Watches for a disconnect of the client while a request is served.
    auto watch() -> void {
        if (this->watching || this->gone) {
            return;
        }
        this->watching = true;
        this->stream.socket().async_wait(
            asio::ip::tcp::socket::wait_read,
            [self = this->shared_from_this()](boost::system::error_code error) {
                self->watching = false;
                self->check_disconnect(error);
            });
    }

    auto check_disconnect(boost::system::error_code error) -> void {
        if (error == asio::error::operation_aborted || !this->serving) {
            return;
        }
        if (error || this->stream.peer_closed()) {
            this->mark_disconnected();
            return;
        }
        this->schedule_disconnect_check();
    }

    // Pending bytes of the next request keep the socket readable, so check periodically.
    auto schedule_disconnect_check() -> void {
        this->watching = true;
        this->recheck.expires_after(closed_check_interval);
        this->recheck.async_wait(
            [self = this->shared_from_this()](boost::system::error_code error) {
                self->watching = false;
                self->check_disconnect(error);
            });
    }

    auto extend_write_deadline() -> void {
        this->stream.expires_at(base::monotonic_clock::now() + this->limits.write);
    }

    auto written(internal::io_result const& result) -> bool {
        if (result.error) {
            this->keep_alive = false;
            this->mark_disconnected();
            return false;
        }
        return true;
    }

    template <typename Message>
    auto write_message(Message& message) -> bool {
        if (this->gone) {
            return false;
        }
        this->extend_write_deadline();
        return this->written(internal::await_io(
            [&](auto handler) { http::async_write(this->stream, message, std::move(handler)); }));
    }

    // Writes a message without its body.
    template <typename Message>
    auto write_head(Message& message) -> bool {
        if (this->gone) {
            return false;
        }
        auto serializer = http::response_serializer<typename Message::body_type>(message);
        this->extend_write_deadline();
        return this->written(internal::await_io([&](auto handler) {
            http::async_write_header(this->stream, serializer, std::move(handler));
        }));
    }

    template <typename Buffers>
    auto write_buffers(Buffers const& buffers) -> bool {
        if (this->gone) {
            return false;
        }
        this->extend_write_deadline();
        return this->written(internal::await_io(
            [&](auto handler) { asio::async_write(this->stream, buffers, std::move(handler)); }));
    }

    // Counts so many bytes that are sent toward the memory of all responses, as long as the result
    // exists. The connection is closed if the response has to give way to others.
    auto count_memory(std::size_t bytes) -> std::unique_ptr<response_memory::share> {
        if (bytes < min_counted_bytes || this->gone) {
            return nullptr;
        }
        auto counted = std::make_unique<response_memory::share>(
            process_response_memory(), response_group{response_direction::sent},
            [self = this->shared_from_this()] {
                asio::post(self->stream.get_executor(), [self] { self->stream.close(); });
            });
        // The write fails if this response has to give way at once.
        static_cast<void>(counted->resize(base::byte_count{static_cast<std::int64_t>(bytes)}));
        return counted;
    }

    auto send(http_response const& response) -> bool {
        this->answered = true;
        auto const counted = this->count_memory(response.body.size());
        auto message = http::response<http::span_body<char const>>{};
        message.version(http_1_1);
        message.result(static_cast<unsigned>(response.status));
        internal::copy_fields(response.fields, message);
        this->keep_alive = this->stays_open();
        message.keep_alive(this->keep_alive);
        if (!has_no_body(response.status)) {
            message.body() = {response.body.data(), response.body.size()};
        }
        message.prepare_payload();
        return this->head_only ? this->write_head(message) : this->write_message(message);
    }

    auto start(int status, http_fields const& fields) -> bool {
        this->answered = true;
        this->streaming = true;
        auto message = http::response<http::empty_body>{};
        message.version(http_1_1);
        message.result(static_cast<unsigned>(status));
        internal::copy_fields(fields, message);
        this->keep_alive = this->stays_open();
        message.keep_alive(this->keep_alive);
        this->framing = this->framing_for(status);
        message.chunked(this->framing == body_framing::chunked);
        if (this->framing == body_framing::until_close) {
            this->keep_alive = false;
            message.keep_alive(false);
            this->stream.reset_on_close(true);
        }
        return this->write_head(message);
    }

    [[nodiscard]] auto framing_for(int status) const -> body_framing {
        if (this->head_only || has_no_body(status)) {
            return body_framing::none;
        }
        return this->knows_chunks ? body_framing::chunked : body_framing::until_close;
    }

    auto write(std::string_view part) -> bool {
        if (part.empty() || this->framing == body_framing::none) {
            return !this->gone;
        }
        auto const counted = this->count_memory(part.size());
        auto const bytes = asio::buffer(part.data(), part.size());
        return this->framing == body_framing::chunked ? this->write_buffers(http::make_chunk(bytes))
                                                      : this->write_buffers(bytes);
    }

    auto finish() -> bool {
        this->streaming = false;
        if (this->framing == body_framing::chunked) {
            return this->write_buffers(http::make_chunk_last());
        }
        if (this->framing == body_framing::until_close && !this->gone) {
            this->stream.reset_on_close(false);
        }
        return !this->gone;
    }

    auto abort() -> void {
        this->answered = true;
        this->streaming = false;
        this->keep_alive = false;
        this->stream.close();
    }

    auto refuse(http::status status) -> void {
        auto message = http::response<http::string_body>{status, http_1_1};
        message.keep_alive(false);
        message.prepare_payload();
        static_cast<void>(this->write_message(message));
    }

    // Waits for the first byte of a request. False if none arrived in time.
    auto await_request() -> bool {
        if (this->buffer.size() > 0) {
            return true;
        }
        this->stream.expires_at(base::monotonic_clock::now() + this->limits.idle);
        this->awaiting = true;
        auto const read = internal::await_io([this](auto handler) {
            this->stream.async_read_some(this->buffer.prepare(this->limits.header_bytes),
                                         std::move(handler));
        });
        this->awaiting = false;
        this->buffer.commit(read.bytes);
        return !read.error;
    }

    // Ends the wait for a request, unless one has begun to arrive. Bytes that the fiber hasn't seen
    // yet may be unread, or read by an operation that can't be cancelled any more.
    auto close_if_idle() -> void {
        if (this->awaiting && this->stream.quiet()) {
            this->stream.cancel();
        }
    }

    auto read_request(request_parser& parser) -> bool {
        parser.header_limit(static_cast<std::uint32_t>(this->limits.header_bytes));
        parser.body_limit(this->limits.body_bytes);
        this->stream.expires_at(base::monotonic_clock::now() + this->limits.request_arrival);
        auto const read = internal::await_io([&](auto handler) {
            http::async_read(this->stream, this->buffer, parser, std::move(handler));
        });
        if (!read.error) {
            if (!internal::has_unknown_coding(parser.get())) {
                return true;
            }
            // Where its body ends isn't known, and the body may look like further requests.
            this->refuse(http::status::bad_request);
            return false;
        }
        if (auto const status = status_for(read.error)) {
            this->refuse(*status);
        }
        return false;
    }

    auto serve_one(http_handler const& handler, request_parser::value_type const& message) -> void {
        auto request = http_request{};
        request.method = std::string(internal::to_view(message.method_string()));
        request.target = std::string(internal::to_view(message.target()));
        request.fields = internal::fields_of(message);
        request.body = message.body();
        this->keep_alive = message.keep_alive();
        this->head_only = message.method() == http::verb::head;
        this->knows_chunks = message.version() >= http_1_1;
        this->answered = false;
        this->serving = true;
        this->watch();
        auto responder = http_responder(*this);
        handler(request, responder);
        this->serving = false;
        this->recheck.cancel();
        this->disconnect_notice = nullptr;
        this->close_incomplete_response();
    }

    auto close_incomplete_response() -> void {
        if (!this->answered && !this->gone) {
            static_cast<void>(this->send(http_response{500, {}, {}}));
        }
        if (this->streaming) {
            this->abort();
        }
    }
};

http_responder::http_responder(state& own) : connection(&own) {}

auto http_responder::send(http_response const& response) -> bool {
    return this->connection->send(response);
}

auto http_responder::start(int status, http_fields const& fields) -> bool {
    return this->connection->start(status, fields);
}

auto http_responder::write(std::string_view part) -> bool {
    return this->connection->write(part);
}

auto http_responder::finish() -> bool {
    return this->connection->finish();
}

auto http_responder::abort() -> void {
    this->connection->abort();
}

auto http_responder::client_disconnected() const -> bool {
    return this->connection->gone;
}

auto http_responder::on_client_disconnect(std::function<void()> notice) -> void {
    if (this->connection->gone) {
        notice();
        return;
    }
    this->connection->disconnect_notice = std::move(notice);
}

struct http_server::state : std::enable_shared_from_this<http_server::state> {
    state(worker_pool& own_pool, http_limits own_limits, http_handler own_handler,
          std::shared_ptr<tls_identity> own_identity)
        : pool(own_pool),
          limits(own_limits),
          handler(std::move(own_handler)),
          identity(std::move(own_identity)),
          acceptor(own_pool.context(worker_index{0})) {}

    worker_pool& pool;
    http_limits limits;
    http_handler handler;
    std::shared_ptr<tls_identity> identity;
    asio::ip::tcp::acceptor acceptor;
    base::endpoint bound;
    std::atomic<std::size_t> connections = 0;
    std::atomic<std::size_t> arriving = 0;
    std::atomic<std::size_t> requests = 0;
    std::atomic<std::size_t> turn = 0;
    std::atomic<bool> accepting = true;
    std::atomic<bool> closing = false;
    std::mutex mutex;
    // Guarded by `mutex`, as are `limits`.
    std::set<std::shared_ptr<http_responder::state>> open;

    auto current_limits() -> http_limits {
        auto const lock = std::lock_guard{this->mutex};
        return this->limits;
    }

    auto accept_all() -> void {
        while (this->accepting) {
            auto const target = worker_index{this->turn++ % this->pool.size().value};
            auto socket = asio::ip::tcp::socket(this->pool.context(target));
            auto const accepted = internal::await_io(
                [&](auto wait) { this->acceptor.async_accept(socket, std::move(wait)); });
            if (accepted.error) {
                sleep_until(base::monotonic_clock::now() + accept_retry_interval);
                continue;
            }
            this->start_connection(target, std::move(socket));
        }
    }

    auto start_connection(worker_index worker, asio::ip::tcp::socket socket) -> void {
        auto const limits_now = this->current_limits();
        if (this->connections >= limits_now.connections) {
            return;
        }
        ++this->connections;
        auto ignored = boost::system::error_code{};
        socket.set_option(asio::ip::tcp::no_delay(true), ignored);
        auto connection = std::make_shared<http_responder::state>(std::move(socket), limits_now);
        connection->closing = &this->closing;
        this->pool.spawn_on(worker, [self = this->shared_from_this(), connection] {
            self->register_open(connection);
            self->serve(*connection);
            connection->stream.close();
            self->forget(connection);
            --self->connections;
        });
    }

    auto register_open(std::shared_ptr<http_responder::state> const& connection) -> void {
        auto const lock = std::lock_guard{this->mutex};
        this->open.insert(connection);
    }

    auto forget(std::shared_ptr<http_responder::state> const& connection) -> void {
        auto const lock = std::lock_guard{this->mutex};
        this->open.erase(connection);
    }

    auto close_idle() -> void {
        auto const lock = std::lock_guard{this->mutex};
        for (auto const& connection : this->open) {
            boost::asio::post(connection->stream.get_executor(),
                              [connection] { connection->close_if_idle(); });
        }
    }

    auto secure(http_responder::state& connection) -> bool {
        if (!this->identity) {
            return true;
        }
        connection.stream.expires_at(base::monotonic_clock::now() + this->limits.request_arrival);
        auto const error =
            connection.stream.secure(this->identity->context(), internal::tls_side::server);
        return !error;
    }

    auto serve(http_responder::state& connection) -> void {
        if (!this->secure(connection)) {
            return;
        }
        while (connection.keep_alive && !connection.gone) {
            connection.limits = this->current_limits();
            auto parser = request_parser{};
            if (!connection.await_request()) {
                return;
            }
            // They may have changed while the connection was idle.
            connection.limits = this->current_limits();
            if (!this->read_request(connection, parser)) {
                return;
            }
            connection.serve_one(this->handler, parser.get());
            --this->requests;
        }
    }

    // Counts a complete request before it no longer counts as arriving.
    auto read_request(http_responder::state& connection, request_parser& parser) -> bool {
        ++this->arriving;
        auto const is_complete = connection.read_request(parser);
        this->requests += is_complete ? 1 : 0;
        --this->arriving;
        return is_complete;
    }
};

http_server::http_server(worker_pool& pool, base::endpoint const& address, http_limits limits,
                         http_handler handler, std::shared_ptr<tls_identity> identity)
    : shared(std::make_shared<state>(pool, limits, std::move(handler), std::move(identity))) {
    this->shared->bound = internal::listen_on(this->shared->acceptor, address);
    pool.spawn_on(worker_index{0}, [self = this->shared] { self->accept_all(); });
}

http_server::~http_server() {
    this->stop_accepting();
}

auto http_server::address() const -> base::endpoint {
    return this->shared->bound;
}

auto http_server::requests_arriving() const -> std::size_t {
    return this->shared->arriving;
}

auto http_server::requests_under_way() const -> std::size_t {
    return this->shared->requests;
}

auto http_server::set_limits(http_limits const& limits) -> void {
    auto const lock = std::lock_guard{this->shared->mutex};
    this->shared->limits = limits;
}

auto http_server::close_after_responses() -> void {
    this->shared->closing = true;
}

auto http_server::close_idle() -> void {
    this->shared->close_idle();
}

auto http_server::stop_accepting() -> void {
    this->shared->accepting = false;
    asio::post(this->shared->acceptor.get_executor(), [self = this->shared] {
        auto ignored = boost::system::error_code{};
        self->acceptor.close(ignored);
    });
}

}  // namespace linnetlane::runtime
