// Placement policies: the scheduler's default, and simple load balancers as baselines for it.
//
// Baselines run with the scheduler's ledger and deadline-based admission. They choose a prefill and
// a decode engine at once and send the prefill without waiting for room in the decode engine.
// Thread-compatible.

#ifndef LINNETLANE_CELL_PLACEMENT_POLICY_H_
#define LINNETLANE_CELL_PLACEMENT_POLICY_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <string_view>
#include <variant>
#include <vector>

#include "linnetlane/cell/pool.h"

namespace linnetlane::cell {

// The default: chooses room in a decode engine before the prefill starts, and assigns engines as
// late as possible.
struct decode_first {};

// Uses the engines in turn.
struct round_robin {
    std::size_t turn = 0;

    auto choose(upstream_pool const& /*pool*/, std::vector<upstream_index> const& engines)
        -> upstream_index {
        this->turn += 1;
        return engines[this->turn % engines.size()];
    }
};

// Requests running and waiting in `engine` by its last report.
[[nodiscard]] inline auto reported_load(upstream_pool const& pool, upstream_index engine)
    -> std::int64_t {
    auto const& report = pool.at(engine).last_report;
    return report.running + report.waiting;
}

// Chooses the engine with the least reported load.
struct least_load {
    auto choose(upstream_pool const& pool, std::vector<upstream_index> const& engines) const
        -> upstream_index {
        return *std::min_element(engines.begin(), engines.end(),
                                 [&](upstream_index left, upstream_index right) {
                                     return reported_load(pool, left) < reported_load(pool, right);
                                 });
    }
};

// Chooses the engine with the lower reported load of two drawn at random.
struct two_choices {
    std::minstd_rand draw{20261203};

    auto choose(upstream_pool const& pool, std::vector<upstream_index> const& engines)
        -> upstream_index {
        auto const one = engines[this->draw() % engines.size()];
        auto const other = engines[this->draw() % engines.size()];
        return reported_load(pool, other) < reported_load(pool, one) ? other : one;
    }
};

using placement_policy = std::variant<decode_first, round_robin, least_load, two_choices>;

// Parses linnetlane (the default), round_robin, least_load or two_choices; nothing for other names.
[[nodiscard]] inline auto parse_placement_policy(std::string_view name)
    -> std::optional<placement_policy> {
    if (name == "linnetlane") {
        return decode_first{};
    }
    if (name == "round_robin") {
        return round_robin{};
    }
    if (name == "least_load") {
        return least_load{};
    }
    if (name == "two_choices") {
        return two_choices{};
    }
    return std::nullopt;
}

}  // namespace linnetlane::cell

#endif  // LINNETLANE_CELL_PLACEMENT_POLICY_H_
