// Admission control under overload: whether an interactive request that can still be served in time
// may wait for engines.
//
// A request is refused for lack of time by the scheduler, which predicts when it would be done. The
// gate adds fairness among callers: the excess of one isn't paid by others. The last part of the
// wait that a request can afford is left to callers within their share, so their requests still
// find a short enough queue. A caller that takes no more than the others is never refused here.
//
//   gate.note_demand(caller, work, now);
//   if (!gate.admits(caller, work, wait, affordable, now)) { refuse as over its share }
//
// Thread-compatible.

#ifndef LINNETLANE_CELL_ADMISSION_H_
#define LINNETLANE_CELL_ADMISSION_H_

#include "linnetlane/base/ids.h"
#include "linnetlane/base/time.h"
#include "linnetlane/cell/fair_share.h"

namespace linnetlane::cell {

class admission_gate {
public:
    // Sets the weight of `caller`'s fair share; callers without one have weight 1.
    auto set_weight(base::caller_id const& caller, double weight) -> void {
        this->shares.set_weight(caller, weight);
    }
    // Counts an arriving request of `work` (seconds of service), whether it is admitted or not.
    auto note_demand(base::caller_id const& caller, double work, base::time_point now) -> void {
        this->shares.add_demand(caller, work, now);
    }
    // Returns whether a request of `work` may wait, and counts it if so. `wait` is its predicted
    // wait, and `affordable` the longest wait after which it still meets its deadline.
    [[nodiscard]] auto admits(base::caller_id const& caller, double work, base::duration wait,
                              base::duration affordable, base::time_point now) -> bool;

private:
    fair_share shares;
};

}  // namespace linnetlane::cell

#endif  // LINNETLANE_CELL_ADMISSION_H_
