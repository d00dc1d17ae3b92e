#include "linnetlane/routing/plain_pool.h"

#include <algorithm>
#include <limits>

#include "linnetlane/routing/moving_mean.h"

namespace linnetlane::routing {

namespace {

// Before anything was learned; the order of upstreams depends on their load alone then.
constexpr auto unlearned_seconds = 0.02;
// Spread of the random part that keeps hosts with the same view from one choice.
constexpr auto draw_spread = 0.05;

}  // namespace

auto plain_pool::set_members(std::vector<upstream_record> const& records) -> void {
    auto listed = std::set<base::upstream_id>{};
    for (auto const& record : records) {
        listed.insert(record.id);
        auto& one = this->members[record.id];
        one.slots = std::max<std::size_t>(record.slots, 1);
        one.data_centre = record.data_centre;
        one.leaving = record.leaving;
    }
    std::erase_if(this->members, [&](auto const& entry) { return !listed.contains(entry.first); });
}

auto plain_pool::pick(std::set<base::upstream_id> const& tried, double draw,
                      base::time_point now) const -> std::optional<base::upstream_id> {
    auto best = std::optional<base::upstream_id>{};
    auto best_cost = std::numeric_limits<double>::max();
    auto best_usable = false;
    auto index = std::size_t{0};
    for (auto const& [id, one] : this->members) {
        ++index;
        if (one.leaving || tried.contains(id)) {
            continue;
        }
        auto const usable = one.health.usable(now) && !this->reach->doubted(one.data_centre, now);
        // A different part of the draw for each upstream.
        auto const turned = draw * static_cast<double>(index) * 7.0;
        auto const jitter =
            1 + draw_spread * (turned - static_cast<double>(static_cast<int>(turned)));
        auto const cost = this->expected_seconds(one, now) * jitter;
        if ((usable && !best_usable) || (usable == best_usable && cost < best_cost)) {
            best = id;
            best_cost = cost;
            best_usable = usable;
        }
    }
    return best;
}

auto plain_pool::started(base::upstream_id const& id) -> void {
    if (auto const found = this->members.find(id); found != this->members.end()) {
        ++found->second.under_way;
    }
}

auto plain_pool::ended(base::upstream_id const& id, plain_ending const& ending,
                       base::time_point now) -> void {
    auto const found = this->members.find(id);
    if (found == this->members.end()) {
        return;
    }
    auto& one = found->second;
    one.under_way -= std::min<std::size_t>(one.under_way, 1);
    one.health.note(ending.outcome, failed_share_of_others(this->members, id), now);
    this->reach->note(one.data_centre, ending.outcome, now);
    this->learn_time(one, ending);
    if (ending.load) {
        one.others.note(*ending.load, one.under_way, now + load_report_validity);
    }
}

// Rejections and failures come faster than answers and say nothing of how long those take.
auto plain_pool::learn_time(member& one, plain_ending const& ending) -> void {
    auto const seconds = base::to_seconds(ending.took);
    auto const slower = ending.outcome == exchange_outcome::abandoned &&
                        seconds > one.learned_seconds && seconds > this->usual_seconds;
    if (ending.outcome == exchange_outcome::answered || slower) {
        move_mean(one.learned_seconds, seconds, newest_weight);
    }
    if (ending.outcome == exchange_outcome::answered) {
        move_mean(this->usual_seconds, seconds, newest_weight / 4);
    }
}

auto plain_pool::expected_seconds(member const& one, base::time_point now) const -> double {
    auto const load = static_cast<double>(one.under_way + one.others.at(now) + 1);
    auto const slots = static_cast<double>(one.slots);
    auto const usual = this->usual_seconds > 0 ? this->usual_seconds : unlearned_seconds;
    auto const alone = one.learned_seconds > 0 ? one.learned_seconds : usual;
    // Upstreams slow down as they fill, and queue beyond their slots.
    auto const crowding = 0.5 * load / slots;
    auto const queueing = std::max(0.0, load / slots - 1);
    return alone * (1 + crowding + queueing);
}

}  // namespace linnetlane::routing
