#include <algorithm>
#include <array>
#include <charconv>
#include <functional>
#include <limits>
#include <map>
#include <utility>

#include <boost/asio/error.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include "linnetlane/runtime/http.h"
#include "linnetlane/runtime/internal/await.h"
#include "linnetlane/runtime/internal/beast_messages.h"
#include "linnetlane/runtime/internal/byte_stream.h"
#include "linnetlane/runtime/response_memory.h"

namespace linnetlane::runtime {

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr auto http_1_1 = 11U;
constexpr auto chunk_bytes = std::size_t{16} * 1024;
constexpr auto max_response_header_bytes = std::uint32_t{64} * 1024;
// All interim responses (1xx) before one final response.
constexpr auto max_interim_bytes = std::size_t{64} * 1024;
// Readers limit the length of a response themselves. Without a limit, Beast rejects every declared
// length as too long.
constexpr auto no_body_limit = std::numeric_limits<std::uint64_t>::max();
// Received bytes that the parser can't use yet. Beast doesn't limit the line before a chunk, for
// which it would wait without end.
constexpr auto max_buffered_bytes = std::size_t{256} * 1024;
// The length of a response that is read only to reach the next one.
constexpr auto max_skipped_body_bytes = std::size_t{1} * 1024 * 1024;
constexpr auto kept_connections_per_endpoint = std::size_t{64};
// How long an idle connection is kept if the server states no idle timeout.
constexpr auto default_keep_time = std::chrono::seconds{4};
// Fraction of the server's idle timeout after which a connection is not reused: a request that is
// sent while the server closes the connection would have an unknown outcome.
constexpr auto kept_fraction_of_timeout = 0.6;
// A connect takes a round trip and the handshake; one that takes this long is assumed to fail.
constexpr auto connect_timeout = std::chrono::milliseconds{400};
// Time for a server to accept and reset a connection, in addition to the round trip.
constexpr auto verification_margin = std::chrono::milliseconds{2};
// Two unanswered probes close a connection.
constexpr auto probe_interval = std::chrono::seconds{1};

struct connection {
    explicit connection(boost::asio::io_context& context) : stream(context) {}

    internal::byte_stream stream;
    beast::flat_buffer buffer{max_buffered_bytes};
    // It has carried an earlier request.
    bool reused = false;
    // Not used for another request after this.
    base::time_point reusable_until = base::time_point::max();
};

using connection_pointer = std::shared_ptr<connection>;

// Idle connections of one worker.
thread_local auto idle_connections = std::map<base::endpoint, std::vector<connection_pointer>>{};

auto take_idle(base::endpoint const& to) -> connection_pointer {
    auto const found = idle_connections.find(to);
    if (found == idle_connections.end()) {
        return nullptr;
    }
    auto& kept = found->second;
    while (!kept.empty()) {
        auto candidate = std::move(kept.back());
        kept.pop_back();
        if (candidate->reusable_until > base::monotonic_clock::now() && candidate->stream.quiet()) {
            return candidate;
        }
    }
    return nullptr;
}

auto keep_idle(base::endpoint const& to, connection_pointer used) -> void {
    auto& kept = idle_connections[to];
    if (kept.size() < kept_connections_per_endpoint) {
        if (used->buffer.capacity() > chunk_bytes) {
            used->buffer.shrink_to_fit();
        }
        kept.push_back(std::move(used));
    }
}

// How long to keep a connection: a fraction of the idle timeout that the response states, or the
// default.
auto keep_time(http_fields const& fields) -> base::duration {
    auto const stated = fields.find("Keep-Alive");
    auto const at = stated ? stated->find("timeout=") : std::string_view::npos;
    if (at == std::string_view::npos) {
        return default_keep_time;
    }
    auto const digits = stated->substr(at + std::string_view{"timeout="}.size());
    auto seconds = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
    return base::from_seconds(kept_fraction_of_timeout * seconds);
}

auto kind_of(boost::system::error_code error) -> http_failure_kind {
    if (error == beast::error::timeout) {
        return http_failure_kind::timed_out;
    }
    if (error == http::error::body_limit || error == http::error::header_limit) {
        return http_failure_kind::too_large;
    }
    if (error == http::error::end_of_stream || error == http::error::partial_message) {
        return http_failure_kind::closed;
    }
    if (error.category() == make_error_code(http::error::bad_method).category()) {
        return http_failure_kind::malformed;
    }
    return http_failure_kind::closed;
}

// Beast passes on any three digits. RFC 9110, 15: others than these are invalid.
auto is_valid_status(unsigned status) -> bool {
    constexpr auto lowest = 100U;
    constexpr auto highest = 599U;
    return status >= lowest && status <= highest;
}

// Returns whether one of the field lines that `received` begins with is continued by a line that
// begins with a blank. Beast joins the two, though a sender may mean another field by the second.
auto has_folded_line(std::string_view received) -> bool {
    constexpr auto line_end = std::string_view{"\r\n"};
    while (!received.starts_with(line_end)) {
        auto const end = received.find(line_end);
        if (end == std::string_view::npos) {
            return false;
        }
        received.remove_prefix(end + line_end.size());
        if (received.starts_with(' ') || received.starts_with('\t')) {
            return true;
        }
    }
    return false;
}

// Also for codes that Beast doesn't know.
auto is_interim(unsigned status) -> bool {
    return http::to_status_class(status) == http::status_class::informational;
}

auto failure_after_send(boost::system::error_code error) -> http_failure {
    return http_failure{kind_of(error), send_state::may_have_been_sent};
}

// Waits for the time in which a reset of a connection, begun at `began` and established now, would
// arrive. Returns whether the connection is still open.
auto stays_open(connection& opened, base::time_point began, base::time_point deadline) -> bool {
    auto const now = base::monotonic_clock::now();
    auto const round_trip = now - began;
    sleep_until(std::min(deadline, now + round_trip + verification_margin));
    return opened.stream.quiet();
}

auto connect(base::endpoint const& to, connection_use use, base::time_point deadline)
    -> base::result<connection_pointer, http_failure> {
    auto opened = std::make_shared<connection>(this_context());
    auto const began = base::monotonic_clock::now();
    opened->stream.expires_at(std::min(deadline, began + connect_timeout));
    auto const error = opened->stream.connect(to);
    if (error == beast::error::timeout) {
        return http_failure{http_failure_kind::timed_out, send_state::not_sent};
    }
    if (error) {
        return http_failure{http_failure_kind::connect_failed, send_state::not_sent};
    }
    if (use == connection_use::probed) {
        opened->stream.probe_while_silent(probe_interval);
    }
    if (use == connection_use::verified && !stays_open(*opened, began, deadline)) {
        return http_failure{http_failure_kind::connect_failed, send_state::not_sent};
    }
    return opened;
}

auto take_connection(base::endpoint const& to, connection_use use, base::time_point deadline)
    -> base::result<connection_pointer, http_failure> {
    if (use != connection_use::fresh) {
        if (auto kept = take_idle(to)) {
            kept->stream.expires_at(deadline);
            kept->reused = true;
            return kept;
        }
    }
    return connect(to, use, deadline);
}

// Whether HTTP can express the request. Beast throws on longer fields, and writes line breaks as
// they are.
auto can_be_sent(http_request const& request) -> bool {
    constexpr auto max_field_bytes = std::size_t{65'533};
    constexpr auto del = '\x7f';
    auto const is_visible = [](char character) {
        return static_cast<unsigned char>(character) > ' ' && character != del;
    };
    auto const is_in_name = [&](char character) {
        return is_visible(character) && character != ':' &&
               static_cast<unsigned char>(character) < del;
    };
    auto const is_in_value = [&](char character) {
        return is_visible(character) || character == ' ' || character == '\t';
    };
    return std::ranges::all_of(request.target, is_visible) &&
           std::ranges::all_of(request.fields.entries, [&](auto const& entry) {
               auto const& [name, value] = entry;
               return !name.empty() && name.size() <= max_field_bytes &&
                      value.size() <= max_field_bytes && std::ranges::all_of(name, is_in_name) &&
                      std::ranges::all_of(value, is_in_value);
           });
}

auto to_message(base::endpoint const& to, http_request const& request)
    -> http::request<http::string_body> {
    auto message = http::request<http::string_body>{};
    message.version(http_1_1);
    message.method_string(internal::to_beast(request.method));
    message.target(internal::to_beast(request.target));
    if (!request.fields.find("Host")) {
        message.set(http::field::host, to.address + ":" + std::to_string(to.port));
    }
    internal::copy_fields(request.fields, message);
    message.body() = request.body;
    if (!request.body.empty() || request.method != "GET") {
        message.prepare_payload();
    }
    return message;
}

}  // namespace

namespace {

// A request being sent. Shared with the handler of its write, which may complete after the response
// was received.
struct outgoing {
    connection_pointer used;
    http::request<http::string_body> message;
    bool written = false;
};

auto start_write(std::shared_ptr<outgoing> const& sending) -> void {
    http::async_write(
        sending->used->stream, sending->message,
        [sending](boost::system::error_code error, std::size_t) { sending->written = !error; });
}

}  // namespace

struct http_stream::state {
    state(base::endpoint const& own_to, connection_pointer own_used)
        : to{own_to},
          used{std::move(own_used)},
          memory{std::in_place, process_response_memory(),
                 response_group{response_direction::received, own_to},
                 [&context = this_context(), connection = this->used] {
                     boost::asio::post(context, [connection] { connection->stream.close(); });
                 }} {}

    base::endpoint to;
    connection_pointer used;
    // Empty at the end of the body.
    std::optional<response_memory::share> memory;
    // What the reader uses for what it has read.
    std::size_t kept_bytes = 0;
    std::shared_ptr<outgoing> sending;
    // The response to a HEAD request has none.
    bool has_body = true;
    std::optional<http::response_parser<http::buffer_body>> parser_slot;
    http_fields fields;
    bool finished = false;
    bool may_reuse = true;
    // Called by the parser for each chunk, with its size.
    std::function<void(std::uint64_t, beast::string_view, boost::system::error_code&)> on_chunk =
        [this](std::uint64_t size, beast::string_view, boost::system::error_code& error) {
            if (size == 0 && this->has_folded_trailer()) {
                error = http::error::bad_field;
            }
        };

    [[nodiscard]] auto parser() -> http::response_parser<http::buffer_body>& {
        return *this->parser_slot;
    }

    // Counts what the response holds. Returns false if it has to give way to others.
    auto count_memory() -> bool {
        auto const bytes = this->kept_bytes + this->used->buffer.capacity();
        return this->memory->resize(base::byte_count{static_cast<std::int64_t>(bytes)});
    }

    auto note_kept(std::size_t bytes) -> bool {
        this->kept_bytes = bytes;
        return !this->memory || this->count_memory();
    }

    // Makes `whole`, which the reader keeps, large enough for `more` bytes, within `most`. Returns
    // false if the response has to give way to others.
    auto reserve(std::string& whole, std::size_t more, std::size_t most) -> bool {
        auto const needed = whole.size() + more;
        if (needed <= whole.capacity()) {
            return true;
        }
        auto const capacity = std::min(std::max(needed, 2 * whole.capacity()), most);
        // There are two copies for a moment.
        if (!this->note_kept(whole.capacity() + capacity)) {
            return false;
        }
        whole.reserve(capacity);
        return this->note_kept(whole.capacity());
    }

    // What a failed read means.
    auto failure_of_read(boost::system::error_code error) -> http_failure {
        return this->memory && !this->count_memory()
                   ? http_failure{http_failure_kind::no_memory, send_state::may_have_been_sent}
                   : failure_after_send(error);
    }

    // The bytes that the parser hasn't consumed.
    [[nodiscard]] auto unparsed() const -> std::string_view {
        auto const bytes = this->used->buffer.cdata();
        return {static_cast<char const*>(bytes.data()), bytes.size()};
    }

    // Returns whether a trailer is folded. The buffer begins with the line of the last chunk,
    // behind the line end of the chunk before it.
    [[nodiscard]] auto has_folded_trailer() const -> bool {
        auto lines = this->unparsed();
        if (lines.starts_with("\r\n")) {
            lines.remove_prefix(2);
        }
        return has_folded_line(lines);
    }

    // Reads one head into the parser. Returns the number of its bytes. What the parser leaves in
    // the buffer begins with a line, so that each line is checked before it is parsed.
    auto parse_head() -> internal::io_result {
        auto& buffer = this->used->buffer;
        auto head_bytes = std::size_t{0};
        for (;;) {
            if (has_folded_line(this->unparsed())) {
                return {http::error::bad_field, head_bytes};
            }
            auto error = boost::system::error_code{};
            auto const parsed = this->parser().put(buffer.cdata(), error);
            buffer.consume(parsed);
            head_bytes += parsed;
            if (error != http::error::need_more) {
                return {error, head_bytes};
            }
            auto const space = beast::read_size(buffer, max_response_header_bytes);
            if (space == 0) {
                return {http::error::buffer_overflow, head_bytes};
            }
            auto const read = internal::await_io([&](auto handler) {
                this->used->stream.async_read_some(buffer.prepare(space), std::move(handler));
            });
            buffer.commit(read.bytes);
            if (!this->count_memory()) {
                return {boost::asio::error::operation_aborted, head_bytes};
            }
            if (read.error == boost::asio::error::eof) {
                return {http::error::partial_message, head_bytes};
            }
            if (read.error) {
                return {read.error, head_bytes};
            }
        }
    }

    // Reads the head of the next final response. After an error the connection can't be used.
    auto read_head() -> boost::system::error_code {
        auto interim_bytes = std::size_t{0};
        for (;;) {
            this->parser_slot.emplace();
            this->parser().header_limit(max_response_header_bytes);
            this->parser().body_limit(no_body_limit);
            this->parser().skip(!this->has_body);
            this->parser().on_chunk_header(this->on_chunk);
            auto const read = this->parse_head();
            if (read.error) {
                return read.error;
            }
            auto const status = this->parser().get().result_int();
            if (!is_valid_status(status)) {
                return http::error::bad_status;
            }
            if (status == static_cast<unsigned>(http::status::switching_protocols)) {
                // No request asks for another protocol, and what follows wouldn't be HTTP.
                return http::error::bad_status;
            }
            if (!is_interim(status)) {
                if (internal::has_unknown_coding(this->parser().get())) {
                    return http::error::bad_transfer_encoding;
                }
                this->fields = internal::fields_of(this->parser().get());
                return {};
            }
            interim_bytes += read.bytes;
            if (interim_bytes > max_interim_bytes) {
                return http::error::header_limit;
            }
        }
    }

    // Reads body bytes into `chunk`. Returns their count, which is 0 only at the end of the body.
    auto read_chunk(std::array<char, chunk_bytes>& chunk)
        -> base::result<std::size_t, boost::system::error_code> {
        auto& body = this->parser().get().body();
        while (!this->parser().is_done()) {
            body.data = chunk.data();
            body.size = chunk.size();
            auto const read = internal::await_io([this](auto handler) {
                http::async_read_some(this->used->stream, this->used->buffer, this->parser(),
                                      std::move(handler));
            });
            if (read.error && read.error != http::error::need_buffer) {
                return read.error;
            }
            if (!this->count_memory()) {
                return boost::system::error_code{boost::asio::error::operation_aborted};
            }
            auto const bytes = chunk.size() - body.size;
            if (bytes > 0) {
                return bytes;
            }
        }
        if (this->parser().need_eof() && !this->sending->written) {
            // The write may have taken the error of a reset, so that the read finds a regular end.
            return boost::system::error_code{http::error::partial_message};
        }
        return std::size_t{0};
    }

    auto finish() -> void {
        if (this->finished) {
            return;
        }
        this->finished = true;
        // Otherwise the connection is about to be closed.
        auto const has_memory = this->count_memory();
        this->memory.reset();
        auto const reusable = has_memory && this->may_reuse && this->parser().get().keep_alive() &&
                              this->used->buffer.size() == 0 && this->sending->written;
        if (reusable) {
            this->used->reusable_until = base::monotonic_clock::now() + keep_time(this->fields);
            keep_idle(this->to, std::move(this->used));
        } else {
            this->used->stream.close();
        }
    }
};

http_stream::http_stream(std::unique_ptr<state> own) : opened(std::move(own)) {}
http_stream::http_stream(http_stream&&) noexcept = default;
auto http_stream::operator=(http_stream&&) noexcept -> http_stream& = default;
http_stream::~http_stream() {
    if (this->opened && !this->opened->finished) {
        this->close();
    }
}

auto http_stream::status() const -> int {
    return static_cast<int>(this->opened->parser().get().result_int());
}

auto http_stream::fields() const -> http_fields const& {
    return this->opened->fields;
}

auto http_stream::reuses_connection() const -> bool {
    return this->opened->used != nullptr && this->opened->used->reused;
}

auto http_stream::read_some(base::time_point deadline) -> base::result<std::string, http_failure> {
    auto& own = *this->opened;
    if (own.finished) {
        return std::string{};
    }
    if (!own.used) {
        return http_failure{};
    }
    own.used->stream.expires_at(deadline);
    auto chunk = std::array<char, chunk_bytes>{};
    auto const read = own.read_chunk(chunk);
    if (auto const* error = base::failure_of(read)) {
        return own.failure_of_read(*error);
    }
    auto const bytes = base::value_of(read);
    if (bytes == 0) {
        own.finish();
    }
    return std::string(chunk.data(), bytes);
}

auto http_stream::note_kept(std::size_t bytes) -> void {
    // The next read fails if the response has to give way.
    static_cast<void>(this->opened->note_kept(bytes));
}

auto http_stream::read_all(std::size_t most, base::time_point deadline)
    -> base::result<std::string, http_failure> {
    auto whole = std::string{};
    for (;;) {
        auto part = this->read_some(deadline);
        if (auto const* failure = base::failure_of(part)) {
            return *failure;
        }
        auto const& bytes = base::value_of(part);
        if (bytes.empty()) {
            return whole;
        }
        if (whole.size() + bytes.size() > most) {
            this->close();
            return http_failure{http_failure_kind::too_large, send_state::may_have_been_sent};
        }
        if (!this->opened->reserve(whole, bytes.size(), most)) {
            this->close();
            return http_failure{http_failure_kind::no_memory, send_state::may_have_been_sent};
        }
        whole += bytes;
    }
}

auto http_stream::close_after_response() -> void {
    this->opened->may_reuse = false;
}

auto http_stream::close() -> void {
    if (this->opened->used) {
        this->opened->used->stream.close();
    }
}

auto http_stream::read_next_response(base::time_point deadline)
    -> base::result<base::nothing, http_failure> {
    auto& own = *this->opened;
    if (!own.used) {
        return http_failure{};
    }
    own.used->stream.expires_at(deadline);
    auto chunk = std::array<char, chunk_bytes>{};
    auto skipped = std::size_t{0};
    for (;;) {
        auto const read = own.read_chunk(chunk);
        if (auto const* error = base::failure_of(read)) {
            return own.failure_of_read(*error);
        }
        if (base::value_of(read) == 0) {
            break;
        }
        skipped += base::value_of(read);
        if (skipped > max_skipped_body_bytes) {
            this->close();
            return http_failure{http_failure_kind::too_large, send_state::may_have_been_sent};
        }
    }
    if (!own.parser().get().keep_alive()) {
        return failure_after_send(http::error::end_of_stream);
    }
    if (auto const error = own.read_head()) {
        this->close();
        return own.failure_of_read(error);
    }
    return base::nothing{};
}

auto open_stream(base::endpoint const& to, http_request const& request, connection_use use,
                 base::time_point deadline) -> base::result<http_stream, http_failure> {
    return open_stream(to, request, use, deadline, [](std::function<void()> const&) {});
}

auto open_stream(base::endpoint const& to, http_request const& request, connection_use use,
                 base::time_point deadline, cancel_hook const& hook)
    -> base::result<http_stream, http_failure> {
    if (!can_be_sent(request)) {
        return http_failure{http_failure_kind::malformed, send_state::not_sent};
    }
    auto taken = take_connection(to, use, deadline);
    if (auto const* failure = base::failure_of(taken)) {
        return *failure;
    }
    auto state = std::make_unique<http_stream::state>(to, base::take_value(std::move(taken)));
    hook([used = state->used] { used->stream.close(); });
    state->used->stream.expires_at(deadline);
    state->sending = std::make_shared<outgoing>(outgoing{state->used, to_message(to, request)});
    start_write(state->sending);
    state->has_body = request.method != "HEAD";
    if (auto const error = state->read_head()) {
        state->used->stream.close();
        return state->failure_of_read(error);
    }
    return http_stream(std::move(state));
}

auto fetch(base::endpoint const& to, http_request const& request, connection_use use,
           base::time_point deadline, base::byte_count most)
    -> base::result<http_response, http_failure> {
    return fetch(
        to, request, use, deadline, [](std::function<void()> const&) {}, most);
}

auto fetch(base::endpoint const& to, http_request const& request, connection_use use,
           base::time_point deadline, cancel_hook const& hook, base::byte_count most)
    -> base::result<http_response, http_failure> {
    auto opened = open_stream(to, request, use, deadline, hook);
    if (auto const* failure = base::failure_of(opened)) {
        return *failure;
    }
    auto stream = base::take_value(std::move(opened));
    auto body = stream.read_all(static_cast<std::size_t>(most.value), deadline);
    if (auto const* failure = base::failure_of(body)) {
        return *failure;
    }
    return http_response{stream.status(), stream.fields(), base::take_value(std::move(body))};
}

}  // namespace linnetlane::runtime
