// Schedule of the network link into one decode engine, which carries one transfer at a time.
// Thread-compatible.

#ifndef LINNETLANE_CELL_LINK_SCHEDULE_H_
#define LINNETLANE_CELL_LINK_SCHEDULE_H_

#include <algorithm>

#include "linnetlane/base/time.h"

namespace linnetlane::cell {

// Predicts when transfers end, assuming that they run one after the other.
class link_schedule {
public:
    // Returns when a transfer of `transfer_time` that may begin at `from` would end.
    [[nodiscard]] auto end_of(base::time_point from, base::duration transfer_time) const
        -> base::time_point {
        return std::max(from, this->idle_at) + transfer_time;
    }
    // Adds that transfer to the schedule.
    auto book(base::time_point from, base::duration transfer_time) -> void {
        this->idle_at = this->end_of(from, transfer_time);
    }

private:
    base::time_point idle_at;
};

}  // namespace linnetlane::cell

#endif  // LINNETLANE_CELL_LINK_SCHEDULE_H_
