// Sends the requests of a plan, either in an open loop, where each request is sent at its arrival
// time regardless of earlier ones, or in a closed loop with a fixed concurrency.
//
//   auto pool = runtime::worker_pool{runtime::worker_count{4}};
//   auto const outcomes = run_load(pool, settings);
//   auto const result = summarise(outcomes, targets);

#ifndef LINNETLANE_LOAD_GENERATOR_H_
#define LINNETLANE_LOAD_GENERATOR_H_

#include <cstdint>
#include <vector>

#include "linnetlane/base/time.h"
#include "linnetlane/load/sender.h"
#include "linnetlane/load/shape.h"
#include "linnetlane/load/summary.h"
#include "linnetlane/runtime/worker_pool.h"

namespace linnetlane::load {

struct load_settings {
    // Used in turn; must not be empty.
    std::vector<request_destination> destinations{};
    traffic_shape shape = traffic_shape::bluegum;
    request_rate rate{1};
    std::uint64_t seed = 1;
    // Time during which requests arrive.
    base::duration span = std::chrono::seconds{10};
    // Number of concurrent requests in a closed loop, which ignores the rate; 0: open loop.
    std::size_t concurrency = 0;
    // Timeout of each request, from its arrival.
    base::duration request_timeout = std::chrono::minutes{2};
    send_options sending;
};

// Sends the requests and blocks until each has ended. Call on a thread that is not one of the
// pool's workers.
[[nodiscard]] auto run_load(runtime::worker_pool& pool, load_settings const& settings)
    -> std::vector<request_outcome>;

}  // namespace linnetlane::load

#endif  // LINNETLANE_LOAD_GENERATOR_H_
