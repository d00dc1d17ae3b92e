// Outlier ejection: whether an engine fails so often that it gets no requests, and when it is
// probed.
//
// An engine is ejected after several consecutive failures, with exponential backoff. When the
// ejection ends, it gets one request as a probe: a success makes it healthy again, and a failure
// ejects it for longer. The scheduler bounds how many engines are ejected at once.
// Thread-compatible.

#ifndef LINNETLANE_CELL_ENGINE_HEALTH_H_
#define LINNETLANE_CELL_ENGINE_HEALTH_H_

#include <algorithm>
#include <chrono>
#include <cstdint>

#include "linnetlane/base/time.h"

namespace linnetlane::cell {

// Consecutive failures after which an engine is ejected.
inline constexpr std::int64_t failures_before_ejection = 3;
// Duration of the first ejection, and upper bound of all.
inline constexpr base::duration min_ejection_time = std::chrono::seconds{1};
inline constexpr base::duration max_ejection_time = std::chrono::seconds{30};
// Upper bound on the doublings of the first duration.
inline constexpr std::int64_t max_doublings = 5;
// One engine in this many may be ejected at the same time.
inline constexpr std::int64_t engines_per_ejection = 3;

// `awaiting_probe`: gets one request. `probe_in_flight`: that request has not ended yet.
enum class health_state { healthy, ejected, awaiting_probe, probe_in_flight };

// The health of one engine, derived from the outcomes of its requests.
struct engine_health {
    health_state state = health_state::healthy;
    // Consecutive failures.
    std::int64_t failures = 0;
    // Ejections since the last success.
    std::int64_t ejections = 0;
    base::time_point ejected_until;

    // Whether the engine may be given a request.
    [[nodiscard]] auto takes_work() const -> bool {
        return this->state == health_state::healthy || this->state == health_state::awaiting_probe;
    }
    // Counts a failure; returns whether the engine should be ejected now.
    auto record_failure() -> bool {
        this->failures += 1;
        auto const probe_failed = this->state == health_state::probe_in_flight;
        return probe_failed ||
               (this->state == health_state::healthy && this->failures >= failures_before_ejection);
    }
    // Makes the engine healthy.
    auto record_success() -> void { *this = engine_health{}; }
    // Ejects the engine, for twice as long as the last time up to `max_ejection_time`.
    auto eject(base::time_point now) -> void {
        auto const doublings = std::min(this->ejections, max_doublings);
        auto const ejection_time = min_ejection_time * (std::int64_t{1} << doublings);
        this->state = health_state::ejected;
        this->ejections += 1;
        this->ejected_until = now + std::min<base::duration>(ejection_time, max_ejection_time);
    }
    // Notes that the engine was given a request, which is the probe if one is due.
    auto record_request() -> void {
        if (this->state == health_state::awaiting_probe) {
            this->state = health_state::probe_in_flight;
        }
    }
    // Allows another probe after one whose outcome says nothing about the engine.
    auto release_probe() -> void {
        if (this->state == health_state::probe_in_flight) {
            this->state = health_state::awaiting_probe;
        }
    }
};

}  // namespace linnetlane::cell

#endif  // LINNETLANE_CELL_ENGINE_HEALTH_H_
