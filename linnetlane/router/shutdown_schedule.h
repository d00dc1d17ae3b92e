// The phases of a planned shutdown, derived from the grace time.
//
//   auto const schedule = make_shutdown_schedule(now, grace);
//   sleep_until(schedule.connections_until);

#ifndef LINNETLANE_ROUTER_SHUTDOWN_SCHEDULE_H_
#define LINNETLANE_ROUTER_SHUTDOWN_SCHEDULE_H_

#include <algorithm>
#include <chrono>

#include "linnetlane/base/time.h"

namespace linnetlane::router {

// In the order of time.
struct shutdown_schedule {
    // New connections are accepted until then, so that the load balancer can notice that the host
    // isn't ready.
    base::time_point connections_until;
    // New requests are accepted until then, and accepted ones may begin at an upstream.
    base::time_point requests_until;
    // Requests that are still under way are ended then.
    base::time_point work_until;
    // Their answers have been sent by then. The rest of the grace time is for the exit.
    base::time_point exit_by;
};

// Returns the phases of a shutdown that is asked for at `asked_at`.
[[nodiscard]] constexpr auto make_shutdown_schedule(base::time_point asked_at, base::duration grace)
    -> shutdown_schedule {
    // The load balancer needs two readiness checks, one second apart, to stop sending connections.
    constexpr auto connection_time = std::chrono::milliseconds{2600};
    // The platform expects answers to requests that arrive within three seconds.
    constexpr auto request_time = std::chrono::milliseconds{2900};
    constexpr auto work_margin = std::chrono::milliseconds{800};
    constexpr auto exit_margin = std::chrono::milliseconds{600};
    // The grace time that the times above are for. A shorter one shortens all phases alike, so that
    // accepted requests have time to end.
    constexpr auto full_grace = std::chrono::seconds{8};
    auto const shortened = std::min<base::duration>(grace, full_grace);
    auto const scaled = [&](std::chrono::milliseconds time) {
        return shortened * time.count() / std::chrono::milliseconds{full_grace}.count();
    };
    auto const end = asked_at + grace;
    return {asked_at + scaled(connection_time), asked_at + scaled(request_time),
            end - scaled(work_margin), end - scaled(exit_margin)};
}

}  // namespace linnetlane::router

#endif  // LINNETLANE_ROUTER_SHUTDOWN_SCHEDULE_H_
