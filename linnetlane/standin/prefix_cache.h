// An engine's prefix cache: hashes of leading pieces with least recently used eviction. Each change
// becomes an event that callers see after a delay; some events are never reported.

#ifndef LINNETLANE_STANDIN_PREFIX_CACHE_H_
#define LINNETLANE_STANDIN_PREFIX_CACHE_H_

#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

#include "linnetlane/base/ids.h"
#include "linnetlane/base/time.h"
#include "linnetlane/base/units.h"

namespace linnetlane::standin {

// One change of the cache, reported as one event.
struct cache_change {
    std::uint64_t sequence = 0;
    base::time_point visible_at;
    std::vector<base::prefix_hash> stored{};
    std::vector<base::prefix_hash> evicted{};
};

struct cache_settings {
    base::piece_count capacity{200};
    // Delay after which a change becomes visible.
    base::duration event_lag = std::chrono::milliseconds{500};
    // Every n-th change is never reported; 0: all are reported.
    std::uint64_t gap_each = 10;
};

// Thread-compatible.
class prefix_cache {
public:
    explicit prefix_cache(cache_settings wanted) : settings(wanted) {}

    // Counts the leading entries of `prefixes` that are cached, and marks them as most recently
    // used.
    auto match(std::vector<base::prefix_hash> const& prefixes) -> base::piece_count;
    auto store(std::vector<base::prefix_hash> const& prefixes, base::time_point now) -> void;
    // The changes after `sequence` that are visible at `now`, without those never reported.
    [[nodiscard]] auto changes_after(std::uint64_t sequence, base::time_point now) const
        -> std::vector<cache_change>;
    [[nodiscard]] auto size() const -> base::piece_count;

private:
    auto touch(base::prefix_hash prefix) -> bool;

    cache_settings settings;
    std::list<base::prefix_hash> by_recency;
    std::unordered_map<base::prefix_hash, std::list<base::prefix_hash>::iterator> positions;
    std::vector<cache_change> changes;
};

}  // namespace linnetlane::standin

#endif  // LINNETLANE_STANDIN_PREFIX_CACHE_H_
