#include "linnetlane/standin/relay.h"

#include <array>
#include <functional>
#include <list>
#include <utility>
#include <vector>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

namespace linnetlane::standin {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

constexpr auto buffer_bytes = std::size_t{64} * 1024;
// Interval at which a stalled link checks its state.
constexpr auto poll_interval = std::chrono::milliseconds{5};

enum class direction { to_target, to_client };

auto to_asio(base::endpoint const& address) -> tcp::endpoint {
    return tcp::endpoint{asio::ip::make_address(address.address), address.port};
}

// One connection over a link. Runs on one worker, which is also the only reader of the link's
// state.
class link_connection : public std::enable_shared_from_this<link_connection> {
public:
    link_connection(tcp::socket accepted, link_state const& of_link)
        : client(std::move(accepted)),
          target(this->client.get_executor()),
          link(of_link),
          forward(*this, direction::to_target),
          backward(*this, direction::to_client) {}

    auto start(tcp::endpoint const& to) -> void {
        this->target.async_connect(
            to, [self = this->shared_from_this()](boost::system::error_code error) {
                if (error) {
                    self->close();
                    return;
                }
                self->forward.read();
                self->backward.read();
            });
    }

    auto close() -> void {
        auto ignored = boost::system::error_code{};
        this->client.close(ignored);
        this->target.close(ignored);
    }

    [[nodiscard]] auto is_open() const -> bool { return this->client.is_open(); }
    [[nodiscard]] auto has_dropped_bytes() const -> bool {
        return this->forward.dropped_bytes || this->backward.dropped_bytes;
    }

private:
    // Forwards the bytes of one direction.
    struct pump {
        pump(link_connection& of, direction which)
            : owner(of), way(which), timer(of.client.get_executor()) {}

        [[nodiscard]] auto from() -> tcp::socket& {
            return this->way == direction::to_target ? this->owner.client : this->owner.target;
        }
        [[nodiscard]] auto to() -> tcp::socket& {
            return this->way == direction::to_target ? this->owner.target : this->owner.client;
        }
        [[nodiscard]] auto drops_bytes() const -> bool {
            auto const dropping_mode = this->way == direction::to_target ? link_mode::cut_to_target
                                                                         : link_mode::cut_to_client;
            return this->owner.link.mode == dropping_mode;
        }

        auto read() -> void {
            this->from().async_read_some(asio::buffer(this->buffer),
                                         [this, self = this->owner.shared_from_this()](
                                             boost::system::error_code error, std::size_t bytes) {
                                             this->buffered_bytes = bytes;
                                             if (error) {
                                                 this->handle_end();
                                                 return;
                                             }
                                             this->pass_after(this->owner.link.delay);
                                         });
        }

        auto pass_after(base::duration delay) -> void {
            if (delay == base::duration::zero()) {
                this->pass();
                return;
            }
            this->timer.expires_after(delay);
            this->timer.async_wait([this, self = this->owner.shared_from_this()](
                                       boost::system::error_code) { this->pass(); });
        }

        auto pass() -> void {
            if (this->owner.link.mode == link_mode::stalled) {
                this->pass_after(poll_interval);
                return;
            }
            if (this->drops_bytes()) {
                this->dropped_bytes = true;
                this->read();
                return;
            }
            asio::async_write(this->to(), asio::buffer(this->buffer.data(), this->buffered_bytes),
                              [this, self = this->owner.shared_from_this()](
                                  boost::system::error_code error, std::size_t) {
                                  if (error) {
                                      this->owner.close();
                                      return;
                                  }
                                  this->read();
                              });
        }

        // Handles the end of input. A link that drops bytes in this direction hides it from the
        // peer.
        auto handle_end() -> void {
            if (this->drops_bytes()) {
                return;
            }
            this->owner.close();
        }

        link_connection& owner;
        direction way;
        asio::steady_timer timer;
        std::array<char, buffer_bytes> buffer{};
        std::size_t buffered_bytes = 0;
        bool dropped_bytes = false;
    };

    tcp::socket client;
    tcp::socket target;
    link_state const& link;
    pump forward;
    pump backward;
};

// A listening port, its target and its connections.
class relayed_port : public std::enable_shared_from_this<relayed_port> {
public:
    relayed_port(asio::io_context& context, base::endpoint const& from, base::endpoint const& to)
        : acceptor(context, to_asio(from)), target(to_asio(to)) {}

    [[nodiscard]] auto port() const -> std::uint16_t {
        return this->acceptor.local_endpoint().port();
    }

    auto accept() -> void {
        this->acceptor.async_accept(
            [self = this->shared_from_this()](boost::system::error_code error, tcp::socket socket) {
                if (!error) {
                    self->add_connection(std::move(socket));
                }
                self->accept();
            });
    }

    auto set(link_state wanted) -> void {
        this->link = wanted;
        for (auto const& connection : this->connections) {
            auto const ends = wanted.mode == link_mode::cut ||
                              (wanted.mode == link_mode::open && connection->has_dropped_bytes());
            if (ends) {
                connection->close();
            }
        }
    }

private:
    auto add_connection(tcp::socket socket) -> void {
        if (this->link.mode == link_mode::cut || this->link.mode == link_mode::closed_to_new) {
            return;
        }
        auto ignored = boost::system::error_code{};
        socket.set_option(tcp::no_delay(true), ignored);
        this->connections.remove_if([](auto const& one) { return !one->is_open(); });
        this->connections.push_back(
            std::make_shared<link_connection>(std::move(socket), this->link));
        this->connections.back()->start(this->target);
    }

    tcp::acceptor acceptor;
    tcp::endpoint target;
    link_state link;
    std::list<std::shared_ptr<link_connection>> connections;
};

}  // namespace

struct relay::state {
    asio::io_context& context;
    // Accessed only on the context's worker.
    std::vector<std::shared_ptr<relayed_port>> ports{};
};

relay::relay(runtime::worker_pool& pool)
    : shared(std::make_shared<state>(state{pool.context(runtime::worker_index{0})})) {}

relay::~relay() = default;

auto relay::add(base::endpoint const& from, base::endpoint const& target) -> base::endpoint {
    auto const added = std::make_shared<relayed_port>(this->shared->context, from, target);
    auto bound = base::endpoint{from.address, added->port()};
    asio::post(this->shared->context, [all = this->shared, added] {
        all->ports.push_back(added);
        added->accept();
    });
    return bound;
}

auto relay::set(std::optional<std::uint16_t> port, link_state wanted) -> void {
    asio::post(this->shared->context, [all = this->shared, port, wanted] {
        for (auto const& one : all->ports) {
            if (!port || *port == one->port()) {
                one->set(wanted);
            }
        }
    });
}

}  // namespace linnetlane::standin
