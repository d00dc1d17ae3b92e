// Admission control for plain services: the share of requests that a host forwards while the
// upstreams are overloaded.
//
// An upstream queues requests that it can't run yet, so in a burst every request waits behind a
// full queue and is answered too late. Hosts keep the queues short instead: each admits a share of
// its requests and refuses the rest at once. The share follows the queue lengths that upstreams
// report with their answers, so hosts need no coordination. The median queue is used, because one
// upstream that hangs behind a full queue tells nothing about capacity at the others.

#ifndef LINNETLANE_ROUTING_ADMISSION_H_
#define LINNETLANE_ROUTING_ADMISSION_H_

#include <chrono>
#include <map>

#include "linnetlane/base/ids.h"
#include "linnetlane/base/time.h"
#include "linnetlane/routing/load_report.h"

namespace linnetlane::routing {

// Not thread-safe; must be used on one worker only. There is one instance for each plain service.
class admission_controller {
public:
    // The target number of waiting requests per slot of an upstream. High enough that no slot
    // becomes idle between two reports.
    static constexpr auto target_waiting = 1.6;
    // The change of the logarithm of the share per report and unit of deviation from the target.
    // This value and the target come from the overload model in overload_test.cpp.
    static constexpr auto gain = 0.35;
    // The factor by which the share grows when the median upstream reports a free slot.
    static constexpr auto recovery_factor = 2.0;
    static constexpr auto min_share = 0.05;
    // Reports expire after this time, since the burst may be over by then.
    static constexpr auto report_validity = std::chrono::milliseconds{500};

    // Adjusts the share for the load that upstream `from` reported.
    auto note_load(base::upstream_id const& from, load_report const& load, base::time_point now)
        -> void;
    // Returns whether to forward a request. `draw` is uniform in [0, 1).
    [[nodiscard]] auto admits(double draw, base::time_point now) const -> bool {
        return draw < this->share(now);
    }
    // Returns the share of requests that is admitted, from `min_share` to 1. It is 1 without a
    // current report.
    [[nodiscard]] auto share(base::time_point now) const -> double {
        return now < this->valid_until ? this->current : 1;
    }

private:
    struct queue {
        // Waiting requests per slot; negative if a slot is free.
        double waiting = 0;
        base::time_point valid_until;
    };

    // Drops expired reports and returns the median of `waiting` over the others.
    auto median_waiting(base::time_point now) -> double;

    std::map<base::upstream_id, queue> queues;
    double current = 1;
    base::time_point valid_until = base::time_point::min();
};

}  // namespace linnetlane::routing

#endif  // LINNETLANE_ROUTING_ADMISSION_H_
