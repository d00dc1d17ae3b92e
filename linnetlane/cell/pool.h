// The upstreams of a cell, indexed by the criteria by which the scheduler chooses one.
//
// Prefill engines are ordered by when they are predicted to become idle, and decode engines by free
// pieces and by their next expected release. The orders hold only upstreams that may get work, so a
// choice takes logarithmic time. Thread-compatible.

#ifndef LINNETLANE_CELL_POOL_H_
#define LINNETLANE_CELL_POOL_H_

#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "linnetlane/base/ids.h"
#include "linnetlane/base/time.h"
#include "linnetlane/base/units.h"
#include "linnetlane/cell/engine_health.h"
#include "linnetlane/cell/estimates.h"
#include "linnetlane/cell/ledger.h"
#include "linnetlane/cell/link_schedule.h"
#include "linnetlane/cell/messages.h"

namespace linnetlane::cell {

// Numbers of used, booked and unused pieces and of running answers, in one or several decode
// engines.
struct decode_load {
    std::int64_t used = 0;
    std::int64_t booked = 0;
    std::int64_t unused = 0;
    std::int64_t running = 0;

    auto operator+=(decode_load const& other) -> decode_load& {
        this->used += other.used;
        this->booked += other.booked;
        this->unused += other.unused;
        this->running += other.running;
        return *this;
    }
    auto operator-=(decode_load const& other) -> decode_load& {
        this->used -= other.used;
        this->booked -= other.booked;
        this->unused -= other.unused;
        this->running -= other.running;
        return *this;
    }
};

// The scheduler's state of one upstream.
struct upstream_state {
    service::upstream settings;
    // Whether the service document in force lists it.
    bool present = true;
    bool reachable = true;
    bool reported_leaving = false;
    engine_samples samples;
    engine_health health;
    // When a prefill engine is predicted to become idle.
    base::time_point idle_at;
    // Schedule of the transfers into a decode engine.
    link_schedule link;
    // Answers that a decode engine can run within the time-between-tokens target.
    std::int64_t batch_limit = 0;
    // Pieces in use by its last report that this scheduler's grants don't account for.
    base::piece_count foreign;
    bool reported = false;
    upstream_report last_report;
    // Peak of the pieces granted by this scheduler in the current and in the previous report
    // period.
    base::piece_count recent_peak;
    base::piece_count earlier_peak;
    base::time_point peak_period_end;
    // Keys in the orders; absent while it gets no work.
    std::optional<base::time_point> idle_key;
    std::optional<std::int64_t> free_key;
    std::optional<std::int64_t> room_key;
    std::optional<base::time_point> release_key;
    // Its contribution to `upstream_pool::load`.
    decode_load counted_load;

    [[nodiscard]] auto is_available() const -> bool {
        return this->present && this->reachable && !this->settings.leaving &&
               !this->reported_leaving;
    }
};

// All upstreams that the cell has ever had, by index, and the orders over them.
class upstream_pool {
public:
    using idle_order = std::set<std::pair<base::time_point, upstream_index>>;
    using free_order = std::set<std::pair<std::int64_t, upstream_index>>;

    // Returns the index of `id`, and adds the upstream if it is new.
    auto index_of(base::upstream_id const& id) -> upstream_index;
    // Returns nothing if `id` is not in the pool.
    [[nodiscard]] auto find(base::upstream_id const& id) const -> std::optional<upstream_index>;
    [[nodiscard]] auto at(upstream_index engine) -> upstream_state& { return this->states[engine]; }
    [[nodiscard]] auto at(upstream_index engine) const -> upstream_state const& {
        return this->states[engine];
    }
    [[nodiscard]] auto size() const -> std::size_t { return this->states.size(); }

    // Sets the position of a prefill engine in its order; nothing removes it.
    auto order_by_idle(upstream_index engine, std::optional<base::time_point> idle_at) -> void;
    // The same for a decode engine: by pieces that are neither used nor booked, by pieces that are
    // not used, and by its next expected release.
    auto order_by_free(upstream_index engine, std::optional<std::int64_t> pieces) -> void;
    auto order_by_room(upstream_index engine, std::optional<std::int64_t> pieces) -> void;
    auto order_by_release(upstream_index engine, std::optional<base::time_point> at) -> void;

    // Prefill engines that may get work, by when they become idle.
    [[nodiscard]] auto by_idle() const -> idle_order const& { return this->idle; }
    // Decode engines with pieces that are neither used nor booked, fewest first.
    [[nodiscard]] auto by_free() const -> free_order const& { return this->free; }
    // Decode engines with pieces that are not used, fewest first; booked pieces count as not used.
    [[nodiscard]] auto by_room() const -> free_order const& { return this->room; }
    // Decode engines that may get work, earliest expected release first.
    [[nodiscard]] auto by_release() const -> idle_order const& { return this->releases; }
    // Sum of the pieces that are neither used nor booked, over `by_free`.
    [[nodiscard]] auto free_pieces() const -> std::int64_t { return this->free_sum; }

    // Sets the load that a decode engine contributes to `load`; zero if it may not get work.
    auto set_load(upstream_index engine, decode_load const& load) -> void;
    // Total load of the decode engines that may get work.
    [[nodiscard]] auto load() const -> decode_load const& { return this->load_sum; }

private:
    std::vector<upstream_state> states;
    std::unordered_map<base::upstream_id, upstream_index> places;
    idle_order idle;
    free_order free;
    free_order room;
    idle_order releases;
    std::int64_t free_sum = 0;
    decode_load load_sum;
};

}  // namespace linnetlane::cell

#endif  // LINNETLANE_CELL_POOL_H_
