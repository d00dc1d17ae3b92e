// A clock for tests: runs what was planned, in the order of its times.

#ifndef LINNETLANE_MEMBERSHIP_FAKE_CLOCK_H_
#define LINNETLANE_MEMBERSHIP_FAKE_CLOCK_H_

#include <functional>
#include <map>
#include <utility>

#include "linnetlane/base/time.h"

namespace linnetlane::membership {

// Thread-compatible.
class fake_clock {
public:
    [[nodiscard]] auto now() const -> base::time_point { return this->current; }
    // Plans `step`; at once if the time has passed.
    auto at(base::time_point time, std::function<void()> step) -> void {
        this->planned.emplace(std::max(time, this->current), std::move(step));
    }
    auto after(base::duration wait, std::function<void()> step) -> void {
        this->at(this->current + wait, std::move(step));
    }
    // Runs all that is planned for the next `span`.
    auto run_for(base::duration span) -> void {
        auto const end = this->current + span;
        while (!this->planned.empty() && this->planned.begin()->first <= end) {
            auto first = this->planned.extract(this->planned.begin());
            this->current = first.key();
            first.mapped()();
        }
        this->current = end;
    }

private:
    // Far from the clock's zero, as on a real host.
    base::time_point current{std::chrono::hours{1}};
    std::multimap<base::time_point, std::function<void()>> planned;
};

}  // namespace linnetlane::membership

#endif  // LINNETLANE_MEMBERSHIP_FAKE_CLOCK_H_
