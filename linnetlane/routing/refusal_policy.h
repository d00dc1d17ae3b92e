// When a caller that finds no room should come back.
//
// A place comes free every few tens of milliseconds, so in a short squeeze an early return still
// gets an answer on time. When most requests are refused, early returns only take places from each
// other, and the callers are spread over the seconds after the burst instead.

#ifndef LINNETLANE_ROUTING_REFUSAL_POLICY_H_
#define LINNETLANE_ROUTING_REFUSAL_POLICY_H_

#include <chrono>

#include "linnetlane/base/time.h"

namespace linnetlane::routing {

// Belongs to one worker. One for each service.
class refusal_policy {
public:
    // The mean return in a squeeze; about a third of it is spread to either side.
    static constexpr auto early_return = std::chrono::milliseconds{150};
    // The latest return in an overload: bursts last four to five seconds.
    static constexpr auto late_return = std::chrono::seconds{4};
    // The share of requests refused lately from which on it is an overload.
    static constexpr auto overload_share = 0.95;
    // Weight of the newest request in that share.
    static constexpr auto newest_weight = 0.08;

    auto note(bool refused) -> void {
        this->refused_share += newest_weight * ((refused ? 1.0 : 0.0) - this->refused_share);
    }
    [[nodiscard]] auto overloaded() const -> bool { return this->refused_share > overload_share; }
    // `draw` is uniform in [0, 1).
    [[nodiscard]] auto come_back_after(double draw) const -> base::duration {
        if (!this->overloaded()) {
            return std::chrono::duration_cast<base::duration>(early_return * (0.67 + 0.66 * draw));
        }
        auto const span = std::chrono::duration<double>(late_return - early_return);
        return early_return + std::chrono::duration_cast<base::duration>(span * draw);
    }

private:
    double refused_share = 0;
};

}  // namespace linnetlane::routing

#endif  // LINNETLANE_ROUTING_REFUSAL_POLICY_H_
