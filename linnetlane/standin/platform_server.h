// HTTP server of the platform stand-in: the etcd v3 JSON gateway and a control endpoint.
//
// Calls: POST /v3/kv/range, /v3/kv/put, /v3/kv/deleterange, /v3/kv/txn, /v3/kv/compaction,
// /v3/lease/grant, /v3/lease/keepalive, /v3/lease/revoke, /v3/watch.
//
// GET /control/stats returns the number of calls by kind. POST /control takes any of these fields;
// a field that is absent leaves its setting as it is:
//
//   outage           "none", "refuse" (503), "cut" (connections close) or "silent" (no response)
//   freeze           true: calls wait until it is false again
//   slow_ms          time added to each call
//   lose_answers     the next N writes take effect but their connections close without a response
//   keep_copy        name under which a copy of the whole store is saved
//   restore_copy     name of the saved copy to restore; all watches end
//   compact          revision up to which the history is discarded
//   watch_delay_ms, watch_drop_each, watch_reorder_each, watch_reorder_hold_ms
//   host_list_lag_ms delay after which changes under `hosts/` are visible to range and watch
//   writes_per_second, reads_per_second

#ifndef LINNETLANE_STANDIN_PLATFORM_SERVER_H_
#define LINNETLANE_STANDIN_PLATFORM_SERVER_H_

#include <memory>

#include "linnetlane/base/endpoint.h"
#include "linnetlane/runtime/worker_pool.h"
#include "linnetlane/standin/platform_model.h"

namespace linnetlane::standin {

// Thread-safe. Stop the pool before destroying the server.
class platform_server {
public:
    platform_server(runtime::worker_pool& pool, base::endpoint const& address,
                    platform_limits limits);
    platform_server(platform_server const&) = delete;
    auto operator=(platform_server const&) -> platform_server& = delete;
    platform_server(platform_server&&) = delete;
    auto operator=(platform_server&&) -> platform_server& = delete;
    ~platform_server();

    [[nodiscard]] auto address() const -> base::endpoint;

private:
    struct state;
    std::shared_ptr<state> shared;
};

}  // namespace linnetlane::standin

#endif  // LINNETLANE_STANDIN_PLATFORM_SERVER_H_
