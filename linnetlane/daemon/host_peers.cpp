#include "linnetlane/base/result.h"
#include "linnetlane/daemon/host_state.h"

namespace linnetlane::daemon {

namespace {

auto traffic_of(protocol::body const& body) -> telemetry::peer_traffic {
    using telemetry::peer_traffic;
    return std::visit(base::overloaded{
                          [](membership::peer_message const&) { return peer_traffic::membership; },
                          [](document::peer_message const&) { return peer_traffic::documents; },
                          [](claim::peer_message const&) { return peer_traffic::claims; },
                          [](auto const&) { return peer_traffic::cell; },
                      },
                      body);
}

}  // namespace

auto host::state::self_holder() const -> cell::holder {
    return {this->settings.host, base::incarnation{this->incarnation.load()}};
}

auto host::state::send(base::host_id const& to, protocol::body const& body) -> void {
    if (auto const address = this->addresses.find(to)) {
        this->network->send(to, *address, body);
    }
}

auto host::state::reply(cell::holder const& holder, protocol::reply_from_cell const& reply)
    -> void {
    if (holder.host == this->settings.host) {
        this->client.handle_reply(holder.host, reply);
    } else {
        this->send(holder.host, reply);
    }
}

auto host::state::receive(protocol::envelope const& frame) -> void {
    std::visit(base::overloaded{
                   [&](membership::peer_message const& message) {
                       this->membership->handle(membership::received{message});
                   },
                   [&](document::peer_message const& message) {
                       this->documents.handle(document::received{frame.host, message});
                   },
                   [&](claim::peer_message const& message) { this->receive(message); },
                   [&](protocol::request_to_cell const& question) {
                       this->keepers.handle_question({frame.host, frame.incarnation}, question);
                   },
                   [&](protocol::reply_from_cell const& reply) {
                       this->client.handle_reply(frame.host, reply);
                   },
                   [&](protocol::leaving_marks const& marks) { this->apply_leaving_marks(marks); },
               },
               frame.body);
}

auto host::state::receive(claim::peer_message const& message) -> void {
    std::visit(base::overloaded{
                   [&](claim::claim_reply const& reply) { this->claims.handle_reply(reply); },
                   [&](auto const& question) { this->claim_keepers.submit(question); },
               },
               message);
}

auto host::state::handle_link_lost(base::host_id const& host) -> void {
    this->membership->handle(membership::link_lost{host});
    this->client.link_lost(host);
}

auto host::state::make_peer_handlers() -> peer_handlers {
    auto handlers = peer_handlers{};
    handlers.received = [this](protocol::envelope const& frame) { this->receive(frame); };
    handlers.link_lost = [this](base::host_id const& host) { this->handle_link_lost(host); };
    handlers.counted = [this](protocol::body const& body, frame_direction direction,
                              std::size_t bytes) {
        auto const traffic_direction = direction == frame_direction::sent
                                           ? telemetry::peer_direction::sent
                                           : telemetry::peer_direction::received;
        this->metrics.count_peer_message(traffic_of(body), traffic_direction,
                                         base::byte_count{static_cast<std::int64_t>(bytes)});
    };
    handlers.malformed = [this](protocol::decode_failure /*failure*/) {
        this->log.write(telemetry::log_level::warning,
                        "malformed frame received from a peer; connection closed", {});
    };
    return handlers;
}

}  // namespace linnetlane::daemon
