// Sends one planned request and reads its answer, either through an entry host or, for comparison,
// directly from a pair of engines.

#ifndef LINNETLANE_LOAD_SENDER_H_
#define LINNETLANE_LOAD_SENDER_H_

#include <string>
#include <variant>

#include "linnetlane/base/endpoint.h"
#include "linnetlane/base/ids.h"
#include "linnetlane/base/time.h"
#include "linnetlane/load/shape.h"
#include "linnetlane/load/summary.h"

namespace linnetlane::load {

// An entry host, and the service to request there.
struct host_destination {
    base::endpoint host;
    base::service_id service;
};

// Engines that the sender calls directly: prefill first, then decode.
struct engine_destination {
    base::endpoint prefill;
    base::endpoint decode;
};

using request_destination = std::variant<host_destination, engine_destination>;

struct send_options {
    // Whether the sender retries after a refusal that states a retry time.
    bool honours_retry_after = false;
    // Limit on tries of one request, the first included.
    std::int64_t max_tries = 10;
};

// Sends `request`, which arrived at `arrival`, and waits for its end, but not beyond `deadline`.
// Call in a fiber of a worker pool.
[[nodiscard]] auto send_request(request_destination const& destination,
                                planned_request const& request, send_options const& options,
                                base::time_point arrival, base::time_point deadline)
    -> request_outcome;

}  // namespace linnetlane::load

#endif  // LINNETLANE_LOAD_SENDER_H_
