// Cancels the current step of a request when its caller leaves.

#ifndef LINNETLANE_ROUTER_CANCELLATION_H_
#define LINNETLANE_ROUTER_CANCELLATION_H_

#include <functional>
#include <utility>

namespace linnetlane::router {

// Not thread-safe; must be used on one worker only.
class cancellation {
public:
    // Ends the current step and all later ones.
    auto cancel() -> void {
        this->requested = true;
        if (auto const stop = std::exchange(this->stop_current, nullptr)) {
            stop();
        }
    }
    // Sets the function that ends the current step, replacing the previous one. Calls it at once if
    // the request has been cancelled.
    auto attach(std::function<void()> stop) -> void {
        if (this->requested) {
            stop();
            return;
        }
        this->stop_current = std::move(stop);
    }
    [[nodiscard]] auto cancelled() const -> bool { return this->requested; }

private:
    bool requested = false;
    std::function<void()> stop_current;
};

}  // namespace linnetlane::router

#endif  // LINNETLANE_ROUTER_CANCELLATION_H_
