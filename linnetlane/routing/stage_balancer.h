// Keeps the numbers of prefill and decode engines of a service at the configured ratio by changing
// the stage of single engines.
//
// A prefill takes a tenth of a second and a decode takes seconds, so decode memory is the scarce
// resource. A stage change takes longer than a burst lasts. The ratio is therefore sized for the
// usual peak, and engines are changed only if an imbalance persists.

#ifndef LINNETLANE_ROUTING_STAGE_BALANCER_H_
#define LINNETLANE_ROUTING_STAGE_BALANCER_H_

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "linnetlane/base/ids.h"
#include "linnetlane/base/time.h"
#include "linnetlane/base/units.h"
#include "linnetlane/routing/upstream_set.h"

namespace linnetlane::routing {

// A change of one engine's stage.
struct stage_change {
    base::upstream_id engine;
    engine_stage to = engine_stage::decode;

    friend auto operator==(stage_change const&, stage_change const&) -> bool = default;
};

// Not thread-safe; must be used on one worker only. There is one instance for each service with
// engines. Only the host that is the order giver uses it.
class stage_balancer {
public:
    // How long a shortage or surplus of prefill engines must last before an engine is changed:
    // crashed engines usually restart before a stage change would be complete.
    static constexpr auto min_imbalance_time = std::chrono::seconds{6};
    // The same for a severe shortage, in which most generations would wait for a prefill in vain.
    static constexpr auto min_severe_shortage_time = std::chrono::seconds{2};
    // The share of the target number of prefill engines below which a shortage is severe.
    static constexpr auto severe_shortage_share = 0.6;
    // How far the number of prefill engines may fall below its exact target when an engine is
    // changed to decode. A pool with too few prefill engines wastes the others' memory, while one
    // with too few decode engines only refuses more.
    static constexpr auto max_prefill_deficit = 0.1;
    // Engines that start together register within this time of each other: one heartbeat.
    static constexpr auto registration_gap = std::chrono::milliseconds{1200};

    // Until `startup_ends`, before callers send requests, surplus prefill engines are changed
    // without waiting for `min_imbalance_time`. While engines still register, only those are
    // changed that even twice as many engines wouldn't need.
    stage_balancer(base::fraction prefill_share, base::time_point startup_ends)
        : share(prefill_share), startup_until(startup_ends) {}

    // Returns the stage change to order next, if any. `engines` are all registered engines of the
    // service.
    [[nodiscard]] auto next_change(std::vector<upstream_record> engines, base::time_point now)
        -> std::optional<stage_change>;
    // Records that `change` was ordered. Until `effective_by`, or until its record has the new
    // stage, the engine counts as changed and is not changed again.
    auto note_ordered(stage_change const& change, base::time_point effective_by) -> void;
    // Records that an engine can't be changed before `until`, for example because it executes
    // another order.
    auto note_declined(base::upstream_id const& engine, base::time_point until) -> void;
    // Returns the target number of prefill engines among `engines`: `share` of them, rounded to the
    // nearest, such that each stage has at least one engine.
    [[nodiscard]] static auto wanted_prefill(std::size_t engines, base::fraction share)
        -> std::size_t;
    // Returns the number of prefill engines that is not reduced any further: the least one that is
    // at most `max_prefill_deficit` below `share` of `engines`.
    [[nodiscard]] static auto kept_prefill(std::size_t engines, base::fraction share)
        -> std::size_t;

private:
    struct pending_change {
        stage_change change;
        base::time_point effective_by;
    };

    auto apply_pending(std::vector<upstream_record>& engines, base::time_point now) -> void;
    // Returns whether engines still register during startup.
    auto registrations_continue(std::size_t engines, base::time_point now) -> bool;
    // Returns the engine to change from `stage`. Prefers one that leaves each software version a
    // decode engine, or gives it one, since a stream may go on only at the version that began it;
    // then one in the data centre that has most of them, so that no data centre loses its last one
    // early. Returns null if there is none.
    [[nodiscard]] auto pick(std::vector<upstream_record> const& engines, engine_stage stage) const
        -> upstream_record const*;

    // Returns whether the imbalance that began at `since` has lasted for `time`. Sets `since` to
    // `now` if it is not set.
    [[nodiscard]] static auto lasted(std::optional<base::time_point>& since, base::duration time,
                                     base::time_point now) -> bool;

    base::fraction share;
    base::time_point startup_until;
    std::vector<pending_change> ordered;
    std::map<base::upstream_id, base::time_point> declined_until;
    std::size_t registered = 0;
    base::time_point registrations_end = base::time_point::min();
    std::optional<base::time_point> shortage_since;
    std::optional<base::time_point> surplus_since;
};

}  // namespace linnetlane::routing

#endif  // LINNETLANE_ROUTING_STAGE_BALANCER_H_
