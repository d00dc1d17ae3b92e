// Token bucket rate limiter with a burst of one second's worth of calls.

#ifndef LINNETLANE_STANDIN_RATE_LIMIT_H_
#define LINNETLANE_STANDIN_RATE_LIMIT_H_

#include <algorithm>

#include "linnetlane/base/time.h"

namespace linnetlane::standin {

// Thread-compatible.
class rate_limit {
public:
    explicit rate_limit(double calls_per_second)
        : per_second(calls_per_second), tokens(calls_per_second) {}

    // Takes the token of one call. Returns false if the bucket is empty.
    auto take(base::time_point now) -> bool {
        auto const passed = std::max(base::duration::zero(), now - this->filled_at);
        this->filled_at = std::max(this->filled_at, now);
        this->tokens =
            std::min(this->per_second, this->tokens + base::to_seconds(passed) * this->per_second);
        if (this->tokens < 1) {
            return false;
        }
        this->tokens -= 1;
        return true;
    }

private:
    double per_second;
    double tokens;
    base::time_point filled_at;
};

}  // namespace linnetlane::standin

#endif  // LINNETLANE_STANDIN_RATE_LIMIT_H_
