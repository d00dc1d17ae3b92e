#include "linnetlane/daemon/peer_network.h"

#include <atomic>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include "linnetlane/daemon/entry_mailbox.h"
#include "linnetlane/runtime/internal/await.h"
#include "linnetlane/runtime/internal/byte_stream.h"
#include "linnetlane/runtime/internal/listen.h"

namespace linnetlane::daemon {

namespace asio = boost::asio;
using runtime::internal::await_io;
using runtime::internal::byte_stream;
using runtime::internal::tls_side;

namespace {

// Timeout of opening a connection, including its TLS handshake.
constexpr auto connect_timeout = std::chrono::milliseconds{500};
// Timeout of writing a batch of frames.
constexpr auto write_timeout = std::chrono::seconds{2};
// A link that has had nothing to send for this long is closed.
constexpr auto outbound_idle_timeout = std::chrono::seconds{60};
// An inbound connection that has received nothing for this long is closed. Longer than
// `outbound_idle_timeout`.
constexpr auto inbound_idle_timeout = std::chrono::seconds{120};
// After a link is lost, frames to its host are dropped for this long before the next connection.
constexpr auto reconnect_delay = std::chrono::milliseconds{100};
constexpr auto accept_retry_delay = std::chrono::milliseconds{50};
constexpr auto max_queued_bytes = std::size_t{64} * 1024 * 1024;
constexpr auto max_batch_bytes = std::size_t{256} * 1024;

// The sending side of the connection to one host.
struct outbound_link {
    base::host_id to;
    base::endpoint address;
    mailbox<std::string> queue;
    std::atomic<std::size_t> queued_bytes = 0;
};

}  // namespace

struct peer_network::state : std::enable_shared_from_this<peer_network::state> {
    state(runtime::worker_pool& own_pool, peer_identity own_self,
          std::shared_ptr<runtime::tls_identity> own_identity, peer_handlers own_handlers)
        : pool(own_pool),
          self(std::move(own_self)),
          identity(std::move(own_identity)),
          handlers(std::move(own_handlers)),
          acceptor(own_pool.context(runtime::worker_index{0})) {
        this->incarnation = this->self.incarnation.value;
    }

    runtime::worker_pool& pool;
    peer_identity self;
    std::shared_ptr<runtime::tls_identity> identity;
    peer_handlers handlers;
    asio::ip::tcp::acceptor acceptor;
    base::endpoint bound;
    std::atomic<std::uint64_t> incarnation = 0;
    std::atomic<std::size_t> next_worker = 0;

    std::mutex mutex;
    // Guarded by `mutex`.
    std::map<base::host_id, std::shared_ptr<outbound_link>> links;

    auto frame_of(protocol::body const& body) -> std::string {
        auto const message = protocol::envelope{this->self.host, this->self.data_centre,
                                                base::incarnation{this->incarnation.load()}, body};
        auto const frame = protocol::encode(message, base::monotonic_clock::now());
        return protocol::encode_length(frame.size()) + frame;
    }

    // Returns the link to a host with `bytes` counted as queued; null if its queue is full. They
    // are counted while the mutex is held, so that the link isn't removed before the frame is
    // queued.
    auto reserve(base::host_id const& to, base::endpoint const& address, std::size_t bytes)
        -> std::shared_ptr<outbound_link> {
        auto const lock = std::lock_guard(this->mutex);
        auto& link = this->links[to];
        if (!link || link->address != address) {
            link = this->open_link(to, address);
        }
        if (link->queued_bytes.load() + bytes > max_queued_bytes) {
            return nullptr;
        }
        link->queued_bytes += bytes;
        return link;
    }

    auto open_link(base::host_id const& to, base::endpoint const& address)
        -> std::shared_ptr<outbound_link> {
        auto link = std::make_shared<outbound_link>();
        link->to = to;
        link->address = address;
        this->pool.spawn([self = this->shared_from_this(), link] { self->run(*link); });
        return link;
    }

    auto send(base::host_id const& to, base::endpoint const& address, protocol::body const& body)
        -> void {
        auto frame = this->frame_of(body);
        auto const link = this->reserve(to, address, frame.size());
        if (!link) {
            return;
        }
        this->handlers.counted(body, frame_direction::sent, frame.size());
        link->queue.push(std::move(frame));
    }

    // Serves one link until it is idle. A link that was replaced, because its host has a new
    // address, gets no more frames and so becomes idle.
    auto run(outbound_link& link) -> void {
        while (auto first = this->next_frame(link)) {
            if (!this->serve(link, std::move(*first))) {
                this->handlers.link_lost(link.to);
                runtime::sleep_until(base::monotonic_clock::now() + reconnect_delay);
                this->drop_queued(link);
            }
        }
    }

    // Returns the next frame; nothing if the link was idle and has been removed from the table.
    auto next_frame(outbound_link& link) -> std::optional<std::string> {
        for (;;) {
            auto frame = link.queue.pop(base::monotonic_clock::now() + outbound_idle_timeout);
            if (frame) {
                link.queued_bytes -= frame->size();
                return frame;
            }
            if (this->remove_if_idle(link)) {
                return std::nullopt;
            }
        }
    }

    // Removes an idle link from the table, so that no more frames are queued on it. Returns false
    // if it has queued frames.
    auto remove_if_idle(outbound_link const& link) -> bool {
        auto const lock = std::lock_guard(this->mutex);
        if (link.queued_bytes.load() > 0) {
            return false;
        }
        auto const found = this->links.find(link.to);
        if (found != this->links.end() && found->second.get() == &link) {
            this->links.erase(found);
        }
        return true;
    }

    auto drop_queued(outbound_link& link) -> void {
        while (auto const frame = link.queue.pop(base::time_point::min())) {
            link.queued_bytes -= frame->size();
        }
    }

    // Opens the connection and sends until it is idle. Returns false if the connection failed.
    auto serve(outbound_link& link, std::string first) -> bool {
        auto stream = byte_stream(runtime::this_context());
        stream.expires_at(base::monotonic_clock::now() + connect_timeout);
        if (stream.connect(link.address) || !this->secure(stream, tls_side::client)) {
            return false;
        }
        auto batch = std::move(first);
        for (;;) {
            if (!this->write(stream, batch)) {
                return false;
            }
            auto next = link.queue.pop(base::monotonic_clock::now() + outbound_idle_timeout);
            if (!next) {
                stream.close();
                return true;
            }
            link.queued_bytes -= next->size();
            batch = std::move(*next);
            this->fill_batch(link, batch);
        }
    }

    auto fill_batch(outbound_link& link, std::string& batch) -> void {
        while (batch.size() < max_batch_bytes && link.queued_bytes.load() > 0) {
            auto const next = link.queue.pop(base::time_point::min());
            if (!next) {
                return;
            }
            link.queued_bytes -= next->size();
            batch += *next;
        }
    }

    auto write(byte_stream& stream, std::string const& batch) -> bool {
        // The peer never writes, so a closed connection is detected here before bytes are lost.
        if (stream.peer_closed()) {
            return false;
        }
        stream.expires_at(base::monotonic_clock::now() + write_timeout);
        auto const written = await_io([&](auto handler) {
            asio::async_write(stream, asio::buffer(batch), std::move(handler));
        });
        return !written.error;
    }

    auto secure(byte_stream& stream, tls_side side) -> bool {
        if (!this->identity) {
            return true;
        }
        return !stream.secure(this->identity->context(), side);
    }

    auto accept_all() -> void {
        for (;;) {
            auto const target =
                runtime::worker_index{this->next_worker++ % this->pool.size().value};
            auto socket = asio::ip::tcp::socket(this->pool.context(target));
            auto const accepted = await_io(
                [&](auto handler) { this->acceptor.async_accept(socket, std::move(handler)); });
            if (accepted.error) {
                runtime::sleep_until(base::monotonic_clock::now() + accept_retry_delay);
                continue;
            }
            auto const stream = std::make_shared<byte_stream>(std::move(socket));
            this->pool.spawn_on(target, [self = this->shared_from_this(), stream] {
                self->read_frames(*stream);
                stream->close();
            });
        }
    }

    auto read_frames(byte_stream& stream) -> void {
        stream.expires_at(base::monotonic_clock::now() + connect_timeout);
        if (!this->secure(stream, tls_side::server)) {
            return;
        }
        auto from = std::optional<base::host_id>{};
        while (auto frame = this->read_frame(stream)) {
            auto const decoded = protocol::decode(*frame, base::monotonic_clock::now());
            if (auto const* const failure = base::failure_of(decoded)) {
                this->handlers.malformed(*failure);
                break;
            }
            from = base::value_of(decoded).host;
            this->handlers.counted(base::value_of(decoded).body, frame_direction::received,
                                   protocol::length_bytes + frame->size());
            this->handlers.received(base::value_of(decoded));
        }
        if (from) {
            this->handlers.link_lost(*from);
        }
    }

    auto read_frame(byte_stream& stream) -> std::optional<std::string> {
        auto head = std::string(protocol::length_bytes, '\0');
        if (!this->read_exactly(stream, head)) {
            return std::nullopt;
        }
        auto const length = protocol::decode_length(head);
        if (!length) {
            this->handlers.malformed(protocol::decode_failure::out_of_range);
            return std::nullopt;
        }
        auto frame = std::string(*length, '\0');
        if (!this->read_exactly(stream, frame)) {
            return std::nullopt;
        }
        return frame;
    }

    auto read_exactly(byte_stream& stream, std::string& into) -> bool {
        stream.expires_at(base::monotonic_clock::now() + inbound_idle_timeout);
        auto const read = await_io([&](auto handler) {
            asio::async_read(stream, asio::buffer(into), std::move(handler));
        });
        return !read.error;
    }
};

peer_network::peer_network(runtime::worker_pool& pool, peer_identity self,
                           base::endpoint const& address,
                           std::shared_ptr<runtime::tls_identity> identity, peer_handlers handlers)
    : shared(std::make_shared<state>(pool, std::move(self), std::move(identity),
                                     std::move(handlers))) {
    this->shared->bound = runtime::internal::listen_on(this->shared->acceptor, address);
    pool.spawn_on(runtime::worker_index{0}, [self = this->shared] { self->accept_all(); });
}

auto peer_network::send(base::host_id const& to, base::endpoint const& address,
                        protocol::body const& body) -> void {
    this->shared->send(to, address, body);
}

auto peer_network::set_incarnation(base::incarnation incarnation) -> void {
    this->shared->incarnation = incarnation.value;
}

auto peer_network::address() const -> base::endpoint {
    return this->shared->bound;
}

}  // namespace linnetlane::daemon
