// Chooses the prefill engine of a request: the one that is predicted to finish first, given the
// prefix that its cache probably holds. Among nearly equal engines, rendezvous hashing of the
// leading prefix decides, so that prompts with a common prefix share an engine unless it is busier.
//
// The hashing first chooses one of a fixed number of groups and then an engine within it, so its
// cost grows slowly with the number of engines. Thread-compatible.

#ifndef LINNETLANE_CELL_PLACEMENT_H_
#define LINNETLANE_CELL_PLACEMENT_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "linnetlane/base/ids.h"
#include "linnetlane/base/time.h"
#include "linnetlane/base/units.h"
#include "linnetlane/cell/estimates.h"
#include "linnetlane/cell/pool.h"
#include "linnetlane/cell/prefix_index.h"

namespace linnetlane::cell {

// Rendezvous hashing: maps a key to one of a set of engines, and moves few keys when the set
// changes.
class rendezvous {
public:
    // Replaces the set of engines.
    auto assign(upstream_pool const& pool, std::vector<upstream_index> const& engines) -> void;
    // Returns the engine of `key`; nothing if there are no engines.
    [[nodiscard]] auto choose(std::uint64_t key) const -> std::optional<upstream_index>;

private:
    static constexpr std::size_t group_count = 32;
    struct member {
        std::uint64_t hash = 0;
        upstream_index engine = 0;
    };

    std::array<std::vector<member>, group_count> groups;
};

// The predicted prefill of a request on one engine.
struct prefill_plan {
    upstream_index engine = 0;
    // Prompt tokens that are not in the engine's cache.
    base::token_count tokens;
    base::time_point start;
    base::time_point end;
};

// Whether `engine` is in `avoid`.
[[nodiscard]] auto is_avoided(upstream_pool const& pool, upstream_index engine,
                              std::vector<base::upstream_id> const& avoid) -> bool;

// Returns the prefill of `message` that is predicted to end first; nothing if no engine takes work.
[[nodiscard]] auto plan_prefill(upstream_pool const& pool, estimates const& learned,
                                prefix_index& prefixes, rendezvous const& affinity,
                                base::token_count piece_size, acquire const& message,
                                base::time_point now) -> std::optional<prefill_plan>;

// Predicts the prefill of `message` on `engine`, whose cache has the first `cached` tokens.
[[nodiscard]] auto plan_prefill_on(upstream_pool const& pool, estimates const& learned,
                                   upstream_index engine, base::token_count cached,
                                   acquire const& message, base::time_point now) -> prefill_plan;

}  // namespace linnetlane::cell

#endif  // LINNETLANE_CELL_PLACEMENT_H_
