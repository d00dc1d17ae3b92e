// A TCP relay with fault injection: each link forwards connections from a local port to a fixed
// target.
//
//   auto links = relay{pool};
//   auto const at = links.add(base::endpoint{"127.0.0.1", 0}, target);
//   links.set(at.port, link_state{.mode = link_mode::stalled});

#ifndef LINNETLANE_STANDIN_RELAY_H_
#define LINNETLANE_STANDIN_RELAY_H_

#include <cstdint>
#include <memory>
#include <optional>

#include "linnetlane/base/endpoint.h"
#include "linnetlane/base/time.h"
#include "linnetlane/runtime/worker_pool.h"

namespace linnetlane::standin {

enum class link_mode {
    open,
    // Existing connections are closed, and new ones are closed on accept.
    cut,
    // Existing connections stay open, and new ones are closed on accept.
    closed_to_new,
    // Bytes sent in one direction are silently dropped. Connections that lost bytes are closed when
    // the link opens again.
    cut_to_target,
    cut_to_client,
    // No bytes are forwarded; forwarding resumes when the link opens again.
    stalled
};

struct link_state {
    link_mode mode = link_mode::open;
    // Added latency in each direction.
    base::duration delay{};
};

// Thread-safe. All links run on the pool's first worker. Stop the pool and join it before
// destroying the relay.
class relay {
public:
    explicit relay(runtime::worker_pool& pool);
    relay(relay const&) = delete;
    auto operator=(relay const&) -> relay& = delete;
    relay(relay&&) = delete;
    auto operator=(relay&&) -> relay& = delete;
    ~relay();

    // Adds a link from `from` (port 0: any free port) to `target`. Returns the bound address;
    // throws `boost::system::system_error` if it cannot be bound.
    auto add(base::endpoint const& from, base::endpoint const& target) -> base::endpoint;
    // Sets the state of the link at `port`, or of all links.
    auto set(std::optional<std::uint16_t> port, link_state wanted) -> void;

private:
    struct state;
    std::shared_ptr<state> shared;
};

}  // namespace linnetlane::standin

#endif  // LINNETLANE_STANDIN_RELAY_H_
