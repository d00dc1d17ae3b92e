// The repeats that a service may get in a sliding window, from all hosts together.
//
// Each host takes its share without asking the others: a ratio of the requests that it took itself,
// and an equal part of the fixed slack. The shares add up to the whole budget for any split of the
// requests between hosts.

#ifndef LINNETLANE_ROUTING_RETRY_BUDGET_H_
#define LINNETLANE_ROUTING_RETRY_BUDGET_H_

#include <cstddef>
#include <deque>

#include "linnetlane/base/time.h"
#include "linnetlane/base/units.h"

namespace linnetlane::routing {

struct retry_bounds {
    // Repeats for each request of the window.
    base::fraction ratio{0.2};
    // Repeats for all hosts on top of the ratio, in a window.
    double slack = 0;
    base::duration window = std::chrono::seconds{10};
};

// Share of the bounds that is used; the rest covers hosts that start or stop within a window.
inline constexpr auto used_share_of_budget = 0.7;

// Belongs to one worker.
class retry_allowance {
public:
    explicit retry_allowance(retry_bounds const& own_bounds) : bounds(own_bounds) {}

    auto note_request(base::time_point now) -> void;
    // Takes one repeat when `hosts` share the slack. False if there is none left.
    [[nodiscard]] auto try_take(std::size_t hosts, base::time_point now) -> bool;

private:
    auto forget_before(base::time_point oldest) -> void;

    retry_bounds bounds;
    std::deque<base::time_point> requests;
    std::deque<base::time_point> repeats;
};

}  // namespace linnetlane::routing

#endif  // LINNETLANE_ROUTING_RETRY_BUDGET_H_
