// Ends what is under way for a request when its caller leaves.

#ifndef LINNETLANE_ROUTER_CANCELLATION_H_
#define LINNETLANE_ROUTER_CANCELLATION_H_

#include <functional>
#include <utility>

namespace linnetlane::router {

// Belongs to one worker.
class cancellation {
public:
    auto cancel() -> void {
        this->requested = true;
        if (auto const stop = std::exchange(this->stop_current, nullptr)) {
            stop();
        }
    }
    // `stop` ends the step under way; it takes the place of the last step's.
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
