// HTTP server of one engine stand-in.
//
// Calls: POST /v1/completions, POST /abort {"request_id"}, GET /load, GET /cache_events?after=N,
// POST /orders {"fencing","order","model"|"adapter"|"role","version"}, GET /state, GET /healthz,
// GET /stats; between engines POST /kv/begin and /kv/done {"request_id"}.
//
// POST /control takes any of these fields; a field that is absent leaves its setting as it is:
//
//   kill_connections  true: closes every connection now and frees the memory of their jobs
//   down              true: as after a crash: all work is lost and connections close without a
//                     response; false: serves again
//   die               the whole process exits at once with this status
//   freeze            true: calls are accepted but not processed, reports included
//   refuse            true: new completions get 503
//   leaving           value of the leaving mark in /load and /state
//   slow              factor by which work takes longer
//   stall_transfer    true: no KV import completes
//   lose_cancels      the next N closed connections cancel nothing; /abort still does. The response
//                     has the remaining number in a field of the same name
//   nonsense          true: responses are malformed JSON
//   late_ms           delay before each chunk of a stream
//   duplicate_each    every n-th chunk of a stream is sent twice
//   cross_each        every n-th chunk is preceded by a chunk of another request
//   cut_after         streams close without an end mark after N chunks

#ifndef LINNETLANE_STANDIN_ENGINE_SERVER_H_
#define LINNETLANE_STANDIN_ENGINE_SERVER_H_

#include <memory>

#include "linnetlane/base/endpoint.h"
#include "linnetlane/runtime/worker_pool.h"
#include "linnetlane/standin/engine_model.h"

namespace linnetlane::standin {

// Thread-safe. Stop the pool and join it before destroying the server.
class engine_server {
public:
    engine_server(runtime::worker_pool& pool, base::endpoint const& address,
                  engine_settings const& settings);
    engine_server(engine_server const&) = delete;
    auto operator=(engine_server const&) -> engine_server& = delete;
    engine_server(engine_server&&) = delete;
    auto operator=(engine_server&&) -> engine_server& = delete;
    ~engine_server();

    [[nodiscard]] auto address() const -> base::endpoint;

private:
    struct state;
    std::shared_ptr<state> shared;
};

}  // namespace linnetlane::standin

#endif  // LINNETLANE_STANDIN_ENGINE_SERVER_H_
