#include "linnetlane/routing/plain_pool.h"

#include <algorithm>
#include <cmath>
#include <tuple>

#include "linnetlane/routing/derived_draw.h"
#include "linnetlane/routing/moving_mean.h"

namespace linnetlane::routing {

namespace {

// The assumed time of a request before the first answer. While all upstreams have this value, their
// order depends on the load alone.
constexpr auto initial_seconds = 0.02;
// The range of the random part of the cost, as a fraction of the expected time. Keeps hosts with
// the same view from choosing the same upstream.
constexpr auto draw_spread = 0.05;

}  // namespace

auto plain_pool::set_members(std::vector<upstream_record> const& records) -> void {
    auto listed = std::set<base::upstream_id>{};
    for (auto const& record : records) {
        listed.insert(record.id);
        auto& one = this->members[record.id];
        one.slots = std::max<std::size_t>(record.slots, 1);
        one.data_centre = record.data_centre;
        one.software = record.software;
        one.leaving = record.leaving;
    }
    std::erase_if(this->members, [&](auto const& entry) { return !listed.contains(entry.first); });
}

auto plain_pool::pick(std::set<base::upstream_id> const& tried, double draw, base::time_point now,
                      std::optional<base::software_version> const& required) const
    -> std::optional<base::upstream_id> {
    // Upstreams with a full queue are picked only if no other is left.
    using ranked = std::tuple<bool, bool, double>;
    auto best = std::optional<base::upstream_id>{};
    auto least = ranked{};
    auto index = std::size_t{0};
    for (auto const& [id, one] : this->members) {
        ++index;
        if (tried.contains(id) || !this->is_candidate(id, one, now, required)) {
            continue;
        }
        auto const jitter = 1 + draw_spread * derived_draw(draw, index);
        auto const rank = ranked{!this->is_usable(one, now), has_full_queue(one, now),
                                 this->expected_seconds(one, now) * jitter};
        if (!best || rank < least) {
            best = id;
            least = rank;
        }
    }
    return best;
}

auto plain_pool::time_behind_queues(base::time_point now,
                                    std::optional<base::software_version> const& required) const
    -> base::duration {
    auto const best = this->pick({}, 0, now, required);
    if (!best) {
        return base::duration::zero();
    }
    auto const& one = this->members.at(*best);
    return load_per_slot(one, now) > 1 ? base::from_seconds(this->expected_seconds(one, now))
                                       : base::duration::zero();
}

auto plain_pool::is_full(base::time_point now,
                         std::optional<base::software_version> const& required) const -> bool {
    auto const best = this->pick({}, 0, now, required);
    return best && has_full_queue(this->members.at(*best), now);
}

auto plain_pool::paused_for(base::time_point now) const -> base::duration {
    auto least = std::optional<base::duration>{};
    for (auto const& [id, one] : this->members) {
        if (!one.leaving) {
            auto const left = this->pauses.blocked_for(id, now);
            least = std::min(least.value_or(left), left);
        }
    }
    return least.value_or(base::duration::zero());
}

auto plain_pool::started(base::upstream_id const& id) -> void {
    if (auto const found = this->members.find(id); found != this->members.end()) {
        ++found->second.under_way;
    }
}

auto plain_pool::ended(base::upstream_id const& id, plain_result const& result,
                       base::time_point now) -> void {
    auto const found = this->members.find(id);
    if (found == this->members.end()) {
        return;
    }
    auto& one = found->second;
    one.under_way -= std::min<std::size_t>(one.under_way, 1);
    one.health.note(result.outcome, failure_rate_of_others(this->members, id), now);
    this->reachability->note(one.data_centre, result.outcome, now);
    if (result.load) {
        one.pace.note(*result.load, now);
        one.others.note(*result.load, one.under_way, now + load_report_validity);
    }
    this->update_mean(one, result, now);
    if (result.outcome == exchange_outcome::rejected && has_no_free_slot(result.load)) {
        one.most_requests = result.load->running + result.load->waiting;
        // Other hosts want its free slots too, so that each further rejection doubles the delay.
        constexpr auto most_doublings = std::size_t{10};
        auto const doublings = std::min(one.rejections_in_a_row++, most_doublings);
        auto const delay = base::from_seconds(
            std::ldexp(this->work_seconds(one, now), static_cast<int>(doublings)));
        one.full_until = now + std::min<base::duration>(delay, load_report_validity);
    } else if (result.outcome == exchange_outcome::answered && result.load) {
        one.rejections_in_a_row = 0;
        // It holds more than it did when it rejected one, so its queue has grown.
        auto const held = result.load->running + result.load->waiting;
        one.most_requests = one.most_requests > 0 ? std::max(one.most_requests, held + 1) : 0;
    }
}

// Rejections and failures are faster than answers and don't count. An abandoned request counts if
// it took longer than the means: its answer would have taken at least that long. The pace is taken
// out, since the mean outlives what disturbs the machine for a moment.
auto plain_pool::update_mean(member& one, plain_result const& result, base::time_point now)
    -> void {
    auto const seconds = base::to_seconds(result.took) / one.pace.at(now);
    auto const slower = result.outcome == exchange_outcome::abandoned &&
                        seconds > one.mean_seconds && seconds > this->overall_mean_seconds;
    if (result.outcome == exchange_outcome::answered || slower) {
        update_moving_mean(one.mean_seconds, seconds, newest_weight);
    }
    if (result.outcome == exchange_outcome::answered) {
        update_moving_mean(this->overall_mean_seconds, seconds, newest_weight / 4);
    }
}

auto plain_pool::work_seconds(member const& one, base::time_point now) const -> double {
    auto const default_seconds =
        this->overall_mean_seconds > 0 ? this->overall_mean_seconds : initial_seconds;
    return (one.mean_seconds > 0 ? one.mean_seconds : default_seconds) * one.pace.at(now);
}

auto plain_pool::expected_seconds(member const& one, base::time_point now) const -> double {
    auto const load = load_per_slot(one, now);
    // Upstreams slow down with concurrent requests and queue those beyond their slots.
    auto const crowding = 0.5 * load;
    auto const queueing = std::max(0.0, load - 1);
    return this->work_seconds(one, now) * (1 + crowding + queueing);
}

}  // namespace linnetlane::routing
