// The requests of a service that wait at this host until an upstream has room.
//
// Requests wait here rather than in the queue of an engine, where they can't give way to others and
// hold memory. They ask for room one at a time, so that a full engine isn't asked by all of them:
// streams in progress first, since the work that engines did for them would be lost, then in the
// order of their latest start.
//
//   auto const place = waiting.enter({in_progress, latest_start}, now);
//   if (!place) { refuse(); }                     // its turn is expected too late
//   while (...) { if (waiting.is_first(*place)) { ask for room; } sleep; }
//   waiting.leave(*place, found_room, now);

#ifndef LINNETLANE_ROUTING_WAITING_REQUESTS_H_
#define LINNETLANE_ROUTING_WAITING_REQUESTS_H_

#include <algorithm>
#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <iterator>
#include <optional>
#include <set>

#include "linnetlane/base/time.h"
#include "linnetlane/routing/moving_mean.h"

namespace linnetlane::routing {

// What decides which waiting request goes first; the smaller one does.
struct waiting_order {
    // 0 for streams in progress, 1 for others.
    int group = 1;
    // When the request must start at the latest to be of use to its caller.
    base::time_point latest_start;

    friend auto operator<=>(waiting_order const&, waiting_order const&)
        -> std::strong_ordering = default;
};

// Not thread-safe; must be used on one worker only. There is one instance for each service and
// software version that requests are bound to, and one for the requests that are bound to none.
class waiting_requests {
public:
    struct place {
        waiting_order order;
        std::uint64_t number = 0;

        friend auto operator<=>(place const&, place const&) -> std::strong_ordering = default;
    };

    // Bounds the memory that waiting requests take.
    static constexpr auto most = std::size_t{64};

    // Adds a request. Returns nothing if its turn isn't expected by its latest start. A stream in
    // progress waits in any case, since its caller has a part of the answer.
    auto enter(waiting_order const& order, base::time_point now) -> std::optional<place> {
        auto const is_late = now + this->expected_wait(order, now) > order.latest_start;
        if (this->requests.size() >= most || (order.group != 0 && is_late)) {
            return std::nullopt;
        }
        if (this->requests.empty()) {
            this->room_sought_since = now;
        }
        auto const added = place{order, this->entered++};
        this->requests.insert(added);
        return added;
    }
    [[nodiscard]] auto is_first(place const& own) const -> bool {
        return !this->requests.empty() && *this->requests.begin() == own;
    }
    // Removes a request, which found room or gave up.
    auto leave(place const& own, bool found_room, base::time_point now) -> void {
        this->requests.erase(own);
        if (found_room) {
            update_moving_mean(this->seconds_per_turn,
                               base::to_seconds(now - this->room_sought_since), newest_weight);
            this->room_sought_since = now;
        }
    }
    // Returns how long a request of that order is expected to wait for its turn, if it came now:
    // zero while nothing waits.
    [[nodiscard]] auto expected_wait(waiting_order const& order, base::time_point now) const
        -> base::duration {
        if (this->requests.empty()) {
            return base::duration::zero();
        }
        auto const ahead = std::distance(this->requests.begin(),
                                         this->requests.upper_bound(place{order, this->entered}));
        auto const turns = static_cast<double>(ahead + 1) * this->seconds_per_turn;
        // Room that has been sought in vain for longer than that isn't expected sooner.
        return base::from_seconds(std::max(turns, base::to_seconds(now - this->room_sought_since)));
    }
    // Returns after which time those that wait now are expected to have had their turn.
    [[nodiscard]] auto time_until_all_had_turns(base::time_point now) const -> base::duration {
        return this->expected_wait({1, base::time_point::max()}, now);
    }
    // Returns the mean time after which the first of the waiting requests finds room; zero while it
    // isn't known.
    [[nodiscard]] auto usual_turn() const -> base::duration {
        return base::from_seconds(this->seconds_per_turn);
    }
    [[nodiscard]] auto size() const -> std::size_t { return this->requests.size(); }

private:
    static constexpr auto newest_weight = 0.2;

    std::set<place> requests;
    std::uint64_t entered = 0;
    // The mean time after which the first of the waiting requests finds room; 0 while unknown.
    double seconds_per_turn = 0;
    // Since when the first of them has been looking for room.
    base::time_point room_sought_since;
};

}  // namespace linnetlane::routing

#endif  // LINNETLANE_ROUTING_WAITING_REQUESTS_H_
