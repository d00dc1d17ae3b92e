// When this host may send to each upstream again: after the pause that the upstream asked for, and
// at the rate that it takes.

#ifndef LINNETLANE_ROUTING_UPSTREAM_PAUSES_H_
#define LINNETLANE_ROUTING_UPSTREAM_PAUSES_H_

#include <algorithm>
#include <map>

#include "linnetlane/base/ids.h"
#include "linnetlane/base/time.h"
#include "linnetlane/routing/upstream_rate_limits.h"

namespace linnetlane::routing {

// Not thread-safe; must be used on one worker only.
class upstream_pauses {
public:
    // Records that an upstream asked for a pause until `until`. The latest end counts. Drops the
    // pauses that have ended.
    auto note(base::upstream_id const& id, base::time_point until, base::time_point now) -> void {
        std::erase_if(this->ends, [&](auto const& entry) { return entry.second <= now; });
        auto& known = this->ends.try_emplace(id, until).first->second;
        known = std::max(known, until);
    }
    // Keeps to the limits in `shared`, which must outlive this object.
    auto set_rate_limits(upstream_rate_limits const& shared) -> void {
        this->rate_limits = &shared;
    }
    // Forgets the pause of an upstream that has restarted.
    auto forget(base::upstream_id const& id) -> void { this->ends.erase(id); }
    // Returns how much longer the pause of the upstream lasts, at least 0.
    [[nodiscard]] auto time_left(base::upstream_id const& id, base::time_point now) const
        -> base::duration {
        auto const found = this->ends.find(id);
        return found == this->ends.end() || found->second <= now ? base::duration::zero()
                                                                 : found->second - now;
    }
    [[nodiscard]] auto is_paused(base::upstream_id const& id, base::time_point now) const -> bool {
        return this->time_left(id, now) > base::duration::zero();
    }

    // Returns how much longer nothing may be sent to the upstream because of a pause or its limit.
    [[nodiscard]] auto blocked_for(base::upstream_id const& id, base::time_point now) const
        -> base::duration {
        auto const pause = this->time_left(id, now);
        return this->rate_limits == nullptr
                   ? pause
                   : std::max(pause, this->rate_limits->time_left(id, now));
    }
    [[nodiscard]] auto is_blocked(base::upstream_id const& id, base::time_point now) const -> bool {
        return this->blocked_for(id, now) > base::duration::zero();
    }

private:
    // Null if there are none.
    upstream_rate_limits const* rate_limits = nullptr;
    std::map<base::upstream_id, base::time_point> ends;
};

}  // namespace linnetlane::routing

#endif  // LINNETLANE_ROUTING_UPSTREAM_PAUSES_H_
