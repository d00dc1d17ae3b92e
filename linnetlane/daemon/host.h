// One entry host: all roles of the system in one process.
//
// Accepts callers, keeps the cells that fall to it, reads the platform when it is its turn, and
// answers operators. The order of locks over all shared tables is: membership, documents, kept
// cells, cell client, requests' mailboxes and links. Hooks that go against this order queue a
// fiber.

#ifndef LINNETLANE_DAEMON_HOST_H_
#define LINNETLANE_DAEMON_HOST_H_

#include <functional>
#include <memory>

#include "linnetlane/base/endpoint.h"
#include "linnetlane/base/result.h"
#include "linnetlane/cell/placement_policy.h"
#include "linnetlane/runtime/worker_pool.h"
#include "linnetlane/settings/settings.h"

namespace linnetlane::daemon {

// What a host starts with.
struct host_options {
    settings::settings settings;
    cell::placement_policy policy = cell::decode_first{};
    // Told when a later process runs under this host's name: this one is to shut down.
    std::function<void()> superseded = [] {};
};

// Why a host can't start.
enum class start_failure {
    caller_identity,
    peer_identity,
    caller_address,
    peer_address,
    operator_address
};

// Where the host listens, with the ports in use.
struct host_addresses {
    base::endpoint callers;
    base::endpoint peers;
    base::endpoint operators;
};

// Thread-safe. Lives until the process ends.
class host {
public:
    // Starts all services on `pool`, which outlives the host.
    [[nodiscard]] static auto start(runtime::worker_pool& pool, host_options const& options)
        -> base::result<std::unique_ptr<host>, start_failure>;

    host(host const&) = delete;
    auto operator=(host const&) -> host& = delete;
    host(host&&) = delete;
    auto operator=(host&&) -> host& = delete;
    ~host();

    [[nodiscard]] auto addresses() const -> host_addresses;
    // Begins a graceful shutdown: tells balancer and peers, finishes all that is accepted and all
    // that still comes, and then runs `done`. Later calls change nothing.
    auto shut_down(std::function<void()> const& done) -> void;
    // Loads the certificates again.
    auto reload_identities() -> void;

private:
    host();
    struct state;
    std::unique_ptr<state> own;
};

}  // namespace linnetlane::daemon

#endif  // LINNETLANE_DAEMON_HOST_H_
