// Runs this host's claim keeper: questions in, replies and platform calls out.
//
// Lock order: its mutex comes after the membership's; the reply hook is called under it and only
// queues work.

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

// Thread-safe. Outlives the pool's fibers.
class claim_keeper_service {
public:
    // `writer` is unique for this start of the host.
    claim_keeper_service(coordination::etcd_store& store, std::string writer,
                         claim_reply_hook reply);

    auto start(runtime::worker_pool& pool) -> void;
    auto ask(claim_or_settle const& question) -> void;
    // The shards that this host keeps now, and the hosts that are present.
    auto follow(claim::view_changed const& view) -> void;

private:
    auto handle(claim::event const& event) -> void;
    auto run(claim::event const& event) -> void;

    coordination::etcd_store& platform_store;
    claim_reply_hook reply;
    std::mutex mutex;
    // Guarded by `mutex`.
    claim::keeper keeper;
    std::unique_ptr<ticker> clock;
};

// The wall clock now.
[[nodiscard]] auto wall_now() -> claim::wall_time;

// The name under which hosts are ranked for keeping `shard`.
[[nodiscard]] auto duty_of(claim::shard_number shard) -> std::string;

}  // namespace linnetlane::daemon

#endif  // LINNETLANE_DAEMON_CLAIM_KEEPER_SERVICE_H_
