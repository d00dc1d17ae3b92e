#include "linnetlane/routing/upstream_rate_limits.h"

#include <algorithm>

namespace linnetlane::routing {

auto upstream_rate_limits::set_hosts(std::size_t count, base::time_point now) -> void {
    auto const old_hosts = this->hosts;
    auto const new_hosts = std::max<std::size_t>(count, 1);
    if (new_hosts == old_hosts) {
        return;
    }
    for (auto& [id, one] : this->limits) {
        this->hosts = old_hosts;
        auto const from = this->interval_of(one.per_second);
        this->hosts = new_hosts;
        rescale(one, from, this->interval_of(one.per_second), now);
    }
    this->hosts = new_hosts;
}

auto upstream_rate_limits::set(base::upstream_id const& id, double per_second,
                               base::time_point named_at, base::time_point now, double draw)
    -> void {
    auto const interval = this->interval_of(per_second);
    auto const found = this->limits.find(id);
    if (found == this->limits.end()) {
        auto const phase = std::chrono::duration_cast<base::duration>(interval * draw);
        this->limits.emplace(id, limit{per_second, named_at + validity, now + phase});
        return;
    }
    auto& one = found->second;
    rescale(one, this->interval_of(one.per_second), interval, now);
    one.per_second = per_second;
    one.expires_at = std::max(one.expires_at, named_at + validity);
}

auto upstream_rate_limits::is_limited(base::upstream_id const& id, base::time_point now) const
    -> bool {
    auto const found = this->limits.find(id);
    return found != this->limits.end() && now < found->second.expires_at;
}

auto upstream_rate_limits::time_left(base::upstream_id const& id, base::time_point now) const
    -> base::duration {
    auto const found = this->limits.find(id);
    if (found == this->limits.end() || now >= found->second.expires_at) {
        return base::duration::zero();
    }
    return std::max(this->next_point(found->second, now) - now, base::duration::zero());
}

auto upstream_rate_limits::note_sent(base::upstream_id const& id, base::time_point now) -> void {
    auto const found = this->limits.find(id);
    if (found == this->limits.end()) {
        return;
    }
    auto& one = found->second;
    if (now >= one.expires_at) {
        this->limits.erase(found);
        return;
    }
    one.next = this->next_point(one, now) + this->interval_of(one.per_second);
}

auto upstream_rate_limits::interval_of(double per_second) const -> base::duration {
    auto const own_rate = usable_share * per_second / static_cast<double>(this->hosts);
    auto const longest = base::to_seconds(longest_interval);
    return own_rate * longest <= 1 ? base::duration{longest_interval}
                                   : base::from_seconds(1 / own_rate);
}

auto upstream_rate_limits::next_point(limit const& one, base::time_point now) const
    -> base::time_point {
    auto const expired_before = now - base::duration{point_validity};
    if (one.next > expired_before) {
        return one.next;
    }
    auto const interval = std::max(this->interval_of(one.per_second), base::duration{1});
    auto const expired = (expired_before - one.next) / interval + 1;
    return one.next + expired * interval;
}

auto upstream_rate_limits::rescale(limit& one, base::duration from, base::duration to,
                                   base::time_point now) -> void {
    if (one.next > now && from != to) {
        auto const factor = base::to_seconds(to) / base::to_seconds(from);
        one.next = now + base::from_seconds(base::to_seconds(one.next - now) * factor);
    }
}

}  // namespace linnetlane::routing
