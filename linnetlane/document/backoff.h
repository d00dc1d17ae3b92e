// Exponential backoff with an upper bound and jitter.

#ifndef LINNETLANE_DOCUMENT_BACKOFF_H_
#define LINNETLANE_DOCUMENT_BACKOFF_H_

#include <algorithm>
#include <cstdint>
#include <random>

#include "linnetlane/base/time.h"

namespace linnetlane::document {

// Seeded by the owner, so that runs are reproducible.
using random_generator = std::mt19937_64;

// `span` times a uniformly distributed factor from 0.5 to 1.5.
[[nodiscard]] inline auto jittered(base::duration span, random_generator& random)
    -> base::duration {
    auto factor = std::uniform_real_distribution<double>{0.5, 1.5};
    return base::from_seconds(base::to_seconds(span) * factor(random));
}

// Doubles the wait after each failure. Thread-compatible.
class backoff {
public:
    backoff(base::duration min_wait, base::duration max_wait)
        : shortest(min_wait), longest(max_wait) {}

    // Records a failure and returns the time of the next attempt.
    auto next_attempt(base::time_point now, random_generator& random) -> base::time_point {
        auto const doublings = std::min<std::int64_t>(this->failures, max_doublings);
        ++this->failures;
        auto const wait = std::min<base::duration>(this->shortest * (std::int64_t{1} << doublings),
                                                   this->longest);
        return now + jittered(wait, random);
    }
    auto reset() -> void { this->failures = 0; }

private:
    static constexpr auto max_doublings = std::int64_t{16};

    base::duration shortest;
    base::duration longest;
    std::int64_t failures = 0;
};

}  // namespace linnetlane::document

#endif  // LINNETLANE_DOCUMENT_BACKOFF_H_
