// The link into one decode engine: transfers are booked one after the other. Thread-compatible.

#ifndef LINNETLANE_CELL_LINK_SCHEDULE_H_
#define LINNETLANE_CELL_LINK_SCHEDULE_H_

#include <algorithm>

#include "linnetlane/base/time.h"

namespace linnetlane::cell {

class link_schedule {
public:
    // When a transfer that takes `length` and may begin at `from` would end.
    [[nodiscard]] auto end_of(base::time_point from, base::duration length) const
        -> base::time_point {
        return std::max(from, this->idle_at) + length;
    }
    // Books that transfer.
    auto book(base::time_point from, base::duration length) -> void {
        this->idle_at = this->end_of(from, length);
    }

private:
    base::time_point idle_at;
};

}  // namespace linnetlane::cell

#endif  // LINNETLANE_CELL_LINK_SCHEDULE_H_
