// Runs the membership protocol on this host: passes events to `membership::member`, sends its
// messages and reports its changes.
//
// Lock order: `membership_service::mutex` is acquired before any other mutex. The hooks are called
// while it is held and must only queue work.

#ifndef LINNETLANE_DAEMON_MEMBERSHIP_SERVICE_H_
#define LINNETLANE_DAEMON_MEMBERSHIP_SERVICE_H_

#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

#include "linnetlane/base/endpoint.h"
#include "linnetlane/base/ids.h"
#include "linnetlane/daemon/ticker.h"
#include "linnetlane/document/messages.h"
#include "linnetlane/membership/member.h"
#include "linnetlane/runtime/worker_pool.h"

namespace linnetlane::daemon {

// Called while the service's mutex is held: the hooks must neither block nor call the service.
struct membership_hooks {
    std::function<void(base::host_id const&, base::endpoint const&,
                       membership::peer_message const&)>
        send;
    // This host's information about another host changed.
    std::function<void(membership::host_changed const&)> changed;
    // This host rejoined with a new incarnation.
    std::function<void(base::incarnation)> rejoined;
    // A later process runs under this host's name.
    std::function<void()> superseded;
};

// Thread-safe. Must outlive the pool's fibers.
class membership_service {
public:
    membership_service(membership::host_record const& self, membership_hooks hooks);

    // Starts the protocol on `pool`.
    auto start(runtime::worker_pool& pool) -> void;
    auto handle(membership::event const& event) -> void;

    // Whether this host's view is current enough to act on (see `member::may_act`).
    [[nodiscard]] auto may_act() const -> bool;
    // Whether this host has heard from a host of its data centre, or continues alone.
    [[nodiscard]] auto joined() const -> bool;
    [[nodiscard]] auto self() const -> membership::host_record;
    [[nodiscard]] auto hosts() const -> membership::host_table;
    [[nodiscard]] auto address_of(base::host_id const& host) const -> std::optional<base::endpoint>;
    // Returns the eligible host of this data centre that the task `duty` is assigned to; nothing if
    // no host is eligible.
    [[nodiscard]] auto holder_of(std::string_view duty) const -> std::optional<base::host_id>;
    // Returns the part of the view that the document store needs.
    [[nodiscard]] auto document_view() const -> document::view_changed;

private:
    auto run(membership::event const& event) -> void;

    mutable std::mutex mutex;
    // Guarded by `mutex`.
    membership::member member;
    membership_hooks hooks;
    std::unique_ptr<ticker> timer;
};

}  // namespace linnetlane::daemon

#endif  // LINNETLANE_DAEMON_MEMBERSHIP_SERVICE_H_
