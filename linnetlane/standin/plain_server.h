// Stand-in for a plain service: echoes each request in its response, for any method and path, and
// counts how often each idempotency key and each request id was run.
//
// Reserved paths: GET /load (in the form that engines use), GET /healthz, GET /stats, POST /control
// with any of these fields; a field that is absent leaves its setting as it is:
//
//   delay_ms      time that each call takes
//   fail          the next N calls run and are answered with 500
//   refuse        the next N calls are answered with 503 and don't run
//   lose_answers  the next N calls run, but their connections close without a response
//   cut           the server closes the connections of the next N calls without running them
//   freeze        true: calls wait until it is false again
//   leaving       value of the leaving mark in /load; if true, each response has the
//                 header x-leaving
//
// A response is a JSON object with the fields method, target, body, idempotency_key, request_id and
// run, the number of calls that have run so far.

#ifndef LINNETLANE_STANDIN_PLAIN_SERVER_H_
#define LINNETLANE_STANDIN_PLAIN_SERVER_H_

#include <memory>

#include "linnetlane/base/endpoint.h"
#include "linnetlane/runtime/worker_pool.h"

namespace linnetlane::standin {

// Thread-safe. Stop the pool and join it before destroying the server.
class plain_server {
public:
    plain_server(runtime::worker_pool& pool, base::endpoint const& address);
    plain_server(plain_server const&) = delete;
    auto operator=(plain_server const&) -> plain_server& = delete;
    plain_server(plain_server&&) = delete;
    auto operator=(plain_server&&) -> plain_server& = delete;
    ~plain_server();

    [[nodiscard]] auto address() const -> base::endpoint;

private:
    struct state;
    std::shared_ptr<state> shared;
};

}  // namespace linnetlane::standin

#endif  // LINNETLANE_STANDIN_PLAIN_SERVER_H_
