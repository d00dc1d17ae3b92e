// The cells that this host keeps, with their schedulers and the engine calls that these request.
//
// Lock order: the table's mutex, then one cell's mutex, then the mutexes that the reply hook takes.
// The hook is called while the cell's mutex is held, so that replies keep the scheduler's order.

#ifndef LINNETLANE_DAEMON_KEEPER_TABLE_H_
#define LINNETLANE_DAEMON_KEEPER_TABLE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

#include "linnetlane/base/ids.h"
#include "linnetlane/base/time.h"
#include "linnetlane/cell/scheduler.h"
#include "linnetlane/daemon/cell_directory.h"
#include "linnetlane/protocol/messages.h"
#include "linnetlane/runtime/worker_pool.h"
#include "linnetlane/upstream/model_engine.h"

namespace linnetlane::daemon {

// Time in which holders can announce their grants to a new keeper.
inline constexpr auto announce_window = std::chrono::milliseconds{1500};
// Intervals at which a keeper polls each engine for its load and for changes of its cache.
inline constexpr auto load_interval = std::chrono::milliseconds{500};
inline constexpr auto cache_interval = std::chrono::milliseconds{1000};

// What the table needs from the rest of the host.
struct keeper_hooks {
    // Sends a reply to a holder, which may be on this host. Must not block.
    std::function<void(cell::holder const&, protocol::reply_from_cell const&)> reply;
    // Whether the host may currently act on its view of the membership. Must not block.
    std::function<bool()> may_act;
};

// The state of one kept cell, as shown to operators.
struct kept_cell {
    protocol::cell_key key;
    cell::scheduler_snapshot snapshot;
};

// Thread-safe. Must outlive the pool's fibers.
class keeper_table {
public:
    keeper_table(runtime::worker_pool& pool, base::host_id self,
                 cell::placement_policy const& policy, keeper_hooks hooks);

    // Starts and stops keeping cells according to `directory`, and applies document changes.
    auto update_directory(directory_pointer const& directory) -> void;
    // Handles a question from `holder`.
    auto handle_question(cell::holder const& holder, protocol::request_to_cell const& question)
        -> void;
    // Drops the state of a holder's incarnation, which has ended.
    auto forget_holder(cell::holder const& holder) -> void;
    [[nodiscard]] auto kept() const -> std::vector<kept_cell>;

private:
    struct cell_state;
    struct state;
    std::shared_ptr<state> shared;
};

}  // namespace linnetlane::daemon

#endif  // LINNETLANE_DAEMON_KEEPER_TABLE_H_
