// The delay after which a refused caller should retry.
//
// Slots become free every few tens of milliseconds, so an early retry can still meet the target
// latency. Callers whose retries are spread over the seconds after a burst miss it in any case.

#ifndef LINNETLANE_ROUTING_RETRY_AFTER_H_
#define LINNETLANE_ROUTING_RETRY_AFTER_H_

#include <algorithm>
#include <chrono>

#include "linnetlane/base/time.h"

namespace linnetlane::routing {

// The upper limit of the mean delay; docs/MEASUREMENTS.md compares it with other values.
inline constexpr auto max_mean_delay = std::chrono::milliseconds{150};
// The lower limit of the mean delay, also for routes without a target latency.
inline constexpr auto min_mean_delay = std::chrono::milliseconds{20};
// The mean delay as a share of the target latency; the rest is left for the retry itself.
inline constexpr auto delay_share_of_target = 1.0 / 8;

// Returns the delay from the refusal on, for a route with target latency `target`. `draw`, which is
// uniform in [0, 1), spreads it by a third of the mean to either side.
[[nodiscard]] inline auto retry_after(base::duration target, double draw) -> base::duration {
    auto const share = std::chrono::duration_cast<base::duration>(target * delay_share_of_target);
    auto const mean = std::clamp<base::duration>(share, min_mean_delay, max_mean_delay);
    return std::chrono::duration_cast<base::duration>(mean * (2.0 / 3 + draw * 2 / 3));
}

}  // namespace linnetlane::routing

#endif  // LINNETLANE_ROUTING_RETRY_AFTER_H_
