// The planned shutdown of a host, as its requests see it.

#ifndef LINNETLANE_ROUTER_HOST_SHUTDOWN_H_
#define LINNETLANE_ROUTER_HOST_SHUTDOWN_H_

#include <algorithm>
#include <cstddef>
#include <optional>
#include <set>

#include "linnetlane/base/time.h"
#include "linnetlane/router/cancellation.h"
#include "linnetlane/router/shutdown_schedule.h"

namespace linnetlane::router {

// Not thread-safe; must be used on one worker only.
class host_shutdown {
public:
    auto begin(shutdown_schedule const& chosen) -> void { this->schedule = chosen; }
    // Returns whether a request that has not been passed on may begin at an upstream or another
    // host. Later the rest of the grace time may not hold it.
    [[nodiscard]] auto admits_work(base::time_point now) const -> bool {
        return !this->schedule || now < this->schedule->requests_until;
    }
    // Returns the earlier of `deadline` and the end of the time for requests.
    [[nodiscard]] auto limited(base::time_point deadline) const -> base::time_point {
        return this->schedule ? std::min(deadline, this->schedule->work_until) : deadline;
    }

    // Record the begin and the end of a request.
    auto add(cancellation& request) -> void { this->requests.insert(&request); }
    auto remove(cancellation& request) -> void { this->requests.erase(&request); }
    // Ends the current step of every request, also if it began before the shutdown with a later
    // deadline.
    auto end_requests() -> void {
        for (auto* const request : this->requests) {
            request->expire();
        }
    }

private:
    std::optional<shutdown_schedule> schedule;
    std::set<cancellation*> requests;
};

}  // namespace linnetlane::router

#endif  // LINNETLANE_ROUTER_HOST_SHUTDOWN_H_
