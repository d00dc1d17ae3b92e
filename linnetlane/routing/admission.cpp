#include "linnetlane/routing/admission.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <vector>

namespace linnetlane::routing {

namespace {

auto waiting_per_slot(load_report const& load) -> double {
    auto const slots = static_cast<double>(std::max<std::size_t>(load.slots, 1));
    auto const has_room = load.waiting == 0 && load.running < load.slots;
    return has_room ? -1 : static_cast<double>(load.waiting) / slots;
}

}  // namespace

auto admission_controller::note_load(base::upstream_id const& from, load_report const& load,
                                     base::time_point now) -> void {
    auto const before = this->share(now);
    this->valid_until = now + report_validity;
    this->queues[from] = queue{waiting_per_slot(load), this->valid_until};
    auto const waiting = this->median_waiting(now);
    auto const factor = waiting < 0 ? recovery_factor : std::exp(gain * (target_waiting - waiting));
    this->current = std::clamp(before * factor, min_share, 1.0);
}

auto admission_controller::median_waiting(base::time_point now) -> double {
    std::erase_if(this->queues, [&](auto const& entry) { return entry.second.valid_until <= now; });
    auto reported = std::vector<double>{};
    for (auto const& [id, each] : this->queues) {
        reported.push_back(each.waiting);
    }
    // For an even number of reports the lower median: free slots at half of the upstreams suffice.
    auto const middle = reported.begin() + static_cast<std::ptrdiff_t>((reported.size() - 1) / 2);
    std::ranges::nth_element(reported, middle);
    return *middle;
}

}  // namespace linnetlane::routing
