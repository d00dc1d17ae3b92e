// Cancels the current step of a request when its caller leaves or its time has passed.

#ifndef LINNETLANE_ROUTER_CANCELLATION_H_
#define LINNETLANE_ROUTER_CANCELLATION_H_

#include <functional>
#include <utility>

namespace linnetlane::router {

// Not thread-safe; must be used on one worker only.
class cancellation {
public:
    // Ends the current step and all later ones, since the caller has left.
    auto cancel() -> void {
        this->requested = true;
        this->stop_step();
    }
    // Ends the current step and all later ones, since the request has no more time.
    auto expire() -> void {
        this->time_passed = true;
        this->stop_step();
    }
    // Sets the function that ends the current step, replacing the previous one. Calls it at once if
    // the request has been cancelled or has expired.
    auto attach(std::function<void()> stop) -> void {
        if (this->requested || this->time_passed) {
            stop();
            return;
        }
        this->stop_current = std::move(stop);
    }
    // Returns whether the caller has left.
    [[nodiscard]] auto cancelled() const -> bool { return this->requested; }
    [[nodiscard]] auto expired() const -> bool { return this->time_passed; }

private:
    auto stop_step() -> void {
        if (auto const stop = std::exchange(this->stop_current, nullptr)) {
            stop();
        }
    }

    bool requested = false;
    bool time_passed = false;
    std::function<void()> stop_current;
};

}  // namespace linnetlane::router

#endif  // LINNETLANE_ROUTER_CANCELLATION_H_
