// Runs this host's claim keeper: passes requests to it, sends its replies and makes its platform
// calls.
//
// Lock order: `claim_keeper_service::mutex` is acquired after `membership_service::mutex`. The
// reply hook is called while it is held and must only queue work.

#ifndef LINNETLANE_DAEMON_CLAIM_KEEPER_SERVICE_H_
#define LINNETLANE_DAEMON_CLAIM_KEEPER_SERVICE_H_

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <variant>

#include "linnetlane/base/ids.h"
#include "linnetlane/claim/keeper.h"
#include "linnetlane/coordination/etcd_store.h"
#include "linnetlane/daemon/ticker.h"
#include "linnetlane/runtime/worker_pool.h"

namespace linnetlane::daemon {

// Sends a reply to an entry host, which may be this one. Must not block.
using claim_reply_hook = std::function<void(base::host_id const&, claim::claim_reply const&)>;

using claim_or_settle = std::variant<claim::claim_request, claim::settle_request>;

// Thread-safe. Must outlive the pool's fibers.
class claim_keeper_service {
public:
    // `writer` must be unique to this start of the host.
    claim_keeper_service(coordination::etcd_store& store, std::string writer,
                         claim_reply_hook reply);

    // Starts the timer for the keeper's deadlines on `pool`.
    auto start(runtime::worker_pool& pool) -> void;
    // Applies a request of an entry host, which may be this one.
    auto submit(claim_or_settle const& keeper_request) -> void;
    // Applies the shards that this host keeps now, and the hosts that are present.
    auto update_view(claim::view_changed const& view) -> void;

private:
    auto handle(claim::event const& event) -> void;
    auto run(claim::event const& event) -> void;

    coordination::etcd_store& platform_store;
    claim_reply_hook reply;
    std::mutex mutex;
    // Guarded by `mutex`.
    claim::keeper keeper;
    std::unique_ptr<ticker> timer;
};

// Returns the current wall-clock time in milliseconds.
[[nodiscard]] auto wall_now() -> claim::wall_time;

// Returns the rendezvous hashing key by which the keeper of `shard` is selected.
[[nodiscard]] auto duty_of(claim::shard_number shard) -> std::string;

}  // namespace linnetlane::daemon

#endif  // LINNETLANE_DAEMON_CLAIM_KEEPER_SERVICE_H_
