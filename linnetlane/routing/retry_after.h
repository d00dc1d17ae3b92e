// The delay after which a refused caller should retry.
//
// A caller that returns before there is room is refused again, and has few tries. One that returns
// too late has no time left for its answer.

#ifndef LINNETLANE_ROUTING_RETRY_AFTER_H_
#define LINNETLANE_ROUTING_RETRY_AFTER_H_

#include <algorithm>
#include <chrono>

#include "linnetlane/base/time.h"

namespace linnetlane::routing {

// The lower limit of the mean delay. A retry is a new connection, which takes about as long.
inline constexpr auto min_mean_delay = std::chrono::milliseconds{20};
// The upper limit of the delay as a share of the caller's time left; the rest is for the retry.
inline constexpr auto max_share_of_time_left = 1.0 / 3;

// Returns the delay from the refusal on, for a caller that allows `time_left` from now on, if room
// is expected after `until_room`; zero if another host may have room now. `draw`, which is uniform
// in [0, 1), spreads it by a third to either side, since callers that are refused together would
// otherwise return together.
[[nodiscard]] inline auto retry_after(base::duration until_room, base::duration time_left,
                                      double draw) -> base::duration {
    auto const spread = 2.0 / 3 + draw * 2 / 3;
    auto const mean = std::max<base::duration>(until_room, min_mean_delay);
    auto const delay = std::chrono::duration_cast<base::duration>(mean * spread);
    auto const most = std::chrono::duration_cast<base::duration>(
        std::max(time_left, base::duration::zero()) * max_share_of_time_left);
    return std::min(delay, most);
}

}  // namespace linnetlane::routing

#endif  // LINNETLANE_ROUTING_RETRY_AFTER_H_
