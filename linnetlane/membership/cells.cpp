#include "linnetlane/membership/cells.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <utility>

#include "linnetlane/membership/rendezvous.h"

namespace linnetlane::membership {

namespace {

using upstream_ids = std::vector<base::upstream_id>;

auto divide_rounding_up(std::size_t amount, std::size_t part) -> std::size_t {
    return (amount + part - 1) / part;
}

auto number_of_cells(std::size_t serving) -> std::size_t {
    if (serving <= max_serving_per_cell) {
        return 1;
    }
    return divide_rounding_up(serving, target_serving_per_cell);
}

// The upstreams that are prefill engines, or those that aren't, in an order that doesn't depend on
// the document's.
auto in_hash_order(service::document const& document, base::data_centre_id const& data_centre,
                   bool prefill) -> upstream_ids {
    auto ordered = std::vector<std::pair<std::uint64_t, base::upstream_id>>{};
    for (auto const& upstream : document.upstreams) {
        auto const is_prefill = upstream.role == service::upstream_role::prefill;
        if (upstream.data_centre == data_centre && is_prefill == prefill) {
            ordered.emplace_back(rendezvous_score("order", upstream.id.value), upstream.id);
        }
    }
    std::sort(ordered.begin(), ordered.end());
    auto ids = upstream_ids{};
    for (auto& [score, id] : ordered) {
        ids.push_back(std::move(id));
    }
    return ids;
}

// Assigns each upstream to the cell with the highest score for it among those with capacity left.
auto assign(upstream_ids const& upstreams, std::vector<cell> const& cells,
            std::vector<std::size_t> capacity) -> std::vector<upstream_ids> {
    auto assigned = std::vector<upstream_ids>(cells.size());
    for (auto const& upstream : upstreams) {
        auto best = cells.size();
        auto best_score = std::uint64_t{0};
        for (auto number = std::size_t{0}; number < cells.size(); ++number) {
            auto const score = rendezvous_score(cells[number].id.value, upstream.value);
            if (capacity[number] > 0 && (best == cells.size() || score > best_score)) {
                best = number;
                best_score = score;
            }
        }
        --capacity[best];
        assigned[best].push_back(upstream);
    }
    return assigned;
}

auto empty_cells(service::document const& document, base::data_centre_id const& data_centre,
                 std::size_t count) -> std::vector<cell> {
    auto cells = std::vector<cell>(count);
    for (auto number = std::size_t{0}; number < count; ++number) {
        auto& name = cells[number].id.value;
        name = document.id.value;
        name += '/';
        name += data_centre.value;
        name += '/';
        name += std::to_string(number);
    }
    return cells;
}

// The maximum number of prefill engines of each cell, in proportion to its share of the serving
// upstreams.
auto prefill_capacity(std::vector<cell> const& cells, std::size_t serving, std::size_t prefill)
    -> std::vector<std::size_t> {
    auto capacity = std::vector<std::size_t>{};
    for (auto const& each : cells) {
        auto const share =
            serving == 0 ? prefill : divide_rounding_up(prefill * each.serving.size(), serving);
        capacity.push_back(share);
    }
    return capacity;
}

}  // namespace

auto cells_of(service::document const& document, base::data_centre_id const& data_centre)
    -> std::vector<cell> {
    auto const serving = in_hash_order(document, data_centre, false);
    auto const prefill = in_hash_order(document, data_centre, true);
    if (serving.empty() && prefill.empty()) {
        return {};
    }
    auto cells = empty_cells(document, data_centre, number_of_cells(serving.size()));
    auto const most = std::vector<std::size_t>(cells.size(), max_serving_per_cell);
    auto served = assign(serving, cells, most);
    for (auto number = std::size_t{0}; number < cells.size(); ++number) {
        cells[number].serving = std::move(served[number]);
    }
    auto filled = assign(prefill, cells, prefill_capacity(cells, serving.size(), prefill.size()));
    for (auto number = std::size_t{0}; number < cells.size(); ++number) {
        cells[number].prefill = std::move(filled[number]);
    }
    return cells;
}

}  // namespace linnetlane::membership
