// The load that an upstream reports with an answer, and the part of it that other hosts cause.

#ifndef LINNETLANE_ROUTING_LOAD_REPORT_H_
#define LINNETLANE_ROUTING_LOAD_REPORT_H_

#include <algorithm>
#include <cstddef>
#include <optional>

#include "linnetlane/base/time.h"

namespace linnetlane::routing {

// Request counts at an upstream and its capacity.
struct load_report {
    std::size_t running = 0;
    std::size_t waiting = 0;
    std::size_t slots = 1;
    // How long work takes on the upstream's machine at this moment, as a multiple of the usual
    // time; unset if the upstream doesn't report it.
    std::optional<double> pace = std::nullopt;
};

// Returns whether an upstream that sent this report has no free slot.
[[nodiscard]] inline auto has_no_free_slot(std::optional<load_report> const& load) -> bool {
    return load && load->running >= load->slots;
}

// Tracks the pace of an upstream's machine, from its last report. Other work on the machine comes
// and goes within a second, so a report fades as it ages.
class machine_pace {
public:
    // A report has no effect after this time.
    static constexpr auto validity = std::chrono::milliseconds{600};
    // The range of paces that have an effect. One wrong figure must neither draw all requests to an
    // upstream nor take it out of use.
    static constexpr auto least = 0.5;
    static constexpr auto most = 10.0;

    // Records the pace in `load`, if it holds one.
    auto note(load_report const& load, base::time_point now) -> void {
        if (load.pace) {
            this->reported = std::clamp(*load.pace, least, most);
            this->usual_from = now + validity;
        }
    }
    // Returns the last reported pace, moved towards 1 by the age of the report.
    [[nodiscard]] auto at(base::time_point now) const -> double {
        if (now >= this->usual_from) {
            return 1;
        }
        auto const freshness =
            base::to_seconds(this->usual_from - now) / base::to_seconds(validity);
        return 1 + (this->reported - 1) * std::min(freshness, 1.0);
    }

private:
    double reported = 1;
    base::time_point usual_from = base::time_point::min();
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
