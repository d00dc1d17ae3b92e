// A clock for tests: advances in virtual time and runs scheduled steps in the order of their times.

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
    // Schedules `step` for `time`, or for now if `time` has passed.
    auto at(base::time_point time, std::function<void()> step) -> void {
        this->scheduled.emplace(std::max(time, this->current), std::move(step));
    }
    auto after(base::duration wait, std::function<void()> step) -> void {
        this->at(this->current + wait, std::move(step));
    }
    // Advances by `span` and runs the steps that are due by then.
    auto run_for(base::duration span) -> void {
        auto const end = this->current + span;
        while (!this->scheduled.empty() && this->scheduled.begin()->first <= end) {
            auto first = this->scheduled.extract(this->scheduled.begin());
            this->current = first.key();
            first.mapped()();
        }
        this->current = end;
    }

private:
    // Far from zero, as on a real host.
    base::time_point current{std::chrono::hours{1}};
    std::multimap<base::time_point, std::function<void()>> scheduled;
};

}  // namespace linnetlane::membership

#endif  // LINNETLANE_MEMBERSHIP_FAKE_CLOCK_H_
