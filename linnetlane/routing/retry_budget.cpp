#include "linnetlane/routing/retry_budget.h"

#include <algorithm>

namespace linnetlane::routing {

auto retry_allowance::note_request(base::time_point now) -> void {
    this->forget_before(now - this->bounds.window);
    this->requests.push_back(now);
}

auto retry_allowance::try_take(std::size_t hosts, base::time_point now) -> bool {
    this->forget_before(now - this->bounds.window);
    auto const own_slack =
        this->bounds.slack / static_cast<double>(std::max<std::size_t>(hosts, 1));
    auto const allowed =
        used_share_of_budget *
        (this->bounds.ratio.value * static_cast<double>(this->requests.size()) + own_slack);
    if (static_cast<double>(this->repeats.size()) + 1 > allowed) {
        return false;
    }
    this->repeats.push_back(now);
    return true;
}

auto retry_allowance::forget_before(base::time_point oldest) -> void {
    while (!this->requests.empty() && this->requests.front() < oldest) {
        this->requests.pop_front();
    }
    while (!this->repeats.empty() && this->repeats.front() < oldest) {
        this->repeats.pop_front();
    }
}

}  // namespace linnetlane::routing
