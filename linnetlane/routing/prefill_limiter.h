// Limits the prefills that a host starts while prefill engines are overloaded.
//
// With many hosts, each sees too few answers of the engines to know their queues. A prefill that
// times out is evidence that the engines get more prompts than they can prefill. For some time
// after it, a host starts prefills at no more than its share of the rate that the engines can
// sustain, and holds back the others. Without such a limit, engines spend their time on
// prompts that time out.
//
//   if (!limiter.admits(pool.prefill_rate(now) / hosts, now)) { wait(); }
//   ...
//   limiter.note_timeout(engine, now);    // a prefill was given up

#ifndef LINNETLANE_ROUTING_PREFILL_LIMITER_H_
#define LINNETLANE_ROUTING_PREFILL_LIMITER_H_

#include <algorithm>
#include <chrono>
#include <cmath>
#include <map>

#include "linnetlane/base/ids.h"
#include "linnetlane/base/time.h"

namespace linnetlane::routing {

// Not thread-safe; must be used on one worker only. There is one instance for each service with
// engines.
class prefill_limiter {
public:
    // How long prefills are limited after one that timed out or was refused.
    static constexpr auto limited_time = std::chrono::seconds{2};
    // The limit as a multiple of the host's share of the sustainable rate. It falls with prefills
    // that time out and rises between them, since hosts get different numbers of requests.
    static constexpr auto initial_factor = 1.0;
    static constexpr auto min_factor = 0.5;
    static constexpr auto max_factor = 4.0;
    static constexpr auto decrease = 0.75;
    // The rise of the logarithm of the factor per second.
    static constexpr auto increase_rate = 0.25;
    // How long a timeout at one engine counts together with one at another engine.
    static constexpr auto evidence_time = std::chrono::milliseconds{1500};
    // The least time between two decreases, so that prefills that were queued together count once.
    static constexpr auto decrease_interval = std::chrono::milliseconds{500};

    // Returns whether a prefill may start now, and counts it. `rate` is the host's share of the
    // sustainable rate, in prefills per second; 0 if it is not known.
    [[nodiscard]] auto admits(double rate, base::time_point now) -> bool {
        auto const may_start = this->may_start(rate, now);
        if (may_start) {
            this->note_start(rate, now);
        }
        return may_start;
    }
    // Returns whether a prefill may start now.
    [[nodiscard]] auto may_start(double rate, base::time_point now) -> bool {
        if (now >= this->limited_until || rate <= 0 || now >= this->next_start) {
            return true;
        }
        this->limited_until = now + limited_time;
        return false;
    }
    // Counts a prefill that starts.
    auto note_start(double rate, base::time_point now) -> void {
        if (now < this->limited_until && rate > 0) {
            auto const interval = base::from_seconds(1 / (rate * this->factor_at(now)));
            this->next_start = std::max(this->next_start + interval, now);
        }
    }
    // Records that `engine` did not finish a prefill in time. A single engine may have crashed, so
    // only timeouts at two engines are evidence of an overload.
    auto note_timeout(base::upstream_id const& engine, base::time_point now) -> void {
        std::erase_if(this->timeouts,
                      [&](auto const& each) { return each.second + evidence_time <= now; });
        this->timeouts.insert_or_assign(engine, now);
        if (this->timeouts.size() < 2) {
            return;
        }
        if (now >= this->limited_until) {
            this->factor = initial_factor;
            this->factor_set = now;
            this->next_start = now;
        } else if (now >= this->factor_set + decrease_interval) {
            this->factor = std::max(min_factor, this->factor_at(now) * decrease);
            this->factor_set = now;
        }
        this->limited_until = now + limited_time;
    }

private:
    [[nodiscard]] auto factor_at(base::time_point now) const -> double {
        auto const risen = std::exp(increase_rate * base::to_seconds(now - this->factor_set));
        return std::min(max_factor, this->factor * risen);
    }

    // When each engine last had a timeout.
    std::map<base::upstream_id, base::time_point> timeouts;
    base::time_point limited_until = base::time_point::min();
    base::time_point next_start = base::time_point::min();
    // The factor at `factor_set`, from which on it rises.
    double factor = initial_factor;
    base::time_point factor_set = base::time_point::min();
};

}  // namespace linnetlane::routing

#endif  // LINNETLANE_ROUTING_PREFILL_LIMITER_H_
