// Clocks and durations. State holds deadlines, as points on the monotonic clock, never durations;
// a message carries the time left, which its receiver converts to a deadline on its own clock.

#ifndef LINNETLANE_BASE_TIME_H_
#define LINNETLANE_BASE_TIME_H_

#include <time.h>

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace linnetlane::base {

// Never goes backwards and keeps running while the process is stopped.
using monotonic_clock = std::chrono::steady_clock;
using time_point = monotonic_clock::time_point;
using duration = monotonic_clock::duration;

// Keeps running while the machine is suspended, unlike `monotonic_clock`. For leases, which also
// expire on the other side while this machine is suspended.
struct boot_clock {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock>;
    static constexpr bool is_steady = true;

    [[nodiscard]] static auto now() -> time_point {
        auto reading = timespec{};
        clock_gettime(CLOCK_BOOTTIME, &reading);
        return time_point{std::chrono::seconds{reading.tv_sec} +
                          std::chrono::nanoseconds{reading.tv_nsec}};
    }
};

// The longest duration that is computed from a number. A deadline so far away is within the range
// of a time point.
inline constexpr auto longest_span = std::chrono::hours{24 * 365};

// `seconds` as a duration, limited to `longest_span` in both directions; 0 if it isn't a number.
[[nodiscard]] constexpr auto from_seconds(double seconds) -> duration {
    constexpr auto limit = std::chrono::duration<double>(longest_span).count();
    if (seconds >= limit) {
        return longest_span;
    }
    if (seconds <= -limit) {
        return -longest_span;
    }
    // No comparison holds for NaN.
    return seconds > -limit
               ? std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds))
               : duration::zero();
}

// `count` times `Unit` as a duration, limited to `longest_span` in both directions.
template <typename Unit>
[[nodiscard]] constexpr auto limited_span(std::int64_t count) -> duration {
    constexpr auto limit = std::int64_t{Unit{longest_span}.count()};
    return Unit{std::clamp(count, -limit, limit)};
}

// `span` in seconds.
[[nodiscard]] constexpr auto to_seconds(duration span) -> double {
    return std::chrono::duration<double>(span).count();
}

}  // namespace linnetlane::base

#endif  // LINNETLANE_BASE_TIME_H_
