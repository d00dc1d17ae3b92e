// One entry host: all roles of the system in one process.
//
// Serves callers, keeps the cells assigned to it, reads the platform while it is one of the
// readers, and answers operators. Lock order over all shared tables: membership, documents, kept
// cells, cell client, requests' mailboxes and links. Hooks that would violate this order spawn a
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

// Start parameters of a host.
struct host_options {
    settings::settings settings;
    cell::placement_policy policy = cell::decode_first{};
    // Called when a later process runs under this host's name; it must shut this process down.
    std::function<void()> superseded = [] {};
};

// Why a host could not start: the identity that could not be loaded or the address that could not
// be bound.
enum class start_failure {
    caller_identity,
    peer_identity,
    caller_address,
    peer_address,
    operator_address
};

// The addresses on which a host listens, with the actual ports.
struct host_addresses {
    base::endpoint callers;
    base::endpoint peers;
    base::endpoint operators;
};

// Thread-safe. Must exist until the process ends.
class host {
public:
    // Starts all services on `pool`, which must outlive the host.
    [[nodiscard]] static auto start(runtime::worker_pool& pool, host_options const& options)
        -> base::result<std::unique_ptr<host>, start_failure>;

    host(host const&) = delete;
    auto operator=(host const&) -> host& = delete;
    host(host&&) = delete;
    auto operator=(host&&) -> host& = delete;
    ~host();

    [[nodiscard]] auto addresses() const -> host_addresses;
    // Begins a graceful shutdown: reports it to the balancer and peers, completes all requests,
    // including those that still arrive, and then calls `done`. Further calls have no effect.
    auto shut_down(std::function<void()> const& done) -> void;
    // Reloads the certificates; keeps the earlier ones if that fails.
    auto reload_identities() -> void;

private:
    host();
    struct state;
    std::unique_ptr<state> impl;
};

}  // namespace linnetlane::daemon

#endif  // LINNETLANE_DAEMON_HOST_H_
