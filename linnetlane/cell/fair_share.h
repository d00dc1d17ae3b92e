// Weighted fair shares of a contended service.
//
// Each caller's demand is a decaying sum of the work that it offers. If only a fraction of all
// demand can be accepted, it is shared by max-min fairness (water filling): callers below their
// weighted share are accepted in full, and the others are cut to a common level per weight. A
// caller's share is exceeded once it was given that much, unless it is cut no more than the others.
// Thread-compatible.

#ifndef LINNETLANE_CELL_FAIR_SHARE_H_
#define LINNETLANE_CELL_FAIR_SHARE_H_

#include <unordered_map>

#include "linnetlane/base/ids.h"
#include "linnetlane/base/time.h"

namespace linnetlane::cell {

// Computes the weighted max-min fair share of each caller.
class fair_share {
public:
    // Sets the weight of `caller`; the default is 1.
    auto set_weight(base::caller_id const& caller, double weight) -> void;
    // Adds `work` to the demand of `caller`.
    auto add_demand(base::caller_id const& caller, double work, base::time_point now) -> void;
    // Records that `work` of `caller` is accepted.
    auto add_accepted(base::caller_id const& caller, double work, base::time_point now) -> void;
    // Returns whether `caller` was given its share already and asks for more than others do, if the
    // fraction `acceptable` (0 to 1) of all work can be accepted.
    [[nodiscard]] auto is_exceeded(base::caller_id const& caller, double acceptable,
                                   base::time_point now) -> bool;

private:
    struct demand {
        double weight = 1;
        // Decaying sums of offered and of accepted work at `as_of`.
        double work = 0;
        double accepted = 0;
        base::time_point as_of;
        // Whether it asks for more of the service than the others, as of the last level. Callers
        // that ask alike are cut alike, and none of them takes the place of another one.
        bool takes_more = false;
    };

    static auto decay(demand& one, base::time_point now) -> void;
    auto update_level(double acceptable, base::time_point now) -> void;

    std::unordered_map<base::caller_id, demand> demands;
    // Accepted work per weight, recomputed at `level_until`.
    double level = 0;
    double level_fraction = 1;
    base::time_point level_until;
};

}  // namespace linnetlane::cell

#endif  // LINNETLANE_CELL_FAIR_SHARE_H_
