#include "linnetlane/cell/prefix_index.h"

#include <algorithm>
#include <cstddef>
#include <iterator>

namespace linnetlane::cell {

auto prefix_index::record_placement(upstream_index engine,
                                    std::vector<base::prefix_hash> const& prefixes) -> void {
    for (auto const prefix : prefixes) {
        this->add(engine, prefix);
    }
}

auto prefix_index::apply(upstream_index engine, cache_event const& update) -> void {
    auto& events = this->events_of(engine);
    // A decreasing sequence number means that the engine restarted with an empty cache.
    if (update.sequence < events.last_sequence) {
        events.epoch += 1;
    }
    events.last_sequence = update.sequence;
    for (auto const prefix : update.evicted) {
        this->drop(engine, prefix);
    }
    for (auto const prefix : update.stored) {
        this->add(engine, prefix);
    }
}

auto prefix_index::forget(upstream_index engine) -> void {
    this->events_of(engine).epoch += 1;
}

auto prefix_index::longest(std::vector<base::prefix_hash> const& prefixes) -> std::vector<match> {
    auto matches = std::vector<match>{};
    for (auto length = prefixes.size(); length > 0 && matches.empty(); --length) {
        auto const known = this->places.find(prefixes[length - 1]);
        if (known == this->places.end()) {
            continue;
        }
        for (auto slot = std::size_t{0}; slot < known->second->known; ++slot) {
            auto const& one = known->second->engines[slot];
            if (one.epoch == this->events_of(one.engine).epoch) {
                matches.push_back({one.engine, length});
            }
        }
        this->entries.splice(this->entries.begin(), this->entries, known->second);
    }
    return matches;
}

auto prefix_index::add(upstream_index engine, base::prefix_hash prefix) -> void {
    auto const epoch = this->events_of(engine).epoch;
    auto const [known, added] = this->places.try_emplace(prefix);
    if (added) {
        this->reuse_oldest(prefix);
        known->second = this->entries.begin();
    } else {
        this->entries.splice(this->entries.begin(), this->entries, known->second);
    }
    known->second->put_first({engine, epoch});
}

// Inserts an empty entry for `prefix` at the front, and evicts the least recently used one if the
// index is full.
auto prefix_index::reuse_oldest(base::prefix_hash prefix) -> void {
    if (this->entries.size() < max_prefixes) {
        this->entries.emplace_front();
    } else {
        this->places.erase(this->entries.back().prefix);
        this->entries.splice(this->entries.begin(), this->entries, std::prev(this->entries.end()));
    }
    this->entries.front() = entry{prefix, {}, 0};
}

auto prefix_index::drop(upstream_index engine, base::prefix_hash prefix) -> void {
    auto const known = this->places.find(prefix);
    if (known != this->places.end()) {
        known->second->remove(engine);
    }
}

auto prefix_index::entry::remove(upstream_index engine) -> void {
    auto const end = this->engines.begin() + static_cast<std::ptrdiff_t>(this->known);
    auto const kept = std::remove_if(this->engines.begin(), end,
                                     [&](place const& one) { return one.engine == engine; });
    this->known = static_cast<std::size_t>(kept - this->engines.begin());
}

auto prefix_index::entry::put_first(place const& one) -> void {
    this->remove(one.engine);
    this->known = std::min(this->known + 1, engines_per_prefix);
    auto const end = this->engines.begin() + static_cast<std::ptrdiff_t>(this->known);
    std::move_backward(this->engines.begin(), end - 1, end);
    this->engines.front() = one;
}

auto prefix_index::events_of(upstream_index engine) -> engine_events& {
    if (this->engines.size() <= engine) {
        this->engines.resize(engine + 1);
    }
    return this->engines[engine];
}

}  // namespace linnetlane::cell
