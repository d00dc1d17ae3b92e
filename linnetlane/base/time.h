// Clocks and durations. State holds deadlines, as points on the monotonic clock, never durations;
// a message carries the time left, which its receiver converts to a deadline on its own clock.

#ifndef LINNETLANE_BASE_TIME_H_
#define LINNETLANE_BASE_TIME_H_

#include <time.h>

#include <chrono>

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

// `seconds` as a duration.
[[nodiscard]] constexpr auto from_seconds(double seconds) -> duration {
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

// `span` in seconds.
[[nodiscard]] constexpr auto to_seconds(duration span) -> double {
    return std::chrono::duration<double>(span).count();
}

}  // namespace linnetlane::base

#endif  // LINNETLANE_BASE_TIME_H_
