// Polls the instances of the plain cells that this host keeps, and reports those that are leaving
// to all hosts of the data centre.

#ifndef LINNETLANE_DAEMON_INSTANCE_WATCH_H_
#define LINNETLANE_DAEMON_INSTANCE_WATCH_H_

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

#include "linnetlane/base/endpoint.h"
#include "linnetlane/base/ids.h"
#include "linnetlane/daemon/cell_directory.h"
#include "linnetlane/protocol/messages.h"
#include "linnetlane/runtime/worker_pool.h"
#include "linnetlane/upstream/model_engine.h"

namespace linnetlane::daemon {

// Interval at which each instance is polled.
inline constexpr auto instance_poll_interval = std::chrono::milliseconds{500};
// How long a leaving mark stays valid unless it is repeated.
inline constexpr auto leaving_mark_lifetime = std::chrono::milliseconds{2500};

// Sends marks to all hosts of the data centre, including this one. Must not block.
using broadcast_leaving = std::function<void(protocol::leaving_marks const&)>;

// Thread-safe. Must outlive the pool's fibers.
class instance_watch {
public:
    instance_watch(runtime::worker_pool& pool, base::host_id self, broadcast_leaving broadcast);

    // Sets the instances to poll: those of the plain cells that this host keeps according to
    // `directory`.
    auto update_directory(directory_pointer const& directory) -> void;

private:
    using instance_key = std::pair<base::service_id, base::upstream_id>;

    auto watch(instance_key const& key) -> void;
    [[nodiscard]] auto address_or_stop_watching(instance_key const& key)
        -> std::optional<base::endpoint>;
    auto poll(instance_key const& key, base::endpoint const& address) -> void;

    runtime::worker_pool* pool;
    base::host_id self;
    broadcast_leaving broadcast;
    upstream::completions_engine client;
    std::mutex mutex;
    // Guarded by `mutex`. The instances to poll.
    std::map<instance_key, base::endpoint> wanted;
    // Guarded by `mutex`. The instances that a fiber polls.
    std::map<instance_key, bool> watched;
};

}  // namespace linnetlane::daemon

#endif  // LINNETLANE_DAEMON_INSTANCE_WATCH_H_
