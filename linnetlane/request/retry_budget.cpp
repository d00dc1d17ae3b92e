#include "linnetlane/request/retry_budget.h"

#include <algorithm>
#include <cmath>

namespace linnetlane::request {

auto retry_budget::record_accepted(base::fraction share) -> void {
    auto const added =
        static_cast<std::int64_t>(std::llround(share.value * double{micros_per_retry}));
    auto old = this->micros.load();
    while (!this->micros.compare_exchange_weak(
        old, std::min(old + added, max_retries * micros_per_retry))) {
    }
}

auto retry_budget::try_take() -> bool {
    auto old = this->micros.load();
    while (old >= micros_per_retry) {
        if (this->micros.compare_exchange_weak(old, old - micros_per_retry)) {
            return true;
        }
    }
    return false;
}

auto retry_budget::available() const -> std::int64_t {
    return this->micros.load() / micros_per_retry;
}

}  // namespace linnetlane::request
