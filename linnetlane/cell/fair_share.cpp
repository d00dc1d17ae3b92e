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
// A larger change of the accepted fraction recomputes the level at once.
constexpr double level_tolerance = 0.05;
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
    own.work = decayed(own.work, own.as_of, now) + work;
    own.as_of = now;
}

auto fair_share::accepted_fraction_of(base::caller_id const& caller, double accepted,
                                      base::time_point now) -> double {
    if (accepted >= 1) {
        return 1;
    }
    auto const moved = std::abs(accepted - this->level_fraction) > level_tolerance;
    if (now >= this->level_until || moved) {
        this->update_level(accepted, now);
    }
    auto const found = this->demands.find(caller);
    if (found == this->demands.end()) {
        return 1;
    }
    auto const work = decayed(found->second.work, found->second.as_of, now);
    if (work <= negligible_work) {
        return 1;
    }
    return std::clamp(this->level * found->second.weight / work, 0.0, 1.0);
}

auto fair_share::update_level(double accepted, base::time_point now) -> void {
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
        left += work * accepted;
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
    this->level_fraction = accepted;
    this->level_until = now + level_period;
}

}  // namespace linnetlane::cell
