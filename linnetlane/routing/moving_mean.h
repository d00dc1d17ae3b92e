// Exponential moving means.

#ifndef LINNETLANE_ROUTING_MOVING_MEAN_H_
#define LINNETLANE_ROUTING_MOVING_MEAN_H_

namespace linnetlane::routing {

// Moves `mean` towards `sample` by the fraction `weight`. A mean of 0 counts as unset and is
// replaced by `sample`.
inline auto update_moving_mean(double& mean, double sample, double weight) -> void {
    mean = mean == 0 ? sample : mean + weight * (sample - mean);
}

}  // namespace linnetlane::routing

#endif  // LINNETLANE_ROUTING_MOVING_MEAN_H_
