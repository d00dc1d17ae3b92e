#include "linnetlane/standin/prefix_cache.h"

#include <utility>

namespace linnetlane::standin {

// Marks a cached prefix as most recently used. Returns false if it is not cached.
auto prefix_cache::touch(base::prefix_hash prefix) -> bool {
    auto const found = this->positions.find(prefix);
    if (found == this->positions.end()) {
        return false;
    }
    this->by_recency.splice(this->by_recency.begin(), this->by_recency, found->second);
    return true;
}

auto prefix_cache::match(std::vector<base::prefix_hash> const& prefixes) -> base::piece_count {
    auto matched = base::piece_count{};
    for (auto const prefix : prefixes) {
        if (!this->touch(prefix)) {
            break;
        }
        matched += base::piece_count{1};
    }
    return matched;
}

auto prefix_cache::store(std::vector<base::prefix_hash> const& prefixes, base::time_point now)
    -> void {
    auto change = cache_change{};
    for (auto const prefix : prefixes) {
        if (this->touch(prefix)) {
            continue;
        }
        this->by_recency.push_front(prefix);
        this->positions[prefix] = this->by_recency.begin();
        change.stored.push_back(prefix);
    }
    while (this->size() > this->settings.capacity) {
        change.evicted.push_back(this->by_recency.back());
        this->positions.erase(this->by_recency.back());
        this->by_recency.pop_back();
    }
    if (change.stored.empty()) {
        return;
    }
    change.sequence = this->changes.size() + 1;
    change.visible_at = now + this->settings.event_lag;
    this->changes.push_back(std::move(change));
}

auto prefix_cache::changes_after(std::uint64_t sequence, base::time_point now) const
    -> std::vector<cache_change> {
    auto visible = std::vector<cache_change>{};
    for (auto at = sequence; at < this->changes.size(); ++at) {
        auto const& change = this->changes[at];
        if (change.visible_at > now) {
            break;
        }
        auto const gap = this->settings.gap_each;
        if (gap == 0 || change.sequence % gap != 0) {
            visible.push_back(change);
        }
    }
    return visible;
}

auto prefix_cache::size() const -> base::piece_count {
    return base::piece_count{std::ssize(this->by_recency)};
}

}  // namespace linnetlane::standin
