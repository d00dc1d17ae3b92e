// The load that an upstream reports with an answer, and the part of it that other hosts cause.

#ifndef LINNETLANE_ROUTING_LOAD_REPORT_H_
#define LINNETLANE_ROUTING_LOAD_REPORT_H_

#include <cstddef>

#include "linnetlane/base/time.h"

namespace linnetlane::routing {

// Request counts at an upstream and its capacity.
struct load_report {
    std::size_t running = 0;
    std::size_t waiting = 0;
    std::size_t slots = 1;
};

// Tracks the requests of other hosts at an upstream, from its last report.
class other_hosts_load {
public:
    // Records `load`, of which `own` requests are from this host. It expires at `until`.
    auto note(load_report const& load, std::size_t own, base::time_point until) -> void {
        auto const all = load.running + load.waiting;
        this->requests = all > own ? all - own : 0;
        this->valid_until = until;
    }
    // Returns whether the last report has not expired.
    [[nodiscard]] auto is_known(base::time_point now) const -> bool {
        return now < this->valid_until;
    }
    // Returns the requests of other hosts, or 0 if the last report has expired.
    [[nodiscard]] auto at(base::time_point now) const -> std::size_t {
        return now < this->valid_until ? this->requests : 0;
    }

private:
    std::size_t requests = 0;
    base::time_point valid_until = base::time_point::min();
};

}  // namespace linnetlane::routing

#endif  // LINNETLANE_ROUTING_LOAD_REPORT_H_
