// Weighted fair shares of a contended service.
//
// Each caller's demand is a decaying sum of the work that it offers. If only a fraction of all
// demand can be accepted, it is shared by max-min fairness (water filling): callers below their
// weighted share are accepted in full, and the others are cut to a common level per weight.
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
    // Returns the fraction (0 to 1) of `caller`'s work to accept if the fraction `accepted` of all
    // work can be accepted.
    [[nodiscard]] auto accepted_fraction_of(base::caller_id const& caller, double accepted,
                                            base::time_point now) -> double;

private:
    struct demand {
        double weight = 1;
        // Decaying sum of offered work at `as_of`.
        double work = 0;
        base::time_point as_of;
    };

    auto update_level(double accepted, base::time_point now) -> void;

    std::unordered_map<base::caller_id, demand> demands;
    // Accepted work per weight, recomputed at `level_until`.
    double level = 0;
    double level_fraction = 1;
    base::time_point level_until;
};

}  // namespace linnetlane::cell

#endif  // LINNETLANE_CELL_FAIR_SHARE_H_
