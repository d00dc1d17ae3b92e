#include "linnetlane/cell/fair_share.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace linnetlane::cell {
namespace {

// Time constant of the exponential decay of past demand.
constexpr double decay_seconds = 5;
// How long a computed level is reused.
constexpr base::duration level_period = std::chrono::milliseconds{250};
// A larger change of the acceptable fraction recomputes the level at once.
constexpr double level_tolerance = 0.05;
// Callers whose demands differ by less than this part count as equal: demand varies with the
// moments at which requests arrive.
constexpr double share_tolerance = 0.1;
// Demand up to which a caller counts as idle.
constexpr double negligible_work = 1e-9;

auto decayed(double work, base::time_point as_of, base::time_point now) -> double {
    return work * std::exp(-base::to_seconds(now - as_of) / decay_seconds);
}

}  // namespace

auto fair_share::set_weight(base::caller_id const& caller, double weight) -> void {
    this->demands[caller].weight = weight;
}

auto fair_share::add_demand(base::caller_id const& caller, double work, base::time_point now)
    -> void {
    auto& own = this->demands[caller];
    decay(own, now);
    own.work += work;
}

auto fair_share::add_accepted(base::caller_id const& caller, double work, base::time_point now)
    -> void {
    auto& own = this->demands[caller];
    decay(own, now);
    own.accepted += work;
}

auto fair_share::decay(demand& one, base::time_point now) -> void {
    one.work = decayed(one.work, one.as_of, now);
    one.accepted = decayed(one.accepted, one.as_of, now);
    one.as_of = now;
}

auto fair_share::is_exceeded(base::caller_id const& caller, double acceptable, base::time_point now)
    -> bool {
    if (acceptable >= 1) {
        return false;
    }
    auto const moved = std::abs(acceptable - this->level_fraction) > level_tolerance;
    if (now >= this->level_until || moved) {
        this->update_level(acceptable, now);
    }
    auto const found = this->demands.find(caller);
    if (found == this->demands.end()) {
        return false;
    }
    auto const& own = found->second;
    auto const share = this->level * own.weight;
    return own.takes_more && decayed(own.accepted, own.as_of, now) >= share;
}

auto fair_share::update_level(double acceptable, base::time_point now) -> void {
    struct contender {
        double per_weight;
        double weight;
    };
    auto contenders = std::vector<contender>{};
    auto left = 0.0;
    auto weights = 0.0;
    for (auto const& [caller, one] : this->demands) {
        auto const work = decayed(one.work, one.as_of, now);
        if (work <= negligible_work || one.weight <= 0) {
            continue;
        }
        contenders.push_back({work / one.weight, one.weight});
        left += work * acceptable;
        weights += one.weight;
    }
    std::sort(contenders.begin(), contenders.end(),
              [](contender const& a, contender const& b) { return a.per_weight < b.per_weight; });
    this->level = 0;
    for (auto const& one : contenders) {
        this->level = std::max(this->level, left / weights);
        if (one.per_weight > this->level) {
            break;
        }
        left -= one.per_weight * one.weight;
        weights -= one.weight;
    }
    for (auto& [caller, one] : this->demands) {
        auto const even_cut = acceptable * decayed(one.work, one.as_of, now);
        one.takes_more = this->level * one.weight < even_cut * (1 - share_tolerance);
    }
    this->level_fraction = acceptable;
    this->level_until = now + level_period;
}

}  // namespace linnetlane::cell
