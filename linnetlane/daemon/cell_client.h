// The client side of cells: acquires engines from keepers, renews the grants that this host holds,
// and announces them to new keepers.
//
// Models the concept `cell_access`. Lock order: the only mutex that is acquired while
// `cell_client::mutex` is held is that of a request's mailbox. Nothing is sent to a keeper while
// the mutex is held, since a keeper on this host replies within the call.

#ifndef LINNETLANE_DAEMON_CELL_CLIENT_H_
#define LINNETLANE_DAEMON_CELL_CLIENT_H_

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "linnetlane/base/ids.h"
#include "linnetlane/base/time.h"
#include "linnetlane/cell/messages.h"
#include "linnetlane/daemon/cell_directory.h"
#include "linnetlane/daemon/entry_concepts.h"
#include "linnetlane/daemon/ticker.h"
#include "linnetlane/protocol/messages.h"
#include "linnetlane/runtime/worker_pool.h"

namespace linnetlane::daemon {

// Interval at which a holder renews all its grants.
inline constexpr auto renewal_interval = std::chrono::milliseconds{500};

// Sends a question to a keeper, which may be on this host. Must not block.
using keeper_sender = std::function<void(keeper const&, protocol::request_to_cell const&)>;

// Thread-safe. Must outlive the pool's fibers.
class cell_client {
public:
    cell_client(runtime::worker_pool& pool, base::data_centre_id data_centre, keeper_sender sender);

    // For requests; see `cell_access`.

    auto open(base::service_id const& service, base::request_id const& request, cell_sink sink)
        -> void;
    auto acquire(base::service_id const& service, cell::acquire const& ask) -> void;
    auto progress(cell::renewal const& renewal) -> void;
    auto release(cell::release const& release) -> void;
    auto close(base::request_id const& request) -> void;

    // Applies a new directory: reports questions to replaced keepers as lost, and announces held
    // grants to the new ones.
    auto update_directory(directory_pointer const& directory) -> void;
    // Reports the unanswered questions to `host` as lost: the link to or from it closed, and a
    // question or its answer may have been lost with it.
    auto link_lost(base::host_id const& host) -> void;
    // Handles a reply of the keeper on `from`.
    auto handle_reply(base::host_id const& from, protocol::reply_from_cell const& reply) -> void;

private:
    // An attempt that waits for a grant or holds one.
    struct held_attempt {
        protocol::cell_key cell;
        daemon::keeper keeper;
        cell::held_grant grant;
        bool granted = false;
    };
    using round_key = std::pair<protocol::cell_key, protocol::renewal_round>;
    // The renewals of one round that were sent to one cell.
    struct sent_renewals {
        base::time_point sent_at;
        std::vector<cell::attempt> attempts;
    };
    struct attempt_hash {
        auto operator()(cell::attempt const& attempt) const noexcept -> std::size_t;
    };

    [[nodiscard]] auto choose_cell(base::service_id const& service, cell::acquire const& ask)
        -> std::optional<std::pair<protocol::cell_key, keeper>>;
    auto refuse_without_cell(cell::attempt const& attempt) -> void;
    auto notify(cell::attempt const& attempt, cell_answer const& answer) -> void;
    auto notify_keeper_lost(std::vector<cell::attempt> const& lost) -> void;
    auto handle_grant(protocol::cell_key const& cell, cell::grant const& grant) -> void;
    [[nodiscard]] auto record_grant(cell::grant const& grant) -> bool;
    auto return_grant(protocol::cell_key const& cell, cell::attempt const& attempt) -> void;
    auto handle_decode_ready(cell::decode_ready const& ready) -> void;
    auto handle_refusal(cell::refuse const& refusal) -> void;
    auto handle_renewal_ack(protocol::cell_key const& cell, protocol::renewal_round round) -> void;
    // Removes the unanswered attempts for which `is_lost` holds, and reports them as lost.
    auto fail_pending(std::function<bool(held_attempt const&)> const& is_lost) -> void;
    // Sends the renewals of all held grants. Returns when to call it next.
    auto renew_all() -> base::time_point;

    runtime::worker_pool* pool;
    base::data_centre_id data_centre;
    keeper_sender send_to_keeper;

    mutable std::mutex mutex;
    // Guarded by `mutex`, as are all members below.
    directory_pointer directory = std::make_shared<cell_directory const>();
    std::unordered_map<base::request_id, cell_sink> sinks;
    std::unordered_map<cell::attempt, held_attempt, attempt_hash> attempts;
    // Renewals that no keeper has acknowledged yet.
    std::map<round_key, sent_renewals> unacknowledged_rounds;
    protocol::renewal_round last_round;

    std::unique_ptr<ticker> timer;
};

static_assert(cell_access<cell_client>);

}  // namespace linnetlane::daemon

#endif  // LINNETLANE_DAEMON_CELL_CLIENT_H_
