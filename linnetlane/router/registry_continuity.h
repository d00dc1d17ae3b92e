// For how long this host has received answers of the registry without a gap, which proves to other
// hosts that the registry was available.
//
//   auto answers = registry_continuity{longest_wait};
//   answers.note_answer(now);        // after each answer
//   answers.note_loss();             // after a failure
//   answers.time_without_gap(now);   // there was no outage in this time

#ifndef LINNETLANE_ROUTER_REGISTRY_CONTINUITY_H_
#define LINNETLANE_ROUTER_REGISTRY_CONTINUITY_H_

#include <chrono>
#include <optional>

#include "linnetlane/base/time.h"

namespace linnetlane::router {

// Not thread-safe; must be used on one worker only.
class registry_continuity {
public:
    // Also counts the time in which the machine or the process stands still.
    using time_point = base::boot_clock::time_point;

    // The time between the end of a call that waits for changes and the answer to the next one, in
    // addition to the wait.
    static constexpr auto pause_between_calls = std::chrono::milliseconds{500};

    // `longest_wait` is that of a call which waits for changes.
    explicit registry_continuity(base::duration longest_wait)
        : longest_gap{longest_wait + pause_between_calls} {}

    // Records an answer.
    auto note_answer(time_point now) -> void {
        if (!this->has_recent_answer(now)) {
            this->since = now;
        }
        this->last = now;
    }
    // Records that the registry can't be read, or that it has lost changes.
    auto note_loss() -> void { this->last.reset(); }
    // Returns the time since the first of the answers that came without a gap up to now; zero if
    // there is none.
    [[nodiscard]] auto time_without_gap(time_point now) const -> base::duration {
        return this->has_recent_answer(now) ? now - this->since : base::duration::zero();
    }
    // Returns whether more than the usual time between two answers has passed since `last_answer`.
    [[nodiscard]] auto is_gap(time_point last_answer, time_point now) const -> bool {
        return now - last_answer > this->longest_gap;
    }

private:
    [[nodiscard]] auto has_recent_answer(time_point now) const -> bool {
        return this->last && !this->is_gap(*this->last, now);
    }

    base::duration longest_gap;
    time_point since;
    std::optional<time_point> last;
};

}  // namespace linnetlane::router

#endif  // LINNETLANE_ROUTER_REGISTRY_CONTINUITY_H_
