// Runs a function at the deadlines that it returns.
//
//   auto timer = ticker{pool, [&] { return step(); }};   // `step` returns the next deadline
//   timer.wake_by(deadline);                             // runs `step` earlier if needed

#ifndef LINNETLANE_DAEMON_TICKER_H_
#define LINNETLANE_DAEMON_TICKER_H_

#include <functional>
#include <memory>
#include <mutex>
#include <utility>

#include "linnetlane/base/time.h"
#include "linnetlane/daemon/entry_mailbox.h"
#include "linnetlane/runtime/worker_pool.h"

namespace linnetlane::daemon {

// Thread-safe. The step runs in a single fiber of the pool until the ticker is destroyed; runs that
// were already due may still happen just after that.
class ticker {
public:
    using step = std::function<base::time_point()>;

    ticker(runtime::worker_pool& pool, step run) : shared(std::make_shared<state>()) {
        pool.spawn([self = this->shared, run = std::move(run)] { self->loop(run); });
    }
    ticker(ticker const&) = delete;
    auto operator=(ticker const&) -> ticker& = delete;
    ticker(ticker&&) = delete;
    auto operator=(ticker&&) -> ticker& = delete;
    ~ticker() { this->shared->inbox.push(signal::stop); }

    // Makes the step run by `deadline`. Never blocks.
    auto wake_by(base::time_point deadline) -> void { this->shared->wake_by(deadline); }

private:
    enum class signal { reschedule, stop };

    struct state {
        mailbox<signal> inbox;
        std::mutex mutex;
        // Guarded by `mutex`.
        base::time_point next_run = base::time_point::min();

        auto loop(step const& run) -> void {
            for (;;) {
                this->set_next_run(run());
                if (this->inbox.pop(this->current()) == signal::stop) {
                    return;
                }
            }
        }

        auto set_next_run(base::time_point deadline) -> void {
            auto const lock = std::lock_guard{this->mutex};
            this->next_run = deadline;
        }

        auto current() -> base::time_point {
            auto const lock = std::lock_guard{this->mutex};
            return this->next_run;
        }

        auto wake_by(base::time_point deadline) -> void {
            {
                auto const lock = std::lock_guard{this->mutex};
                if (deadline >= this->next_run) {
                    return;
                }
                this->next_run = deadline;
            }
            this->inbox.push(signal::reschedule);
        }
    };

    std::shared_ptr<state> shared;
};

}  // namespace linnetlane::daemon

#endif  // LINNETLANE_DAEMON_TICKER_H_
