// Timeouts, periods and thresholds for orders to engines.

#ifndef LINNETLANE_ORDER_LIMITS_H_
#define LINNETLANE_ORDER_LIMITS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "linnetlane/base/time.h"
#include "linnetlane/base/units.h"

namespace linnetlane::order {

struct limits {
    // The platform ends a lease this long after the last keep-alive.
    base::duration lease_span = std::chrono::seconds{10};
    // The time between two keep-alive calls.
    base::duration keep_alive_period = std::chrono::seconds{3};
    // The time from a failed keep-alive call to the next one.
    base::duration keep_alive_retry = std::chrono::seconds{1};
    // The time from a failure to acquire the lease to the next try.
    base::duration lease_retry = std::chrono::seconds{5};
    // The longest time from the sending of an order to its arrival at the engine.
    base::duration max_order_delay = std::chrono::seconds{5};
    // The time between two polls of an engine that is draining or carrying out an order.
    base::duration busy_poll_period = std::chrono::seconds{1};
    // The time between two polls of an engine that runs the desired setup.
    base::duration idle_poll_period = std::chrono::seconds{30};
    // Unsuccessful orders before an engine is reported as stuck.
    std::int64_t stuck_after = 3;
    // One engine in this many may be drained at the same time, and at least one.
    std::size_t engines_per_concurrent_drain = 10;
    // One engine changes pools once the pressure has been above `high_pressure` on one pool and
    // below `low_pressure` on the other for `resize_delay`. The delay then starts again.
    base::fraction high_pressure{0.9};
    base::fraction low_pressure{0.6};
    base::duration resize_delay = std::chrono::minutes{2};
};

}  // namespace linnetlane::order

#endif  // LINNETLANE_ORDER_LIMITS_H_
