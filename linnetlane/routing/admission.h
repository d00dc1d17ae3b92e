// Which requests a host sends on while the upstreams of a plain service are overloaded.
//
// An upstream queues what it can't run yet, so in a burst every answer waits behind a full queue
// and comes late. Hosts keep the queues short instead: each admits a share of its requests and
// refuses the others at once. The share follows the queues that upstreams report with their
// answers, so hosts need not know of each other. The median upstream counts: one that hangs behind
// a full queue says nothing of the room at the others.

#ifndef LINNETLANE_ROUTING_ADMISSION_H_
#define LINNETLANE_ROUTING_ADMISSION_H_

#include <chrono>
#include <map>

#include "linnetlane/base/ids.h"
#include "linnetlane/base/time.h"
#include "linnetlane/routing/load_report.h"

namespace linnetlane::routing {

// Belongs to one worker. One for each plain service.
class admission {
public:
    // Requests that wait at an upstream, for each that it can run, where the share is held. Enough
    // that no slot runs empty between two reports.
    static constexpr auto wanted_waiting = 1.6;
    // How strongly one report moves the share, on a logarithmic scale. Both figures are from the
    // overload model of overload_test.cpp.
    static constexpr auto gain = 0.35;
    // The factor by which a report of a free slot raises the share.
    static constexpr auto recovery = 2.0;
    static constexpr auto least_share = 0.05;
    // A burst may be over by then.
    static constexpr auto report_validity = std::chrono::milliseconds{500};

    // What an upstream says of its load.
    auto note_load(base::upstream_id const& from, load_report const& load, base::time_point now)
        -> void;
    // Whether to send a request on. `draw` is uniform in [0, 1).
    [[nodiscard]] auto admits(double draw, base::time_point now) const -> bool {
        return draw < this->share(now);
    }
    // The share of requests that is admitted, 1 unless upstreams are overloaded.
    [[nodiscard]] auto share(base::time_point now) const -> double {
        return now < this->valid_until ? this->current : 1;
    }

private:
    struct queue {
        // Requests that wait, for each slot; less than 0 if a slot is free.
        double waiting = 0;
        base::time_point valid_until;
    };

    // Forgets old reports; the median of the others.
    auto median_waiting(base::time_point now) -> double;

    std::map<base::upstream_id, queue> queues;
    double current = 1;
    base::time_point valid_until = base::time_point::min();
};

}  // namespace linnetlane::routing

#endif  // LINNETLANE_ROUTING_ADMISSION_H_
