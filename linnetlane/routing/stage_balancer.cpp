#include "linnetlane/routing/stage_balancer.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <utility>

namespace linnetlane::routing {

auto stage_balancer::pick(std::vector<upstream_record> const& engines, engine_stage stage) const
    -> upstream_record const* {
    auto per_data_centre = std::map<base::data_centre_id, std::size_t>{};
    auto decode_per_version = std::map<base::software_version, std::size_t>{};
    for (auto const& one : engines) {
        per_data_centre[one.data_centre] += one.stage == stage && !one.leaving ? 1 : 0;
        decode_per_version[one.software] +=
            one.stage == engine_stage::decode && !one.leaving ? 1 : 0;
    }
    auto const serves_version = [&](upstream_record const& one) {
        auto const decoding = decode_per_version[one.software];
        return stage == engine_stage::decode ? decoding > 1 : decoding == 0;
    };
    auto const changes = [&](base::upstream_id const& id) {
        return this->declined_until.contains(id) ||
               std::ranges::find(this->ordered, id, [](pending_change const& each) {
                   return each.change.engine;
               }) != this->ordered.end();
    };
    auto const* chosen = static_cast<upstream_record const*>(nullptr);
    for (auto const& one : engines) {
        if (one.stage != stage || one.leaving || changes(one.id)) {
            continue;
        }
        if (chosen == nullptr ||
            std::pair{serves_version(one), per_data_centre[one.data_centre]} >
                std::pair{serves_version(*chosen), per_data_centre[chosen->data_centre]}) {
            chosen = &one;
        }
    }
    return chosen;
}

auto stage_balancer::apply_pending(std::vector<upstream_record>& engines, base::time_point now)
    -> void {
    std::erase_if(this->declined_until, [&](auto const& each) { return each.second <= now; });
    std::erase_if(this->ordered, [&](pending_change const& one) {
        auto const found = std::ranges::find(engines, one.change.engine, &upstream_record::id);
        return one.effective_by <= now || (found != engines.end() && found->stage == one.change.to);
    });
    for (auto& engine : engines) {
        for (auto const& one : this->ordered) {
            if (one.change.engine == engine.id) {
                engine.stage = one.change.to;
            }
        }
    }
}

auto stage_balancer::registrations_continue(std::size_t engines, base::time_point now) -> bool {
    if (engines > this->registered) {
        this->registrations_end = now + registration_gap;
    }
    this->registered = engines;
    return now < this->startup_until && now < this->registrations_end;
}

auto stage_balancer::next_change(std::vector<upstream_record> engines, base::time_point now)
    -> std::optional<stage_change> {
    this->apply_pending(engines, now);
    auto prefill = std::size_t{0};
    auto decode = std::size_t{0};
    for (auto const& one : engines) {
        if (!one.leaving) {
            (one.stage == engine_stage::prefill ? prefill : decode) += 1;
        }
    }
    auto const engine_count = prefill + decode;
    auto const considered =
        this->registrations_continue(engine_count, now) ? 2 * engine_count : engine_count;
    auto const wanted = wanted_prefill(engine_count, this->share);
    if (prefill >= wanted) {
        this->shortage_since.reset();
    }
    auto const kept = kept_prefill(considered, this->share);
    if (prefill <= kept) {
        this->surplus_since.reset();
    }
    if (prefill > kept) {
        if (now >= this->startup_until && !lasted(this->surplus_since, min_imbalance_time, now)) {
            return std::nullopt;
        }
        auto const* const engine = this->pick(engines, engine_stage::prefill);
        return engine == nullptr ? std::nullopt
                                 : std::optional{stage_change{engine->id, engine_stage::decode}};
    }
    if (prefill >= wanted || decode < 2) {
        return std::nullopt;
    }
    auto const severe = static_cast<double>(prefill) < severe_shortage_share * this->share.value *
                                                           static_cast<double>(engine_count);
    auto const patience =
        severe ? base::duration{min_severe_shortage_time} : base::duration{min_imbalance_time};
    if (!lasted(this->shortage_since, patience, now) && prefill > 0) {
        return std::nullopt;
    }
    auto const* const engine = this->pick(engines, engine_stage::decode);
    return engine == nullptr ? std::nullopt
                             : std::optional{stage_change{engine->id, engine_stage::prefill}};
}

auto stage_balancer::lasted(std::optional<base::time_point>& since, base::duration time,
                            base::time_point now) -> bool {
    if (!since) {
        since = now;
    }
    return now - *since >= time;
}

auto stage_balancer::note_ordered(stage_change const& change, base::time_point effective_by)
    -> void {
    this->ordered.push_back(pending_change{change, effective_by});
}

auto stage_balancer::note_declined(base::upstream_id const& engine, base::time_point until)
    -> void {
    this->declined_until[engine] = until;
}

auto stage_balancer::wanted_prefill(std::size_t engines, base::fraction share) -> std::size_t {
    if (engines < 2) {
        return engines == 0 ? 0 : 1;
    }
    auto const rounded =
        static_cast<std::size_t>(std::lround(share.value * static_cast<double>(engines)));
    return std::clamp<std::size_t>(rounded, 1, engines - 1);
}

auto stage_balancer::kept_prefill(std::size_t engines, base::fraction share) -> std::size_t {
    if (engines < 2) {
        return wanted_prefill(engines, share);
    }
    auto const exact = share.value * static_cast<double>(engines) - max_prefill_deficit;
    return std::clamp<std::size_t>(static_cast<std::size_t>(std::ceil(std::max(exact, 0.0))), 1,
                                   engines - 1);
}

}  // namespace linnetlane::routing
