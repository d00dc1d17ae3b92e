// This host's share of the request rates that upstreams take from all hosts together.
//
// An upstream in need names a limit for the whole fleet. Each host gets an equal share of it as
// points in time at which it may send one request, with a random phase of its own. An unused point
// expires soon, so that hosts that were idle can't all send at once: at any moment, only a few
// hosts of a large fleet hold a point for a small limit.
//
//   limits.set(upstream, 5.9, named_at, now, draw);
//   if (limits.time_left(upstream, now) == base::duration::zero()) {
//       limits.note_sent(upstream, now);
//       ...
//   }

#ifndef LINNETLANE_ROUTING_UPSTREAM_RATE_LIMITS_H_
#define LINNETLANE_ROUTING_UPSTREAM_RATE_LIMITS_H_

#include <chrono>
#include <cstddef>
#include <map>

#include "linnetlane/base/ids.h"
#include "linnetlane/base/time.h"

namespace linnetlane::routing {

// Not thread-safe; must be used on one worker only. There is one instance for each service.
class upstream_rate_limits {
public:
    // The share of a limit that hosts use. The rest covers the random phases, and hosts that don't
    // know the limit yet.
    static constexpr auto usable_share = 0.7;
    // How long an unused point in time can be used.
    static constexpr auto point_validity = std::chrono::milliseconds{750};
    // The interval of a host whose share is next to nothing.
    static constexpr auto longest_interval = std::chrono::hours{1};
    // How long a limit holds after an upstream named it last.
    static constexpr auto validity = std::chrono::seconds{10};

    // Sets the number of hosts that share the limits.
    auto set_hosts(std::size_t count, base::time_point now) -> void;
    // Sets the limit that an upstream named at `named_at`, in requests per second. `draw` from [0,
    // 1) is the phase of this host.
    auto set(base::upstream_id const& id, double per_second, base::time_point named_at,
             base::time_point now, double draw) -> void;
    // Forgets the limit of an upstream that names none any more or has restarted.
    auto lift(base::upstream_id const& id) -> void { this->limits.erase(id); }
    // Returns whether the upstream has a limit, and when it was named last.
    [[nodiscard]] auto is_limited(base::upstream_id const& id, base::time_point now) const -> bool;
    // Returns how long this host must wait before it may send a request; zero if it may now.
    [[nodiscard]] auto time_left(base::upstream_id const& id, base::time_point now) const
        -> base::duration;
    // Records that a request was sent. One that was sent early uses a later point.
    auto note_sent(base::upstream_id const& id, base::time_point now) -> void;

private:
    struct limit {
        double per_second = 0;
        base::time_point expires_at;
        // The earliest unused point in time.
        base::time_point next;
    };

    // Returns the time between two points of this host.
    [[nodiscard]] auto interval_of(double per_second) const -> base::duration;
    // Returns the earliest point that is unused and hasn't expired.
    [[nodiscard]] auto next_point(limit const& one, base::time_point now) const -> base::time_point;
    // Moves the next point as if the points had always had the interval `to` instead of `from`.
    static auto rescale(limit& one, base::duration from, base::duration to, base::time_point now)
        -> void;

    std::size_t hosts = 1;
    std::map<base::upstream_id, limit> limits;
};

}  // namespace linnetlane::routing

#endif  // LINNETLANE_ROUTING_UPSTREAM_RATE_LIMITS_H_
