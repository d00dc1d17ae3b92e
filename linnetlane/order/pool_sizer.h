// Decides how many decode engines a data centre should have, from the pressure on its pools, with
// hysteresis.

#ifndef LINNETLANE_ORDER_POOL_SIZER_H_
#define LINNETLANE_ORDER_POOL_SIZER_H_

#include <cstdint>

#include "linnetlane/base/time.h"
#include "linnetlane/base/units.h"
#include "linnetlane/order/limits.h"

namespace linnetlane::order {

// The sizer of one data centre's pools. Thread-compatible.
class pool_sizer {
public:
    // Returns by how many decode engines, from -1 to 1, the pool should change now. The resize
    // delay starts again after each change and whenever the pressure ceases to point the same way.
    auto update(base::fraction prefill, base::fraction decode, base::time_point now,
                limits const& bounds) -> std::int64_t;

private:
    // The change that the pressure asks for (-1, 0 or 1), and when it is due.
    std::int64_t direction = 0;
    base::time_point resize_at;
};

}  // namespace linnetlane::order

#endif  // LINNETLANE_ORDER_POOL_SIZER_H_
