#include "linnetlane/routing/stage_balancer.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace linnetlane::routing {

namespace {

// The engine of `stage` in the data centre that has most of them, so that each keeps some.
auto most_crowded(std::vector<upstream_record> const& engines, engine_stage stage)
    -> upstream_record const* {
    auto per_data_centre = std::map<base::data_centre_id, std::size_t>{};
    for (auto const& one : engines) {
        per_data_centre[one.data_centre] += one.stage == stage && !one.leaving ? 1 : 0;
    }
    auto const* chosen = static_cast<upstream_record const*>(nullptr);
    for (auto const& one : engines) {
        if (one.stage != stage || one.leaving) {
            continue;
        }
        if (chosen == nullptr ||
            per_data_centre[one.data_centre] > per_data_centre[chosen->data_centre]) {
            chosen = &one;
        }
    }
    return chosen;
}

}  // namespace

auto stage_split::apply_pending(std::vector<upstream_record>& engines, base::time_point now)
    -> void {
    std::erase_if(this->ordered, [&](pending const& one) { return one.settled_by <= now; });
    for (auto& engine : engines) {
        for (auto const& one : this->ordered) {
            if (one.change.engine == engine.id) {
                engine.stage = one.change.to;
            }
        }
    }
}

auto stage_split::next_change(std::vector<upstream_record> engines, base::time_point now)
    -> std::optional<stage_change> {
    this->apply_pending(engines, now);
    auto prefill = std::size_t{0};
    auto decode = std::size_t{0};
    for (auto const& one : engines) {
        if (!one.leaving) {
            (one.stage == engine_stage::prefill ? prefill : decode) += 1;
        }
    }
    auto const wanted = wanted_prefill(prefill + decode, this->share);
    if (prefill >= wanted) {
        this->lacking_since.reset();
    }
    if (prefill <= wanted) {
        this->surplus_since.reset();
    }
    if (prefill > wanted) {
        if (now >= this->eager_until && !lasted(this->surplus_since, now)) {
            return std::nullopt;
        }
        auto const* const engine = most_crowded(engines, engine_stage::prefill);
        return stage_change{engine->id, engine_stage::decode};
    }
    if (prefill == wanted || decode < 2) {
        return std::nullopt;
    }
    if (!lasted(this->lacking_since, now) && prefill > 0) {
        return std::nullopt;
    }
    auto const* const engine = most_crowded(engines, engine_stage::decode);
    return stage_change{engine->id, engine_stage::prefill};
}

auto stage_split::lasted(std::optional<base::time_point>& since, base::time_point now) -> bool {
    if (!since) {
        since = now;
    }
    return now - *since >= patience;
}

auto stage_split::note_ordered(stage_change const& change, base::time_point settled_by) -> void {
    this->ordered.push_back(pending{change, settled_by});
}

auto stage_split::wanted_prefill(std::size_t engines, base::fraction share) -> std::size_t {
    if (engines < 2) {
        return engines == 0 ? 0 : 1;
    }
    auto const rounded =
        static_cast<std::size_t>(std::lround(share.value * static_cast<double>(engines)));
    return std::clamp<std::size_t>(rounded, 1, engines - 1);
}

}  // namespace linnetlane::routing
