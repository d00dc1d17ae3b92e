#include "linnetlane/cell/admission.h"

#include <algorithm>

namespace linnetlane::cell {
namespace {

// The part of its affordable wait up to which a request is admitted whatever its caller's share.
constexpr double shared_part = 0.5;

// Returns the fraction of all work that may still be accepted: it falls from 1 at the end of the
// shared part to 0 when the request can't afford the wait.
auto acceptable_fraction(base::duration wait, base::duration affordable) -> double {
    if (affordable <= base::duration::zero()) {
        return 0;
    }
    auto const used = base::to_seconds(wait) / base::to_seconds(affordable);
    return std::clamp((1 - used) / (1 - shared_part), 0.0, 1.0);
}

}  // namespace

auto admission_gate::admits(base::caller_id const& caller, double work, base::duration wait,
                            base::duration affordable, base::time_point now) -> bool {
    auto const admitted =
        !this->shares.is_exceeded(caller, acceptable_fraction(wait, affordable), now);
    if (admitted) {
        this->shares.add_accepted(caller, work, now);
    }
    return admitted;
}

}  // namespace linnetlane::cell
