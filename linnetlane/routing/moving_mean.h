// Means that follow what was seen lately.

#ifndef LINNETLANE_ROUTING_MOVING_MEAN_H_
#define LINNETLANE_ROUTING_MOVING_MEAN_H_

namespace linnetlane::routing {

// Moves `mean` towards `sample` by `weight`; the first sample, when the mean is 0, is taken whole.
inline auto move_mean(double& mean, double sample, double weight) -> void {
    mean = mean == 0 ? sample : mean + weight * (sample - mean);
}

}  // namespace linnetlane::routing

#endif  // LINNETLANE_ROUTING_MOVING_MEAN_H_
