// When a caller that finds no room should come back.
//
// A place comes free every few tens of milliseconds, so an early return can still be answered on
// time; callers that are spread over the seconds after a burst come late in any case.

#ifndef LINNETLANE_ROUTING_RETRY_AFTER_H_
#define LINNETLANE_ROUTING_RETRY_AFTER_H_

#include <algorithm>
#include <chrono>

#include "linnetlane/base/time.h"

namespace linnetlane::routing {

// The mean return where the target latency leaves room for it; docs/MEASUREMENTS.md compares it.
inline constexpr auto longest_mean_return = std::chrono::milliseconds{150};
// For routes that name no target.
inline constexpr auto shortest_mean_return = std::chrono::milliseconds{20};
// The rest of the target latency is for the second try itself.
inline constexpr auto return_share_of_target = 1.0 / 8;

// The time from the refusal on, for a route with `target` as its target latency. A third of the
// mean is spread to either side by `draw`, which is uniform in [0, 1).
[[nodiscard]] inline auto retry_after(base::duration target, double draw) -> base::duration {
    auto const share = std::chrono::duration_cast<base::duration>(target * return_share_of_target);
    auto const mean = std::clamp<base::duration>(share, shortest_mean_return, longest_mean_return);
    return std::chrono::duration_cast<base::duration>(mean * (2.0 / 3 + draw * 2 / 3));
}

}  // namespace linnetlane::routing

#endif  // LINNETLANE_ROUTING_RETRY_AFTER_H_
