// A holder's side of the cells: asks keepers for engines, renews what it holds, and announces it to
// new keepers.
//
// Fulfils the concept `cell_access`. Lock order: the client's mutex is taken last but for the
// request's mailbox; nothing is asked of a keeper while it is held, since a keeper on this host
// answers within the call.

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

// How often a holder renews all that it holds.
inline constexpr auto renewal_interval = std::chrono::milliseconds{500};

// Sends a question to a keeper, which may be this host. Must not block.
using ask_keeper = std::function<void(keeper const&, protocol::request_to_cell const&)>;

// Thread-safe. Outlives the pool's fibers.
class cell_client {
public:
    cell_client(runtime::worker_pool& pool, base::data_centre_id data_centre, ask_keeper ask);

    // ---- For requests: see `cell_access`. ----

    auto open(base::service_id const& service, base::request_id const& request, cell_sink sink)
        -> void;
    auto acquire(base::service_id const& service, cell::acquire const& ask) -> void;
    auto progress(cell::renewal const& renewal) -> void;
    auto release(cell::release const& release) -> void;
    auto close(base::request_id const& request) -> void;

    // ---- For the host. ----

    // The keepers may have changed: lost questions are reported, held grants announced.
    auto follow(directory_pointer const& directory) -> void;
    // The link to or from `host` was lost, and perhaps a question or its answer with it.
    auto link_lost(base::host_id const& host) -> void;
    // A keeper replied.
    auto take(base::host_id const& from, protocol::reply_from_cell const& reply) -> void;

private:
    struct held_attempt {
        protocol::cell_key cell;
        daemon::keeper keeper;
        cell::held_grant grant;
        bool answered = false;
    };
    using round_key = std::pair<protocol::cell_key, protocol::renewal_round>;
    struct sent_round {
        base::time_point sent_at;
        std::vector<cell::attempt> attempts;
    };
    struct attempt_hash {
        auto operator()(cell::attempt const& attempt) const noexcept -> std::size_t;
    };

    [[nodiscard]] auto choose_cell(base::service_id const& service, cell::acquire const& ask)
        -> std::optional<std::pair<protocol::cell_key, keeper>>;
    auto refuse_without_cell(cell::attempt const& attempt) -> void;
    auto tell(cell::attempt const& attempt, cell_answer const& answer) -> void;
    auto tell_lost(std::vector<cell::attempt> const& lost) -> void;
    auto take_grant(protocol::cell_key const& cell, cell::grant const& grant) -> void;
    [[nodiscard]] auto note_grant(cell::grant const& grant) -> bool;
    auto give_back(protocol::cell_key const& cell, cell::attempt const& attempt) -> void;
    auto take_ready(cell::decode_ready const& ready) -> void;
    auto take_refusal(cell::refuse const& refusal) -> void;
    auto take_round(protocol::cell_key const& cell, protocol::renewal_round round) -> void;
    auto lose_questions(std::function<bool(held_attempt const&)> const& is_lost) -> void;
    auto renew_all() -> base::time_point;

    runtime::worker_pool* pool;
    base::data_centre_id data_centre;
    ask_keeper ask_one;

    mutable std::mutex mutex;
    // Guarded by `mutex`, with all that follows.
    directory_pointer directory = std::make_shared<cell_directory const>();
    std::unordered_map<base::request_id, cell_sink> sinks;
    std::unordered_map<cell::attempt, held_attempt, attempt_hash> attempts;
    std::map<round_key, sent_round> rounds;
    protocol::renewal_round last_round;

    std::unique_ptr<ticker> clock;
};

static_assert(cell_access<cell_client>);

}  // namespace linnetlane::daemon

#endif  // LINNETLANE_DAEMON_CELL_CLIENT_H_
