// Connections between hosts: sends frames to other hosts and receives theirs.
//
// Each host opens one connection to each host it sends to, and only reads from those that others
// opened, so the two ends never have to agree on which connection to keep. A frame is sent at most
// once and may be lost. Lost links are reported; higher layers tolerate them.
//
//   auto network = peer_network{pool, self, address, nullptr, handlers};
//   network.send({"bne-south-1"}, {"10.0.0.7", 7000}, body);

#ifndef LINNETLANE_DAEMON_PEER_NETWORK_H_
#define LINNETLANE_DAEMON_PEER_NETWORK_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

#include "linnetlane/base/endpoint.h"
#include "linnetlane/base/ids.h"
#include "linnetlane/protocol/codec.h"
#include "linnetlane/protocol/messages.h"
#include "linnetlane/runtime/tls.h"
#include "linnetlane/runtime/worker_pool.h"

namespace linnetlane::daemon {

// The sender's identity in each frame.
struct peer_identity {
    base::host_id host;
    base::data_centre_id data_centre;
    base::incarnation incarnation;
};

enum class frame_direction { sent, received };

// Handlers of frames and lost links. Called from fibers of the pool; must not block.
struct peer_handlers {
    std::function<void(protocol::envelope const&)> received;
    // A connection to or from a host was closed, or could not be opened.
    std::function<void(base::host_id const&)> link_lost;
    // A malformed frame was received; its connection was closed.
    std::function<void(protocol::decode_failure)> malformed;
    // A frame was queued or received; with its size on the wire in bytes.
    std::function<void(protocol::body const&, frame_direction, std::size_t)> counted;
};

// Thread-safe. Must outlive the pool's fibers.
class peer_network {
public:
    // Listens on `address` (port 0 selects a free port). With `identity`, connections use mutual
    // TLS. Throws `boost::system::system_error` if the address can't be bound.
    peer_network(runtime::worker_pool& pool, peer_identity self, base::endpoint const& address,
                 std::shared_ptr<runtime::tls_identity> identity, peer_handlers handlers);

    // Queues one frame for `to`; never blocks. Frames to one host arrive in order, but may be lost.
    auto send(base::host_id const& to, base::endpoint const& address, protocol::body const& body)
        -> void;
    // Sets the incarnation that later frames carry.
    auto set_incarnation(base::incarnation incarnation) -> void;
    [[nodiscard]] auto address() const -> base::endpoint;

private:
    struct state;
    std::shared_ptr<state> shared;
};

}  // namespace linnetlane::daemon

#endif  // LINNETLANE_DAEMON_PEER_NETWORK_H_
