// Index of the engines that probably have a prompt prefix in their cache.
//
// Updated by the scheduler's placements and by the engines' cache events. Events may be late, lost
// or wrong, so the index only influences estimates. Its size is bounded, with least recently used
// eviction. Thread-compatible.

#ifndef LINNETLANE_CELL_PREFIX_INDEX_H_
#define LINNETLANE_CELL_PREFIX_INDEX_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

#include "linnetlane/base/ids.h"
#include "linnetlane/cell/ledger.h"
#include "linnetlane/cell/messages.h"

namespace linnetlane::cell {

// Maps prefix hashes to the engines that probably cache them.
class prefix_index {
public:
    // Engines stored for one prefix, most recent first.
    static constexpr std::size_t engines_per_prefix = 3;
    // Upper bound on the prefixes in the index.
    static constexpr std::size_t max_prefixes = 20'000;

    struct match {
        upstream_index engine = 0;
        // Leading pieces of the prompt that the engine probably has.
        std::size_t pieces = 0;
    };

    // Records that `engine` gets a prompt with these prefixes.
    auto record_placement(upstream_index engine, std::vector<base::prefix_hash> const& prefixes)
        -> void;
    // Applies a cache event of `engine`. A sequence number that decreases means that it restarted
    // with an empty cache.
    auto apply(upstream_index engine, cache_event const& update) -> void;
    // Removes all entries of `engine`, whose cache was lost.
    auto forget(upstream_index engine) -> void;
    // Returns the engines that probably have the longest known prefix, at most
    // `engines_per_prefix`. `prefixes` are the hashes of the first piece, the first two, and so on.
    [[nodiscard]] auto longest(std::vector<base::prefix_hash> const& prefixes)
        -> std::vector<match>;

private:
    struct place {
        upstream_index engine = 0;
        std::uint32_t epoch = 0;
    };
    struct entry {
        base::prefix_hash prefix;
        // The first `known` elements are valid, most recent first.
        std::array<place, engines_per_prefix> engines{};
        std::size_t known = 0;

        auto remove(upstream_index engine) -> void;
        auto put_first(place const& one) -> void;
    };
    struct engine_events {
        std::uint64_t last_sequence = 0;
        // Entries of an earlier epoch are invalid.
        std::uint32_t epoch = 0;
    };

    auto add(upstream_index engine, base::prefix_hash prefix) -> void;
    auto reuse_oldest(base::prefix_hash prefix) -> void;
    auto drop(upstream_index engine, base::prefix_hash prefix) -> void;
    auto events_of(upstream_index engine) -> engine_events&;

    std::list<entry> entries;
    std::unordered_map<base::prefix_hash, std::list<entry>::iterator> places;
    std::vector<engine_events> engines;
};

}  // namespace linnetlane::cell

#endif  // LINNETLANE_CELL_PREFIX_INDEX_H_
