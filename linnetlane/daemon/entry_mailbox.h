// An event queue with one consumer fiber and any number of producer threads and fibers.
//
//   auto inbox = std::make_shared<mailbox<event>>();
//   inbox->push(event{});
//   auto const next = inbox->pop(deadline);   // nothing once the deadline has passed

#ifndef LINNETLANE_DAEMON_ENTRY_MAILBOX_H_
#define LINNETLANE_DAEMON_ENTRY_MAILBOX_H_

#include <deque>
#include <mutex>
#include <optional>
#include <utility>

#include <boost/fiber/condition_variable.hpp>

#include "linnetlane/base/time.h"

namespace linnetlane::daemon {

// Thread-safe, but only one fiber may pop.
template <typename Event>
class mailbox {
public:
    auto push(Event event) -> void {
        {
            auto const lock = std::unique_lock{this->mutex};
            this->events.push_back(std::move(event));
        }
        this->arrived.notify_one();
    }

    // Suspends the calling fiber until there is an event and returns it; returns nothing if none
    // came by `deadline`. Waits indefinitely without a deadline.
    [[nodiscard]] auto pop(std::optional<base::time_point> deadline) -> std::optional<Event> {
        auto lock = std::unique_lock{this->mutex};
        auto const ready = [this] { return !this->events.empty(); };
        if (!deadline) {
            this->arrived.wait(lock, ready);
        } else if (!this->arrived.wait_until(lock, *deadline, ready)) {
            return std::nullopt;
        }
        auto event = std::move(this->events.front());
        this->events.pop_front();
        return event;
    }

private:
    // Not a fiber mutex, since `push` is also called by Asio handlers, which must not suspend a
    // fiber. Never held while other code is called.
    std::mutex mutex;
    boost::fibers::condition_variable_any arrived;
    // Guarded by `mutex`.
    std::deque<Event> events;
};

}  // namespace linnetlane::daemon

#endif  // LINNETLANE_DAEMON_ENTRY_MAILBOX_H_
