// What an upstream says of its load in an answer, and what that says of other hosts.

#ifndef LINNETLANE_ROUTING_LOAD_REPORT_H_
#define LINNETLANE_ROUTING_LOAD_REPORT_H_

#include <cstddef>

#include "linnetlane/base/time.h"

namespace linnetlane::routing {

struct load_report {
    std::size_t running = 0;
    std::size_t waiting = 0;
    std::size_t slots = 1;
};

// The requests of other hosts at an upstream, from its last report.
class load_of_others {
public:
    // `own` are this host's requests there.
    auto note(load_report const& load, std::size_t own, base::time_point until) -> void {
        auto const all = load.running + load.waiting;
        this->requests = all > own ? all - own : 0;
        this->valid_until = until;
    }
    [[nodiscard]] auto at(base::time_point now) const -> std::size_t {
        return now < this->valid_until ? this->requests : 0;
    }

private:
    std::size_t requests = 0;
    base::time_point valid_until = base::time_point::min();
};

}  // namespace linnetlane::routing

#endif  // LINNETLANE_ROUTING_LOAD_REPORT_H_
