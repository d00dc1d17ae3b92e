// The lasting speed of one prefill engine, learned from the times of its prefills.

#ifndef LINNETLANE_ROUTING_PREFILL_SPEED_H_
#define LINNETLANE_ROUTING_PREFILL_SPEED_H_

#include <algorithm>
#include <chrono>
#include <cmath>

#include "linnetlane/base/time.h"

namespace linnetlane::routing {

// Holds the mean of the logarithms of the time per token, and its weight in samples. Logarithms
// keep a few prefills behind a queue that this host doesn't know of from counting for much.
class prefill_speed {
public:
    // What is learned counts half as much as the engines' common speed with this many samples.
    static constexpr auto prior_samples = 4.0;
    // The mean follows at least as fast as one of this many samples.
    static constexpr auto most_samples = 24.0;
    // Without further samples, the weight halves in this time.
    static constexpr auto half_life = std::chrono::seconds{120};
    // Differences from the common speed up to the first logarithm are ignored, and count in full
    // from the second on. Hosts see small differences between equal engines, since they know only
    // part of the work there.
    static constexpr auto ignored_difference = 0.1;
    static constexpr auto full_difference = 0.3;
    // The largest difference that has an effect: the logarithm of 5.
    static constexpr auto most_difference = 1.6;

    // Records a prefill that took `seconds_per_token` > 0 at the usual pace.
    auto note(double seconds_per_token, base::time_point now) -> void {
        this->samples = std::min(this->samples_at(now), most_samples - 1) + 1;
        this->mean_log += (std::log(seconds_per_token) - this->mean_log) / this->samples;
        this->noted_at = now;
    }
    // Returns the number of samples that still count.
    [[nodiscard]] auto samples_at(base::time_point now) const -> double {
        if (this->samples == 0) {
            return 0;
        }
        auto const age = base::to_seconds(now - this->noted_at);
        return this->samples * std::exp2(-std::max(age, 0.0) / base::to_seconds(half_life));
    }
    [[nodiscard]] auto mean() const -> double { return this->mean_log; }
    // Returns how many times as long as at the common speed a prefill takes at the engine. `common`
    // is the mean of `mean()` over the engines.
    [[nodiscard]] auto slowness(double common, base::time_point now) const -> double {
        auto const known = this->samples_at(now);
        auto const difference =
            std::clamp((this->mean_log - common) * known / (known + prior_samples),
                       -most_difference, most_difference);
        auto const counted =
            (std::abs(difference) - ignored_difference) / (full_difference - ignored_difference);
        return std::exp(difference * std::clamp(counted, 0.0, 1.0));
    }

private:
    double mean_log = 0;
    double samples = 0;
    base::time_point noted_at = base::time_point::min();
};

}  // namespace linnetlane::routing

#endif  // LINNETLANE_ROUTING_PREFILL_SPEED_H_
