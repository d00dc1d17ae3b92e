#include "linnetlane/routing/retry_budget.h"

#include <algorithm>

namespace linnetlane::routing {

auto retry_budget::note_request(base::time_point now) -> void {
    this->forget_before(now - this->limits.window);
    this->requests.push_back(now);
}

auto retry_budget::try_take(std::size_t hosts, base::time_point now) -> bool {
    this->forget_before(now - this->limits.window);
    auto const slack_share =
        this->limits.slack / static_cast<double>(std::max<std::size_t>(hosts, 1));
    auto const allowed =
        usable_share_of_budget *
        (this->limits.ratio.value * static_cast<double>(this->requests.size()) + slack_share);
    if (static_cast<double>(this->retries.size()) + 1 > allowed) {
        return false;
    }
    this->retries.push_back(now);
    return true;
}

auto retry_budget::forget_before(base::time_point oldest) -> void {
    while (!this->requests.empty() && this->requests.front() < oldest) {
        this->requests.pop_front();
    }
    while (!this->retries.empty() && this->retries.front() < oldest) {
        this->retries.pop_front();
    }
}

}  // namespace linnetlane::routing
