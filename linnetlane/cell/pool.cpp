#include "linnetlane/cell/pool.h"

namespace linnetlane::cell {

auto upstream_pool::index_of(base::upstream_id const& id) -> upstream_index {
    auto const next = static_cast<upstream_index>(this->states.size());
    auto const [place, added] = this->places.emplace(id, next);
    if (added) {
        this->states.emplace_back();
        this->states.back().settings.id = id;
    }
    return place->second;
}

auto upstream_pool::find(base::upstream_id const& id) const -> std::optional<upstream_index> {
    auto const found = this->places.find(id);
    if (found == this->places.end()) {
        return std::nullopt;
    }
    return found->second;
}

auto upstream_pool::order_by_idle(upstream_index engine, std::optional<base::time_point> idle_at)
    -> void {
    auto& current = this->states[engine].idle_key;
    if (current) {
        this->idle.erase({*current, engine});
    }
    current = idle_at;
    if (idle_at) {
        this->idle.emplace(*idle_at, engine);
    }
}

auto upstream_pool::order_by_free(upstream_index engine, std::optional<std::int64_t> pieces)
    -> void {
    auto& current = this->states[engine].free_key;
    if (current == pieces) {
        return;
    }
    if (current) {
        this->free.erase({*current, engine});
        this->free_sum -= *current;
    }
    current = pieces;
    if (pieces) {
        this->free.emplace(*pieces, engine);
        this->free_sum += *pieces;
    }
}

auto upstream_pool::order_by_room(upstream_index engine, std::optional<std::int64_t> pieces)
    -> void {
    auto& current = this->states[engine].room_key;
    if (current == pieces) {
        return;
    }
    if (current) {
        this->room.erase({*current, engine});
    }
    current = pieces;
    if (pieces) {
        this->room.emplace(*pieces, engine);
    }
}

auto upstream_pool::set_load(upstream_index engine, decode_load const& load) -> void {
    auto& counted_load = this->states[engine].counted_load;
    this->load_sum -= counted_load;
    counted_load = load;
    this->load_sum += counted_load;
}

auto upstream_pool::order_by_release(upstream_index engine, std::optional<base::time_point> at)
    -> void {
    auto& current = this->states[engine].release_key;
    if (current == at) {
        return;
    }
    if (current) {
        this->releases.erase({*current, engine});
    }
    current = at;
    if (at) {
        this->releases.emplace(*at, engine);
    }
}

}  // namespace linnetlane::cell
