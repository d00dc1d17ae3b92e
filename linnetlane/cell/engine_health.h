// Whether an engine fails so often that it should rest, and when it is probed again.
//
// An engine rests after several failures in a row, longer each time. After its rest it takes one
// request as a probe: a success ends the matter, a failure starts the next rest. How many engines
// may rest at once is the scheduler's to bound. Thread-compatible.

#ifndef LINNETLANE_CELL_ENGINE_HEALTH_H_
#define LINNETLANE_CELL_ENGINE_HEALTH_H_

#include <algorithm>
#include <chrono>
#include <cstdint>

#include "linnetlane/base/time.h"

namespace linnetlane::cell {

// Failures in a row after which an engine rests.
inline constexpr std::int64_t failures_before_rest = 3;
// The first and the longest rest.
inline constexpr base::duration first_rest = std::chrono::seconds{1};
inline constexpr base::duration longest_rest = std::chrono::seconds{30};
// Doublings of the first rest.
inline constexpr std::int64_t most_doublings = 5;
// One engine in so many may rest at once.
inline constexpr std::int64_t engines_per_resting = 3;

// Probing: takes one request. Probed: that request is out.
enum class health_state { healthy, resting, probing, probed };

struct engine_health {
    health_state state = health_state::healthy;
    std::int64_t failures = 0;
    // Rests taken without a success in between.
    std::int64_t rests = 0;
    base::time_point rest_until;

    // Whether the engine may take a request.
    [[nodiscard]] auto takes_work() const -> bool {
        return this->state == health_state::healthy || this->state == health_state::probing;
    }
    // Counts a failure; true if the engine should rest now.
    auto failed() -> bool {
        this->failures += 1;
        auto const probe_lost = this->state == health_state::probed;
        return probe_lost ||
               (this->state == health_state::healthy && this->failures >= failures_before_rest);
    }
    auto succeeded() -> void { *this = engine_health{}; }
    auto rest(base::time_point now) -> void {
        auto const doublings = std::min(this->rests, most_doublings);
        auto const length = first_rest * (std::int64_t{1} << doublings);
        this->state = health_state::resting;
        this->rests += 1;
        this->rest_until = now + std::min<base::duration>(length, longest_rest);
    }
    // The engine was given a request.
    auto took_work() -> void {
        if (this->state == health_state::probing) {
            this->state = health_state::probed;
        }
    }
    // A request ended without a word on the engine.
    auto no_verdict() -> void {
        if (this->state == health_state::probed) {
            this->state = health_state::probing;
        }
    }
};

}  // namespace linnetlane::cell

#endif  // LINNETLANE_CELL_ENGINE_HEALTH_H_
