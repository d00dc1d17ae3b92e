// The retry budget of a service: the retries that all hosts together may send it in a sliding
// window.
//
// Each host uses its share without coordination: a ratio of the requests that it received itself,
// and an equal part of the fixed slack. The shares add up to the whole budget for any distribution
// of the requests over the hosts.

#ifndef LINNETLANE_ROUTING_RETRY_BUDGET_H_
#define LINNETLANE_ROUTING_RETRY_BUDGET_H_

#include <cstddef>
#include <deque>

#include "linnetlane/base/time.h"
#include "linnetlane/base/units.h"

namespace linnetlane::routing {

// The parameters of a retry budget.
struct retry_budget_limits {
    // Retries per request in the window.
    base::fraction ratio{0.2};
    // Retries of all hosts in a window in addition to the ratio.
    double slack = 0;
    base::duration window = std::chrono::seconds{10};
};

// The share of the budget that hosts use. The rest covers hosts that start or stop within a window.
inline constexpr auto usable_share_of_budget = 0.7;

// One host's share of the retry budget of a service. Not thread-safe; must be used on one worker
// only.
class retry_budget {
public:
    explicit retry_budget(retry_budget_limits const& own_limits) : limits(own_limits) {}

    // Records a request, which adds to the budget.
    auto note_request(base::time_point now) -> void;
    // Takes one retry from the budget while `hosts` hosts share the slack. Returns false if none is
    // left.
    [[nodiscard]] auto try_take(std::size_t hosts, base::time_point now) -> bool;

private:
    auto forget_before(base::time_point oldest) -> void;

    retry_budget_limits limits;
    std::deque<base::time_point> requests;
    std::deque<base::time_point> retries;
};

}  // namespace linnetlane::routing

#endif  // LINNETLANE_ROUTING_RETRY_BUDGET_H_
