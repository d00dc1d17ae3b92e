#include "linnetlane/order/pool_sizer.h"

namespace linnetlane::order {

namespace {

auto requested_change(base::fraction prefill, base::fraction decode, limits const& bounds)
    -> std::int64_t {
    if (decode > bounds.high_pressure && prefill < bounds.low_pressure) {
        return 1;
    }
    if (prefill > bounds.high_pressure && decode < bounds.low_pressure) {
        return -1;
    }
    return 0;
}

}  // namespace

auto pool_sizer::update(base::fraction prefill, base::fraction decode, base::time_point now,
                        limits const& bounds) -> std::int64_t {
    auto const requested = requested_change(prefill, decode, bounds);
    if (requested != this->direction) {
        this->direction = requested;
        this->resize_at = now + bounds.resize_delay;
        return 0;
    }
    if (requested == 0 || now < this->resize_at) {
        return 0;
    }
    this->direction = 0;
    return requested;
}

}  // namespace linnetlane::order
